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
from mallowpass.cli.policy import policy

__all__ = ["measure"]

_DEPLOYMENTS = ("claims", "towers")
_BASELINES = ("primary-only", "sticky")


@click.group()
def measure() -> None:
    """Measure a deployment in one process, over sockets on loopback."""


measure.add_command(policy)


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
            type=click.IntRange(min=3),
            help="So many hosts only, one for each place at least.",
        ),
        click.option(
            "--databases",
            type=click.IntRange(min=1),
            help="So many databases only.",
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


@measure.command()
@_common(15.0)
@click.option("--service-time", type=float, default=0.2, help="Of statements; seconds.")
@click.option("--callers", type=float, default=10.0, help="For each connection.")
def connections(service_time: float, callers: float, **common: Any) -> None:
    """Measure connections used, waits for them, and what callers notice."""
    from mallowpass.measure.connections import measure_connections

    run = _run(databases_max=1, service_time=service_time, **common)
    _show(measure_connections(run, callers), common["as_json"])


@measure.command()
@_common(15.0)
@click.option("--service-time", type=float, default=0.4, help="Of statements; seconds.")
@click.option(
    "--factors",
    default="0.5,1,2,3",
    help="Loads to offer, in capacities.",
    show_default=True,
)
def overload(service_time: float, factors: str, **common: Any) -> None:
    """Measure useful work when more is asked than a primary can do."""
    from mallowpass.measure.overload import measure_overload

    run = _run(databases_max=1, service_time=service_time, **common)
    offered = tuple(map(float, factors.split(",")))
    _show(measure_overload(run, offered), common["as_json"])


@measure.command()
@_common(1.0)
@click.option(
    "--fault",
    type=click.Choice(["crash", "cut-off", "silent", "pause"]),
    default="crash",
    show_default=True,
)
@click.option("--platform", type=click.Choice(["up", "down"]), default="up")
@click.option("--runs", type=click.IntRange(min=1), default=20, show_default=True)
@click.option("--noise", type=float, default=5.0, help="Seconds of ordinary noise.")
def failover(fault: str, platform: str, runs: int, noise: float, **common: Any) -> None:
    """Measure how long writes stop when a primary fails."""
    from mallowpass.measure.failover import measure_failover

    run = _run(**common)
    down = platform == "down"
    _show(measure_failover(run, fault, runs, down, noise), common["as_json"])


@measure.command()
@_common(9.0)
@click.option("--callers", default="1,16", help="Numbers of callers.")
@click.option("--profile", is_flag=True, help="Print where the time goes.")
def overhead(callers: str, profile: bool, **common: Any) -> None:
    """Measure the proxy's cost over going straight to a member."""
    from mallowpass.measure.overhead import measure_overhead

    run = _run(databases_max=1, **common)
    counts = tuple(map(int, callers.split(",")))
    _show(measure_overhead(run, counts, profile), common["as_json"])


@measure.command()
@click.option("--hosts", type=click.IntRange(min=256), default=512, show_default=True)
@click.option("--databases", type=click.IntRange(min=32), default=240)
@click.option("--sessions", type=click.IntRange(min=8), default=4000)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--part", "parts", multiple=True, help="Only this; repeat it.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def control(as_json: bool, parts: tuple[str, ...], **sizes: int) -> None:
    """Measure what control costs a host, up to these sizes, as slopes."""
    from mallowpass.measure import control as measured

    unknown = [part for part in parts if part not in measured.PARTS]
    if unknown:
        known = ", ".join(measured.PARTS)
        raise click.BadParameter(f"{unknown[0]!r} is none of {known}")
    options = measured.ControlOptions(parts=parts, **sizes)
    report = measured.measure_control(options, _command_line())
    if as_json:
        click.echo(measured.control_to_json(report))
    else:
        click.echo("\n".join(measured.render_control(report)))


def _run(
    deployment: str,
    seed: int,
    duration: float,
    hosts: int | None,
    databases: int | None,
    as_json: bool,
    lag: float = 1.0,
    databases_max: int = 0,
    **assumed: float,
):
    from mallowpass.measure.deployments import DEPLOYMENTS
    from mallowpass.measure.report import Run

    # Databases that nobody uses would only take the shared loop's time.
    kept = databases or databases_max
    chosen = DEPLOYMENTS[deployment].limited(hosts=hosts or 0, databases=kept)
    ordinary = chosen.assumptions
    chosen = chosen.assuming(
        lag_median=ordinary.lag_median * lag,
        lag_p99=ordinary.lag_p99 * lag,
        **assumed,
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
