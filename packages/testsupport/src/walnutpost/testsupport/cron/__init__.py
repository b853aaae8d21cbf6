"""Helpers for tests of schedules."""
