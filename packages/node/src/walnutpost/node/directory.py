"""The name server's answers and the `known` events to the list of workers (PROTOCOL, "The name server").

No I/O: `Directory` makes queries and reads what comes back; `node/feed.py` carries them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype

from walnutpost.gateway import ListedWorker, WorkersListed
from walnutpost.interface import ListKind, WorkerState

SERVICE = "_api._tcp.svc.local."
QUESTION = dns.name.from_text(SERVICE), dns.rdatatype.SRV, dns.rdataclass.IN
ASKED_MOST = 8  # queries whose answers still count; an older one's is of no use any more
STATES = {"Ready": WorkerState.READY, "Terminating": WorkerState.DRAINING, "Gone": WorkerState.GONE}
WEIGHT_SCALE = 10  # the registry's weights are whole numbers, ten times the size
MS = 1000
Address = tuple[str, int]


class BadList(Exception):
    """An answer or event that can't be used; the list held before stands."""


@dataclass(frozen=True, slots=True)
class Names:
    """The settings' lists, by whose places the Router knows zones and kinds."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    weighted: bool

    def zone(self, name: str) -> int:
        return self.zones.index(name) if name in self.zones else len(self.zones)

    def kind(self, name: str) -> int:
        return self.kinds.index(name) if name in self.kinds else len(self.kinds)


@dataclass(frozen=True, slots=True)
class Line:
    worker: ListedWorker
    address: Address


class Directory:
    """What is held of the list, and which answers may replace it."""

    def __init__(self, names: Names) -> None:
        self._names = names
        self._lines: dict[str, Line] = {}
        self._asked: dict[int, None] = {}
        self._next = 0
        self._last = b""
        self.serial = 0

    @property
    def addresses(self) -> Mapping[str, Address]:
        return {name: line.address for name, line in self._lines.items()}

    def told(self, kind: ListKind) -> WorkersListed:
        return WorkersListed(kind, self.serial, tuple(line.worker for line in self._lines.values()))

    # The events of the start

    def known(self, told: Any) -> WorkersListed:
        """Raises BadList where the events can't be read."""
        try:
            for event in told["batch"]:
                topology = event["topology"]
                if topology["all"]:
                    self._lines.clear()
                for target in topology["targets"]:
                    line = self._target(target)
                    if line.worker.state is WorkerState.GONE:
                        self._lines.pop(line.worker.name, None)
                    else:
                        self._lines[line.worker.name] = line
            self.serial = int(told["offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise BadList(f"known: {type(error).__name__} {error}") from error
        return self.told(ListKind.CACHED)

    def _target(self, target: Any) -> Line:
        host, _, port = str(target["endpoint"]).rpartition(":")
        weight = float(target.get("capacity_hint") or 1.0) if self._names.weighted else 1.0
        worker = ListedWorker(
            str(target["uid"]),
            self._names.zone(str(target.get("az", ""))),
            self._names.kind(str(target.get("model", ""))),
            int(target.get("pod_group") or 0),
            STATES[target["state"]],
            weight,
            int(target.get("boot_ms") or 0) * MS,
        )
        return Line(worker, (host, int(port)))

    # Questions and answers

    def query(self, number: int) -> bytes:
        """The bytes to send; `number` is a random one of 16 bits."""
        self._asked[number] = None
        while len(self._asked) > ASKED_MOST:
            self._asked.pop(next(iter(self._asked)))
        message = dns.message.make_query(SERVICE, dns.rdatatype.SRV)
        message.id = number
        message.flags = 0
        return message.to_wire()

    def forget_questions(self) -> None:
        """The name server has moved: what the old one still says doesn't count."""
        self._asked.clear()

    def answer(self, data: bytes) -> WorkersListed | None:
        """The new list, or None where nothing has changed. Raises BadList for an answer that doesn't
        count: one nobody asked for, a failure, one cut short, one that is older than the list held."""
        if len(data) < 12 or int.from_bytes(data[:2], "big") not in self._asked:
            raise BadList("an answer that nobody asked for")
        if data[2:] == self._last:
            del self._asked[int.from_bytes(data[:2], "big")]
            return None
        try:
            message = dns.message.from_wire(data)
        except (dns.exception.DNSException, ValueError) as error:
            raise BadList(f"{type(error).__name__}: {error}") from error
        if not message.flags & dns.flags.QR or message.flags & dns.flags.TC:
            raise BadList("cut short, or no answer at all")
        if message.rcode() != dns.rcode.NOERROR:
            raise BadList(f"the name server reports {dns.rcode.to_text(message.rcode())}")
        if [(q.name, q.rdtype, q.rdclass) for q in message.question] != [QUESTION]:
            raise BadList("an answer to another question")
        serial, lines = self._read(message)
        if serial < self.serial:
            raise BadList(f"list {serial} is older than the {self.serial} held")
        del self._asked[message.id]
        self._last = data[2:]
        if serial == self.serial and lines == self._lines:
            return None
        self.serial, self._lines = serial, lines
        return self.told(ListKind.FULL)

    def _read(self, message: dns.message.Message) -> tuple[int, dict[str, Line]]:
        serial: int | None = None
        hosts: dict[dns.name.Name, str] = {}
        texts: dict[dns.name.Name, dict[str, str]] = {}
        for rrset in (*message.answer, *message.additional, *message.authority):
            for record in rrset:
                if rrset.rdtype == dns.rdatatype.A:
                    hosts[rrset.name] = record.address
                elif rrset.rdtype == dns.rdatatype.TXT:
                    pairs = (part.decode("ascii", "replace").partition("=") for part in record.strings)
                    texts.setdefault(rrset.name, {}).update({key: value for key, _, value in pairs})
                elif rrset.rdtype == dns.rdatatype.SOA:
                    serial = record.serial
        if serial is None:
            raise BadList("no SOA record tells the list's number")
        lines: dict[str, Line] = {}
        for rrset in message.answer:
            if rrset.rdtype != dns.rdatatype.SRV:
                continue
            for record in rrset:
                if record.target not in hosts:
                    raise BadList(f"{record.target} has no address")
                line = self._line(record, hosts[record.target], texts.get(record.target, {}))
                lines[line.worker.name] = line
        return serial, lines

    def _line(self, record: Any, host: str, text: Mapping[str, str]) -> Line:
        labels = [label.decode("ascii", "replace") for label in record.target.labels]
        try:
            worker = ListedWorker(
                labels[0],
                self._names.zone(labels[1]),
                self._names.kind(text.get("kind", "")),
                int(text.get("cell", "0") or 0),
                WorkerState.DRAINING if record.priority else WorkerState.READY,
                max(1, record.weight) / WEIGHT_SCALE if self._names.weighted else 1.0,
                int(text.get("started", "0") or 0) * MS,
            )
        except (ValueError, IndexError) as error:
            raise BadList(f"{record.target}: {error}") from error
        return Line(worker, (host, record.port))
