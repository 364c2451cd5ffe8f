"""Commands for operators: services, hosts, databases, status, explain."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from mallowpass.cli.main import ExitCode
from mallowpass.errors import ErrorCode, error_for

if TYPE_CHECKING:
    from mallowpass.adapters.client import OperatorClient
    from mallowpass.core.services import Service, ServiceVersion

__all__ = ["database", "explain", "host", "service", "status"]

DEFAULT_ADDRESS = "127.0.0.1:7200"
KEY_VARIABLE = "MALLOWPASS_OPERATOR_KEY"

_T = TypeVar("_T")


def operator_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that every operator's command has."""
    for option in (
        click.option(
            "--operator",
            envvar="MALLOWPASS_OPERATOR",
            default="operator",
            show_default=True,
            help="Your name among the operators of the settings.",
        ),
        click.option(
            "--address",
            envvar="MALLOWPASS_OPERATORS",
            default=DEFAULT_ADDRESS,
            show_default=True,
            help="Where a host listens for operators.",
        ),
    ):
        command = option(command)
    return command


def _call(
    address: str, operator: str, ask: Callable[[OperatorClient], Awaitable[_T]]
) -> _T:
    """Ask a host as an operator; the key comes from the environment only.

    A key on the command line would show in the list of processes.
    """
    from mallowpass.adapters.client import OperatorClient

    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise error_for(ErrorCode.OPERATOR_KEY_MISSING, f"{KEY_VARIABLE} is not set")

    async def _run() -> _T:
        async with OperatorClient(address, operator, key.encode()) as client:
            return await ask(client)

    return asyncio.run(_run())


def _refuse_if_coded(answer: Any) -> None:
    if answer.code:
        raise error_for(ErrorCode.by_code(answer.code), answer.message)


# -- Services ----------------------------------------------------------------


@click.group()
def service() -> None:
    """Create, change and delete services."""


@service.command("create")
@operator_options
@click.option("--change-id", default="", help="Repeat it to repeat a change safely.")
@click.argument("file", type=click.Path(path_type=Path))
def create_service(address: str, operator: str, change_id: str, file: Path) -> None:
    """Create the service that FILE describes."""
    wanted = _load_service(file)
    answer = _call(
        address, operator, lambda client: client.create_service(wanted, change_id)
    )
    _show_change(answer)


@service.command("change")
@operator_options
@click.option("--change-id", default="", help="Repeat it to repeat a change safely.")
@click.option(
    "--from-version",
    type=click.IntRange(1),
    required=True,
    help="The version that this change was made from; `service show` tells it.",
)
@click.argument("file", type=click.Path(path_type=Path))
def change_service(
    address: str, operator: str, change_id: str, from_version: int, file: Path
) -> None:
    """Change a service to what FILE describes."""
    wanted = _load_service(file)
    answer = _call(
        address,
        operator,
        lambda client: client.change_service(wanted, from_version, change_id),
    )
    _show_change(answer)


@service.command("delete")
@operator_options
@click.option("--change-id", default="", help="Repeat it to repeat a change safely.")
@click.option("--from-version", type=click.IntRange(1), required=True)
@click.argument("name")
def delete_service(
    address: str, operator: str, change_id: str, from_version: int, name: str
) -> None:
    """Delete the service NAME."""
    answer = _call(
        address,
        operator,
        lambda client: client.delete_service(name, from_version, change_id),
    )
    _show_change(answer)


@service.command("list")
@operator_options
@click.option("--json", "as_json", is_flag=True)
def list_services(address: str, operator: str, as_json: bool) -> None:
    """List the services and their versions."""
    answer = _call(address, operator, lambda client: client.list_services())
    _refuse_if_coded(answer)
    if as_json:
        _print_json([dataclasses.asdict(entry) for entry in answer.services])
        return
    for entry in answer.services:
        click.echo(_service_line(entry))


@service.command("show")
@operator_options
@click.argument("name")
def show_service(address: str, operator: str, name: str) -> None:
    """Show the service NAME whole, as JSON."""
    answer = _call(address, operator, lambda client: client.list_services(name))
    _refuse_if_coded(answer)
    if not answer.services:
        raise error_for(ErrorCode.UNKNOWN_SERVICE, service=name)
    _print_json(dataclasses.asdict(answer.services[0]))


def _load_service(file: Path) -> Service:
    from mallowpass.settings import load_service_definition
    from mallowpass.settings.conversion import service_of

    return service_of(load_service_definition(file))


def _show_change(answer: Any) -> None:
    _refuse_if_coded(answer)
    if answer.current is not None:
        click.echo(f"{answer.message or 'accepted'}: {_service_line(answer.current)}")


def _service_line(entry: ServiceVersion) -> str:
    state = "deleted" if entry.service is None else "in force"
    count = 0 if entry.service is None else len(entry.service.databases)
    return (
        f"service={entry.name} version={entry.version} state={state!r} "
        f"databases={count} changed_by={entry.changed_by} change_id={entry.change_id}"
    )


# -- Hosts and databases -----------------------------------------------------


@click.group()
def host() -> None:
    """Work on hosts of the fleet."""


@host.command("drain")
@operator_options
@click.option("--limit", type=float, default=0.0, help="Seconds; 0: the host's own.")
@click.argument("name")
def drain_host(address: str, operator: str, limit: float, name: str) -> None:
    """Have host NAME finish what is in flight, take no more, and leave."""
    answer = _call(address, operator, lambda client: client.drain_host(name, limit))
    _refuse_if_coded(answer)
    click.echo(answer.message or f"{name} drains")


@click.group()
def database() -> None:
    """Work on database groups."""


