"""Helpers for tests of the whole system: processes of releases, failing system calls."""
