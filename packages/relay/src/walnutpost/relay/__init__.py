"""The process between the control plane and the members: distributes the configuration, reports progress."""

from walnutpost.relay.process import Relay, RelaySettings, start_relay

__all__ = ["Relay", "RelaySettings", "start_relay"]
