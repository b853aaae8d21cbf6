"""Helpers for tests of the protocol fronts."""
