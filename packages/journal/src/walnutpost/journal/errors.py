"""The base class of this package's errors."""


class JournalError(Exception):
    """A journal's bytes, or a batch of them, can't be used."""
