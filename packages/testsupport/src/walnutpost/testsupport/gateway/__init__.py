"""Recorded days for tests of the Gateway."""
