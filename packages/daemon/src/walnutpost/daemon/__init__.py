"""The thin shell: opens listeners, wires fronts, core, links and store together.

Nothing is imported here: the node takes `daemon.core` alone, without what the rest would load."""
