"""Helpers for tests on the event loop: fixtures, scripted sockets, addresses."""
