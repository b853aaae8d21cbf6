"""Helpers for tests of the deploy file and its entries."""
