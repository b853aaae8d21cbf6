"""Helpers for tests of the HTTP server and client."""
