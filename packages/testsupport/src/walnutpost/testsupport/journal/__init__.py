"""Sample records for tests of the journal."""
