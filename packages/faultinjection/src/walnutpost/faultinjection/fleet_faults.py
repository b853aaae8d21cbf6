"""The faults of a fleet's scenario: each is a context, and healed at its end."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass

from walnutpost.faultinjection.fleet_cluster import FleetCluster
from walnutpost.faultinjection.fleet_scenario import ProcessFault
from walnutpost.faultinjection.network import LinkDirection, LinkProxy

US_PER_MS = 1000
TEAR_AFTER_BYTES = 700
PROCESS_FAULTS = ("kill", "kill child", "pause")


@dataclass(frozen=True, slots=True)
class _ControlPlaneLink:
    """A link to or from a replica, as the process that has the fault sees it."""

    proxy: LinkProxy
    sent: LinkDirection
    received: LinkDirection


@contextmanager
def injected(cluster: FleetCluster, fault: ProcessFault, name: str) -> Iterator[None]:
    """Inject a fault into one process, or into its links, until the end of the block.

    A member that it takes down is up again then; raises ClusterError where it is not.
    """
    is_member = name in cluster.members
    takes_member_down = is_member and fault.what in PROCESS_FAULTS
    with ExitStack() as stack:
        if takes_member_down:
            cluster.observer.begin_injected(name)
        if name in cluster.processes:
            _inject_into_process(stack, cluster, fault, name)
        if fault.what == "second" and is_member:
            second = cluster.start_second_agent(name)
            stack.callback(cluster.stop_second_agent, second)
        if fault.what == "kill child":
            _kill_child(cluster, name)
        _inject_into_links(stack, fault, _links_of(cluster, name))
        yield
    if takes_member_down:
        cluster.wait_until_up(name)


def _inject_into_process(stack: ExitStack, cluster: FleetCluster, fault: ProcessFault, name: str) -> None:
    process = cluster.processes[name]
    match fault.what:
        case "kill":
            cluster.kill(name)
            stack.callback(cluster.restart, name)
        case "lose disk":
            cluster.lose_disk(name)
            stack.callback(cluster.restart, name)
        case "pause":
            process.send_signal(signal.SIGSTOP)
            stack.callback(process.send_signal, signal.SIGCONT)


def _kill_child(cluster: FleetCluster, name: str) -> None:
    with suppress(OSError):
        pid = cluster.child_pid(name)
        if pid is not None:
            os.kill(pid, signal.SIGKILL)


def _links_of(cluster: FleetCluster, name: str) -> list[_ControlPlaneLink]:
    links = []
    for (source, target), proxy in cluster.network.links.items():
        if target not in cluster.replicas:
            continue
        if source == name:
            links.append(_ControlPlaneLink(proxy, proxy.forward, proxy.backward))
        elif target == name:
            links.append(_ControlPlaneLink(proxy, proxy.backward, proxy.forward))
    return links


def _inject_into_links(stack: ExitStack, fault: ProcessFault, links: list[_ControlPlaneLink]) -> None:
    for link in links:
        match fault.what:
            case "cut":
                link.proxy.cut()
                stack.callback(link.proxy.heal)
            case "mute":
                link.sent.block()
                stack.callback(link.proxy.heal)
            case "deaf":
                link.received.block()
                stack.callback(link.proxy.heal)
            case "slow":
                delay_us = round(fault.by_ms * US_PER_MS)
                link.proxy.forward.delay_us = delay_us
                link.proxy.backward.delay_us = delay_us
                stack.callback(link.proxy.heal)
            case "reset":
                link.proxy.reset()
            case "tear":
                link.sent.reset_after_bytes = TEAR_AFTER_BYTES
