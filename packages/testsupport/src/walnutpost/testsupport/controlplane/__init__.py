"""Helpers for tests that run replicas of the control plane."""
