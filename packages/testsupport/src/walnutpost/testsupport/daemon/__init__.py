"""A fleet of front ends for tests in one process."""
