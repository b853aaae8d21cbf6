"""The agent: looks after one front end or worker, and changes its version as the control plane permits."""

from walnutpost.agent.agent import Agent, AgentSettings, build_agent
from walnutpost.agent.child_process import INCARNATION_VARIABLE, process_ids_of
from walnutpost.agent.errors import AgentError, AgentFolderError, ManualOrderError
from walnutpost.agent.manual_orders import manual_order_path
from walnutpost.agent.versions import version_of

__all__ = [
    "INCARNATION_VARIABLE",
    "Agent",
    "AgentError",
    "AgentFolderError",
    "AgentSettings",
    "ManualOrderError",
    "build_agent",
    "manual_order_path",
    "process_ids_of",
    "version_of",
]
