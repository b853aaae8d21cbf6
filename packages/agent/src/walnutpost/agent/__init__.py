"""The agent: looks after one front end or worker, and changes its version as the fleet has agreed."""

from walnutpost.agent.agent import Agent
from walnutpost.agent.child_process import INCARNATION_VARIABLE
from walnutpost.agent.errors import AgentError, AgentFolderError
from walnutpost.agent.folder import manual_order_path, version_of

__all__ = [
    "INCARNATION_VARIABLE",
    "Agent",
    "AgentError",
    "AgentFolderError",
    "manual_order_path",
    "version_of",
]
