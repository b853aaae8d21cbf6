"""Relays between a fake control plane and members."""
