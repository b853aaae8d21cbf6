"""Samples for tests of the command line."""
