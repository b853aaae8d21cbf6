"""Configuration: JSON5 files, checked into typed objects."""

from walnutpost.config.load import ConfigError, keys_of, laid_over, load, load_with_own, parse
from walnutpost.config.model import Config, Fleet, Front, Site, StandIn, WorkerLine, WorkerList
from walnutpost.config.settings import catalogue, own_schedules, router_settings, schedules, worker_lines

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
    "keys_of",
    "laid_over",
    "load",
    "load_with_own",
    "own_schedules",
    "parse",
    "router_settings",
    "schedules",
    "worker_lines",
]
