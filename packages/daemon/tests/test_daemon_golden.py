"""A front end started on the files of a release: stores, configuration, endpoint list, schedule progress."""

from __future__ import annotations

import shutil
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
import pytest

from walnutpost.config import Site
from walnutpost.config.entries import encode_site
from walnutpost.config.site import CallClass, FunctionConfig, TenantConfig
from walnutpost.configstore import ConfigStore, Mutation
from walnutpost.daemon.config_cache import write_snapshot as write_config_cache
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.daemon.schedule_progress import ScheduleProgressFile
from walnutpost.eventloop.clock import VirtualClock
from walnutpost.fleet import EndpointSnapshot
from walnutpost.fleet.endpoints import Endpoint
from walnutpost.gateway import CallRequest, Execution, ExecutionStatus
from walnutpost.metering import HOUR_US
from walnutpost.store import read_history
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.golden.files import assert_as_golden, assert_every_field_tells, restore_dump
from walnutpost.testsupport.store import stored_samples as stored

GOLDEN = Path(__file__).parent / "golden"
# Nothing listens on this port, so neither the control plane nor a relay answers.
UNREACHABLE_ADDRESS = "127.0.0.1:1"
NOW_US = stored.NOW
START_US = NOW_US + 30 * SECOND

# The content of the golden files.
SITE = Site(
    classes={
        "valuation": CallClass(effect="safe", aim_ms=1000, deadline_ms=2500),
        "reservation": CallClass(effect="unsafe", aim_ms=1000, deadline_ms=2500, worth=2),
    },
    functions={
        name: FunctionConfig.model_validate(settings)
        for name, settings in {
            "price": {"class": "valuation", "memory_mb": 400, "lanes": 2, "load_ms": 300, "version": "7"},
            "reserve": {"class": "reservation", "memory_mb": 300, "cost_ms": 12.5},
        }.items()
    },
    tenants={"tills": TenantConfig(share=0.7, quota_per_s=12.0), "trade": TenantConfig(share=0.3)},
)
ENDPOINT_SNAPSHOT = EndpointSnapshot(
    index=41,
    workers=(
        Endpoint(
            name="worker-1",
            zone="zone-2",
            address="127.0.0.1:3",
            incarnation="incarnation-4",
            age_us=5,
            is_draining=True,
        ),
        Endpoint("worker-9", "", "127.0.0.1:9", "incarnation-9", 0, False),
    ),
)
NEWEST_FIRING_US, WRITTEN_AT_US = NOW_US + 60 * SECOND, NOW_US + 61 * SECOND


def golden_config_store() -> ConfigStore:
    """Return a configuration store after three change sets; the last one deletes an entry."""
    store = ConfigStore()
    store.propose(7, [Mutation(key, value) for key, value in encode_site(SITE).items()])
    store.propose(9, [Mutation("function/extra", encode_site(SITE)["function/price"])])
    store.propose(12, [Mutation("function/extra", None)])
    return store


def write_schedule_progress(path: Path) -> None:
    ScheduleProgressFile(path).write(NEWEST_FIRING_US, WRITTEN_AT_US)


def write_endpoint_cache(path: Path) -> None:
    path.write_bytes(msgspec.msgpack.encode(ENDPOINT_SNAPSHOT))


WRITERS: dict[str, Callable[[Path], None]] = {
    "calls.db.seen": write_schedule_progress,
    "calls.db.agreed": write_endpoint_cache,
    "calls.db.table": lambda path: write_config_cache(path, golden_config_store()),
}


