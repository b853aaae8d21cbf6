"""Helpers for tests of the routing policy."""
