"""Starts one front end or worker and takes it from version to version as the fleet has agreed."""

from walnutpost.agent.process import INCARNATION, Agent, AgentError, order_path, version_of

__all__ = ["INCARNATION", "Agent", "AgentError", "order_path", "version_of"]
