"""`mallowpass measure policy`: loads on the decisions of hosts, in virtual time."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from mallowpass.cli.main import ExitCode

__all__ = ["policy"]


def _size(name: str, kind: click.ParamType, help: str):
    """Add an option whose default is the deployment's own."""
    return click.option(f"--{name}", type=kind, help=help)


@click.command()
@click.option("--pattern", "names", multiple=True, help="Only this; repeat it.")
@click.option("--without", multiple=True, help="Leave a mechanism out; repeat it.")
@_size("hosts", click.IntRange(min=1), "Of the fleet.")
@_size("operations", click.FloatRange(min=1.0), "A second.")
@_size("work", click.FloatRange(min=0.001), "Of a statement in a slot; seconds.")
@_size("distance", click.FloatRange(min=0.0005), "One way between regions; seconds.")
@_size("lag", click.FloatRange(min=0.0), "Of replicas; seconds.")
@_size("promotion", click.FloatRange(min=0.001), "How long one takes; seconds.")
@_size("slots", click.IntRange(min=1), "Of each endpoint.")
@_size("connections", click.IntRange(min=1), "Of each endpoint, from all hosts.")
@_size("customers", click.IntRange(min=0), "With limits, and connections of theirs.")
@_size("opening", click.FloatRange(min=0.0), "Of a connection in a slot; seconds.")
@click.option("--seed", type=int, default=1, show_default=True, help="The first one.")
@click.option("--seeds", type=click.IntRange(min=1), default=1, show_default=True)
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a page of plots.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--list", "listing", is_flag=True, help="Name patterns and mechanisms.")
def policy(
    names: tuple[str, ...],
    without: tuple[str, ...],
    seed: int,
    seeds: int,
    plot: str | None,
    as_json: bool,
    listing: bool,
    **sizes: float | None,
) -> None:
    """Play loads on the decisions of hosts, in virtual time.

    A run repeats exactly by its seed. It exits with 1 where a promise was broken.
    """
    from mallowpass.measure.policy import mechanisms, report
    from mallowpass.measure.policy.deployment import Deployment
    from mallowpass.measure.policy.run import play

    if listing:
        _list()
        return
    patterns = _chosen(names)
    given = {name: value for name, value in sizes.items() if value is not None}
    deployment = Deployment(**given)
    seeds_played = range(seed, seed + seeds)
    runs = []
    try:
        with mechanisms.without(without):
            for pattern in patterns:
                runs.append([play(pattern, deployment, n) for n in seeds_played])
    except mechanisms.UnknownMechanism as error:
        raise click.BadParameter(str(error)) from error
    summaries = [report.summarize(each) for each in runs]
    if plot is not None:
        Path(plot).write_text(report.page(run for each in runs for run in each))
    if as_json:
        click.echo(report.to_json(summaries))
    else:
        click.echo("\n".join(report.render(summaries)))
    broken = any(summary.broken for summary in summaries)
    sys.exit(ExitCode.FAILED if broken else ExitCode.OK)


def _list() -> None:
    from mallowpass.measure.policy.mechanisms import MECHANISMS
    from mallowpass.measure.policy.patterns import PATTERNS

    for pattern in PATTERNS:
        click.echo(f"pattern    {pattern.name}: {pattern.summary}")
    for mechanism in MECHANISMS:
        click.echo(f"mechanism  {mechanism.name}: without it, {mechanism.plainest}")


def _chosen(names: tuple[str, ...]) -> list:
    """Return the patterns of these names, or all; BadParameter names a wrong one."""
    from mallowpass.measure.policy.patterns import PATTERNS

    known = {pattern.name: pattern for pattern in PATTERNS}
    for name in names:
        if name not in known:
            raise click.BadParameter(f"{name!r} is none of {', '.join(known)}")
    return [known[name] for name in names or known]
