"""Effects of the configuration: separate settings of two nodes, idempotency keys, worker weights."""

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


def test_two_nodes_in_one_process_keep_separate_settings() -> None:
    tenants = [{"Name": "gutenberg", "Share": 0.6}, {"Name": "caxton", "Share": 0.4}]
    first_settings = settings(Realms=tenants)
    second_settings = settings(
        Profiles=[{**PROFILE, "Name": "stamp", "HardLimit": 5_000_000}], PolicyLimits={"Cancel": False}
    )

    def script(world: World) -> None:
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
        second_node = Node(
            world.loop, parse_config(config_text(known=known, settings=second_settings)), world.log
        )
        first_client, second_client = world.client(), Client(world.loop, second_node.listener.address)
        first_client.send(acct="gutenberg", est="230.0")
        assert first_client.next()[2] is None
        first_client.send(acct="somebody")
        assert first_client.next()[2] == ["Internal", {"reason": "acct: found 'somebody'"}]
        first_client.send(method="stamp")
        assert first_client.next()[2][1]["reason"].startswith("class:")
        second_client.send(method="stamp", acct="gutenberg", budget="5000")
        assert second_client.next()[2] == REFUSED
        second_client.send()
        assert second_client.next()[2][1]["reason"].startswith("class:")
        assert (world.node.pool.limits.may_cancel, second_node.pool.limits.may_cancel) == (True, False)
        second_node.listener.close()
        second_node.discovery.close()

    play(script, settings=first_settings)


def test_idempotency_key_of_a_request_reaches_the_worker_unchanged() -> None:
    def script(world: World) -> None:
        client = world.client()
        client.send(token="3eda7d206dcdd5c71dcfa6b3467539cc")
        assert client.next()[2] is None
        assert world.workers[0].calls()[0][2].endswith(b",uniq=3eda7d206dcdd5c71dcfa6b3467539cc")
        client.send(token="a,path=0")
        assert client.next()[2][1]["reason"].startswith("token:")

    play(script, workers=1)


def test_worker_of_weight_zero_is_treated_as_having_the_least_weight() -> None:
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
