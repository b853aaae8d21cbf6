"""The processes that hold the fleet's agreed history, and how they are asked."""

from walnutpost.controlplane.client import KeeperClient, NoAnswer
from walnutpost.controlplane.process import Keeper, KeeperError

__all__ = ["Keeper", "KeeperClient", "KeeperError", "NoAnswer"]
