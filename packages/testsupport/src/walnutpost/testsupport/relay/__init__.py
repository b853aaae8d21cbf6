"""Relays between a simulated control plane and members."""
