"""Helpers for tests of the configuration store."""
