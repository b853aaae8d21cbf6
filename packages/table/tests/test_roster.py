"""What relays sum up and what a leader may claim of it: by hand, and random orders against the truth."""

from __future__ import annotations

from walnutpost.table.messages import Question, Sums, decode, encode
from walnutpost.table.roster import SECOND, Roster, Standings


def ask(member: str, in_force: int, session: int = 1, incarnation: str = "", **more: object) -> Question:
    shape = {"revision": in_force, "digest": 0, "hold": 3 * SECOND, **more}
    return Question(member, incarnation or f"{member}.1", session, in_force=in_force, **shape)  # type: ignore[arg-type]


def tell(now: int, roster: Roster, leader: Standings, revision: int) -> Sums:
    """Reports until all is told; the first of them, as read from its bytes."""
    first = None
    while True:
        sums = decode(encode(roster.sums(now, revision)), Sums)
        first = first or sums
        roster.heard(leader.take(now, sums))
        if not roster.news:
            return first


def test_the_lowest_is_over_all_agreed_members() -> None:
    leader, roster = Standings(0, 10), Roster("r1", "x")
    leader.agree(0, {"a": "a.1", "b": "b.1"})
    roster.said(0, ask("a", 10))
    tell(0, roster, leader, 10)
    assert leader.lowest == 0
    roster.said(0, ask("b", 9))
    tell(0, roster, leader, 10)
    assert leader.lowest == 9
    roster.said(0, ask("b", 10))
    tell(0, roster, leader, 10)
    assert leader.lowest == 10
