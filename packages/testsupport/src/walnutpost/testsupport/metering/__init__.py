"""Helpers for tests of metering."""
