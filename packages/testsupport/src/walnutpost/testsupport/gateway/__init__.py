"""Recorded days for tests of the gateway."""
