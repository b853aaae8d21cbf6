"""Starts one front end or worker and takes it from version to version as the fleet has agreed."""

from walnutpost.agent.process import Agent, AgentError, version_of

__all__ = ["Agent", "AgentError", "version_of"]
