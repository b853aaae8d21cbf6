"""Helpers for tests that use agents."""
