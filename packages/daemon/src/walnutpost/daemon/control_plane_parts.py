"""Builds the fleet membership and the config watch from the `agreement` section."""

from __future__ import annotations

import os
import secrets
from functools import partial
from random import Random

from walnutpost.agent import INCARNATION_VARIABLE
from walnutpost.config import Config, build_catalogue
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.daemon.call_counter import CallCounter
from walnutpost.daemon.config_application import ConfigApplier
from walnutpost.daemon.config_cache import ConfigCache
from walnutpost.daemon.config_watch import ConfigWatch
from walnutpost.daemon.dynamic_functions import DynamicFunctions
from walnutpost.daemon.endpoint_cache import EndpointCache
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.daemon.environment import Environment
from walnutpost.daemon.fleet import EndpointApplier, FleetMembership, FleetReporter
from walnutpost.fleet import EndpointFollower
from walnutpost.gateway import Catalogue
from walnutpost.interface import RequestClass
from walnutpost.watch import ServerPool, Watcher

MIN_CONTROL_PLANE_TIMEOUT_US = 1_000_000


def build_dynamic_functions(config: Config) -> DynamicFunctions | None:
    """Return the functions of the configuration store, or None if no relays are configured."""
    if config.agreement is None or not config.agreement.relays:
        return None
    return DynamicFunctions(build_catalogue(config.site).functions, list(config.site.classes))


def build_call_counter(
    environment: Environment, catalogue: Catalogue, classes: tuple[RequestClass, ...]
) -> CallCounter | None:
    """Return the call counter for reports to the control plane, or None without a control plane."""
    agreement = environment.config.agreement
    if agreement is None or not agreement.keepers:
        return None
    return CallCounter(environment.loop, catalogue.functions, classes)


def join_fleet(
    environment: Environment, call_counter: CallCounter | None, endpoint_lists: EndpointLists
) -> FleetMembership | None:
    """Register with the control plane, if there is one, and wait for its endpoint list."""
    config = environment.config
    if config.agreement is None or call_counter is None:
        return None
    loop, log, section = environment.loop, environment.log, config.agreement
    assigned_incarnation = os.environ.get(INCARNATION_VARIABLE)
    follower = EndpointFollower(
        section.member, assigned_incarnation or secrets.token_hex(6), assigned_incarnation is not None
    )
    report_interval_us = ms_to_us(section.report_interval_ms)
    timeout_us = max(report_interval_us, MIN_CONTROL_PLANE_TIMEOUT_US)
    addresses = {name: parse_address(address) for name, address in section.keepers.items()}
    client = ControlPlaneClient(loop, addresses, timeout_us, timeout_us // 2)
    reporter = FleetReporter(client, follower, config.front.zone or "all", call_counter, log)
    cache = EndpointCache(loop, environment.store_file(".agreed"), log)
    applier = EndpointApplier(loop, follower, endpoint_lists, cache, log)
    fleet = FleetMembership(loop, reporter, applier, report_interval_us)
    fleet.catch_up()
    return fleet


def new_incarnation() -> str:
    """Return the incarnation that the agent assigned to this process, or else a random one."""
    return os.environ.get(INCARNATION_VARIABLE) or secrets.token_hex(6)


def watch_config(
    environment: Environment, functions: DynamicFunctions | None, incarnation: str
) -> ConfigWatch | None:
    """Watch the dynamic settings, and wait for the first answer of a relay; return None without relays."""
    config = environment.config
    if config.agreement is None or functions is None:
        return None
    loop, log, section = environment.loop, environment.log, config.agreement
    cache = ConfigCache(loop, environment.store_file(".table"), log)
    watch_state = cache.load(section.member, incarnation)
    applier = ConfigApplier(loop, watch_state, functions, cache, log)
    zones = {name: section.relay_zones.get(name, "") for name in section.relays}
    selector = RelaySelector(section.member, zones, config.front.zone or "", Random())
    servers = {name: partial(parse_address, address) for name, address in section.relays.items()}
    watcher = Watcher(loop, ServerPool(servers, selector), watch_state, applier.handle_outcome, log)
    watch = ConfigWatch(loop, watch_state, watcher, applier, cache)
    watch.catch_up()
    return watch