def golden_files() -> dict[Path, bytes]:
    files = {}
    with TemporaryDirectory() as folder:
        for name, write in WRITERS.items():
            write(path := Path(folder) / name)
            files[GOLDEN / f"{name}.golden"] = path.read_bytes()
    return files


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A folder with all files of a front end, as a release wrote them."""
    for name in WRITERS:
        shutil.copy(GOLDEN / f"{name}.golden", tmp_path / name)
    restore_dump(stored.CALLS_DUMP, tmp_path / stored.CALLS_FILE)
    restore_dump(stored.USAGE_DUMP, tmp_path / stored.USAGE_FILE)
    return tmp_path


def test_files_written_by_a_front_end_equal_the_golden_files() -> None:
    assert_as_golden(golden_files())


def test_golden_endpoint_list_sets_every_field() -> None:
    assert_every_field_tells(ENDPOINT_SNAPSHOT)
    assert_every_field_tells(ENDPOINT_SNAPSHOT.workers[0])


def test_schedule_progress_from_a_golden_file_detects_an_older_store(folder: Path) -> None:
    progress = ScheduleProgressFile(folder / "calls.db.seen")
    assert progress.uncertain_until(NEWEST_FIRING_US - 1) == WRITTEN_AT_US
    assert progress.uncertain_until(NEWEST_FIRING_US) == 0


def fleet_on_golden_folder(folder: Path) -> Fleet:
    """Return a fleet on a golden folder whose front end reaches neither control plane nor relay."""
    holder = {"name": "front-0", "address": UNREACHABLE_ADDRESS, "region": "east", "zone": "a"}
    copies = {name: {"copies": 0, "without": "less"} for name in SITE.classes}
    overrides = {
        "metering": {},
        "journal": {"name": "front-0", "listen": "127.0.0.1:0", "holders": [holder], "classes": copies},
        "agreement": {
            "member": "front-0",
            "keepers": {"k1": UNREACHABLE_ADDRESS},
            "relays": {"r1": UNREACHABLE_ADDRESS},
        },
    }
    return Fleet(folder, front_end_overrides=overrides, clock=VirtualClock(START_US))


def test_front_end_recovers_all_state_from_a_golden_folder(folder: Path) -> None:
    fleet = fleet_on_golden_folder(folder)

    def script() -> None:
        front = fleet.front
        assert_endpoints_recovered(front)
        assert_settings_recovered(front)
        assert_journals_recovered(front)
        assert front.metering is not None
        assert front.metering.ledger.statement(NOW_US - HOUR_US, START_US) == stored.BOOKED[NOW_US - HOUR_US]
        assert_calls_recovered(fleet)
        front.stop()

    fleet.run(script)
    assert {row.schedule: row.status for row in read_history(folder / stored.CALLS_FILE, None, 100)} == {
        "nightly": "SUCCEEDED",
        "lost": "REFUSED",
        "hourly": "FAILED",
        "often": "SKIPPED",
        "full": "REFUSED",
    }
    for name in ("calls.db.agreed", "calls.db.table"):  # unchanged, because nothing newer was received
        assert (folder / name).read_bytes() == (GOLDEN / f"{name}.golden").read_bytes()


def assert_calls_recovered(fleet: Fleet) -> None:
    front = fleet.front
    # The file has no time marks, so the downtime is unknown and counts as zero.
    offset_us = START_US - max(
        max(e.accepted_at, e.ended_at) for e in [*stored.CALLS, *stored.ENDED.values()]
    )
    for ended in stored.ENDED.values():
        assert front.deferred.status(ended.function, ended.id) == stored.shifted(ended, offset_us)

    def current(execution: Execution) -> Execution:
        found = front.deferred.status(execution.function, execution.id)
        assert found is not None
        return found

    open_calls = [e for e in stored.CALLS if e.status is ExecutionStatus.RUNNING]
    assert front.recovered_calls == len(open_calls)
    fleet.wait_until(lambda: all(current(e).status is not ExecutionStatus.RUNNING for e in open_calls))
    for execution in open_calls:  # a call that may have run already is not run again
        found = current(execution)
        assert found.status is (ExecutionStatus.FAILED if execution.intended else ExecutionStatus.SUCCEEDED)
        assert found.error_type == ("Gateway.Restart" if execution.intended else "")
        reopened = replace(found, status=ExecutionStatus.RUNNING, ended_at=0, result=None)
        assert replace(reopened, error_type="", error_message="") == stored.shifted(execution, offset_us)


def assert_endpoints_recovered(front: FrontEnd) -> None:
    assert front.fleet is not None
    follower = front.fleet.follower
    assert follower.snapshot == ENDPOINT_SNAPSHOT
    assert follower.applied_index == ENDPOINT_SNAPSHOT.index


def assert_settings_recovered(front: FrontEnd) -> None:
    assert front.config_watch is not None
    store = front.config_watch.watch_state.store
    assert {key: entry.value for key, entry in store.entries.items()} == encode_site(SITE)
    assert {entry.revision for entry in store.entries.values()} == {7}
    assert (store.revision, store.digest) == (12, golden_config_store().digest)
    assert front.config_watch.watch_state.applied_revision == 12
    assert front.catalogue.functions["price"].version == "7"


def assert_journals_recovered(front: FrontEnd) -> None:
    assert front.replication is not None
    journal = front.replication.store
    assert journal.own_origin == stored.OWN
    assert journal.offsets[stored.OTHER] == stored.OTHER_UPTO
    assert front.replication.calls.queries.find_call("id-far") == Execution(
        id="id-far",
        name="name-far",
        function="price",
        version="4",
        tenant="trade",
        payload=b"far",
        digest="digest-far",
        accepted_at=3,
        expires_at=NOW_US + 62,
        intended=True,
        status=ExecutionStatus.FAILED,
        ended_at=NOW_US + 7,
        result=b"error",
        error_type="Unhandled",
        error_message="message",
    )
    assert front.replication.calls.queries.find_call("id-gone") is None


def test_call_digest_equals_the_golden_digest(tmp_path: Path) -> None:
    """The digest is stored. If it changed, a retry under the same name would conflict after an upgrade."""
    fleet = Fleet(tmp_path)

    def script() -> list[str]:
        found = [
            fleet.front.deferred.defer(
                CallRequest("price", tenant, b'{"copy": 7}', SECOND, "request"), f"name-{tenant}"
            )
            for tenant in ("tills", None)
        ]
        return [execution.digest for execution in found if isinstance(execution, Execution)]

    assert fleet.run(script) == ["26687d359fb9298eeb091b3afd5cfbc2", "a7f4c30d5d9892f2f8090b6d34bf8e93"]
