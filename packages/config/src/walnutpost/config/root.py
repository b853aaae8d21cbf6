"""The whole of a front end's configuration file, and the checks between its sections."""

from __future__ import annotations

from pydantic import Field, model_validator

from walnutpost.config.base import StrictModel
from walnutpost.config.fakes import FakeFleetConfig, FakeWorkerConfig
from walnutpost.config.front_end import FrontEndConfig, WorkerConfig
from walnutpost.config.journal import JournalConfig
from walnutpost.config.membership import MembershipConfig
from walnutpost.config.metering import MeteringConfig
from walnutpost.config.schedules import ScheduleConfig, ScheduleName
from walnutpost.config.site import Site


class Config(StrictModel):
    """A configuration file; sections that are missing are features not used."""

    site: Site
    schedules: dict[ScheduleName, ScheduleConfig] = Field(default_factory=dict)
    front: FrontEndConfig = FrontEndConfig()
    metering: MeteringConfig | None = None
    agreement: MembershipConfig | None = None
    journal: JournalConfig | None = None
    fleet: FakeFleetConfig | None = None

    @model_validator(mode="after")
    def _check_journal_classes(self) -> Config:
        replicated = set(self.journal.classes) if self.journal is not None else set()
        if unknown := sorted(replicated - set(self.site.classes)):
            raise ValueError(
                f"journal.classes of known classes; {', '.join(unknown)} is none of site.classes"
            )
        return self

    @model_validator(mode="after")
    def _check_budget_tenants(self) -> Config:
        budgets = self.metering.budgets if self.metering is not None else {}
        unknown = sorted(set(budgets) - set(self.site.tenants))
        if unknown:
            raise ValueError(
                f"metering.budgets of known tenants; {', '.join(unknown)} is none of site.tenants"
            )
        return self

    @model_validator(mode="after")
    def _check_schedules(self) -> Config:
        for name, schedule in self.schedules.items():
            self._check_schedule(name, schedule)
        return self

    def _check_schedule(self, name: str, schedule: ScheduleConfig) -> None:
        if schedule.function not in self.site.functions:
            raise ValueError(f"schedules of known functions; {name} names {schedule.function!r}")
        tenant = schedule.tenant if schedule.tenant is not None else self.site.default_tenant
        if self.site.tenants and tenant not in self.site.tenants:
            raise ValueError(f"schedules of known tenants; {name} names {tenant!r}")
        if schedule.owner is not None and schedule.owner >= self.front.front_ends:
            raise ValueError(f"owners below front.front_ends; that of {name} is {schedule.owner}")

    @model_validator(mode="after")
    def _check_zones_and_kinds(self) -> Config:
        fakes = self.fleet.workers if self.fleet else []
        workers: list[WorkerConfig | FakeWorkerConfig] = [*self.front.workers, *fakes]
        for worker in workers:
            if worker.zone is not None and worker.zone not in self.site.zones:
                raise ValueError(f"zones that site.zones names; {worker.name} is in {worker.zone!r}")
            if worker.kind is not None and worker.kind not in self.site.kinds:
                raise ValueError(f"kinds that site.kinds names; {worker.name} is a {worker.kind!r}")
        if self.front.zone is not None and self.front.zone not in self.site.zones:
            raise ValueError(f"front.zone among site.zones, not {self.front.zone!r}")
        return self
