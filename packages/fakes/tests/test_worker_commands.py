"""Commands to a fake worker, by its names."""

from __future__ import annotations

from dataclasses import fields

import pytest

from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.fakes import Faults, LocalStore, UnknownCommandError, WorkerModel, WorkerServer, WorkerSpec

SECOND = 1_000_000
SPEC = WorkerSpec("w", 2, 1.0, 1000.0, 2, 4, 10 * SECOND)


def worker(loop: Loop) -> WorkerServer:
    store = LocalStore(loop, 4, 8)
    return WorkerServer(loop, WorkerModel(SPEC, {}, 1, loop.now()), store, ("127.0.0.1", 0))


def test_command_of_an_unknown_name_is_an_error_with_the_known_names() -> None:
    loop = Loop(VirtualClock())

    def body() -> None:
        server = worker(loop)
        with pytest.raises(UnknownCommandError, match="no command 'sulk'") as caught:
            server.command({"full": 1, "sulk": True})
        assert caught.value.found == "sulk"
        assert {"restart", "drain", *(field.name for field in fields(Faults))} <= set(caught.value.wanted)
        assert server.model.faults.full == 1, "commands before it were carried out"
        server.stop()

    loop.run(body)


def test_restart_command_ends_all_faults_and_a_drain() -> None:
    loop = Loop(VirtualClock())

    def body() -> None:
        server = worker(loop)
        server.command({"drain": True, "errors": -1})
        assert server.model.is_draining
        assert server.model.faults.errors == -1
        server.command({"restart": True})
        assert not server.model.is_draining
        assert server.model.faults == Faults()
        server.stop()

    loop.run(body)
