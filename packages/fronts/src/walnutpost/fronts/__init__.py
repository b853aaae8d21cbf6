"""Fronts: each turns its own protocol into calls for the core, and final answers back."""
