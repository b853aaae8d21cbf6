"""Golden files: how they are written and compared."""
