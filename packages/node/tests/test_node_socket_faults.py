"""A node on sockets that fail: it goes on, each attempt is counted as what it was, nobody waits in vain."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from node_rig import SECOND, World, listing, play
from scripted_sockets import FOREVER, SocketFaults, at, datagrams, scripted_sockets, to
from test_node import FAILED, warm
from walnutpost.eventloop.sockets import ACCEPT_TRIES
from walnutpost.interface import Outcome
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.node.run import DRAIN_PERIOD_US

MS = 1_000
Script = Callable[[World, SocketFaults], None]


def run(script: Script, workers: int = 2) -> None:
    def bounded(world: World) -> None:
        with world.loop.timeout(30 * SECOND):
            script(world, faults)

    with scripted_sockets() as faults:
        play(bounded, workers)


def ids(numbers: list[int]) -> list[Any]:
    return [pytest.param(number, id=errno.errorcode[number]) for number in numbers]


# Clients


@pytest.mark.parametrize(
    "number",
    ids([errno.ECONNABORTED, errno.EHOSTUNREACH, errno.EINTR, errno.ENETDOWN, errno.EPERM, errno.EPROTO]),
)
def test_each_client_is_served_at_once_while_accepts_fail_now_and_then(number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        warm(world, world.client())
        began = world.loop.now()
        faults.fail("accept", number, ACCEPT_TRIES - 1, when=at(world.node.listener.address))
        for n in range(10):
            faults.fail("accept", number, after=n, when=at(world.node.listener.address))
            client = world.client()
            client.send()
            assert client.next()[2] is None
            client.stream.close()
        assert world.node.listener.accept_errors >= ACCEPT_TRIES
        assert world.loop.now() - began < 10 * MS  # no pause of the listener is in it
        assert any(line.startswith("accept_failed") for line in world.log.lines)

    run(script)


def test_a_client_that_is_cut_off_by_a_failed_accept_is_served_as_it_reconnects() -> None:
    def script(world: World, faults: SocketFaults) -> None:
        faults.fail("accept", errno.EPERM, when=at(world.node.listener.address), drops=True)
        client = world.client()
        assert client.next() is None
        client = world.client()
        client.send()
        assert client.next()[2] is None

    run(script)


def test_a_node_that_ends_while_accepts_fail_takes_what_it_can_and_answers_what_is_open() -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        for worker in world.workers:
            worker.answer = lambda words: None
        client.send(method="reservation")
        world.until(lambda: world.node.clients.requests)
        ending = world.loop.spawn(world.node.shut_down)
        world.loop.sleep(DRAIN_PERIOD_US - MS)
        faults.fail("accept", errno.EPERM, FOREVER, when=at(world.node.listener.address))
        world.client()
        assert client.next()[2] == FAILED  # its deadline, as ever
        client.stream.close()
        ending.join()
        assert world.node.listener.closed

    run(script)


# Workers


@pytest.mark.parametrize("method", ["valuation", "reservation"])
@pytest.mark.parametrize(
    ("operation", "number", "wanted"),
    [
        ("socket", errno.EMFILE, Outcome.MOOT),
        ("socket", errno.ENFILE, Outcome.MOOT),
        ("socket", errno.ENOBUFS, Outcome.MOOT),
        ("connect", errno.EADDRNOTAVAIL, Outcome.CONNECT_FAILED),
        ("connect", errno.EAGAIN, Outcome.CONNECT_FAILED),
        ("connect", errno.ENETUNREACH, Outcome.CONNECT_FAILED),
        ("connect", errno.EPERM, Outcome.CONNECT_FAILED),
        ("connect", errno.ENOBUFS, Outcome.CONNECT_FAILED),
    ],
)
def test_a_connection_that_cannot_be_made_counts_as_nothing_ran(
    operation: Any, number: int, wanted: Outcome, method: str
) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        world.until(lambda: not any(open_calls(world)))
        for worker in world.workers:
            world.node.workers.close_idle(worker.name)
        began = sum(len(worker.calls()) for worker in world.workers)
        world.node.workers.ends.clear()
        if operation == "socket":
            faults.fail(operation, number)
        else:
            faults.fail(operation, number, when=to_any(world))
        client.send(method=method)
        assert client.next()[2] is None
        assert sum(len(worker.calls()) for worker in world.workers) == began + 1
        ends = {outcome for _, outcome in world.node.workers.ends}
        assert faults.failed[operation] == 1 and ends == {wanted, Outcome.OK}

    run(script)


def open_calls(world: World) -> list[int]:
    """How much is out on each connection to a worker."""
    return [len(c.open) for those in world.node.workers._connections.values() for c in those]


def to_any(world: World) -> Callable[[Any], bool]:
    """Picks sockets to any of the workers."""
    chosen = [to(worker._listener.address) for worker in world.workers]
    return lambda sock: any(choice(sock) for choice in chosen)


@pytest.mark.parametrize(
    "number", ids([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ECONNRESET, errno.ENOBUFS])
)
def test_an_unsafe_call_that_was_written_may_have_run_whatever_ends_its_connection(number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        began = sum(len(w.calls()) for w in world.workers)
        for w in world.workers:
            w.answer = lambda words: None
        client.send(method="reservation")
        world.until(lambda: sum(len(w.calls()) for w in world.workers) > began)
        faults.fail("recv", number, when=to_any(world))
        for w in world.workers:  # what makes the node read
            for stream in w.streams:
                if not stream.closed:
                    stream.send_all(b"*")
        error = client.next()
        assert error[2] == FAILED
        world.loop.sleep(2 * SECOND)
        assert sum(len(w.calls()) for w in world.workers) == began + 1
        assert faults.failed["recv"] == 1

    run(script)


@pytest.mark.parametrize("part", [0, 20])
@pytest.mark.parametrize("number", ids([errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS, errno.EPERM]))
def test_an_unsafe_call_that_never_left_whole_is_sent_again(number: int, part: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        client = world.client()
        warm(world, client)
        began = sum(len(w.calls()) for w in world.workers)
        if part:
            faults.shorten("send", part, when=to_any(world))
        faults.fail("send", number, after=part > 0, when=to_any(world))
        client.send(method="reservation")
        world.until(lambda: faults.failed["send"])
        faults.heal()
        assert client.next()[2] is None
        assert sum(len(w.calls()) for w in world.workers) == began + 1

    run(script)


def test_calls_pass_a_byte_at_a_time() -> None:
    def script(world: World, faults: SocketFaults) -> None:
        faults.shorten("recv", 1)
        faults.shorten("send", 1)
        client = world.client()
        for _ in range(2):
            number = client.send()
            assert client.next()[:3] == [1, number, None]

    run(script)


# The name server


@pytest.mark.parametrize(
    "number", ids([errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.ECONNREFUSED, errno.EHOSTUNREACH])
)
@pytest.mark.parametrize("operation", ["send", "recv"])
def test_a_question_that_fails_is_asked_again(operation: Any, number: int) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        asked = world.node.discovery.asked
        faults.fail(operation, number, times=20, when=datagrams)
        world.until(lambda: world.node.discovery.asked > asked + 5)
        while world.node.directory.serial != 7:
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            world.name_server.sendto(listing(query, 7, world.workers), address)
            world.loop.sleep(10 * MS)
        assert faults.failed[operation] >= 1
        world.loop.forget(world.name_server.fileno())

    run(script)


@pytest.mark.parametrize("operation", ["socket", "connect"])
@pytest.mark.parametrize("number", ids([errno.ENETUNREACH, errno.ENOBUFS, errno.EMFILE]))
def test_a_node_that_finds_no_way_to_the_name_server_at_its_start_serves_and_asks_later(
    operation: Any, number: int
) -> None:
    def script(world: World, faults: SocketFaults) -> None:
        former = world.node
        former.discovery.close()
        faults.fail(operation, number, times=3, when=datagrams_or_new)
        node = DiscoveryClient(
            world.loop,
            former.directory,
            world.name_server.getsockname(),
            1,
            lambda told: None,
            world.log,
        )
        assert faults.failed[operation] == 1
        world.until(lambda: node.asked)
        assert faults.failed[operation] == 3
        asked = node.asked
        node.close()
        world.loop.sleep(SECOND)
        assert node.asked == asked  # what was closed stays so

    run(script)


def datagrams_or_new(sock: Any) -> bool:
    """Picks the sockets of UDP, and those that are not made yet."""
    return sock.fileno() < 0 or datagrams(sock)
