"""Scripted bad days, and the audit of the five rules from captured traffic."""
