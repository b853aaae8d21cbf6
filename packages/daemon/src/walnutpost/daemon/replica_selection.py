"""Selection of replicas for this front end's journal, and replacement of unreachable replicas."""

from __future__ import annotations

from walnutpost.eventloop import Logger, Loop
from walnutpost.journal import ReplicaHost, choose_replicas
from walnutpost.replication import ReplicationSender

CHECK_INTERVAL_US = 500_000  # between checks for replicas that have been unreachable too long
AVOID_FACTOR = 10  # a replaced replica is avoided for this many times `replace_after_us`


class ReplicaSelector:
    """Chooses replicas among `hosts`, and avoids hosts that were unreachable for `replace_after_us`."""

    def __init__(self, own: ReplicaHost, hosts: list[ReplicaHost], replace_after_us: int) -> None:
        self._own = own
        self._hosts = hosts
        self._replace_after_us = replace_after_us
        self._avoided_until_us: dict[str, int] = {}
        self._unreachable_since_us: dict[str, int] = {}

    def choose(self, now: int) -> tuple[str, ...]:
        """Return the names of the replicas to use at `now` (event loop time)."""
        hosts = [host for host in self._hosts if self._avoided_until_us.get(host.name, 0) <= now]
        return choose_replicas(self._own, hosts)

    def update_reachability(self, reachability: dict[str, bool], now: int) -> None:
        """Record which replicas are reachable, and avoid those that have been unreachable too long."""
        for name, is_reachable in reachability.items():
            since_us = self._unreachable_since_us.setdefault(name, now)
            if is_reachable:
                del self._unreachable_since_us[name]
            elif now - since_us >= self._replace_after_us:
                self._avoided_until_us[name] = now + AVOID_FACTOR * self._replace_after_us
                del self._unreachable_since_us[name]


class ReplicaReplacement:
    """Assigns new replicas to the sender when the selector's choice changes."""

    def __init__(self, loop: Loop, selector: ReplicaSelector, sender: ReplicationSender, log: Logger) -> None:
        self._loop = loop
        self._selector = selector
        self._sender = sender
        self._log = log

    def run(self) -> None:
        """Check the replicas every CHECK_INTERVAL_US, and replace unreachable ones, until cancelled."""
        replicas = self._selector.choose(self._loop.now())
        while True:
            self._loop.sleep(CHECK_INTERVAL_US)
            now = self._loop.now()
            self._selector.update_reachability(self._sender.state.reachability(), now)
            chosen = self._selector.choose(now)
            if chosen != replicas:
                self._log.warning("journal_replicas_changed", previous=replicas, current=chosen)
                replicas = chosen
                self._sender.assign(replicas)
