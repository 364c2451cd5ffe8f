"""`mallowpass sql`: run one statement through a host, for people."""

from __future__ import annotations

import asyncio
import base64
import binascii
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from mallowpass.cli.main import ExitCode
from mallowpass.errors import ErrorCode, error_for

if TYPE_CHECKING:
    from mallowpass.adapters.client import Answer

__all__ = ["sql"]

DEFAULT_ADDRESS = "127.0.0.1:7100"


@click.command()
@click.option(
    "--address",
    envvar="MALLOWPASS_CALLERS",
    default=DEFAULT_ADDRESS,
    show_default=True,
    help="Where a host listens for callers.",
)
@click.option("--service", required=True)
@click.option("--database", required=True)
@click.option("--write", is_flag=True, help="The statement changes data.")
@click.option("--idempotent", is_flag=True, help="Running it twice does no harm.")
@click.option("--age", type=float, help="Accept data of this age, in seconds.")
@click.option("--caller", default="sql", show_default=True)
@click.option("--request-id", default="", help="Repeat it to learn a lost outcome.")
@click.option("--deadline", type=float, default=10.0, show_default=True)
@click.option(
    "--token-file",
    type=click.Path(path_type=Path),
    help="Keep the session's token here, so that the next call reads its writes.",
)
@click.argument("statement")
@click.argument("parameters", nargs=-1)
def sql(address: str, statement: str, parameters: tuple[str, ...], **options) -> None:
    """Run STATEMENT with PARAMETERS (bound in order, as text) and print its rows."""
    token_file: Path | None = options.pop("token_file")
    token = _read_token(token_file)
    answer, token = asyncio.run(_run(address, statement, parameters, token, **options))
    if token_file is not None and token:
        token_file.write_text(base64.b64encode(token).decode())
    _show(answer)
    sys.exit(_exit_code(answer))


async def _run(
    address: str,
    statement: str,
    parameters: tuple[str, ...],
    token: bytes,
    *,
    service: str,
    database: str,
    write: bool,
    idempotent: bool,
    age: float | None,
    caller: str,
    request_id: str,
    deadline: float,
) -> tuple[Answer, bytes]:
    from mallowpass.adapters.client import CallerClient
    from mallowpass.core.calls import Access

    async with CallerClient(address, service, caller, token=token) as client:
        answer = await client.execute(
            database,
            statement,
            parameters,
            access=Access.WRITE if write else Access.READ,
            unrepeatable=write and not idempotent,
            accepted_age=age,
            request_id=request_id,
            deadline=deadline,
        )
        return answer, client.token


def _read_token(file: Path | None) -> bytes:
    if file is None or not file.exists():
        return b""
    try:
        return base64.b64decode(file.read_text(), validate=True)
    except (binascii.Error, ValueError):
        raise error_for(ErrorCode.SESSION_TOKEN_INVALID, file=str(file)) from None


def _show(answer: Answer) -> None:
    if answer.columns:
        click.echo("\t".join(answer.columns))
    for row in answer.rows:
        click.echo("\t".join("NULL" if value is None else str(value) for value in row))
    notes = [f"outcome={answer.outcome.value}", f"request_id={answer.request_id}"]
    if answer.served_by:
        notes.append(f"served_by={answer.served_by} replica={answer.from_replica}")
    if answer.affected >= 0:
        notes.append(f"rows_affected={answer.affected}")
    if answer.repeated:
        notes.append("repeated=True")
    if answer.code:
        notes.append(f"code={answer.code} message={answer.message!r}")
        notes.append(f"what_to_do={ErrorCode.by_code(answer.code).advice!r}")
    if answer.retry_after:
        notes.append(f"retry_after={answer.retry_after:.3f}s")
    click.echo(" ".join(notes), err=True)


def _exit_code(answer: Answer) -> int:
    if answer.done:
        return ExitCode.OK
    if answer.outcome.value == "unknown":
        return ExitCode.UNKNOWN_OUTCOME
    return ExitCode.REFUSED
