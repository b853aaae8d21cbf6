"""Selection of the own journal's replicas, and their replacement while they are unreachable."""

from __future__ import annotations

from walnutpost.eventloop import Logger, Loop
from walnutpost.journal import ReplicaHost, choose_replicas
from walnutpost.replication import ReplicationSender

CHECK_INTERVAL_US = 500_000  # of the check whether a replica is unreachable for too long
AVOID_FACTOR = 10  # times `replace_after_us`: how long a replica that was replaced is avoided


class ReplicaSelector:
    """Chooses replicas among `hosts`, without those that were unreachable for `replace_after_us`."""

    def __init__(self, own: ReplicaHost, hosts: list[ReplicaHost], replace_after_us: int) -> None:
        self._own = own
        self._hosts = hosts
        self._replace_after_us = replace_after_us
        self._avoided_until_us: dict[str, int] = {}
        self._unreachable_since_us: dict[str, int] = {}

    def choose(self, now: int) -> tuple[str, ...]:
        """Return the names of the replicas at a time of the loop's clock."""
        hosts = [host for host in self._hosts if self._avoided_until_us.get(host.name, 0) <= now]
        return choose_replicas(self._own, hosts)

    def update_reachability(self, reachability: dict[str, bool], now: int) -> None:
        """Take in which replicas are reachable; avoid one that has not been for too long."""
        for name, is_reachable in reachability.items():
            since_us = self._unreachable_since_us.setdefault(name, now)
            if is_reachable:
                del self._unreachable_since_us[name]
            elif now - since_us >= self._replace_after_us:
                self._avoided_until_us[name] = now + AVOID_FACTOR * self._replace_after_us
                del self._unreachable_since_us[name]


class ReplicaReplacement:
    """Assigns other replicas to the sender when the selector's choice changes."""

    def __init__(self, loop: Loop, selector: ReplicaSelector, sender: ReplicationSender, log: Logger) -> None:
        self._loop = loop
        self._selector = selector
        self._sender = sender
        self._log = log

    def run(self) -> None:
        """Replace replicas that stay unreachable, and avoid them for a while; until cancelled."""
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
