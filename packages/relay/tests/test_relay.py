"""What a relay serves, and its log."""

from __future__ import annotations

from walnutpost.configstore import (
    AGE_HEADER,
)
from walnutpost.eventloop import Loop
from walnutpost.http import Connection
from walnutpost.relay import RelaySettings, start_relay
from walnutpost.testsupport.relay.tier import FakeControlPlane, RelayTier, run_with_relays
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    Log,
    Requester,
    filled,
    large,
    play,
    until,
)


def test_a_relay_rejects_requests_until_its_store_is_complete() -> None:
    def main(loop: Loop) -> None:
        control_plane = FakeControlPlane(loop, large(3000))
        addresses, control_plane.leader = control_plane.addresses, "k2"
        hidden = dict.fromkeys(addresses, ("127.0.0.1", 1))
        relay = start_relay(loop, RelaySettings("r1", hidden, ("127.0.0.1", 0), 1), Log())
        loop.sleep(5 * SECOND)
        received = Requester(loop, relay, "fe1").ask(0)
        assert received.status == 503
        assert received.headers["retry-after"]
        relay.stop()
        relay = start_relay(loop, RelaySettings("r1", addresses, ("127.0.0.1", 0), 2), Log())
        statuses = set()
        requester = Requester(loop, relay, "fe1")
        while (received := requester.ask(0, wait_timeout_us=0)).status == 503:
            statuses.add(received.status)
            loop.sleep(10_000)
        assert received.page is not None
        assert received.page.revision == control_plane.table.revision
        assert relay.state.store.digest == control_plane.table.digest
        relay.stop()

    play(main)


def test_a_relay_behind_never_sends_an_older_revision() -> None:
    def main(loop: Loop) -> None:
        control_plane = FakeControlPlane(loop, filled(5))
        relay = start_relay(loop, RelaySettings("r1", control_plane.addresses, ("127.0.0.1", 0), 1), Log())
        until(loop, lambda: relay.watcher.is_complete)
        asked_us = loop.now()
        received = Requester(loop, relay, "fe1").ask(9, 77)
        assert received.status == 204
        assert received.at - asked_us >= WAIT_TIMEOUT_US
        assert AGE_HEADER.lower() not in received.headers
        relay.stop()

    play(main)


def test_the_age_of_a_relay_cut_off_from_the_control_plane_grows() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        loop = control_plane.loop
        relay = tier.relays["r1"]
        assert relay.watcher.age_us() < 4 * SECOND
        control_plane.has_leader = False  # replicas answer, but no leader confirms their stores
        loop.sleep(20 * SECOND)
        assert relay.watcher.age_us() >= 19 * SECOND
        assert all(m.log.count("config_stale") == 1 for m in tier.members)
        control_plane.has_leader = True
        until(loop, lambda: all(m.log.count("config_fresh") == 1 for m in tier.members))
        cut = loop.now()
        control_plane.kill()
        loop.sleep(30 * SECOND)
        assert relay.watcher.age_us() >= loop.now() - cut - SECOND
        received = Requester(loop, relay).ask(3, relay.state.store.digest, wait_timeout_us=0)
        assert int(received.headers[AGE_HEADER.lower()]) >= 29 * SECOND
        assert all(m.log.count("config_stale") == 2 for m in tier.members)
        assert tier.logs["r1"].count("progress_report_failed") == 1  # logged once
        assert all(m.state.applied_revision == 3 for m in tier.members)  # static stability

    run_with_relays(script)


def test_a_relay_logs_its_stats() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        control_plane.loop.sleep(21 * SECOND)
        lines = [fields for line, fields in tier.logs["r1"].lines if line == "relay_stats"]
        assert len(lines) >= 2
        assert lines[-1]["revision"] == 3
        assert lines[-1]["cpu_cores"] >= 0
        assert lines[-1]["members"] == len(tier.relays["r1"].registry)
        assert tier.logs["r1"].count("listening") == 1
        assert tier.logs["r1"].count("watch_connected") == 1

    run_with_relays(script)


def test_other_requests_are_rejected_with_what_is_wanted() -> None:
    def script(control_plane: FakeControlPlane, tier: RelayTier) -> None:
        connection = Connection.open(control_plane.loop, tier.relays["r1"].address)
        received = connection.request("GET", "/")
        assert received.status == 404
        assert received.body == b"found GET /, wanted POST /table/1/watch"

    run_with_relays(script, 1)
