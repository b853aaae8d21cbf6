"""The thin shell: opens listeners, wires fronts, core, links and store together."""

from walnutpost.daemon.front_end import FrontEnd

__all__ = ["FrontEnd"]
