"""Effects of the configuration: separate settings of two nodes, idempotency keys, worker weights."""

from __future__ import annotations

from walnutpost.node.config import parse_config
from walnutpost.node.node import Node
from walnutpost.testsupport.node.harness import (
    OVERLOADED_ERROR,
    PROFILE,
    Client,
    NodeHarness,
    encode_config,
    encode_discovery_response,
    run_scenario,
    settings,
)


def test_two_nodes_in_one_process_keep_separate_settings() -> None:
    tenants = [{"Name": "gutenberg", "Share": 0.6}, {"Name": "caxton", "Share": 0.4}]
    first_settings = settings(Realms=tenants)
    second_settings = settings(
        Profiles=[{**PROFILE, "Name": "stamp", "HardLimit": 5_000_000}], PolicyLimits={"Cancel": False}
    )

    def scenario(harness: NodeHarness) -> None:
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
        second_node = Node(
            harness.loop, parse_config(encode_config(known=known, settings=second_settings)), harness.log
        )
        first_client, second_client = harness.client(), Client(harness.loop, second_node.listener.address)
        first_client.send(acct="gutenberg", est="230.0")
        assert first_client.next_answer()[2] is None
        first_client.send(acct="somebody")
        assert first_client.next_answer()[2] == ["Internal", {"reason": "acct: found 'somebody'"}]
        first_client.send(method="stamp")
        assert first_client.next_answer()[2][1]["reason"].startswith("class:")
        second_client.send(method="stamp", acct="gutenberg", budget="5000")
        assert second_client.next_answer()[2] == OVERLOADED_ERROR
        second_client.send()
        assert second_client.next_answer()[2][1]["reason"].startswith("class:")
        assert (harness.node.pool.limits.may_cancel, second_node.pool.limits.may_cancel) == (True, False)
        second_node.listener.close()
        second_node.discovery.close()

    run_scenario(scenario, settings=first_settings)


def test_idempotency_key_of_a_request_reaches_the_worker_unchanged() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        client.send(token="3eda7d206dcdd5c71dcfa6b3467539cc")
        assert client.next_answer()[2] is None
        assert harness.workers[0].calls()[0][2].endswith(b",uniq=3eda7d206dcdd5c71dcfa6b3467539cc")
        client.send(token="a,path=0")
        assert client.next_answer()[2][1]["reason"].startswith("token:")

    run_scenario(scenario, workers=1)


def test_worker_of_weight_zero_is_treated_as_having_the_least_weight() -> None:
    def scenario(harness: NodeHarness) -> None:
        harness.loop.wait_readable(harness.name_server.fileno())
        query, address = harness.name_server.recvfrom(512)
        harness.name_server.sendto(encode_discovery_response(query, 7, harness.workers, weight=0), address)
        harness.loop.stop_watching(harness.name_server.fileno())
        harness.wait_until(lambda: harness.node.directory.serial == 7)
        client = harness.client()
        client.send()
        assert client.next_answer()[2] is None

    run_scenario(scenario, settings=settings(Weights="rough"))
