"""Who acts on which revision: what a relay sums up of its members, and what a leader may say of all of them.

A member's `in_force` never falls within an incarnation, so "it acts on at least revision R" stays true once
it has been true, whoever told it and however late. All that a leader claims is made of such words; a relay
that is restarted, cut off, doubled or late can take longer to say them, and makes none of them false.
Times are microseconds of the caller's clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sized
from dataclasses import dataclass, field
from heapq import nsmallest
from itertools import islice
from typing import Protocol

from walnutpost.configstore.messages import Heard, MemberStatus, Question, Standing, Status, Sums, Timed

SECOND = 1_000_000
LATE = 3 * SECOND  # a member that lacks for so long what its relay holds is named
SILENT = 6 * SECOND  # two questions held for 3 s each
GONE = 15 * SECOND
NAMED_MOST = 100
PAGE_MOST = 500  # members in `joined` or `left` of one report
ENDED_MOST = 1000
STUCK_MOST = 200  # characters kept of why a member is stuck: a report of a hundred stays small
RELAY_SILENT = 10 * SECOND
RELAY_GONE = 600 * SECOND
TIMED_MOST = 100
LACKING_MOST = 100


@dataclass(slots=True)
class _Said:
    """A member's last word to a relay. `former`: the incarnation that this one took over from here."""

    incarnation: str
    session: int
    in_force: int
    stuck: str
    at: int
    question: Question
    former: str = ""

    def standing(self, member: str, now: int) -> Standing:
        return Standing(member, self.incarnation, self.session, self.in_force, self.stuck, now - self.at)


