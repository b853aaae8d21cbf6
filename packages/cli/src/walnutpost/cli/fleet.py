"""The group `walnutpost fleet`."""

from __future__ import annotations

import click


@click.group()
def fleet() -> None:
    """Show what the fleet has agreed on, or change it: members, plans, permits, budgets, halts."""
