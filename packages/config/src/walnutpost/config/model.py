"""What a configuration file holds. Durations end in `_ms` and are milliseconds, memory is in MB."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Any, Literal

from pydantic import Field, StringConstraints, field_validator, model_validator

from walnutpost.config.base import Ms, Name, Share, Strict, WorkerName, address_of
from walnutpost.config.journal import Journal
from walnutpost.cron import check_cron, check_zone

CLASSES_MOST = 64


class CallClass(Strict):
    """`aim_ms`: answered within it, a call has its whole worth; `deadline_ms`: its caller leaves."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Ms
    deadline_ms: Ms
    worth: float = Field(1.0, ge=0)
    late_worth: Share = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Ms = 0.0

    @model_validator(mode="after")
    def _order(self) -> CallClass:
        if not 0 < self.aim_ms <= self.deadline_ms:
            raise ValueError("0 < aim_ms <= deadline_ms")
        if self.effect == "keyed" and not self.window_ms:
            raise ValueError("window_ms above 0 where effect is keyed")
        return self


class FunctionLine(Strict):
    class_: Name = Field(alias="class")
    memory_mb: float = Field(gt=0)
    lanes: int = Field(1, ge=1, le=1024)
    load_ms: Ms = 0.0
    cost_ms: float | None = Field(None, gt=0)
    version: Annotated[str, StringConstraints(pattern=r"^[0-9]{1,18}$")] = "1"


class TenantLine(Strict):
    share: Share = 1.0
    quota_per_s: float = Field(0.0, ge=0)


class KindLine(Strict):
    memory_mb: float = Field(gt=0)


class RulesLine(Strict):
    """The figures of the five rules; 0 for one that is not set."""

    answer_slack_ms: Ms = 16.0
    drain_grace_ms: Ms = 2000.0
    cold_ms: Ms = 0.0
    start_capacity: Share = 1.0
    overload_factor: float = Field(1.0, ge=0)
    overload_for_ms: Ms = 0.0
    load_window_ms: Ms = 0.0
    free_loads: float = Field(0.0, ge=0)
    load_share: float = Field(0.0, ge=0)


class LimitsLine(Strict):
    max_attempts: int = Field(5, ge=1, le=100)
    parallel_tries: bool = True
    retry_after: bool = True
    max_retry_after_ms: Ms = 2000.0


class Site(Strict):
    """What is the same for every front end and worker."""

    classes: dict[Name, CallClass] = Field(min_length=1, max_length=CLASSES_MOST)
    functions: dict[Name, FunctionLine] = Field(min_length=1)
    tenants: dict[Name, TenantLine] = {}
    default_tenant: Name | None = None
    zones: list[Name] = ["here"]
    kinds: dict[Name, KindLine] = {}
    rules: RulesLine = RulesLine()
    limits: LimitsLine = LimitsLine()
    keep_alive_ms: Ms = 10_000.0
    order_timeout_ms: Ms = 10_000.0
    on_absence: Literal["miss", "load"] = "miss"
    reports: list[Literal["busy", "memory_tied", "queue", "loads"]] = ["busy"]
    over_share_worth: Share = 0.1

    @model_validator(mode="after")
    def _names(self) -> Site:
        if "-" in self.tenants:
            raise ValueError("tenants by names other than '-', which stands for nobody")
        wrong = sorted({f.class_ for f in self.functions.values()} - set(self.classes))
        if wrong:
            raise ValueError(
                f"functions of a known class; {', '.join(wrong)} is none of {', '.join(self.classes)}"
            )
        if self.default_tenant is not None and self.default_tenant not in self.tenants:
            raise ValueError(f"a default_tenant that is one of the tenants, not {self.default_tenant!r}")
        return self


class WorkerLine(Strict):
    """A line of the worker list. `started_at` in seconds since the epoch, 0 where long ago."""

    name: WorkerName
    address: str
    zone: Name | None = None
    kind: Name | None = None
    cell: int = Field(0, ge=0)
    state: Literal["ready", "draining"] = "ready"
    weight: float = Field(1.0, gt=0)
    started_at: float = Field(0.0, ge=0)
    tls_name: WorkerName | None = None  # what its certificate must name; its own name without it

    @model_validator(mode="after")
    def _address(self) -> WorkerLine:
        address_of(self.address)
        return self


class WorkerList(Strict):
    """A worker list in a file of its own, which may be replaced while the front end runs."""

    version: int = Field(0, ge=0)
    workers: list[WorkerLine]

    @model_validator(mode="after")
    def _once(self) -> WorkerList:
        names = [w.name for w in self.workers]
        twice = sorted({n for n in names if names.count(n) > 1}) if len(set(names)) < len(names) else []
        if twice:
            raise ValueError(f"each worker once; {', '.join(twice)} stands more often")
        return self


