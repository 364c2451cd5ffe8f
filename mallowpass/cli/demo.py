"""`mallowpass demo`: run the main job on embedded stand-ins and check it."""

from __future__ import annotations

import asyncio
import logging
import sys

import click

from mallowpass.cli.main import ExitCode

__all__ = ["demo"]


@click.command()
@click.option("--verbose", is_flag=True, help="Show the hosts' log lines.")
def demo(verbose: bool) -> None:
    """File and read claims through two hosts while a primary is killed."""
    from mallowpass.demo import run_demo
    from mallowpass.standins.proxied.demo import run_platform_demo

    if verbose:
        _log_to_stderr()
    else:
        logging.getLogger().addHandler(logging.NullHandler())
    report = asyncio.run(run_demo(click.echo))
    for line in report.lines():
        click.echo(line)
    click.echo("\non the users' platform:")
    on_platform = asyncio.run(run_platform_demo(click.echo))
    for line in on_platform.lines():
        click.echo(line)
    passed = report.passed and on_platform.passed
    click.echo("every check held" if passed else "a check FAILED")
    sys.exit(ExitCode.OK if passed else ExitCode.FAILED)


def _log_to_stderr() -> None:
    from mallowpass.logs import configure_logging
    from mallowpass.settings import LogSection

    configure_logging(LogSection(), sys.stderr)
    logging.getLogger("websockets").setLevel(logging.WARNING)
