"""Helpers for tests of the state of the fleet."""
