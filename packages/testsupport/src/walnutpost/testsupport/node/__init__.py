"""A node with fake workers and clients for tests."""
