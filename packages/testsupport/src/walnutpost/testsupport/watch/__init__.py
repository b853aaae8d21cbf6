"""Fake servers and members for tests of watches."""
