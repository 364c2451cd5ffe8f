"""`mallowpass serve`: run one host."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

__all__ = ["serve"]


@click.command()
@click.option(
    "--record",
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="Write a trace of events and decisions, for `mallowpass replay`.",
)
@click.argument("settings", type=click.Path(path_type=Path))
def serve(settings: Path, record: Path | None) -> None:
    """Run a host with the SETTINGS file until it is told to stop.

    SIGTERM and SIGINT drain it: requests and transactions in flight are finished
    first, within the time that the settings give.
    """
    from mallowpass.adapters.runtime import HostRuntime
    from mallowpass.logs import configure_logging
    from mallowpass.settings import (
        load_fleet_key,
        load_host_settings,
        load_operator_keys,
    )
    from mallowpass.trace import FileSink

    loaded = load_host_settings(settings)
    fleet_key = load_fleet_key(loaded.fleet)
    operator_keys = load_operator_keys(loaded.operators)
    configure_logging(loaded.log, sys.stdout)
    trace = None if record is None else FileSink(record)
    host = HostRuntime(loaded, fleet_key, operator_keys, trace=trace)
    asyncio.run(host.run())
