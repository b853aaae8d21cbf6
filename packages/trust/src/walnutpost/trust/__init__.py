"""Keys and trust: what may be used, and when. Decides; no I/O, no clock."""

from walnutpost.trust.keeper import DAY, Keeper, Mark
from walnutpost.trust.material import BadKeys, KeySet, examine, trusted
from walnutpost.trust.ration import Ration, RationSettings

__all__ = ["DAY", "BadKeys", "Keeper", "KeySet", "Mark", "Ration", "RationSettings", "examine", "trusted"]
