"""Operators' orders without a quorum: `MEMBER.by-hand` in the folder of a machine's agents."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from pathlib import Path

from walnutpost.agent.errors import ManualOrderError
from walnutpost.agent.input_handler import InputHandler
from walnutpost.agent.versions import VersionStore
from walnutpost.eventloop import Logger
from walnutpost.fleet.agent_inputs import OperatorOrder


def manual_order_path(folder: Path, member: str) -> Path:
    """Return the file in which an operator leaves an order for the agent to carry out without a quorum."""
    return folder / f"{member}.by-hand"


def take_order(folder: Path, member: str, versions: VersionStore) -> OperatorOrder | None:
    """Return an operator's order and remove its file, so that it is carried out once; None if there is none.

    Raises ManualOrderError.
    """
    path = manual_order_path(folder, member)
    try:
        order = json.loads(path.read_text())
        path.unlink()
        return _checked_order(order, versions)
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ManualOrderError(path, str(error)) from error


def _checked_order(order: Mapping[str, object], versions: VersionStore) -> OperatorOrder:
    """Return the order of a file's content; raise ValueError if its version is not stored."""
    version = str(order["version"])
    if version and not versions.path(version).exists():
        raise ValueError(f"version {version} is not on this disk")
    return OperatorOrder(str(order["operator"]), str(order["why"]), time.time(), version)


class ManualOrders:
    """Looks for orders of operators for one member."""

    def __init__(
        self, folder: Path, member: str, versions: VersionStore, handler: InputHandler, log: Logger
    ) -> None:
        self._folder = folder
        self._member = member
        self._versions = versions
        self._handler = handler
        self._log = log

    def poll(self) -> None:
        """Hand an order to the state machine if there is one. An invalid order is logged and removed."""
        try:
            order = take_order(self._folder, self._member, self._versions)
        except ManualOrderError as error:
            self._log.error("manual_order_rejected", error=str(error))
            return
        if order is not None:
            self._log.warning("manual_order_received", operator=order.operator, reason=order.reason)
            self._handler.handle(order)
