"""Keys and trust: what may be used, and when. Decides; no I/O, no clock."""

from walnutpost.certificates.keeper import DAY, Keeper, Mark
from walnutpost.certificates.material import BadKeys, KeySet, examine, trusted
from walnutpost.certificates.ration import Ration, RationSettings

__all__ = ["DAY", "BadKeys", "Keeper", "KeySet", "Mark", "Ration", "RationSettings", "examine", "trusted"]
