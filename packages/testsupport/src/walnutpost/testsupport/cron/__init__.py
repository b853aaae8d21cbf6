"""Helpers for tests and benchmarks of cron schedules."""
