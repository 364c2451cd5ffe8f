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
@click.argument("settings", required=False, type=click.Path(path_type=Path))
def serve(settings: Path | None, record: Path | None) -> None:
    """Run a host with the SETTINGS file until it is told to stop.

    Without SETTINGS it runs on the users' platform, with the file that the platform
    names in MALLOWPASS_NODE_FILE; `python3 -m mallowpass.platform` does the same.

    SIGTERM and SIGINT drain it: requests and transactions in flight are finished
    first, within the time that the settings give.
    """
    if settings is None:
        from mallowpass.platform.__main__ import main

        main()
        return
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
