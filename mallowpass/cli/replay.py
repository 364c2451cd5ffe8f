"""`mallowpass replay`: run the core on a trace and compare its decisions."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from mallowpass.cli.main import ExitCode
from mallowpass.trace.format import TraceReader, file_segments
from mallowpass.trace.replay import (
    CONTEXT_LENGTH,
    Difference,
    ReplayedEvent,
    Replayer,
    ReplayResult,
    render,
)

__all__ = ["replay"]


@click.command()
@click.option(
    "--until",
    type=click.FloatRange(min=0.0),
    help="Stop after so many seconds of the trace's own time.",
)
@click.option(
    "--show",
    type=click.IntRange(min=0),
    help="Print so many of the last events replayed with their decisions.",
)
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
def replay(file: Path, until: float | None, show: int | None) -> None:
    """Replay FILE, with its segments FILE.1 and so on, and compare decisions.

    Exits with 1 when a decision differs, an answer is wrong or an outcome that the
    trace states does not come out.
    """
    reader = TraceReader(file_segments(file))
    length = CONTEXT_LENGTH if show is None else show
    result = Replayer(reader, context_length=length).run(until)
    _print_summary(file, result)
    if show or (show is None and result.difference is not None):
        _print_context(result)
    if result.difference is not None:
        _print_difference(result.difference)
    for finding in result.findings:
        click.echo(f"event {finding.event}: {finding.check}: {finding.text}")
    _exit(result)


def _print_summary(file: Path, result: ReplayResult) -> None:
    header = result.header
    click.echo(
        f"{file}: host {header.identity.name}, recorded by mallowpass "
        f"{header.version}, seed {header.seed}"
    )
    click.echo(
        f"replayed {result.events} events over {result.seconds:.3f}s; "
        f"{result.held_writes} writes checked to be held; "
        f"{result.core_failures} failures of the core"
    )
    click.echo(_ending(result))


def _ending(result: ReplayResult) -> str:
    if result.difference is not None:
        return "decisions differ"
    if result.damage is not None:
        return "decisions equal up to the damaged place"
    if not result.whole:
        return "decisions equal up to the time given"
    if result.ended is None:
        return "decisions equal; the trace has no end: its host died, or parts miss"
    return f"decisions equal; the recording ended: {result.ended}"


def _print_context(result: ReplayResult) -> None:
    for event in result.context:
        _print_event(event)


def _print_event(event: ReplayedEvent) -> None:
    what = "start" if event.event is None else render(event.event)
    click.echo(f"event {event.number} at {event.now:.6f}: {what}")
    for decision in event.replayed:
        click.echo(f"    {render(decision)}")


def _print_difference(difference: Difference) -> None:
    click.echo(f"event {difference.at.number}, decision {difference.index}:")
    click.echo(f"  recorded: {render(difference.recorded)}")
    click.echo(f"  replayed: {render(difference.replayed)}")


def _exit(result: ReplayResult) -> None:
    if result.difference is not None or result.findings:
        sys.exit(ExitCode.FAILED)
    if result.damage is not None:
        raise result.damage
