"""Protocol fronts: each maps requests of one protocol to calls to the core, and outcomes to responses."""