class TlsLine(Strict):
    """How workers are reached: `roots` that their certificates must lead to, and, where workers ask who
    calls, the front end's own `chain` and `key`. Files in PEM. Verification can't be turned off."""

    roots: str
    chain: str | None = None
    key: str | None = None
    oldest: Literal["1.2", "1.3"] = "1.3"

    @model_validator(mode="after")
    def _both(self) -> TlsLine:
        if (self.chain is None) != (self.key is None):
            raise ValueError("both chain and key, or none of them")
        return self


class Front(Strict):
    """One front end. Listens on loopback only, since callers are not verified yet."""

    listen: str = "127.0.0.1:8400"
    index: int = Field(0, ge=0)
    front_ends: int = Field(1, ge=1)
    zone: Name | None = None
    seed: int | None = None
    store: str = "walnutpost.db"
    workers: list[WorkerLine] = []
    workers_file: str | None = None
    workers_poll_ms: Ms = 200.0
    dial_timeout_ms: Ms = 250.0
    connection_idle_ms: Ms = 15_000.0
    tick_ms: float = Field(4.0, gt=0, le=1000)
    deferred_deadline_ms: Ms = 60_000.0
    keep_results_ms: Ms = 3_600_000.0
    remember_ms: Ms = 60_000.0
    remember_mb: float = Field(64.0, gt=0)
    max_body_bytes: int = Field(6 * 1024 * 1024, gt=0)
    max_head_bytes: int = Field(64 * 1024, ge=1024)
    head_time_ms: Ms = 10_000.0
    stop_ms: Ms = 5_000.0
    firings_at_once: int = Field(64, ge=1, le=10_000)
    firings_per_s: float = Field(100.0, gt=0, le=1_000_000)
    capture: str | None = None
    tls: TlsLine | None = None

    @model_validator(mode="after")
    def _listen(self) -> Front:
        host, _ = address_of(self.listen)
        if not ipaddress.IPv4Address(host).is_loopback:
            raise ValueError(
                "a listen address of 127.0.0.0/8: callers are not verified, so no other is served"
            )
        if self.index >= self.front_ends:
            raise ValueError("index below front_ends")
        if self.workers and self.workers_file is not None:
            raise ValueError("either workers or workers_file")
        return self


class BudgetLine(Strict):
    """Memory-seconds (MB times seconds) that a tenant may use in each period of whole hours or days, UTC."""

    mb_s: float = Field(gt=0, le=1e12)
    period: Literal["hour", "day"] = "day"
    near: Share = 0.8
    back: Share = 0.05
    action: Literal["note", "no ahead loads", "refuse new loads"] = "note"


class Metering(Strict):
    """Memory-time by tenant, in a file of its own."""

    file: str = "usage.db"
    fetch_ms: float = Field(2000.0, ge=10, le=600_000)
    write_ms: float = Field(10_000.0, ge=10, le=600_000)
    close_after_ms: Ms = 300_000.0
    silent_ms: Ms = 600_000.0
    keep_slices_h: int = Field(24, ge=2, le=24 * 366)
    keep_hours_d: int = Field(35, ge=1, le=3660)
    keep_days_d: int = Field(400, ge=1, le=36_600)
    budgets: dict[Name, BudgetLine] = {}
    price_per_gb_hour: Annotated[str, StringConstraints(pattern=r"^[0-9]{1,12}(\.[0-9]{1,12})?$")] | None = (
        None
    )
    currency: Annotated[str, StringConstraints(pattern=r"^[A-Z]{3}$")] = "EUR"
    renamed: dict[Name, Name] = {}

    @model_validator(mode="after")
    def _kept(self) -> Metering:
        if not self.keep_slices_h < 24 * self.keep_hours_d <= 24 * self.keep_days_d:
            raise ValueError("slices kept for less time than hours, and hours for no more than days")
        again = sorted(set(self.renamed) & set(self.renamed.values()))
        if again:
            raise ValueError(f"new names that are final; {', '.join(again)} is renamed again")
        return self


class Agreement(Strict):
    """The fleet that this front end is a member of, under the name `member`. `keepers`: where they are
    reached, who tell it which workers leave; `relays`: who carry the agreed settings to it, with
    `relay_zones` the zones of those whose are known: relays of `front.zone` are asked first. No call waits
    for any of it."""

    keepers: dict[Name, str] = {}
    relays: dict[Name, str] = {}
    relay_zones: dict[Name, Name] = {}
    member: Name
    report_ms: float = Field(500.0, ge=10, le=60_000)

    @model_validator(mode="after")
    def _known(self) -> Agreement:
        if not self.keepers and not self.relays:
            raise ValueError("keepers, relays or both")
        if unknown := sorted(set(self.relay_zones) - set(self.relays)):
            raise ValueError(f"relay_zones of relays; {', '.join(unknown)} is none of them")
        return self

    @field_validator("keepers", "relays")
    @classmethod
    def _addresses(cls, value: dict[str, str]) -> dict[str, str]:
        for address in value.values():
            address_of(address)
        return value


