"""Test harness for a node, with fake workers and test clients."""
