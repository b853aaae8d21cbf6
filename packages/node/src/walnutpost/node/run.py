"""The process of one node: configuration, signals and exit code."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from functools import partial
from pathlib import Path

from walnutpost.eventloop import Loop
from walnutpost.node.config import Config, ConfigError, parse_config
from walnutpost.node.directory import EndpointListError
from walnutpost.node.log import Log
from walnutpost.node.node import Node

EXIT_OK, EXIT_CONFIG = 0, 2


def main() -> int:
    """Run a node until SIGTERM, and return the exit code."""
    log = Log()
    path = os.environ.get("NODE_CONFIG")
    if not path:
        log.error(
            "start_failed", error="NODE_CONFIG is not set; it must be the path of the configuration file"
        )
        return EXIT_CONFIG
    try:
        config = parse_config(Path(path).read_bytes())
        loop = Loop(on_error=partial(_log_task_failed, log))
        loop.run(partial(_serve, loop, Path(path), config, log))
    except (OSError, ConfigError) as error:
        log.error("start_failed", file=path, error=str(error))
        return EXIT_CONFIG
    log.info("stopped")
    return EXIT_OK


def _log_task_failed(log: Log, task: str, error: BaseException) -> None:
    log.error("task_failed", task=task, error=repr(error))
    traceback.print_exception(error, file=sys.stderr)


def _serve(loop: Loop, path: Path, config: Config, log: Log) -> None:
    """Run a node until SIGTERM. Raises ConfigError, or OSError if it can't bind the listen address."""
    # Install the signal handlers before creating the listener: a signal in between would end the process
    # while the kernel already holds accepted connections.
    task, token = loop.begin_wait()
    nodes: list[Node] = []
    loop.on_signal(signal.SIGHUP, partial(_reload, path, nodes, log))
    loop.on_signal(signal.SIGTERM, partial(loop.wake, task, token))
    try:
        node = Node(loop, config, log)
    except EndpointListError as error:
        raise ConfigError(str(error)) from error
    nodes.append(node)
    log.info("listening", role="node", address=node.listener.address)
    loop.park()
    log.info("stopping", signal="SIGTERM")
    node.shut_down()


def _reload(path: Path, nodes: list[Node], log: Log) -> None:
    """Reload the configuration file; `nodes` is empty until the node has been created."""
    try:
        config = parse_config(path.read_bytes())
        for node in nodes:
            node.reload(config)
    except (OSError, ConfigError) as error:
        log.warning("config_file_reload_failed", file=str(path), errors=[str(error)])
