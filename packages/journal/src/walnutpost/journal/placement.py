"""Which front ends replicate whose journal: rendezvous hashing over front ends in other sites.

Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998: each pair of origin and replica has a
weight that each front end computes alike, and the highest weights win. Removing a front end moves only the
replicas that it had. The weights decide where stored replicas are, so they never change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

DEFAULT_MAX_REPLICAS = 2


@dataclass(frozen=True, slots=True)
class ReplicaHost:
    """A front end that can store replicas of others' journals. A site is a zone of a region."""

    name: str
    region: str
    zone: str

    @property
    def site(self) -> tuple[str, str]:
        """The unit of failure, a pair of region and zone."""
        return self.region, self.zone


def rendezvous_weight(origin: str, replica: str) -> bytes:
    """Return the weight of a pair, the same on every machine; the highest comes first."""
    return blake2b(f"{origin}\0{replica}".encode(), digest_size=8).digest()


def choose_replicas(
    origin: ReplicaHost, hosts: Iterable[ReplicaHost], max_replicas: int = DEFAULT_MAX_REPLICAS
) -> tuple[str, ...]:
    """Return the names of the origin's replicas, preferred first, each in another site.

    The first is in another zone of the origin's region, the second in another region, then others by weight.
    """
    by_weight = sorted(
        (host for host in hosts if host.name != origin.name and host.site != origin.site),
        key=lambda host: rendezvous_weight(origin.name, host.name),
        reverse=True,
    )
    near = next((host for host in by_weight if host.region == origin.region), None)
    far = next((host for host in by_weight if host.region != origin.region), None)
    preferred = [host for host in (near, far) if host is not None]
    chosen: list[ReplicaHost] = []
    for host in [*preferred, *by_weight]:
        if len(chosen) < max_replicas and host.site not in [other.site for other in chosen]:
            chosen.append(host)
    return tuple(host.name for host in chosen)
