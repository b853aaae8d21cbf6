"""Measurements; they use the helpers of `walnutpost.testsupport`."""