class Roster:
    """A relay's members. Reports are numbered; each tells what has changed since the last that the leader has
    confirmed, so that one lost costs nothing but time. `lowest` of a report speaks for exactly those that the
    leader knows of once it has taken it, which are `count`: joins that found no room in the page are outside
    of both until a later report."""

    def __init__(self, relay: str, incarnation: str, address: str = "") -> None:
        self._relay, self._incarnation, self._address = relay, incarnation, address
        self._members: dict[str, _Said] = {}
        self._number = 0
        self._confirmed = 0  # the report that deltas start from; 0: the next one tells all
        self._known: set[str] = set()  # whom the leader holds as of that report
        self._perhaps: set[str] = set()  # whom it may hold, by reports sent since
        self._next: set[str] = set()  # whom it holds once it has taken the last report
        self._pending: dict[str, int] = {}  # to be told: the last report built before the change
        self._page: tuple[str, ...] = ()
        self._ended: dict[tuple[str, str], int] = {}
        self._ended_page: tuple[tuple[str, str], ...] = ()
        self._lowest = 0
        self._held: deque[tuple[int, int]] = deque()  # since when the relay holds which revision
        self.news = False  # something was said since the last report was built, or more of a whole is owed

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, member: str) -> bool:
        return member in self._members

    def said(self, now: int, question: Question) -> None:
        """A member's word. One without a name counts for nothing."""
        name = question.member
        if not name:
            return
        known = self._members.get(name)
        if question.leaving:
            self._ended[name, question.incarnation] = self._number
            if len(self._ended) > ENDED_MOST:
                del self._ended[next(iter(self._ended))]
            self.news = True
            if known is not None and known.incarnation == question.incarnation:
                self._leave(name)
            return
        if known is None or known.incarnation != question.incarnation:
            former = ""
            if known is not None:
                # Two processes under one name, as in a hand-over: the later takes over, and does not lose it
                # to each further word of the earlier, or the leader would hear of a change at each question.
                if question.incarnation == known.former and now - known.at < SILENT:
                    return
                former = known.incarnation
            self._members[name] = _Said(
                question.incarnation,
                question.session,
                question.in_force,
                question.stuck[:STUCK_MOST],
                now,
                question,
                former,
            )
            self._mark(name)
            return
        if question.in_force > known.in_force:
            known.in_force, self.news = question.in_force, True
        if question.session < known.session:
            return  # read late, from before it came back: what it acts on holds, that it is there doesn't
        if question.session > known.session:
            known.session = question.session
            self._mark(name)
        stuck = question.stuck[:STUCK_MOST]
        if stuck != known.stuck:
            known.stuck, self.news = stuck, True
        known.at, known.question = now, question

    def gone(self, question: Question) -> None:
        """The connection that this was the last question on has ended (the very object given to `said`). The
        member leaves, unless it has asked again since."""
        known = self._members.get(question.member)
        if known is not None and known.question is question:
            self._leave(question.member)

    def sums(self, now: int, revision: int) -> Sums:
        """The next report. `revision`: what the relay holds. One that is not confirmed is told anew in the
        next, whenever that is asked for."""
        for name in [n for n, m in self._members.items() if now - m.at >= GONE]:
            self._leave(name)
        self._number += 1
        joined, left = self._changes()
        behind, rest = self._behind(now, self._late(now, revision))
        self._lowest = min(rest, default=max(self._lowest, revision))
        self._ended_page = tuple(islice(self._ended, PAGE_MOST))
        self.news = len(self._pending) > len(self._page) or len(self._ended) > len(self._ended_page)
        return Sums(
            self._relay,
            self._incarnation,
            self._number,
            self._confirmed,
            revision,
            self._lowest,
            len(self._next),
            tuple(self._members[name].standing(name, now) for name in joined),
            tuple(left),
            behind,
            self._address,
            ended=self._ended_page,
        )

    def heard(self, heard: Heard) -> None:
        """The leader's answer. Only that to the last report counts."""
        if heard.number != self._number:
            return
        if heard.whole:
            self._confirmed, self.news = 0, True
            return
        for name in self._page:
            if self._pending.get(name, self._number) < self._number:
                del self._pending[name]
        for ended in self._ended_page:
            if self._ended.get(ended, self._number) < self._number:
                del self._ended[ended]
        self._confirmed = self._number
        self._known = self._next
        self._perhaps = set(self._known)

    def _mark(self, name: str) -> None:
        self._pending[name] = self._number
        self.news = True

    def _leave(self, name: str) -> None:
        del self._members[name]
        self._mark(name)

    def _changes(self) -> tuple[list[str], list[str]]:
        """Who is told as joined and as left; sets whom the leader holds after it. Whom the leader may hold
        and who has changed must be told at once: `lowest` would otherwise be taken to speak for one that has
        left, or for the process before. More of these than a page holds make it a whole."""
        must = [name for name in self._pending if name in self._perhaps] if self._confirmed else []
        if not self._confirmed or len(must) > PAGE_MOST:
            self._confirmed = 0
            self._pending = dict.fromkeys(self._members, self._number - 1)
            joined, left = list(islice(self._members, PAGE_MOST)), list[str]()
            self._next = set(joined)
            self._perhaps = set()
            self._page = tuple(joined)
        else:
            chosen = dict.fromkeys(must)
            for name in self._pending:
                if len(chosen) >= PAGE_MOST:
                    break
                chosen[name] = None
            joined = [name for name in chosen if name in self._members]
            left = [name for name in chosen if name not in self._members]
            self._next = (self._known | set(joined)).difference(left) if chosen else self._known
            self._page = tuple(chosen)
        self._perhaps.update(joined)
        return joined, left

    def _late(self, now: int, revision: int) -> int:
        """What was held LATE ago already: who acts on less is late."""
        if not self._held or self._held[-1][1] < revision:
            self._held.append((now, revision))
        while len(self._held) > 1 and now - self._held[1][0] >= LATE:
            self._held.popleft()
        since, held = self._held[0]
        return held if now - since >= LATE else 0

    def _behind(self, now: int, late: int) -> tuple[tuple[Standing, ...], Iterable[int]]:
        """Those who are named, the furthest behind first, and what the others act on. Who came with less than
        was already told of all is named as well: a new member that loads a whole state would else take back
        what is proved of the others."""
        named: list[tuple[int, str]] = []
        rest: list[int] = []
        for name in self._next:
            said = self._members[name]
            if said.stuck or said.in_force < late or said.in_force < self._lowest or now - said.at >= SILENT:
                named.append((said.in_force, name))
            else:
                rest.append(said.in_force)
        named.sort()
        rest += [in_force for in_force, _ in named[NAMED_MOST:]]
        return tuple(self._members[name].standing(name, now) for _, name in named[:NAMED_MOST]), rest


class Held(Protocol):
    """What a status tells of the table."""

    @property
    def revision(self) -> int: ...
    @property
    def digest(self) -> int: ...
    @property
    def floor(self) -> int: ...
    @property
    def entries(self) -> Sized: ...


