"""Test helpers for the HTTP server and client."""
