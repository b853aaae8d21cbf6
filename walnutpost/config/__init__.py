"""Configuration: JSON5 files, checked into typed objects."""

from walnutpost.config.load import ConfigError, load, parse
from walnutpost.config.model import Config, Fleet, Front, Site, StandIn, WorkerLine, WorkerList
from walnutpost.config.settings import catalogue, router_settings, worker_lines

__all__ = [
    "Config",
    "ConfigError",
    "Fleet",
    "Front",
    "Site",
    "StandIn",
    "WorkerLine",
    "WorkerList",
    "catalogue",
    "load",
    "parse",
    "router_settings",
    "worker_lines",
]
