"""The process between keepers and members: carries the agreed table down, sums up what members say."""

from walnutpost.relay.process import Relay

__all__ = ["Relay"]