@dataclass(slots=True)
class _Relay:
    """`members`: whom it has told of, each as last told by name; `named` and `lowest` as in its last report.
    `proved`: all agreed members at home here that are not `apart` act on it or a newer one; `common`: how
    many these are. `apart`: those at home here of which something else is proved, by their `floor`."""

    name: str
    incarnation: str
    number: int = 0
    whole: int = 0  # the last report that told all
    revision: int = 0
    lowest: int = 0
    at: int = 0
    members: dict[str, Standing] = field(default_factory=dict)
    named: dict[str, Standing] = field(default_factory=dict)
    proved: int = 0
    common: int = 0
    apart: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Member:
    """An agreed member. `floor`: what is proved of this incarnation by name, whoever told it; `home`: the
    relay whose word counts, that with its highest session. Without one: who told of it last, and when."""

    incarnation: str
    floor: int = 0
    home: _Relay | None = None
    stuck: str = ""
    relay: str = ""
    told: int | None = None


@dataclass(slots=True)
class _Change:
    revision: int
    since: int
    took: int | None = None


class Standings:
    """What a leader knows of its agreed members by relays' reports, for one office; it starts from nothing.

    `lowest` is over relays, and over the members that are apart: behind, just joined, told of by nobody. To
    take a report therefore costs by what it tells, not by how many members there are."""

    def __init__(self, began: int, revision: int) -> None:
        """`revision`: the newest agreed one."""
        self._began, self._revision = began, revision
        self._relays: dict[str, _Relay] = {}
        self._members: dict[str, _Member] = {}
        self._alone: set[str] = set()  # agreed, and told of by no relay as the agreed incarnation
        self._strange: set[str] = set()  # told of as an incarnation that is not the agreed one
        self._ended: dict[str, str] = {}
        self._timed: deque[_Change] = deque(maxlen=TIMED_MOST)
        self._open: deque[_Change] = deque(maxlen=TIMED_MOST)
        self._lowest: int | None = None

    @property
    def lowest(self) -> int:
        """All agreed members act on this revision or a newer one; the newest agreed one where there are no
        members."""
        if self._lowest is None:
            found = [relay.proved for relay in self._relays.values() if relay.common]
            found += [self._members[name].floor for relay in self._relays.values() for name in relay.apart]
            found += [self._members[name].floor for name in self._alone]
            self._lowest = min(found, default=self._revision)
        return self._lowest

    def in_force(self, member: str, incarnation: str) -> int:
        """What this process is proved to act on, 0 where it is not the agreed one."""
        known = self._members.get(member)
        return self._proved(member, known) if known is not None and known.incarnation == incarnation else 0

    def agreed(self, now: int, revision: int) -> None:
        """A change set was agreed on; its time begins. To be called for each, before words about it are
        taken: what relays claim beyond the newest agreed revision says nothing of what is agreed on later."""
        if revision <= self._revision:
            return
        self._revision = revision
        change = _Change(revision, now)
        self._timed.append(change)
        self._open.append(change)
        if not self._members:
            self._look(now)

    def agree(self, now: int, members: Mapping[str, str]) -> None:
        """The agreed members, name to incarnation, all of them; to be called after each change of these."""
        for name in [name for name in self._members if name not in members]:
            self._unhome(name, self._members[name])
            self._alone.discard(name)
            del self._members[name]
            self._sort_out(name)
        for name, incarnation in members.items():
            known = self._members.get(name)
            if known is not None:
                if known.incarnation == incarnation:
                    continue
                self._unhome(name, known)
            # Another process acts on nothing that was proved of the one before.
            known = self._members[name] = _Member(incarnation)
            self._place(name, known)
            if known.home is not None:
                self._settle(known.home, name)
            self._sort_out(name)
        for name in [name for name, ended in self._ended.items() if members.get(name) != ended]:
            del self._ended[name]
        self._alone, self._strange = set(self._alone), set(self._strange)
        self._look(now)

    def take(self, now: int, sums: Sums) -> Heard:
        """A relay's report, or that it must tell all. What doesn't fit together is not taken."""
        relay = self._relays.get(sums.relay)
        if relay is not None and relay.incarnation == sums.incarnation:
            if sums.number <= relay.number:
                return Heard(relay.number)
            lacks = sums.since != 0 and not relay.whole <= sums.since <= relay.number
        else:
            lacks = sums.since != 0
        if lacks or not _fits(relay.members if relay is not None and sums.since else {}, sums):
            return Heard(sums.number, whole=True)
        if relay is None:
            self._forget_relays(now)
            relay = self._relays[sums.relay] = _Relay(sums.relay, sums.incarnation)
        if not sums.since:
            for name in list(relay.members):
                self._drop(relay, name)
            relay.incarnation, relay.whole = sums.incarnation, sums.number
            relay.proved, relay.named = 0, {}
        for name in sums.left:
            self._drop(relay, name)
        for standing in sums.joined:
            self._join(relay, standing)
        if sums.joined:  # a set that was large is walked over at that size until it is copied
            self._alone = set(self._alone)
        relay.number, relay.revision, relay.at = sums.number, sums.revision, now
        self._count(relay, min(sums.lowest, self._revision), sums.behind)
        for name, incarnation in sums.ended:
            known = self._members.get(name)
            if known is not None and known.incarnation == incarnation:
                self._ended[name] = incarnation
        self._look(now)
        return Heard(sums.number)

    def unknown(self, now: int) -> list[tuple[str, str]]:
        """Members to be agreed on, name and incarnation: told of, and not the agreed ones. Where a relay
        still hears the agreed process, another under its name waits until that is silent or gone."""
        found = []
        for name in sorted(self._strange):
            known = self._members.get(name)
            best: tuple[int, str] | None = None
            lives = False
            for relay in self._relays.values():
                standing = relay.members.get(name)
                if standing is None or now - relay.at >= RELAY_SILENT:
                    continue
                if name in relay.named and relay.named[name].silent_for >= SILENT:
                    continue
                if known is not None and standing.incarnation == known.incarnation:
                    lives = True
                elif best is None or relay.at > best[0]:
                    best = relay.at, standing.incarnation
            if best is not None and not lives:
                found.append((name, best[1]))
        return found

    def ended(self) -> list[str]:
        """Agreed members whose process has said that it ends, where no other is told of under the name: to be
        taken off the agreed ones."""
        return sorted(name for name in self._ended if name not in self._strange)

    def absent(self, now: int, least: int) -> list[str]:
        """Agreed members that no relay has told of for so long, by what this leader has heard."""
        found = []
        for name in self._alone - self._strange:
            told = self._members[name].told
            if now - (self._began if told is None else max(told, self._began)) >= least:
                found.append(name)
        return sorted(found)

    def status(self, now: int, table: Held, members: Mapping[str, str]) -> Status:
        """`members`: the agreed ones, name to incarnation, as in `agree`."""
        self._forget_relays(now)
        self.agree(now, members)
        lowest = min(self.lowest, table.revision)
        lacking = list(self._lacking(table.revision)) if lowest < table.revision else []
        return Status(
            table.revision,
            table.digest,
            table.floor,
            len(table.entries),
            len(members),
            lowest,
            tuple(self._told(now, name) for name in nsmallest(LACKING_MOST, lacking)),
            tuple(Timed(change.revision, change.took) for change in self._timed),
            tuple((r.name, r.revision, len(r.members), now - r.at) for _, r in sorted(self._relays.items())),
            lacks=len(lacking),
        )

    def _lacking(self, revision: int) -> Iterator[str]:
        return (name for name, known in self._members.items() if self._proved(name, known) < revision)

    def _told(self, now: int, name: str) -> MemberStatus:
        known = self._members[name]
        if known.home is None:
            relay, stuck, told = known.relay, known.stuck, known.told
        else:
            relay, stuck, told = _word(known.home, name)
        since = None if told is None else now - told
        return MemberStatus(name, known.incarnation, self._proved(name, known), relay, stuck, since)

    def _proved(self, name: str, known: _Member) -> int:
        home = known.home
        return known.floor if home is None or name in home.apart else home.proved

    def _look(self, now: int) -> None:
        self._lowest = None
        while self._open and self._open[0].revision <= self.lowest:
            change = self._open.popleft()
            change.took = now - change.since

    def _count(self, relay: _Relay, lowest: int, behind: tuple[Standing, ...]) -> None:
        """A report's `lowest` speaks for all whom it doesn't name. Where it is below what is proved, those of
        whom that was proved keep it; who made it fall is apart, until all have caught up."""
        for standing in behind:
            if standing.member not in relay.named:
                self._part(relay, standing.member)
            relay.members[standing.member] = standing
        relay.named = {standing.member: standing for standing in behind}
        relay.lowest, relay.proved = lowest, max(relay.proved, lowest)
        before = len(relay.apart)
        for name in list(relay.apart):
            self._settle(relay, name)
        if len(relay.apart) < before:
            relay.apart = set(relay.apart)

    def _settle(self, relay: _Relay, name: str) -> None:
        """What the relay's last report proves of one that is apart."""
        known, told = self._members[name], relay.named.get(name)
        known.floor = max(known.floor, relay.lowest if told is None else min(told.in_force, self._revision))
        if told is None and known.floor == relay.proved:
            relay.apart.discard(name)
            relay.common += 1

    def _part(self, relay: _Relay, name: str) -> None:
        known = self._members.get(name)
        if known is not None and known.home is relay and name not in relay.apart:
            known.floor = max(known.floor, relay.proved)
            relay.apart.add(name)
            relay.common -= 1

    def _join(self, relay: _Relay, standing: Standing) -> None:
        name = standing.member
        known = self._members.get(name)
        if known is not None and known.home is relay:
            self._unhome(name, known)
        relay.members[name] = standing
        if known is not None:
            self._place(name, known)
        self._sort_out(name)

    def _drop(self, relay: _Relay, name: str) -> None:
        if relay.members.pop(name, None) is None:
            return
        known = self._members.get(name)
        if known is not None and known.home is relay:
            self._unhome(name, known)
            self._place(name, known)
        self._sort_out(name)

    def _place(self, name: str, known: _Member) -> None:
        """Finds its home: of the relays that tell of the agreed incarnation that with the highest session, so
        that what an old one still says of a member that has moved neither counts twice nor holds it back."""
        home, session = None, 0
        for relay in self._relays.values():
            standing = relay.members.get(name)
            if standing is None or standing.incarnation != known.incarnation:
                continue
            if home is None or standing.session > session:
                home, session = relay, standing.session
        if home is not None and home is known.home:
            return
        self._unhome(name, known)
        if home is None:
            self._alone.add(name)
            return
        self._alone.discard(name)
        known.home = home
        known.floor = max(known.floor, min(home.members[name].in_force, self._revision))
        home.apart.add(name)

    def _unhome(self, name: str, known: _Member) -> None:
        home = known.home
        if home is None:
            return
        self._part(home, name)
        home.apart.discard(name)
        known.relay, known.stuck, known.told = _word(home, name)
        known.home = None

    def _sort_out(self, name: str) -> None:
        known = self._members.get(name)
        agreed = known.incarnation if known is not None else None
        told = (relay.members.get(name) for relay in self._relays.values())
        if any(standing is not None and standing.incarnation != agreed for standing in told):
            self._strange.add(name)
        else:
            self._strange.discard(name)

    def _forget_relays(self, now: int) -> None:
        for name in [name for name, relay in self._relays.items() if now - relay.at >= RELAY_GONE]:
            for member in list(self._relays[name].members):
                self._drop(self._relays[name], member)
            del self._relays[name]


def _word(relay: _Relay, name: str) -> tuple[str, str, int]:
    """Of a member at home at this relay: the relay, why it is stuck, and when it was last told of."""
    named = relay.named.get(name)
    return (relay.name, named.stuck, relay.at - named.silent_for) if named else (relay.name, "", relay.at)


def _fits(members: Mapping[str, Standing], sums: Sums) -> bool:
    """Whether a report fits to whom its relay has told of. `lowest` would else be taken to speak for one
    that the relay doesn't hold, or not as this process."""
    joined = {standing.member: standing for standing in sums.joined}
    left = set(sums.left)
    if len(joined) < len(sums.joined) or (left and not sums.since) or not left.isdisjoint(joined):
        return False
    count = len(members) + sum(name not in members for name in joined) - sum(name in members for name in left)
    if count != sums.count or len({standing.member for standing in sums.behind}) < len(sums.behind):
        return False
    for standing in sums.behind:
        held = joined.get(standing.member) or members.get(standing.member)
        if held is None or standing.member in left or held.incarnation != standing.incarnation:
            return False
    return True
