"""The command line."""

from walnutpost.cli.main import main

__all__ = ["main"]
