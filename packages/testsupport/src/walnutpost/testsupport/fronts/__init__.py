"""Helpers for tests of the front ends."""
