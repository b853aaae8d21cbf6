"""The `fleet` section: fake workers and their package store, for scenarios and first steps.

Durations end in `_ms` and are milliseconds; memory is in MB.
"""

from __future__ import annotations

from pydantic import Field, model_validator

from walnutpost.config.base import Name, Ratio, StrictModel, WorkerName, is_loopback


class FakeStoreConfig(StrictModel):
    """The package store that all fake workers share: fetches at a time, and how many it serves or queues."""

    max_concurrent_fetches: int = Field(8, alias="fetches_at_once", ge=1)
    fetch_limit: int = Field(24, ge=1)


class FakeWorkerConfig(StrictModel):
    """A fake worker; `speed` is that of one core against a standard one."""

    name: WorkerName
    listen: str = "127.0.0.1:0"
    zone: Name | None = None
    kind: Name | None = None
    cores: int = Field(4, ge=1)
    speed: float = Field(1.0, gt=0)
    memory_mb: float = Field(8192.0, gt=0)
    max_concurrent_loads: int = Field(4, alias="loads_at_once", ge=1)
    queue: int = Field(64, ge=0)
    capture: str | None = None

    @model_validator(mode="after")
    def _check_address(self) -> FakeWorkerConfig:
        if not is_loopback(self.listen):
            raise ValueError("a listen address of 127.0.0.0/8")
        return self


class FakeFunctionConfig(StrictModel):
    """How a fake worker runs a function: work on a core of speed 1, then waiting on other systems."""

    work_ms: float = Field(100.0, ge=0)
    wait_ms: float = Field(0.0, ge=0)
    spread: float = Field(0.3, ge=0, le=1)
    load_ms: float = Field(500.0, ge=0)
    fetch_share: Ratio = 0.6


class FakeTlsConfig(StrictModel):
    """Fake workers serve TLS with `{name}.pem` and `{name}.key` of the folder.

    Where `clients`, they serve only those who show a certificate that leads to its `root.pem`.
    """

    folder: str
    clients: bool = False


class FakeFleetConfig(StrictModel):
    """The section itself; `work` is by function."""

    tls: FakeTlsConfig | None = None

    store: FakeStoreConfig = FakeStoreConfig()
    work: dict[Name, FakeFunctionConfig] = {}
    workers: list[FakeWorkerConfig] = Field(min_length=1)
    seed: int = 1
