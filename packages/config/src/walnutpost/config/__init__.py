"""Configuration: JSON5 files, checked into typed objects, and converted for the parts of a front end."""

from walnutpost.config.conversion import (
    EndpointList,
    build_catalogue,
    build_endpoint_list,
    build_own_schedules,
    build_router_settings,
    build_schedules,
)
from walnutpost.config.errors import ConfigError, InvalidEntryError
from walnutpost.config.fakes import FakeFleetConfig, FakeWorkerConfig
from walnutpost.config.files import load, load_with_overlay, overlay_sections, parse, read_top_level_keys
from walnutpost.config.front_end import FrontEndConfig, WorkerConfig, WorkerList
from walnutpost.config.root import Config
from walnutpost.config.site import Site

__all__ = [
    "Config",
    "ConfigError",
    "EndpointList",
    "FakeFleetConfig",
    "FakeWorkerConfig",
    "FrontEndConfig",
    "InvalidEntryError",
    "Site",
    "WorkerConfig",
    "WorkerList",
    "build_catalogue",
    "build_endpoint_list",
    "build_own_schedules",
    "build_router_settings",
    "build_schedules",
    "load",
    "load_with_overlay",
    "overlay_sections",
    "parse",
    "read_top_level_keys",
]
