"""`mallowpass report burn`: how fast services use up their error budgets."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from mallowpass.cli.main import ExitCode
from mallowpass.errors import ErrorCode, error_for

if TYPE_CHECKING:
    from mallowpass.core.services import Objectives
    from mallowpass.report.recording import Recording

__all__ = ["report"]

KEY_VARIABLE = "MALLOWPASS_OPERATOR_KEY"


@click.group()
def report() -> None:
    """Report on what was recorded."""


@report.command()
@click.argument("files", nargs=-1, type=click.Path(path_type=Path))
@click.option(
    "--address",
    "addresses",
    multiple=True,
    metavar="ADDRESS",
    help="Ask a host, as an operator, for objectives and decisions; repeat it.",
)
@click.option("--operator", envvar="MALLOWPASS_OPERATOR", default="operator")
@click.option(
    "--definition",
    "definitions",
    multiple=True,
    type=click.Path(path_type=Path),
    help="Take a service's objectives from its definition file; repeat it.",
)
@click.option("--html", type=click.Path(path_type=Path), help="Write a page.")
@click.option("--check", is_flag=True, help="Exit with 1 when an objective is missed.")
def burn(
    files: tuple[Path, ...],
    addresses: tuple[str, ...],
    operator: str,
    definitions: tuple[Path, ...],
    html: Path | None,
    check: bool,
) -> None:
    """Show budgets, burn rates and the worst minutes of the samples in FILES."""
    from mallowpass.report.burn import burn_report
    from mallowpass.report.page import report_page
    from mallowpass.report.text import report_lines

    if not files and not addresses:
        raise click.UsageError("name a FILE of `mallowpass load --out`, or --address")
    recording = _recording(files, definitions)
    asyncio.run(_ask(recording, addresses, operator))
    found = burn_report(recording)
    click.echo("\n".join(report_lines(found)))
    if html is not None:
        _write(html, report_page(found))
    missed = found.violations or not all(each.met for each in found.services)
    sys.exit(ExitCode.FAILED if check and missed else ExitCode.OK)


def _recording(files: tuple[Path, ...], definitions: tuple[Path, ...]) -> Recording:
    from mallowpass.report.recording import Recording, read_recording

    recording = Recording(objectives=dict(map(_objectives, definitions)))
    for file in files:
        recording.join(read_recording(file))
    return recording


def _objectives(definition: Path) -> tuple[str, Objectives]:
    from mallowpass.settings import load_service_definition
    from mallowpass.settings.conversion import service_of

    service = service_of(load_service_definition(definition))
    return service.name, service.objectives


def _write(html: Path, page: str) -> None:
    try:
        html.write_text(page, encoding="utf-8")
    except OSError as error:
        raise click.ClickException(f"{html}: {error.strerror}") from None


# -- Live hosts --------------------------------------------------------------


async def _ask(recording: Recording, addresses: tuple[str, ...], operator: str) -> None:
    from mallowpass.adapters.client import OperatorClient
    from mallowpass.report.live import history_of

    if not addresses:
        return
    key = os.environ.get(KEY_VARIABLE, "").encode()
    if not key:
        raise error_for(ErrorCode.OPERATOR_KEY_MISSING, f"{KEY_VARIABLE} is not set")
    # Files hold what the same hosts counted: joined, each statement stood twice.
    if not recording.buckets:
        for address in addresses:
            recording.join(await history_of(address, operator, key))
    # One is enough: a host asks the others for theirs.
    async with OperatorClient(addresses[0], operator, key) as client:
        await _ask_fleet(recording, client)


async def _ask_fleet(recording: Recording, client: Any) -> None:
    from mallowpass.report.live import decisions_about, declared_services

    declared = await declared_services(client)
    recording.objectives = declared.objectives | recording.objectives
    if recording.decisions:
        return  # the file holds them; journals may have forgotten some since
    since = min((bucket.at for bucket in recording.buckets), default=0.0)
    databases = {gap.database for gap in recording.gaps} & declared.databases
    recording.decisions += await decisions_about(
        client, sorted(databases or declared.databases), since
    )
