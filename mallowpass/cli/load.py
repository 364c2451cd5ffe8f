"""`mallowpass load`: drive a running fleet as its callers do, and check it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from mallowpass.cli.main import ExitCode

if TYPE_CHECKING:
    from mallowpass.load.run import Load, LoadOptions
    from mallowpass.load.summary import Summary
    from mallowpass.report.recording import Entry, RecordingWriter

__all__ = ["load"]

DEFAULT_ADDRESS = "127.0.0.1:7100"
KEY_VARIABLE = "MALLOWPASS_OPERATOR_KEY"


@click.command()
@click.option(
    "--address",
    "addresses",
    multiple=True,
    default=(DEFAULT_ADDRESS,),
    show_default=True,
    help="Where a host listens for callers; repeat it, sessions roam.",
)
@click.option("--mix", type=click.Choice(["claims", "towers"]), default="claims")
@click.option("--service", default="", help="Send every role to this service.")
@click.option("--database", default="", help="Send every role to this database.")
@click.option("--target", multiple=True, metavar="ROLE=SERVICE/DATABASE")
@click.option("--loop", type=click.Choice(["open", "closed"]), default="open")
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Steps a second.")
@click.option("--sessions", type=click.IntRange(1), help="Sessions in all.")
@click.option("--duration", type=click.FloatRange(0.1), default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--roaming", type=click.FloatRange(0, 1), default=0.2, show_default=True)
@click.option(
    "--deadline", type=click.FloatRange(0.01), default=10.0, show_default=True
)
@click.option(
    "--patience", type=click.FloatRange(0.01), default=30.0, show_default=True
)
@click.option("--idempotent", is_flag=True, help="Declare writes as idempotent.")
@click.option("--progress", type=click.FloatRange(0.1), default=5.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Write samples for `report burn`."
)
@click.option(
    "--operators",
    default="",
    metavar="ADDRESS",
    help="Ask this host for objectives and decisions, for the samples.",
)
@click.option("--operator", envvar="MALLOWPASS_OPERATOR", default="operator")
def load(
    progress: float,
    as_json: bool,
    out: Path | None,
    operators: str,
    operator: str,
    **options: Any,
) -> None:
    """Run callers against a fleet; exit with 1 when a check fails.

    Times in seconds. Latencies count from when a request was due, so that what waits
    behind a slow answer is not left out.
    """
    wanted = _options(**options)
    asked = _Asked(operators, operator)
    with _opened(out) as file:
        summary = asyncio.run(_run(wanted, progress, file, asked))
    if as_json:
        click.echo(json.dumps(summary.to_json(), indent=2))
    else:
        click.echo("\n".join(summary.lines()))
    sys.exit(ExitCode.OK if summary.passed else ExitCode.FAILED)


def _options(
    addresses: tuple[str, ...],
    mix: str,
    service: str,
    database: str,
    target: tuple[str, ...],
    loop: str,
    rate: float | None,
    sessions: int | None,
    **options: Any,
) -> LoadOptions:
    from mallowpass.load.mixes import MIXES, retargeted, scaled
    from mallowpass.load.run import LoadOptions

    roles = retargeted(MIXES[mix], service, database, target)
    roles = scaled(roles, rate or 0.0, sessions or 0)
    return LoadOptions(
        hosts=tuple(dict.fromkeys(addresses)),
        roles=roles,
        closed=loop == "closed",
        **options,
    )


@contextlib.contextmanager
def _opened(out: Path | None) -> Iterator[Any]:
    if out is None:
        yield None
        return
    try:
        file = out.open("w", encoding="utf-8")
    except OSError as error:
        raise click.ClickException(f"{out}: {error.strerror}") from None
    with file:
        yield file


# -- Running -----------------------------------------------------------------


class _Asked:
    """Ask one host for what the samples need; nothing without its address."""

    def __init__(self, address: str, operator: str) -> None:
        self._address = address
        self._operator = operator

    async def objectives(self) -> dict[str, Any]:
        """Return the services' objectives."""
        from mallowpass.report.live import declared_services

        if not self._address:
            return {}
        async with self._client() as client:
            return (await declared_services(client)).objectives

    async def decisions(self, databases: set[str], since: float) -> list[Any]:
        """Return what was decided; what can't be had now is only told."""
        from mallowpass.errors import MallowpassError
        from mallowpass.report.live import decisions_about

        if not self._address:
            return []
        try:
            async with self._client() as client:
                return await decisions_about(client, databases, since)
        except MallowpassError as error:
            click.echo(f"event=load-no-decisions why={str(error)!r}", err=True)
            return []

    def _client(self) -> Any:
        from mallowpass.adapters.client import OperatorClient

        key = os.environ.get(KEY_VARIABLE, "").encode()
        return OperatorClient(self._address, self._operator, key)


async def _run(
    options: LoadOptions, progress: float, file: Any, asked: _Asked
) -> Summary:
    from mallowpass.load.recorder import Recorder
    from mallowpass.load.run import Load
    from mallowpass.load.summary import summary_of
    from mallowpass.measure.timing import LoopWatch
    from mallowpass.report.recording import RecordingWriter

    writer = None
    if file is not None:
        command = f"load, seed {options.seed}, {len(options.hosts)} hosts"
        writer = RecordingWriter(file, command, await asked.objectives())
    running = Load(options, Recorder(writer.add if writer else _drop))
    watch = LoopWatch()
    watch.start()
    began, wall = time.monotonic(), time.time()
    telling = asyncio.create_task(_tell(running, began, progress))
    try:
        await running.run()
    finally:
        telling.cancel()
    machine = watch.stop()
    if writer is not None:
        await _finish(writer, running, asked, wall)
    return summary_of(running, (running.ended or time.monotonic()) - began, machine)


def _drop(_entry: Entry) -> None:
    """Nobody wants samples."""


async def _tell(running: Load, began: float, interval: float) -> None:
    from mallowpass.load.summary import progress_line

    while True:
        await asyncio.sleep(interval)
        click.echo(progress_line(running, time.monotonic() - began), err=True)


async def _finish(
    writer: RecordingWriter, running: Load, asked: _Asked, since: float
) -> None:
    from mallowpass.report.recording import Violation

    databases = {database for _, database in running.places}
    for decision in await asked.decisions(databases, since):
        writer.add(decision)
    for finding in running.violations.findings:
        writer.add(Violation(finding.kind, finding.text))
    writer.end()
