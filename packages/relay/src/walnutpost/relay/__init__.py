"""The process between keepers and members."""
