"""`mallowpass measure`: measure a deployment on embedded stand-ins."""

from __future__ import annotations

import asyncio
import logging
import shlex
import sys
from collections.abc import Callable
from typing import Any

import click

from mallowpass.cli.main import ExitCode

__all__ = ["measure"]

_DEPLOYMENTS = ("claims", "towers")
_BASELINES = ("primary-only", "sticky")


@click.group()
def measure() -> None:
    """Measure a deployment in one process, over sockets on loopback."""


def _common(duration: float) -> Callable[[Callable], Callable]:
    """Add the options of every measurement."""
    options = (
        click.option("--deployment", type=click.Choice(_DEPLOYMENTS), required=True),
        click.option("--seed", type=int, default=1, show_default=True),
        click.option("--json", "as_json", is_flag=True, help="Print one JSON object."),
        click.option(
            "--duration",
            type=click.FloatRange(min=0.1),
            default=duration,
            show_default=True,
            help="Seconds of load, of each part.",
        ),
        click.option(
            "--hosts",
            type=click.IntRange(min=0),
            default=0,
            help="So many hosts only; 0: all.",
        ),
        click.option(
            "--databases",
            type=click.IntRange(min=0),
            default=0,
            help="So many databases only; 0: all.",
        ),
    )

    def add(command: Callable) -> Callable:
        for option in reversed(options):
            command = option(command)
        return command

    return add


@measure.command()
@_common(20.0)
@click.option("--baseline", type=click.Choice(_BASELINES), help="Route like this.")
@click.option("--load", type=float, default=1.0, help="Times the usual load.")
@click.option("--lag", type=float, default=1.0, help="Times the ordinary lag.")
@click.option("--strict", is_flag=True, help="Add reads that accept no age at all.")
def reads(
    baseline: str | None, load: float, lag: float, strict: bool, **common: Any
) -> None:
    """Measure the share of reads that replicas serve, and latencies."""
    from mallowpass.measure.reads import measure_reads

    run = _run(lag=lag, **common)
    _show(measure_reads(run, baseline or "", load, strict), common["as_json"])


def _run(
    deployment: str,
    seed: int,
    duration: float,
    hosts: int,
    databases: int,
    as_json: bool,
    lag: float = 1.0,
):
    from mallowpass.measure.deployments import DEPLOYMENTS
    from mallowpass.measure.report import Run

    chosen = DEPLOYMENTS[deployment].limited(hosts=hosts, databases=databases)
    assumed = chosen.assumptions
    chosen = chosen.assuming(
        lag_median=assumed.lag_median * lag, lag_p99=assumed.lag_p99 * lag
    )
    return Run(_command_line(), chosen, seed, duration)


def _command_line() -> str:
    return shlex.join(["mallowpass", *sys.argv[1:]])


def _show(measurement: Any, as_json: bool) -> None:
    from mallowpass.measure.report import render, to_json

    logging.getLogger().addHandler(logging.NullHandler())
    report = asyncio.run(measurement)
    if as_json:
        click.echo(to_json(report))
    else:
        for line in render(report):
            click.echo(line)
    sys.exit(ExitCode.FAILED if report.violations.total else ExitCode.OK)
