"""Placement of replicas: sites apart, one near and one far, and few moves when a front end goes."""

from __future__ import annotations

from walnutpost.journal import ReplicaHost, choose_replicas

HOSTS = [ReplicaHost(f"f{r}{z}{n}", f"r{r}", f"z{z}") for r in range(3) for z in range(3) for n in range(4)]


def test_replicas_when_a_host_goes_are_at_distinct_sites_and_others_do_not_move() -> None:
    moves = 0
    for origin in HOSTS:
        names = choose_replicas(origin, HOSTS)
        near, far = (next(host for host in HOSTS if host.name == name) for name in names)
        assert near.region == origin.region
        assert near.zone != origin.zone
        assert far.region != origin.region
        removed = HOSTS[7]
        without = choose_replicas(origin, [host for host in HOSTS if host is not removed])
        assert removed.name not in without
        moves += sum(a != b for a, b in zip(names, without, strict=True) if a != removed.name)
    assert not moves


def test_replicas_when_there_is_one_region_are_in_its_other_zones() -> None:
    one_region = [host for host in HOSTS if host.region == "r0"]
    names = choose_replicas(one_region[0], one_region)  # two other zones of the only region
    assert len({name[:3] for name in names} | {one_region[0].name[:3]}) == 3
    assert choose_replicas(one_region[0], one_region[:4]) == ()
