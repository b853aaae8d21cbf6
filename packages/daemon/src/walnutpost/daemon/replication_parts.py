"""Builds the replication of deferred calls from the `journal` section."""

from __future__ import annotations

from functools import partial

from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.journal import JournalConfig, ReplicationConfig
from walnutpost.daemon.call_queries import CallQueries
from walnutpost.daemon.call_quorums import CallQuorums
from walnutpost.daemon.entry_builder import EntryBuilder
from walnutpost.daemon.environment import Environment
from walnutpost.daemon.journal_recovery import JournalRecovery
from walnutpost.daemon.other_journals import OtherJournals
from walnutpost.daemon.quorum_requirements import QuorumRequirements
from walnutpost.daemon.replica_selection import ReplicaReplacement, ReplicaSelector
from walnutpost.daemon.replication import CallReplication, JournalReplication
from walnutpost.interface import RequestClass
from walnutpost.journal import ReplicaHost, ReplicationPolicy
from walnutpost.replication import ReplicaClient, ReplicaServer, ReplicationSender
from walnutpost.store import ExecutionStore, JournalStore

BYTES_PER_MB = 1 << 20


def build_replication(
    environment: Environment, executions: ExecutionStore, classes: tuple[RequestClass, ...]
) -> JournalReplication | None:
    """Return the journal's replication, or None if no journal is configured.

    Recovers lost entries from the replicas. The server for other front ends starts before that, so that front
    ends that start at the same time can recover from each other.
    """
    config = environment.config
    section = config.journal
    if section is None:
        return None
    loop, log = environment.loop, environment.log
    requirements = QuorumRequirements(
        [section.classes.get(name, ReplicationConfig()) for name in config.site.classes]
    )
    store = JournalStore(loop, executions, section.name)
    server = ReplicaServer(loop, store, parse_address(section.listen), log)
    addresses = {host.name: partial(parse_address, host.address) for host in section.hosts}
    timeout_us = ms_to_us(section.answer_timeout_ms)
    others = OtherJournals(
        {name: address for name, address in addresses.items() if name != section.name}, timeout_us
    )
    JournalRecovery(loop, store, executions, others, log).recover()
    selector = _build_selector(section)
    client = ReplicaClient(loop, addresses, timeout_us)
    replicas = selector.choose(loop.now())
    sender = ReplicationSender(loop, store, client, replicas, _build_policy(section), log)
    calls = CallReplication(
        EntryBuilder(store, executions, classes, requirements),
        CallQuorums(store, sender, requirements, ms_to_us(section.quorum_timeout_ms)),
        CallQueries(loop, store, others),
    )
    return JournalReplication(
        store=store,
        server=server,
        sender=sender,
        replacement=ReplicaReplacement(loop, selector, sender, log),
        calls=calls,
    )


def _build_selector(section: JournalConfig) -> ReplicaSelector:
    hosts = {host.name: ReplicaHost(host.name, host.region, host.zone) for host in section.hosts}
    return ReplicaSelector(hosts[section.name], list(hosts.values()), ms_to_us(section.replace_after_ms))


def _build_policy(section: JournalConfig) -> ReplicationPolicy:
    return ReplicationPolicy(
        replica_timeout_us=ms_to_us(section.lost_after_ms),
        retry_interval_us=ms_to_us(section.retry_delay_ms),
        max_backlog_bytes=int(section.max_backlog_mb * BYTES_PER_MB),
    )
