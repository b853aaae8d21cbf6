"""The origin's side: which holder has how much, what may be said of it, and when nothing more is taken.

A machine without I/O: `(now, input)` to effects. What is held where:
- `_may_tell`: the one place that says when a line stands in enough copies.
- A holder is believed for what its present disk says, each time anew: a disk that was lost, or put back as it
  once was, takes its copies with it.
- Only what is durable at the origin is posted. A number that a holder has and the origin loses would be given
  out again for something else.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

RATE_GAIN = 0.3  # weight of one answer in how fast a holder takes lines
SIZES_MOST = 4096  # commits whose bytes are remembered: for a holder that is further behind all count


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans in microseconds. A holder that has not answered for `lost_after` counts as out of reach; `pause`
    lies between tries at one that fails; no more than `backlog` bytes may wait to be copied."""

    lost_after: int
    pause: int
    backlog: int


# Inputs


@dataclass(frozen=True, slots=True)
class Placed:
    """These are to hold copies from now on, the first choice first."""

    holders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Written:
    """Lines up to `seq` are durable here; `size`: the bytes of those that were not before."""

    seq: int
    size: int


@dataclass(frozen=True, slots=True)
class Wanted:
    """Tell `token` when line `seq` is durable here and at `copies` holders; with `less`, as soon as those that
    lack it are out of reach; at `until` at the latest."""

    token: int
    seq: int
    copies: int
    less: bool
    until: int


@dataclass(frozen=True, slots=True)
class Kept:
    """A holder's answer to the Post before: its disk has all up to `seq`."""

    holder: str
    disk: str
    seq: int


@dataclass(frozen=True, slots=True)
class Lost:
    """A Post got no answer."""

    holder: str


@dataclass(frozen=True, slots=True)
class Due:
    pass


Input = Placed | Written | Wanted | Kept | Lost | Due


# Effects


@dataclass(frozen=True, slots=True)
class Post:
    """Send the holder what follows `after`, as much as fits one message; with None, ask what it has. Answer
    with Kept or Lost."""

    holder: str
    after: int | None


@dataclass(frozen=True, slots=True)
class Told:
    """`copies` holders have it; `enough`: as many as were wanted."""

    token: int
    copies: int
    enough: bool


@dataclass(frozen=True, slots=True)
class Behind:
    """A holder has lines of this origin that the origin's own disk does not: it is not the disk that wrote
    them, or it lost what it had called durable. Nothing may be numbered any more."""

    holder: str
    seq: int


Effect = Post | Told | Behind


@dataclass(slots=True)
class _Holder:
    heard: int  # the last answer, or the beginning
    disk: str | None = None  # None until it has answered once
    seq: int = 0
    posted: int | None = None  # when, of the Post that is out
    try_at: int = 0
    rate: float = 0.0  # bytes a microsecond, 0 until seen


