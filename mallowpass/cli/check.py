"""`mallowpass check`: report every finding of settings and definition files."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import click

from mallowpass.cli.main import ExitCode
from mallowpass.platform.settings import SettingsError as PlatformSettingsError
from mallowpass.platform.settings import load_settings as load_platform_settings
from mallowpass.settings import (
    SettingsError,
    load_host_settings,
    load_service_definition,
    load_standin_settings,
)

__all__ = ["check"]

_LOADERS: dict[str, Callable[[Path], object]] = {
    "host": load_host_settings,
    "platform": load_platform_settings,
    "service": load_service_definition,
    "standin": load_standin_settings,
}


@click.command()
@click.option(
    "--kind",
    type=click.Choice(sorted(_LOADERS)),
    default="host",
    show_default=True,
    help="What the files describe.",
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check(kind: str, files: tuple[Path, ...]) -> None:
    """Check FILES and print all findings, each with its line."""
    failed = [path for path in files if not _check_file(kind, path)]
    if failed:
        sys.exit(ExitCode.SETTINGS)


def _check_file(kind: str, path: Path) -> bool:
    try:
        _LOADERS[kind](path)
    except (SettingsError, PlatformSettingsError) as error:
        click.echo(str(error), err=True)
        return False
    click.echo(f"{path}: ok")
    return True
