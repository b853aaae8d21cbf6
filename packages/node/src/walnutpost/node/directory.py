"""The list of workers, from the name server's responses and the `known` events (PROTOCOL).

No I/O: `Directory` encodes queries and parses responses; `discovery.py` sends and receives them. The list
never goes back to an older version: a response replaces it only if it is complete, answers an open query, and
is not older than the current list. Responses may arrive late and in any order.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
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
from walnutpost.node.errors import NodeError
from walnutpost.node.open_queries import OpenQueries

SERVICE = "_api._tcp.svc.local."
QUESTION = dns.name.from_text(SERVICE), dns.rdatatype.SRV, dns.rdataclass.IN
DNS_HEADER_BYTES = 12
WORKER_STATE_BY_NAME = {
    "Ready": WorkerState.READY,
    "Terminating": WorkerState.DRAINING,
    "Gone": WorkerState.GONE,
}
WEIGHT_SCALE = 10  # SRV weights are integers: ten times the actual weight
US_PER_MS = 1000
Address = tuple[str, int]


class EndpointListError(NodeError):
    """An invalid response or event, which leaves the list unchanged."""


@dataclass(frozen=True, slots=True)
class TopologyNames:
    """The names of zones and worker kinds in the settings; the policy uses their indices."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    is_weighted: bool

    def zone_index(self, name: str) -> int:
        """Return the zone's index, or one past the last if the settings don't list the name."""
        return self.zones.index(name) if name in self.zones else len(self.zones)

    def kind_index(self, name: str) -> int:
        """Return the kind's index, or one past the last if the settings don't list the name."""
        return self.kinds.index(name) if name in self.kinds else len(self.kinds)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A listed worker and the address that it listens on."""

    worker: ListedWorker
    address: Address


@dataclass(slots=True)
class _Records:
    """The resource records of one response, grouped by purpose."""

    serial: int | None = None
    hosts: dict[dns.name.Name, str] = field(default_factory=dict)
    attributes: dict[dns.name.Name, dict[str, str]] = field(default_factory=dict)
    services: list[Any] = field(default_factory=list)


class Directory:
    """Holds the list of workers, and checks which responses may replace it."""

    def __init__(self, names: TopologyNames, now: Callable[[], int]) -> None:
        """`now` returns the current time in microseconds."""
        self._names = names
        self._endpoints: dict[str, Endpoint] = {}
        self._queries = OpenQueries(now)
        self._last_response = b""  # without its 2-byte id
        self.serial = 0

    @property
    def addresses(self) -> Mapping[str, Address]:
        """The listen address of each worker in the list, by worker name."""
        return {name: endpoint.address for name, endpoint in self._endpoints.items()}

    def snapshot(self, kind: ListKind) -> WorkersListed:
        """Return the complete list as an input to the gateway."""
        return WorkersListed(kind, self.serial, tuple(each.worker for each in self._endpoints.values()))

    # Events from the configuration

    def apply_known_events(self, known: Any) -> WorkersListed:
        """Build the list from the events in the configuration. Raises EndpointListError."""
        try:
            for event in known["batch"]:
                self._apply_event(event["topology"])
            self.serial = int(known["offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointListError(f"known: {type(error).__name__} {error}") from error
        return self.snapshot(ListKind.CACHED)

    def _apply_event(self, topology: Any) -> None:
        if topology["all"]:
            self._endpoints.clear()
        for target in topology["targets"]:
            endpoint = self._parse_target(target)
            if endpoint.worker.state is WorkerState.GONE:
                self._endpoints.pop(endpoint.worker.name, None)
            else:
                self._endpoints[endpoint.worker.name] = endpoint

    def _parse_target(self, target: Any) -> Endpoint:
        host, _, port = str(target["endpoint"]).rpartition(":")
        weight = float(target.get("capacity_hint") or 1.0) if self._names.is_weighted else 1.0
        worker = ListedWorker(
            str(target["uid"]),
            self._names.zone_index(str(target.get("az", ""))),
            self._names.kind_index(str(target.get("model", ""))),
            int(target.get("pod_group") or 0),
            WORKER_STATE_BY_NAME[target["state"]],
            weight,
            int(target.get("boot_ms") or 0) * US_PER_MS,
        )
        return Endpoint(worker, (host, int(port)))

    # Queries and responses

    def may_use_id(self, id: int) -> bool:
        """Return whether no response to an earlier query can be mistaken for one to a new query."""
        return not self._queries.is_recent(id)

    def new_query(self, id: int) -> bytes:
        """Register and encode a new query; `id` is a random 16-bit number for which `may_use_id` holds."""
        self._queries.add(id)
        message = dns.message.make_query(SERVICE, dns.rdatatype.SRV)
        message.id = id
        message.flags = 0
        return message.to_wire()

    def forget_queries(self) -> None:
        """Ignore responses to all queries so far, because they went to a former name server."""
        self._queries.close_all()

    def apply_response(self, data: bytes) -> WorkersListed | None:
        """Return the new list, or None if nothing has changed.

        Raises EndpointListError if the response is malformed or truncated, reports an error, matches no open
        query, or is older than the current list.
        """
        id = int.from_bytes(data[:2], "big")
        if len(data) < DNS_HEADER_BYTES or not self._queries.is_open(id):
            raise EndpointListError("the response matches no open query")
        if data[2:] == self._last_response:
            self._queries.close(id)
            return None
        serial, endpoints = self._parse_list(_parse_message(data))
        if serial < self.serial:
            raise EndpointListError(f"list serial {serial} is older than the current serial {self.serial}")
        self._queries.close(id)
        self._last_response = data[2:]
        if serial == self.serial and endpoints == self._endpoints:
            return None
        self.serial = serial
        self._endpoints = endpoints
        return self.snapshot(ListKind.FULL)

    def _parse_list(self, message: dns.message.Message) -> tuple[int, dict[str, Endpoint]]:
        records = _collect_records(message)
        if records.serial is None:
            raise EndpointListError("the SOA record with the list's serial number is missing")
        endpoints: dict[str, Endpoint] = {}
        for service in records.services:
            if service.target not in records.hosts:
                raise EndpointListError(f"{service.target} has no address")
            attributes = records.attributes.get(service.target, {})
            endpoint = self._parse_service(service, records.hosts[service.target], attributes)
            endpoints[endpoint.worker.name] = endpoint
        return records.serial, endpoints

    def _parse_service(self, service: Any, host: str, attributes: Mapping[str, str]) -> Endpoint:
        labels = [label.decode("ascii", "replace") for label in service.target.labels]
        try:
            worker = ListedWorker(
                labels[0],
                self._names.zone_index(labels[1]),
                self._names.kind_index(attributes.get("kind", "")),
                int(attributes.get("cell", "0") or 0),
                WorkerState.DRAINING if service.priority else WorkerState.READY,
                max(1, service.weight) / WEIGHT_SCALE if self._names.is_weighted else 1.0,
                int(attributes.get("started", "0") or 0) * US_PER_MS,
            )
        except (ValueError, IndexError) as error:
            raise EndpointListError(f"{service.target}: {error}") from error
        return Endpoint(worker, (host, service.port))


def _parse_message(data: bytes) -> dns.message.Message:
    """Parse a response to QUESTION. Raises EndpointListError for any other message."""
    try:
        message = dns.message.from_wire(data)
    except (dns.exception.DNSException, ValueError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from error
    if not message.flags & dns.flags.QR or message.flags & dns.flags.TC:
        raise EndpointListError("the message is truncated or not a response")
    if message.rcode() != dns.rcode.NOERROR:
        raise EndpointListError(f"the name server reports {dns.rcode.to_text(message.rcode())}")
    if [(q.name, q.rdtype, q.rdclass) for q in message.question] != [QUESTION]:
        raise EndpointListError("the response is to another question")
    return message


def _collect_records(message: dns.message.Message) -> _Records:
    records = _Records()
    for rrset in (*message.answer, *message.additional, *message.authority):
        for record in rrset:
            if rrset.rdtype == dns.rdatatype.A:
                records.hosts[rrset.name] = record.address
            elif rrset.rdtype == dns.rdatatype.TXT:
                pairs = (part.decode("ascii", "replace").partition("=") for part in record.strings)
                attributes = records.attributes.setdefault(rrset.name, {})
                attributes.update({key: value for key, _, value in pairs})
            elif rrset.rdtype == dns.rdatatype.SOA:
                records.serial = record.serial
    records.services = [
        record for rrset in message.answer if rrset.rdtype == dns.rdatatype.SRV for record in rrset
    ]
    return records
