"""What the configuration decides: settings of two nodes, idempotency keys, weights."""

from __future__ import annotations

from walnutpost.node.config import parse_config
from walnutpost.node.node import Node
from walnutpost.testsupport.node.harness import (
    PROFILE,
    REFUSED,
    Client,
    World,
    config_text,
    listing,
    play,
    settings,
)


def test_two_nodes_of_one_process_keep_their_settings_apart() -> None:
    tenants = [{"Name": "gutenberg", "Share": 0.6}, {"Name": "caxton", "Share": 0.4}]
    one = settings(Realms=tenants)
    two = settings(
        Profiles=[{**PROFILE, "Name": "stamp", "HardLimit": 5_000_000}], PolicyLimits={"Cancel": False}
    )

    def script(world: World) -> None:
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
        other = Node(world.loop, parse_config(config_text(known=known, settings=two)), world.log)
        mine, theirs = world.client(), Client(world.loop, other.listener.address)
        mine.send(acct="gutenberg", est="230.0")
        assert mine.next()[2] is None
        mine.send(acct="somebody")
        assert mine.next()[2] == ["Internal", {"reason": "acct: found 'somebody'"}]
        mine.send(method="stamp")
        assert mine.next()[2][1]["reason"].startswith("class:")
        theirs.send(method="stamp", acct="gutenberg", budget="5000")
        assert theirs.next()[2] == REFUSED
        theirs.send()
        assert theirs.next()[2][1]["reason"].startswith("class:")
        assert (world.node.pool.limits.may_cancel, other.pool.limits.may_cancel) == (True, False)
        other.listener.close()
        other.discovery.close()

    play(script, settings=one)


def test_idempotency_key_of_a_request_reaches_the_worker_unchanged() -> None:
    def script(world: World) -> None:
        client = world.client()
        client.send(token="3eda7d206dcdd5c71dcfa6b3467539cc")
        assert client.next()[2] is None
        assert world.workers[0].calls()[0][2].endswith(b",uniq=3eda7d206dcdd5c71dcfa6b3467539cc")
        client.send(token="a,path=0")
        assert client.next()[2][1]["reason"].startswith("token:")

    play(script, workers=1)


def test_worker_of_weight_zero_counts_as_one_of_the_least_weight() -> None:
    def script(world: World) -> None:
        world.loop.wait_readable(world.name_server.fileno())
        query, address = world.name_server.recvfrom(512)
        world.name_server.sendto(listing(query, 7, world.workers, weight=0), address)
        world.loop.forget(world.name_server.fileno())
        world.until(lambda: world.node.directory.serial == 7)
        client = world.client()
        client.send()
        assert client.next()[2] is None

    play(script, settings=settings(Weights="rough"))
