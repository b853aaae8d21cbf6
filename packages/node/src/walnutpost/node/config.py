"""`NODE_CONFIG` to checked values (DEPLOY, "What a front end is told")."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import Any

from walnutpost import interface as api
from walnutpost.adapter.settings import SettingsError, Told, parse_settings
from walnutpost.node.directory import Address, Names

PORT_MOST = 65535


class ConfigError(Exception):
    """The configuration lacks or misstates something; the text names the place."""


@dataclass(frozen=True, slots=True)
class Config:
    """Times in microseconds. `known` is the name server's events up to the start, as they came."""

    listen: Address
    seed: int
    sockets: int
    dns: Address
    known: dict[str, Any]
    settings: api.Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    names: Names
    report_fields: tuple[str, ...]
    dial_timeout_us: int
    idle_time_us: int
    streams: int


def address(text: object, where: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 <= int(port) <= PORT_MOST:
        raise ConfigError(f"{where}: found {text!r}, wanted HOST:PORT")
    return host, int(port)


def parse(text: bytes) -> Config:
    """Raises ConfigError."""
    try:
        told = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"the configuration is not JSON: {error}") from error
    if not isinstance(told, dict):
        raise ConfigError("the configuration: wanted an object")
    for key in ("listen", "dns", "settings", "known"):
        if not told.get(key):
            raise ConfigError(f"{key}: missing")
    try:
        root = Told(told["settings"], "settings.")
        settings = replace(parse_settings(json.dumps(told["settings"]).encode()), are_restarts_unseen=True)
        limits, profiles = root.part("PolicyLimits"), root.parts("Profiles")
        allowed = Told(told.get("limits") or {}, "limits.")
        return Config(
            listen=address(told["listen"], "listen"),
            seed=int(str(told.get("seed", "0")), 16),
            sockets=allowed.needed_whole("sockets"),
            dns=address(told["dns"], "dns"),
            known=told["known"],
            settings=settings,
            classes=tuple(str(profile.need("Name")) for profile in profiles),
            tenants=tuple(str(realm.need("Name")) for realm in root.parts("Realms")),
            names=Names(
                tuple(map(str, root.items("Zones"))),
                tuple(map(str, root.items("Kinds"))),
                settings.has_weights,
            ),
            report_fields=tuple(map(str, root.part("Reporting").items("Fields"))),
            dial_timeout_us=limits.needed_whole("DialTimeout"),
            idle_time_us=limits.needed_whole("ConnIdle"),
            streams=limits.needed_whole("StreamsPerConn"),
        )
    except SettingsError as error:
        raise ConfigError(str(error)) from error
    except (TypeError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"the configuration: {type(error).__name__}: {error}") from error
    except ValueError as error:
        raise ConfigError(f"seed: found {told.get('seed')!r}, wanted hex digits") from error