@dataclass(slots=True)
class Copying:
    terms: Terms
    now: int
    last: int = 0  # durable here
    behind: bool = False
    _start: int = field(init=False)
    _sent: set[str] = field(default_factory=set)  # holders that lines were posted to since the start
    _holders: dict[str, _Holder] = field(default_factory=dict)
    _wanted: dict[int, Wanted] = field(default_factory=dict)
    _sizes: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=SIZES_MOST))
    _bytes: int = 0
    _effects: list[Effect] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._start = self.last

    def handle(self, now: int, event: Input) -> list[Effect]:
        self.now = max(self.now, now)
        match event:
            case Placed(holders):
                self._place(holders)
            case Written(seq, size):
                self._bytes += size
                if seq > self.last:  # those that wait for one commit are told one by one, in any order
                    self.last = seq
                    self._sizes.append((seq, self._bytes))
            case Wanted(token):
                self._wanted[token] = event
            case Kept(holder, disk, seq) if holder in self._holders:
                self._kept(holder, disk, seq)
            case Lost(holder) if holder in self._holders:
                h = self._holders[holder]
                h.posted, h.try_at = None, self.now + self.terms.pause
        for holder, h in self._holders.items():
            lacks = h.disk is None or h.seq < self.last
            stale = self.now - h.heard >= self.terms.lost_after // 2  # asked in quiet times, too
            if h.posted is None and self.now >= h.try_at and (lacks or stale):
                h.posted = self.now
                after = h.seq if h.disk is not None and lacks else None
                if after is not None:
                    self._sent.add(holder)
                self._effects.append(Post(holder, after))
        for token in [t for t, w in self._wanted.items() if self._may_tell(w)]:
            del self._wanted[token]
        effects, self._effects = self._effects, []
        return effects

    @property
    def due(self) -> int | None:
        """When Due is wanted at the latest; None where nothing waits for time to pass."""
        half = self.terms.lost_after // 2
        times = [w.until for w in self._wanted.values()]
        for h in self._holders.values():
            if h.posted is None:
                times.append(max(h.try_at, h.heard + half))
            if self._wanted and self._reached(h):
                times.append(h.heard + self.terms.lost_after)
        return max(min(times), self.now + 1) if times else None

    def copies(self, seq: int) -> int:
        return sum(h.disk is not None and h.seq >= seq for h in self._holders.values())

    def reached(self) -> dict[str, bool]:
        return {name: self._reached(h) for name, h in self._holders.items()}

    def waits(self, copies: int, less: bool, more: int) -> int | None:
        """None where a line of `more` bytes that wants so many copies may be taken; else after how long it is
        worth to ask again: when the holder is tried anew, or what waits has gone at the pace seen."""
        if self.behind:
            return self.terms.lost_after
        near = sorted((h for h in self._holders.values() if self._reached(h)), key=lambda h: -h.seq)
        if len(near) < copies and not less:
            lost = [h.try_at - self.now for h in self._holders.values() if not self._reached(h)]
            return max([self.terms.pause, *(min(lost, default=0),)])
        needed = near[: max(copies, 1)]
        if not needed:
            return None
        slowest = needed[-1]
        backlog = self._bytes - self._bytes_at(slowest.seq) + more
        if backlog <= self.terms.backlog or slowest.seq >= self.last:
            return None
        pace = slowest.rate or self.terms.backlog / self.terms.lost_after
        return max(self.terms.pause, int((backlog - self.terms.backlog) / pace))

    def _place(self, holders: Iterable[str]) -> None:
        wanted = list(holders)
        self._holders = {n: self._holders.get(n, _Holder(self.now)) for n in wanted}

    def _reached(self, h: _Holder) -> bool:
        return self.now - h.heard < self.terms.lost_after

    def _kept(self, holder: str, disk: str, seq: int) -> None:
        h = self._holders[holder]
        # What is numbered here since the start can't be there before it was sent: those are other lines.
        if seq > (self.last if holder in self._sent else self._start):
            self.behind = True
            self._effects.append(Behind(holder, seq))
            seq = self.last
        if h.disk == disk and seq > h.seq and h.posted is not None:
            pace = (self._bytes_at(seq) - self._bytes_at(h.seq)) / max(1, self.now - h.posted)
            h.rate = pace if not h.rate else h.rate + RATE_GAIN * (pace - h.rate)
        h.disk, h.seq, h.heard, h.posted, h.try_at = disk, seq, self.now, None, self.now
        least = min(o.seq for o in self._holders.values())
        while self._sizes and self._sizes[0][0] < least:
            self._sizes.popleft()

    def _bytes_at(self, seq: int) -> int:
        """Bytes of lines up to `seq`, counted from the start of this process; those before it count nothing."""
        return next((size for at, size in reversed(self._sizes) if at <= seq), 0)

    def _may_tell(self, w: Wanted) -> bool:
        """Whether it was told. Durable here first: copies alone are somebody else's disks."""
        if self.last < w.seq:
            return False
        copies = self.copies(w.seq)
        lacking = [h for h in self._holders.values() if h.disk is None or h.seq < w.seq]
        hopeless = not any(map(self._reached, lacking))
        if copies >= w.copies or self.now >= w.until or (w.less and hopeless):
            self._effects.append(Told(w.token, copies, copies >= w.copies))
            return True
        return False
