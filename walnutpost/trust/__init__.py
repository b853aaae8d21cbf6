"""Keys and trust: what may be used, and when. Decides; no I/O, no clock."""

from walnutpost.trust.material import BadKeys, KeySet, examine, trusted
from walnutpost.trust.ration import Ration, RationSettings

__all__ = ["BadKeys", "KeySet", "Ration", "RationSettings", "examine", "trusted"]
