"""A simulated cluster and samples for tests of the consensus protocol."""
