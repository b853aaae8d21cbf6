"""Helpers for tests of what is stored on disks, with disk faults."""