class StoreStandIn(Strict):
    """The package store that all stand-in workers share."""

    fetches_at_once: int = Field(8, ge=1)
    fetch_limit: int = Field(24, ge=1)


class StandIn(Strict):
    name: WorkerName
    listen: str = "127.0.0.1:0"
    zone: Name | None = None
    kind: Name | None = None
    cores: int = Field(4, ge=1)
    speed: float = Field(1.0, gt=0)
    memory_mb: float = Field(8192.0, gt=0)
    loads_at_once: int = Field(4, ge=1)
    queue: int = Field(64, ge=0)
    capture: str | None = None

    @model_validator(mode="after")
    def _listen(self) -> StandIn:
        host, _ = address_of(self.listen)
        if not ipaddress.IPv4Address(host).is_loopback:
            raise ValueError("a listen address of 127.0.0.0/8")
        return self


class FunctionWork(Strict):
    """How a stand-in runs a function: work on a core of speed 1, then waiting on other systems."""

    work_ms: float = Field(100.0, ge=0)
    wait_ms: float = Field(0.0, ge=0)
    spread: float = Field(0.3, ge=0, le=1)
    load_ms: float = Field(500.0, ge=0)
    fetch_share: Share = 0.6


class FleetTls(Strict):
    """Stand-in workers serve TLS with `{name}.pem` and `{name}.key` of the folder; where `clients`, to those
    only who show a certificate of its `root.pem`."""

    folder: str
    clients: bool = False


class Fleet(Strict):
    """Stand-in workers, for trials and first steps."""

    tls: FleetTls | None = None

    store: StoreStandIn = StoreStandIn()
    work: dict[Name, FunctionWork] = {}
    workers: list[StandIn] = Field(min_length=1)
    seed: int = 1


ScheduleName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_-]{1,40}$")]


class ScheduleLine(Strict):
    """A cron schedule. `payload` is any JSON; `owner` is the index of the front end that fires it, by
    default one chosen by hash."""

    cron: str
    zone: str = "UTC"
    function: Name
    tenant: Name | None = None
    payload: Any = None
    deadline_ms: float = Field(60_000.0, gt=0, le=86_400_000)
    jitter_ms: float = Field(0.0, ge=0, le=3_600_000)
    missed: Literal["skip", "once", "all"] = "skip"
    missed_age_ms: float = Field(3_600_000.0, ge=0, le=366 * 86_400_000)
    overlap: Literal["allow", "forbid", "replace"] = "allow"
    pause: bool = False
    owner: int | None = Field(None, ge=0)

    @field_validator("cron")
    @classmethod
    def _cron(cls, text: str) -> str:
        check_cron(text)
        return text

    @field_validator("zone")
    @classmethod
    def _zone(cls, text: str) -> str:
        check_zone(text)
        return text


class Config(Strict):
    site: Site
    schedules: dict[ScheduleName, ScheduleLine] = Field(default_factory=dict)
    front: Front = Front()
    metering: Metering | None = None
    agreement: Agreement | None = None
    journal: Journal | None = None
    fleet: Fleet | None = None

    @model_validator(mode="after")
    def _copies(self) -> Config:
        named = set(self.journal.classes) if self.journal is not None else set()
        if unknown := sorted(named - set(self.site.classes)):
            raise ValueError(
                f"journal.classes of known classes; {', '.join(unknown)} is none of site.classes"
            )
        return self

    @model_validator(mode="after")
    def _budgets(self) -> Config:
        budgets = self.metering.budgets if self.metering is not None else {}
        unknown = sorted(set(budgets) - set(self.site.tenants))
        if unknown:
            raise ValueError(
                f"metering.budgets of known tenants; {', '.join(unknown)} is none of site.tenants"
            )
        return self

    @model_validator(mode="after")
    def _schedules(self) -> Config:
        for name, line in self.schedules.items():
            if line.function not in self.site.functions:
                raise ValueError(f"schedules of known functions; {name} names {line.function!r}")
            tenant = line.tenant if line.tenant is not None else self.site.default_tenant
            if self.site.tenants and tenant not in self.site.tenants:
                raise ValueError(f"schedules of known tenants; {name} names {tenant!r}")
            if line.owner is not None and line.owner >= self.front.front_ends:
                raise ValueError(f"owners below front.front_ends; that of {name} is {line.owner}")
        return self

    @model_validator(mode="after")
    def _places(self) -> Config:
        lines: list[WorkerLine | StandIn] = [*self.front.workers, *(self.fleet.workers if self.fleet else [])]
        for line in lines:
            if line.zone is not None and line.zone not in self.site.zones:
                raise ValueError(f"zones that site.zones names; {line.name} is in {line.zone!r}")
            if line.kind is not None and line.kind not in self.site.kinds:
                raise ValueError(f"kinds that site.kinds names; {line.name} is a {line.kind!r}")
        if self.front.zone is not None and self.front.zone not in self.site.zones:
            raise ValueError(f"front.zone among site.zones, not {self.front.zone!r}")
        return self
