"""Helpers for tests of replicated journals."""
