"""What each axis of the operators' size costs the code as it stands: `python -m benchmarks.scale AXIS`."""
