"""What the cases of the daemon share: processes, a worker, a TCP proxy, an HTTP client, the record.

Standard library only. All addresses are loopback addresses, all files are in a temporary folder, and all
processes that were started are ended by their own ids.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv/bin/python")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0


class CouldNotRun(Exception):
    """The case could not reach the point at which its rule is checked."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Case:
    """The record of a case, its folder and its processes."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.record_path = folder / "record.txt"
        self.record_path.write_text("")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._lock = threading.Lock()
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        """Append a line to the record."""
        line = f"{time.monotonic() - self.started:8.3f}  {text}\n"
        with self._lock, self.record_path.open("a") as file:
            file.write(line)
            sys.stdout.write(line)

    def start(self, name: str, *arguments: str) -> None:
        """Start `walnutpost ARGUMENTS` as a process of its own; its log is NAME.log."""
        command = [PYTHON, "-m", "walnutpost.cli", "--log", "json", *arguments]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=self.folder
            )
        self.note(f"started {name}: walnutpost {' '.join(Path(each).name for each in arguments)}")

    def start_front_end(self, name: str, config: dict[str, Any]) -> None:
        """Write NAME.json, start `walnutpost serve` with it and wait until it listens."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        lines_before = self.log_lines(name, "listening")
        self.start(name, "serve", str(path))
        self.wait_for(f"{name} to listen", lambda: len(self.log_lines(name, "listening")) > len(lines_before))

    def log_lines(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the log lines of a process with this event."""
        path = self.folder / f"{name}.log"
        found = []
        for line in path.read_bytes().splitlines() if path.exists() else []:
            try:
                parsed = json.loads(line)
            except ValueError:
                continue
            if isinstance(parsed, dict) and parsed.get("event") == event:
                found.append(parsed)
        return found

    def wait_for(self, what: str, condition: Callable[[], Any], timeout_s: float = START_TIMEOUT_S) -> Any:
        """Return the first true result of `condition`; raise CouldNotRun after the time."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            result = condition()
            if result:
                return result
            time.sleep(0.02)
        raise CouldNotRun(f"waited {timeout_s} s in vain for {what}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def end(self, name: str, number: signal.Signals, timeout_s: float = 20.0) -> None:
        """Send a signal that ends a process, and wait for its end."""
        self.signal(name, number)
        code = self.processes.pop(name).wait(timeout_s)
        self.note(f"{name} has ended with {code}")

    def lose_site(self, name: str) -> None:
        """Kill a front end and remove its files: the process and its disk are lost."""
        self.end(name, signal.SIGKILL)
        for path in self.folder.glob(f"{name}.db*"):
            path.unlink()
        self.note(f"the disk of {name} is lost")

    def close(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run(folder: Path, play: Callable[[Case], bool]) -> None:
    """Play a case and exit: `play` returns whether the rule held."""
    case = Case(folder)
    code = COULD_NOT_RUN
    try:
        held = play(case)
        code = HELD if held else BROKEN
        case.note("the rule held" if held else "THE RULE WAS BROKEN")
    except CouldNotRun as error:
        case.note(f"the case could not run: {error}")
    except Exception as error:  # noqa: BLE001  a mistake of the case is no verdict
        case.note(f"the case could not run: {error!r}")
    finally:
        case.close()
    sys.exit(code)


class Response:
    """The answer to a request."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def json(self) -> dict[str, Any]:
        """Return the body as JSON, an empty object if it is none."""
        try:
            parsed = json.loads(self.body)
        except ValueError:
            return {}
        return parsed if isinstance(parsed, dict) else {}


def ask(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 15.0,
) -> Response:
    """Send one request on a connection of its own."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return Response(answer.status, found, answer.read())
    finally:
        connection.close()


def defer(case: Case, port: int, function: str, name: str, payload: bytes, **more: str) -> Response:
    """Send a deferred call under a name, and record the answer."""
    headers = {"X-Amz-Invocation-Type": "Event", "X-Amz-Durable-Execution-Name": name, **more}
    answer = ask(port, "POST", f"/2015-03-31/functions/{function}/invocations", headers, payload)
    copies = answer.headers.get("x-walnutpost-copies", "-")
    message = answer.json().get("Message", answer.json().get("message", ""))
    case.note(f"deferred call {name} of {function}: {answer.status}, copies {copies} {message}")
    return answer


def execution(case: Case, where: str, port: int, arn: str) -> tuple[int, str]:
    """Ask a front end for a deferred call, and record and return HTTP status and call status."""
    answer = ask(port, "GET", "/2025-12-01/durable-executions/" + arn.replace(":", "%3A").replace("/", "%2F"))
    status = str(answer.json().get("Status", ""))
    return_value = answer.json().get("Result", "")
    case.note(f"{where} says of {arn.rsplit('/', 2)[1]}: {answer.status} {status} {return_value}")
    return answer.status, status


class Worker:
    """A worker on a thread: runs each call after `work_s`, holds any function that it is ordered to load."""

    def __init__(self, case: Case, name: str, is_quiet_for: tuple[str, ...] = ()) -> None:
        """Runs of the functions `is_quiet_for` are not recorded one by one."""
        self.name, self.case = name, case
        self.work_s = 0.05
        self.load_s = 0.0  # how long an order to load takes
        self.refuses = False  # answers calls with 503 as never run
        self.runs: list[tuple[str, str, bytes]] = []  # function, execution name, payload
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_: Any) -> None:
                pass

            def _answer(self, status: int, body: bytes = b"{}", **headers: str) -> None:
                self.send_response(status)
                for key, value in headers.items():
                    self.send_header(key.replace("_", "-"), value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self) -> None:
                if self.path == "/v2/health/ready":
                    self._answer(200)
                else:
                    self._answer(404)

            def do_POST(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                parts = self.path.strip("/").split("/")
                if parts[-1] == "invocations":
                    self._call(parts[2], body)
                elif parts[-1] == "load":
                    wanted = int(json.loads(body)["parameters"]["copies"])
                    time.sleep(worker.load_s)
                    self._answer(200, json.dumps({"copies": max(1, wanted)}).encode())
                else:
                    self._answer(200)

            def _call(self, function: str, body: bytes) -> None:
                if worker.refuses:
                    self._answer(503, x_amzn_errortype="TooManyRequestsException")
                    return
                execution_name = self.headers.get("x-amz-durable-execution-name", "")
                worker.runs.append((function, execution_name, body))
                if function not in is_quiet_for:
                    case.note(f"{name} runs {function} for {execution_name or 'a synchronous call'}")
                time.sleep(worker.work_s)
                self._answer(200, json.dumps({"ran": execution_name or function}).encode())

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: Any) -> None:
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = int(self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def run_names(self) -> list[str]:
        """Return the execution names of all runs, in order."""
        return [name for _, name, _ in self.runs]


def site_config(port: int, worker: Worker, store: str, **front: Any) -> dict[str, Any]:
    """Return the configuration of a front end of a small site: two classes, two functions, one worker."""
    return {
        "site": {
            "classes": {
                "valuation": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500},
                "reservation": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 2500, "worth": 2},
            },
            "functions": {
                "price": {"class": "valuation", "memory_mb": 400, "lanes": 2, "load_ms": 300},
                "reserve": {"class": "reservation", "memory_mb": 300, "lanes": 2, "load_ms": 300},
            },
            "rules": {"load_window_ms": 10000, "free_loads": 6, "load_share": 0.2},
            "reports": [],
        },
        "front": {
            "listen": f"127.0.0.1:{port}",
            "store": store,
            "workers": [{"name": worker.name, "address": f"127.0.0.1:{worker.port}"}],
            **front,
        },
    }


CLIENT_DEADLINE_HEADER = "X-Amz-Client-Context"


def client_deadline(milliseconds: int) -> dict[str, str]:
    """Return the header with which a caller tells its own deadline (docs/operators.md)."""
    import base64

    context = json.dumps({"custom": {"deadline-ms": str(milliseconds)}}).encode()
    return {CLIENT_DEADLINE_HEADER: base64.b64encode(context).decode()}
