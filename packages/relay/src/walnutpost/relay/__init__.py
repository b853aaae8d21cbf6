"""The process between the control plane and the members: distributes the configuration, reports progress."""

from walnutpost.relay.process import Relay

__all__ = ["Relay"]
