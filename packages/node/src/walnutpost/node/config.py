"""Parses and validates the configuration file of a node (DEPLOY, "What a front end is told")."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, replace
from typing import Any

from walnutpost import interface as api
from walnutpost.adapter.errors import SettingsError
from walnutpost.adapter.settings import SettingsSection, parse_settings
from walnutpost.node.directory import Address, TopologyNames
from walnutpost.node.errors import NodeError

MAX_PORT = 65535
DEFAULT_MEMORY_MB = 192  # where the configuration states no limit
REQUIRED_KEYS = ("listen", "dns", "settings", "known")


class ConfigError(NodeError):
    """A missing or invalid value in the configuration; the message names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration.

    `known_events` are the name server's events up to the start, not parsed yet. `max_descriptors` is the
    limit on open file descriptors of the process, and `memory_mb` that on its memory. `max_open_requests` is
    the limit on requests without an answer. `max_streams` is the limit on concurrent calls on one
    connection to a worker.
    """

    listen: Address
    seed: int
    max_descriptors: int
    memory_mb: int
    max_open_requests: int
    dns: Address
    known_events: dict[str, Any]
    settings: api.Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    topology_names: TopologyNames
    report_fields: tuple[str, ...]
    connect_timeout_us: int
    idle_timeout_us: int
    max_streams: int


def parse_config(text: bytes) -> Config:
    """Parse and validate the configuration. Raises ConfigError."""
    root = _parse_object(text)
    try:
        return _parse_values(root)
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    except (TypeError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"the configuration is invalid: {type(error).__name__}: {error}") from error
    except ValueError as error:
        raise ConfigError(f"seed: found {root.get('seed')!r}, expected hex digits") from error


def parse_address(text: object, key: str) -> Address:
    """Parse HOST:PORT. Raises a ConfigError that names `key`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: found {text!r}, expected HOST:PORT")
    return host, int(port)


def _parse_object(text: bytes) -> dict[str, Any]:
    try:
        root = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the configuration is not JSON: {error}") from error
    if not isinstance(root, dict):
        raise ConfigError("the configuration is not a JSON object")
    for key in REQUIRED_KEYS:
        if not root.get(key):
            raise ConfigError(f"{key}: missing")
    return root


def _parse_values(root: dict[str, Any]) -> Config:
    section = SettingsSection(root["settings"], "settings.")
    settings = replace(parse_settings(json.dumps(root["settings"]).encode()), may_miss_restarts=True)
    policy_limits = section.section("PolicyLimits")
    process_limits = SettingsSection(root.get("limits") or {}, "limits.")
    return Config(
        listen=parse_address(root["listen"], "listen"),
        seed=int(str(root.get("seed", "0")), 16),
        max_descriptors=process_limits.require_integer("sockets"),
        memory_mb=process_limits.integer("memory_mb") or DEFAULT_MEMORY_MB,
        max_open_requests=policy_limits.integer("MaxOpen") or sys.maxsize,
        dns=parse_address(root["dns"], "dns"),
        known_events=root["known"],
        settings=settings,
        classes=tuple(str(profile.require("Name")) for profile in section.sections("Profiles")),
        tenants=tuple(str(realm.require("Name")) for realm in section.sections("Realms")),
        topology_names=_parse_topology_names(section, settings.has_endpoint_weights),
        report_fields=tuple(map(str, section.section("Reporting").items("Fields"))),
        connect_timeout_us=policy_limits.require_integer("DialTimeout"),
        idle_timeout_us=policy_limits.require_integer("ConnIdle"),
        max_streams=policy_limits.require_integer("StreamsPerConn"),
    )


def _parse_topology_names(section: SettingsSection, is_weighted: bool) -> TopologyNames:
    zones = tuple(map(str, section.items("Zones")))
    kinds = tuple(map(str, section.items("Kinds")))
    return TopologyNames(zones, kinds, is_weighted)
