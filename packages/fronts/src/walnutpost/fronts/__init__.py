"""Front ends of protocols: each turns its own requests into calls for the core, and outcomes into answers."""
