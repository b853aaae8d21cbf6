"""Helpers for tests of the worker client."""
