"""The `mallowpass` command: its groups, exit codes and error lines."""

from __future__ import annotations

import importlib
import sys
from typing import Any

import click

from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.versions import program_version

__all__ = ["ExitCode", "main"]

# Commands are imported when they run: `--version` and completion stay quick, and
# a host does not load the code of the load tool.
_COMMANDS = {
    "check": "mallowpass.cli.check:check",
    "completion": "mallowpass.cli.completion:completion",
    "database": "mallowpass.cli.operate:database",
    "demo": "mallowpass.cli.demo:demo",
    "explain": "mallowpass.cli.operate:explain",
    "fault": "mallowpass.cli.standin:fault",
    "host": "mallowpass.cli.operate:host",
    "load": "mallowpass.cli.load:load",
    "measure": "mallowpass.cli.measure:measure",
    "replay": "mallowpass.cli.replay:replay",
    "report": "mallowpass.cli.report:report",
    "serve": "mallowpass.cli.serve:serve",
    "service": "mallowpass.cli.operate:service",
    "sql": "mallowpass.cli.sql:sql",
    "standin": "mallowpass.cli.standin:standin",
    "status": "mallowpass.cli.operate:status",
}


class ExitCode:
    """Name the exit codes; click's own usage errors exit with 2."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    REFUSED = 4
    UNKNOWN_OUTCOME = 5
    UNREACHABLE = 6


class _LazyGroup(click.Group):
    """Import a command when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        target = _COMMANDS.get(name)
        if target is None:
            return None
        module, _, attribute = target.partition(":")
        return getattr(importlib.import_module(module), attribute)


def _print_version(ctx: click.Context, option: click.Parameter, asked: bool) -> None:
    """Print the version, which takes a checksum only if it is asked for."""
    if asked and not ctx.resilient_parsing:
        click.echo(f"mallowpass, version {program_version()}")
        ctx.exit()


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--version",
    is_flag=True,
    expose_value=False,
    is_eager=True,
    callback=_print_version,
    help="Show the version and exit.",
)
def cli() -> None:
    """Session-consistent database proxy."""


def main(arguments: list[str] | None = None) -> Any:
    """Run the command line and exit with one of `ExitCode`."""
    try:
        cli.main(args=arguments, prog_name="mallowpass", standalone_mode=False)
    except click.exceptions.Exit as error:
        sys.exit(error.exit_code)
    except click.Abort:
        click.echo("interrupted", err=True)
        sys.exit(130)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except MallowpassError as error:
        _show(error)
        sys.exit(_exit_code(error))
    except OSError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(ExitCode.FAILED)


def _show(error: MallowpassError) -> None:
    click.echo(f"error {error}", err=True)
    if error.advice:
        click.echo(f"what to do: {error.advice}", err=True)


def _exit_code(error: MallowpassError) -> int:
    if error.code == ErrorCode.HOST_UNREACHABLE.code:
        return ExitCode.UNREACHABLE
    return ExitCode.SETTINGS if error.code.startswith("MP-1") else ExitCode.REFUSED
