"""The `front` section, and lists of workers.

Durations end in `_ms` and are milliseconds; memory is in MB.
"""

from __future__ import annotations

from typing import Literal

from pydantic import Field, model_validator

from walnutpost.config.base import (
    Milliseconds,
    Name,
    StrictModel,
    WorkerName,
    find_duplicates,
    is_loopback,
    parse_address,
)


class WorkerConfig(StrictModel):
    """An entry of a worker list.

    `started_at` is in seconds since the epoch, 0 where long ago. `tls_name` is what the worker's certificate
    must name, by default the worker's own name.
    """

    name: WorkerName
    address: str
    zone: Name | None = None
    kind: Name | None = None
    cell: int = Field(0, ge=0)
    state: Literal["ready", "draining"] = "ready"
    weight: float = Field(1.0, gt=0)
    started_at: float = Field(0.0, ge=0)
    tls_name: WorkerName | None = None

    @model_validator(mode="after")
    def _check_address(self) -> WorkerConfig:
        parse_address(self.address)
        return self


class WorkerList(StrictModel):
    """A worker list in a file of its own, which may be replaced while the front end runs."""

    version: int = Field(0, ge=0)
    workers: list[WorkerConfig]

    @model_validator(mode="after")
    def _check_unique_names(self) -> WorkerList:
        duplicates = find_duplicates([worker.name for worker in self.workers])
        if duplicates:
            raise ValueError(f"each worker once; {', '.join(duplicates)} stands more often")
        return self


class TlsConfig(StrictModel):
    """How workers are reached over TLS; files in PEM. Verification can't be turned off.

    Workers' certificates must lead to `roots`. `chain` and `key` are the front end's own, for workers that
    verify their clients.
    """

    roots: str
    chain: str | None = None
    key: str | None = None
    minimum_version: Literal["1.2", "1.3"] = Field("1.3", alias="oldest")

    @model_validator(mode="after")
    def _check_key_pair(self) -> TlsConfig:
        if (self.chain is None) != (self.key is None):
            raise ValueError("both chain and key, or none of them")
        return self


class FrontEndConfig(StrictModel):
    """One front end. It listens on loopback only, since callers are not verified yet."""

    listen: str = "127.0.0.1:8400"
    index: int = Field(0, ge=0)
    front_ends: int = Field(1, ge=1)
    zone: Name | None = None
    seed: int | None = None
    store: str = "walnutpost.db"
    workers: list[WorkerConfig] = []
    workers_file: str | None = None
    workers_poll_ms: Milliseconds = 200.0
    connect_timeout_ms: Milliseconds = Field(250.0, alias="dial_timeout_ms")
    connection_idle_ms: Milliseconds = 15_000.0
    tick_ms: float = Field(4.0, gt=0, le=1000)
    deferred_deadline_ms: Milliseconds = 60_000.0
    result_ttl_ms: Milliseconds = Field(3_600_000.0, alias="keep_results_ms")
    outcome_ttl_ms: Milliseconds = Field(60_000.0, alias="remember_ms")
    max_outcome_mb: float = Field(64.0, alias="remember_mb", gt=0)
    max_body_bytes: int = Field(6 * 1024 * 1024, gt=0)
    max_head_bytes: int = Field(64 * 1024, ge=1024)
    head_timeout_ms: Milliseconds = Field(10_000.0, alias="head_time_ms")
    shutdown_timeout_ms: Milliseconds = Field(5_000.0, alias="stop_ms")
    max_concurrent_firings: int = Field(64, alias="firings_at_once", ge=1, le=10_000)
    firings_per_s: float = Field(100.0, gt=0, le=1_000_000)
    capture: str | None = None
    tls: TlsConfig | None = None

    @model_validator(mode="after")
    def _check(self) -> FrontEndConfig:
        if not is_loopback(self.listen):
            raise ValueError(
                "a listen address of 127.0.0.0/8: callers are not verified, so no other is served"
            )
        if self.index >= self.front_ends:
            raise ValueError("index below front_ends")
        if self.workers and self.workers_file is not None:
            raise ValueError("either workers or workers_file")
        return self
