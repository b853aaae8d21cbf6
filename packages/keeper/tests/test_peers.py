"""The way to another keeper."""

from __future__ import annotations

from walnutpost.agreement import Members, Message, Snapshot
from walnutpost.agreement.messages import Install, TakeOver
from walnutpost.http import Exchange, Limits, Response
from walnutpost.http.server import serve_on
from walnutpost.keeper import wire
from walnutpost.keeper.peers import Peer
from walnutpost.loop import Loop

ANSWER_TIME = 50_000


def posted(message: Message, takes: int) -> tuple[int, int]:
    """Of one message to a keeper that takes so long to answer: how many arrived for sure, how many not."""
    loop = Loop()

    def handler(exchange: Exchange) -> Response:
        wire.decode(exchange.request.body, wire.Post)
        loop.sleep(takes)
        return Response(204)

    def body() -> tuple[int, int]:
        server = serve_on(
            loop, ("127.0.0.1", 0), handler, lambda error: Response(error.status), Limits(body=wire.BODY_MOST)
        )
        peer = Peer(loop, lambda: server.address, ANSWER_TIME)
        peer.send("k2", message)
        while not peer.posted + peer.lost:
            loop.sleep(5_000)
        return peer.posted, peer.lost

    return loop.run(body)


def test_a_large_state_may_take_its_time_and_a_small_message_may_not() -> None:
    large = Install(1, "k1", Snapshot(9, 1, Members(("k1", "k2")), b"x" * 20_000_000), 1)
    assert posted(large, 20 * ANSWER_TIME) == (1, 0)
    assert posted(TakeOver(1, "k1"), 20 * ANSWER_TIME) == (0, 1)
