"""Test helpers for the event loop: fixtures, sockets with scripted faults, loopback addresses."""
