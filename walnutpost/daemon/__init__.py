"""The thin shell: opens listeners, wires fronts, core, links and store together."""

import gc

from walnutpost.daemon.front_end import FrontEnd

__all__ = ["FrontEnd", "calm_collector"]

COLLECT_AFTER = 50_000


def calm_collector() -> None:
    """For a process that is a front end and nothing else, called when it stands: what exists by then is
    never looked at again, and the collector runs once in COLLECT_AFTER new objects. A call leaves hardly
    any cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 50)
