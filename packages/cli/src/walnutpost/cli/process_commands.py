"""`walnutpost serve`, `up`, `worker`, `store`: front ends, fake workers and their package store."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from walnutpost.certificates import InvalidCertificateError
from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with, read_config, read_config_with_fleet
from walnutpost.cli.listen_addresses import (
    ListenAddress,
    checked_addresses,
    fake_worker_addresses,
    front_end_addresses,
)
from walnutpost.cli.runners import (
    FakeWorkerOptions,
    FrontEndFiles,
    FrontEndRunner,
    run_fake_store,
    run_fake_worker,
)
from walnutpost.eventloop import Logger

CAPTURE_OPTION = click.option(
    "--capture", type=click.Path(path_type=Path), help="Write what the sockets carry to this file."
)


@contextmanager
def _checked_keys() -> Iterator[None]:
    """End the program if keys can't be used, which is found before it serves."""
    try:
        yield
    except InvalidCertificateError as error:
        exit_with(str(error))


@click.command()
@CONFIG_ARGUMENT
@click.option(
    "--own", type=click.Path(path_type=Path), help="What is this front end's own, laid over CONFIG."
)
@CAPTURE_OPTION
@click.pass_obj
def serve(log: Logger, config: Path, own: Path | None, capture: Path | None) -> None:
    """Run a front end for the workers that CONFIG lists.

    With --own, files that are named are looked for beside that file.
    """
    checked = read_config(config, own)
    source = config if own is None else f"{config} with {own}"
    files = FrontEndFiles(config, own, capture)
    with checked_addresses(source, front_end_addresses(checked)), _checked_keys():
        FrontEndRunner(checked, files, log, starts_fake_workers=False).run()


@click.command()
@CONFIG_ARGUMENT
@CAPTURE_OPTION
@click.pass_obj
def up(log: Logger, config: Path, capture: Path | None) -> None:
    """Run a front end and the stand-in workers of CONFIG's fleet in one process."""
    checked = read_config_with_fleet(config)
    addresses = [*front_end_addresses(checked), *fake_worker_addresses(checked)]
    files = FrontEndFiles(config, capture=capture)
    with checked_addresses(config, addresses), _checked_keys():
        FrontEndRunner(checked, files, log, starts_fake_workers=True).run()


@click.command()
@CONFIG_ARGUMENT
@click.option("--name", required=True, help="Which of the fleet's workers.")
@click.option("--store", help="Address of a stand-in store; without it the worker has one of its own.")
@click.option("--cold", "was_restarted", is_flag=True, help="It has just been restarted.")
@CAPTURE_OPTION
@click.pass_obj
def worker(
    log: Logger,
    config: Path,
    name: str,
    store: str | None,
    was_restarted: bool,
    capture: Path | None,
) -> None:
    """Run one stand-in worker of CONFIG's fleet."""
    checked = read_config_with_fleet(config)
    assert checked.fleet is not None
    workers = {each.name: each for each in checked.fleet.workers}
    if name not in workers:
        exit_with(f"--name: found {name!r}; wanted one of {', '.join(workers)}")
    options = FakeWorkerOptions(config.parent, store, capture, was_restarted)
    with checked_addresses(config, fake_worker_addresses(checked, [name])), _checked_keys():
        run_fake_worker(checked, workers[name], options, log)


@click.command()
@CONFIG_ARGUMENT
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.pass_obj
def store(log: Logger, config: Path, listen: str) -> None:
    """Run the stand-in package store of CONFIG's fleet."""
    checked = read_config_with_fleet(config)
    with checked_addresses("walnutpost store", [ListenAddress("--listen", listen)]):
        run_fake_store(checked, listen, log)
