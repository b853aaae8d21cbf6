"""Which front ends keep copies of whose journal: by rendezvous hash, in other sites than the origin's."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class Place:
    """A front end that keeps copies. A site is a zone of a region."""

    name: str
    region: str
    zone: str

    @property
    def site(self) -> tuple[str, str]:
        return self.region, self.zone


def rank(origin: str, holder: str) -> bytes:
    """The same everywhere; the highest comes first."""
    return blake2b(f"{origin}\0{holder}".encode(), digest_size=8).digest()


def chosen(origin: Place, places: Iterable[Place], most: int = 2) -> tuple[str, ...]:
    """One in another zone of the region, then one in another region, then others of other sites, each of a
    site that none before it is in: what is lost with one site is lost once."""
    by_rank = sorted(
        (p for p in places if p.name != origin.name and p.site != origin.site),
        key=lambda p: rank(origin.name, p.name),
        reverse=True,
    )
    found: list[Place] = []
    near = next((p for p in by_rank if p.region == origin.region), None)
    far = next((p for p in by_rank if p.region != origin.region), None)
    for place in [*(p for p in (near, far) if p is not None), *by_rank]:
        if len(found) < most and place.site not in [f.site for f in found]:
            found.append(place)
    return tuple(p.name for p in found)
