"""Runs the command line as `python -m walnutpost.cli`."""

from walnutpost.cli.main import main

main(prog_name="walnutpost")