@database.command("promote")
@operator_options
@click.argument("service_name", metavar="SERVICE")
@click.argument("database_name", metavar="DATABASE")
@click.argument("member")
def promote_member(
    address: str, operator: str, service_name: str, database_name: str, member: str
) -> None:
    """Hand DATABASE of SERVICE over to MEMBER; no request is lost."""
    answer = _call(
        address,
        operator,
        lambda client: client.promote_member(service_name, database_name, member),
    )
    _refuse_if_coded(answer)
    click.echo(f"{member} is primary in term {answer.term}")


@database.command("show")
@operator_options
@click.argument("service_name", metavar="SERVICE")
@click.argument("database_name", metavar="DATABASE")
def show_database(
    address: str, operator: str, service_name: str, database_name: str
) -> None:
    """Show one database as the host sees it."""
    answer = _call(address, operator, lambda client: client.status())
    for found in answer.databases:
        if (found.service, found.database) == (service_name, database_name):
            click.echo("\n".join(_database_lines(found)))
            return
    raise error_for(ErrorCode.UNKNOWN_DATABASE, database=database_name)


# -- Status and explain ------------------------------------------------------


@click.command()
@operator_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--watch", type=click.FloatRange(0.1), help="Repeat every SECONDS.")
@click.option(
    "--metrics",
    metavar="HOST:PORT/PATH",
    help="Ask a host on the users' platform, at its metrics address.",
)
def status(
    address: str,
    operator: str,
    as_json: bool,
    watch: float | None,
    metrics: str | None,
) -> None:
    """Show a host, and the databases and hosts that it sees."""
    if metrics is not None:
        _print_metrics(metrics)
        return
    while True:
        answer = _call(address, operator, lambda client: client.status())
        _refuse_if_coded(answer)
        if watch and not as_json:
            click.clear()
        if as_json:
            _print_json(dataclasses.asdict(answer))
        else:
            click.echo("\n".join(_status_lines(answer)))
        if not watch:
            return
        sys.stdout.flush()
        time.sleep(watch)


def _print_metrics(address: str) -> None:
    from mallowpass.report.hostmetrics import fetch_metrics, status_lines

    try:
        text = fetch_metrics(address)
    except OSError as error:
        click.echo(f"{address}: {error}", err=True)
        sys.exit(ExitCode.UNREACHABLE)
    click.echo("\n".join(status_lines(text)))


def _status_lines(answer: Any) -> list[str]:
    lines = [
        f"host={answer.host} failure_domain={answer.failure_domain} "
        f"draining={answer.draining} sessions={answer.sessions} "
        f"requests={answer.requests}"
    ]
    lines += [f"service={name} version={version}" for name, version in answer.services]
    for found in answer.databases:
        lines += _database_lines(found)
    lines += [
        f"peer={peer.host} failure_domain={peer.failure_domain} state={peer.state}"
        for peer in answer.peers
    ]
    return lines


def _database_lines(found: Any) -> list[str]:
    head = (
        f"database={found.service}/{found.database} state={found.state} "
        f"term={found.term} primary={found.primary or 'none'} "
        f"waiting={found.waiting} steward={found.steward}"
    )
    return [head, *(f"  {_member_line(member)}" for member in found.members)]


def _member_line(member: Any) -> str:
    age = "never" if member.report_age is None else f"{member.report_age:.1f}s"
    return (
        f"member={member.name} failure_domain={member.failure_domain} "
        f"role={member.role or 'unknown'} term={member.term} "
        f"received={member.received} applied={member.applied} "
        f"connections={member.connections_used}/{member.connections_open}"
        f"/{member.connections_share} reported={age}"
        + (" leaving=True" if member.leaving else "")
    )


@click.command()
@operator_options
@click.option("--limit", type=click.IntRange(1, 1000), default=50, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--log",
    "logs",
    multiple=True,
    metavar="FILE",
    help="Read a request's lines in the logs of hosts on the users' platform.",
)
@click.argument("subject", type=click.Choice(["request", "database", "config"]))
@click.argument("name", default="")
def explain(
    address: str,
    operator: str,
    limit: int,
    as_json: bool,
    logs: tuple[str, ...],
    subject: str,
    name: str,
) -> None:
    """Show what the fleet decided about a request, database or service, and why."""
    if logs:
        if subject != "request":
            raise click.UsageError(f"logs tell of requests, not of a {subject}")
        _explain_from_logs(logs, name, limit)
        return
    answer = _call(
        address, operator, lambda client: client.explain(subject, name, limit)
    )
    _refuse_if_coded(answer)
    if as_json:
        _print_json([dataclasses.asdict(entry) for entry in answer.decisions])
        return
    if not answer.decisions:
        click.echo("nothing is recorded of it", err=True)
        sys.exit(ExitCode.FAILED)
    for entry in answer.decisions:
        click.echo(
            f"{entry.at:.3f}s ago host={entry.host} {entry.kind} "
            f"{entry.subject}: {entry.text}"
        )


def _explain_from_logs(logs: tuple[str, ...], request: str, limit: int) -> None:
    from mallowpass.report.hostlogs import explain_request, read_lines

    try:
        lines = explain_request(read_lines(logs), request)
    except OSError as error:
        raise click.UsageError(f"{error.filename}: {error.strerror}") from error
    if not lines:
        click.echo(f"no line tells of request {request!r}", err=True)
        sys.exit(ExitCode.FAILED)
    shown = lines[-limit:]
    if len(shown) < len(lines):
        click.echo(f"{len(lines) - len(shown)} earlier lines left out", err=True)
    for line in shown:
        click.echo(f"{line.source} {line.text}")


def _print_json(value: Any) -> None:
    click.echo(json.dumps(value, indent=2, default=str))
