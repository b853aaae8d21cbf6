"""Calls through a node on loopback sockets."""

from __future__ import annotations

from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults
from walnutpost.testsupport.node.fault_injection import play_with_faults
from walnutpost.testsupport.node.harness import FAILED, World, play, warm


def test_call_passes_through_unchanged() -> None:
    def script(world: World) -> None:
        client = world.client()
        message_id = client.send(rid="9b1f03aa5c7e2d41", attrs="memory_mb:512;lanes:2")
        assert client.next() == [1, message_id, None, [b"did body 1", {}]]
        (call,) = [words for worker in world.workers for words in worker.calls()]
        assert call[1] == b"9b1f03aa5c7e2d41"
        assert call[3] == b"body 1"
        assert call[2].startswith(b"queue=valuation,path=7f3a9c21e0b4d655,budget=")

    play(script)


def test_unanswered_request_fails_within_its_budget() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        sent_at = world.loop.now()
        client.send(method="reservation", budget="300")
        assert client.next()[2] == FAILED
        assert world.loop.now() - sent_at <= 300_000

    play(script, workers=1)


def test_calls_succeed_when_sockets_transfer_one_byte_at_a_time() -> None:
    def script(world: World, faults: SocketFaults) -> None:
        faults.shorten("recv", 1)
        faults.shorten("send", 1)
        client = world.client()
        for _ in range(2):
            message_id = client.send()
            assert client.next()[:3] == [1, message_id, None]

    play_with_faults(script)
