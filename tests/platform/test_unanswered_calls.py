"""Each call that a host makes ends with its event, whatever is answered."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from mallowpass.core.proxy.effects import (
    AskAllowance,
    AskPrimary,
    CallStore,
    OpenConnection,
    OrderPromotion,
)
from mallowpass.core.proxy.events import (
    AllowanceAnswered,
    ConnectionRefused,
    PrimaryAnswered,
    PromotionAnswered,
    StoreAnswered,
)
from mallowpass.core.proxy.statements import Code
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    RowKey,
    StoreCall,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
    WatchRows,
)
from mallowpass.platform.allowances import AllowanceClients
from mallowpass.platform.endpoints import EndpointConnections
from mallowpass.platform.promotions import PromotionClient
from mallowpass.platform.runtime import EXCEPTION_ESCAPED, HostRuntime
from mallowpass.platform.settings import Address, load_settings
from mallowpass.platform.store import StoreClient
from mallowpass.standins.proxied.platform import MemoryLog

DEPTH = 100_000
DIGITS = b"9" * 100_000
ROW = {"table": "servers", "part": "", "key": "i-1", "value": "YQ==", "ver": 7}
BODY = {"rows": [], "ver": 9, "nowMs": 1000, "hasMore": False}
CALLS = {
    "list": ListRows(Table.ENDPOINTS),
    "watch": WatchRows(Table.ENDPOINTS, 1, 0.1),
    "change": ChangeRows(puts=((RowKey(Table.CLAIMS, "", "a"), "b"),)),
}
TIMEOUT = 2.0  # seconds
TEXT = """
nodeName = "h"
zone = "casa"
[listen]
front = "127.0.0.1:8784"
ready = "127.0.0.1:8785"
[bounds]
graceS = 6
[platform]
address = "{store}"
"""


def _body(**fields: Any) -> bytes:
    return json.dumps(BODY | fields).encode()


def _row(**fields: Any) -> bytes:
    return _body(rows=[ROW | fields])


UNREADABLE_BODIES = {
    "deep list": b"[" * DEPTH + b"]" * DEPTH,
    "deep object": b'{"rows":' * DEPTH + b"1" + b"}" * DEPTH,
    "list at the top": b"[]",
    "text at the top": b'"rows"',
    "number at the top": b"7",
    "null at the top": b"null",
    "version of many digits": b'{"rows":[],"nowMs":1,"ver":' + DIGITS + b"}",
    "time of many digits": b'{"rows":[],"ver":1,"nowMs":' + DIGITS + b"}",
    "time of some digits": b'{"rows":[],"ver":1,"nowMs":' + DIGITS[:900] + b"}",
    "infinite time": b'{"rows":[],"ver":1,"nowMs":1e999}',
    "time that is no number": b'{"rows":[],"ver":1,"nowMs":NaN}',
    "truncated JSON": _body()[:-4],
    "not UTF-8": b'{"rows":[],"ver":9,"x":"\xff\xfe"}',
    "rows are a number": _body(rows=7),
    "rows are a text": _body(rows="rows"),
    "row is a list": _body(rows=[[]]),
    "row is null": _body(rows=[None]),
    "table is a list": _row(table=[]),
    "key is a number": _row(key=7),
    "key is a list": _row(key=[]),
    "part is a list": _row(part=[]),
    "row's version is a text": _row(ver="7"),
    "row's version is a list": _row(ver=[]),
    "row's version is a fraction": _row(ver=7.5),
    "row's version is negative": _row(ver=-1),
    "version is a text": _body(ver="9"),
    "version is a list": _body(ver=[]),
    "version is true": _body(ver=True),
    "version is a fraction": _body(ver=9.5),
    "version is huge": _body(ver=2**60),
    "time is a text": _body(nowMs="1000"),
}


def _http(body: bytes, length: int | None = None) -> bytes:
    size = length or len(body)
    head = f"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


async def _with_server(
    response: bytes, use: Callable[[Address], Awaitable[Any]]
) -> Any:
    """Answer each request with the same bytes, then close the connection."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    host = f"127.{random.randrange(2, 60)}.{random.randrange(250)}.9"
    server = await asyncio.start_server(answer, host, 0)
    try:
        return await use(Address(*server.sockets[0].getsockname()[:2]))
    finally:
        server.close()
        await asyncio.sleep(0.01)  # until its connections are closed


def _reply(response: bytes, call: StoreCall, is_relay: bool = False) -> StoreReply:
    async def use(address: Address) -> StoreReply:
        async with asyncio.timeout(2 * TIMEOUT):
            return await StoreClient(address, is_relay).call(call, TIMEOUT)

    return asyncio.run(_with_server(response, use))


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("kind", UNREADABLE_BODIES)
def test_unreadable_response_is_an_outcome_of_its_call(kind, name):
    """Guard against a watch of the store that ends with a response of another form."""
    reply = _reply(_http(UNREADABLE_BODIES[kind]), CALLS[name])
    assert reply.status is StoreStatus.UNKNOWN
    assert reply.message.startswith("invalid response")
    assert len(reply.message) < 300


@pytest.mark.parametrize("kind", [k for k in UNREADABLE_BODIES if "time" not in k])
def test_unreadable_response_of_a_relay_is_an_outcome_of_its_call(kind):
    """Guard against a watch at a relay that ends with a response of another form."""
    reply = _reply(_http(UNREADABLE_BODIES[kind]), CALLS["watch"], is_relay=True)
    assert reply.status is StoreStatus.UNKNOWN


@pytest.mark.parametrize("name", CALLS)
def test_truncated_body_is_an_outcome_of_its_call(name):
    reply = _reply(_http(_body()[:20], len(_body())), CALLS[name])
    assert reply.status in (StoreStatus.UNKNOWN, StoreStatus.REFUSED)


@pytest.mark.parametrize("value", [7, None, [], {}, "!", "//79", "ey", "W1tb"])
def test_value_of_another_form_leaves_the_response_readable(value):
    """Guard against an entry that hides the changes of all others."""
    reply = _reply(_http(_row(value=value)), CALLS["watch"])
    assert reply.status is StoreStatus.DONE
    assert isinstance(reply.rows[0].value, Unreadable)


@pytest.mark.parametrize("rows", [[], [ROW]])
def test_list_that_does_not_go_on_ends(rows):
    """Guard against a host that lists the same page again without an end."""
    response = _http(_body(rows=rows, hasMore=True))
    assert _reply(response, CALLS["list"]).status is StoreStatus.UNKNOWN


# -- What escapes a client ---------------------------------------------------


def _escape(*args: object, **kwargs: object) -> None:
    raise RecursionError("no end")


async def _escape_later(*args: object, **kwargs: object) -> None:
    _escape()


def _host(folder: Path) -> tuple[HostRuntime, MemoryLog]:
    path = folder / "local.toml"
    path.write_text(TEXT.format(store="127.0.0.1:8783"))
    log = MemoryLog()
    return HostRuntime(load_settings(path), log, path), log


@pytest.fixture
def handled(monkeypatch) -> list[object]:
    """Return the events that hosts pass to their cores."""
    events: list[object] = []
    monkeypatch.setattr(HostRuntime, "handle", lambda host, event: events.append(event))
    return events


@pytest.mark.parametrize("relay", ["", "no address"])
def test_call_to_the_store_that_raises_is_answered(
    tmp_path, monkeypatch, handled, relay
):
    """Guard against a watch that never asks again, as its call ended without a word."""
    monkeypatch.setattr(StoreClient, "call", _escape_later)

    async def run() -> MemoryLog:
        host, log = _host(tmp_path)
        host._apply(CallStore(5, ListRows(Table.HOSTS), 1.0, relay))
        await asyncio.gather(*host._tasks)
        return log

    log = asyncio.run(run())
    (answered,) = handled
    assert isinstance(answered, StoreAnswered)
    assert (answered.call, answered.reply.status) == (5, StoreStatus.UNKNOWN)
    (line,) = log.fields(EXCEPTION_ESCAPED)
    assert line["kind"] in ("RecursionError", "SettingsError")
    assert line["during"] == "CallStore"


def test_order_that_raises_is_answered(tmp_path, monkeypatch, handled):
    """Guard against a replacement that waits for the answer to its order for good."""
    monkeypatch.setattr(PromotionClient, "promote", _escape_later)

    async def run() -> MemoryLog:
        host, log = _host(tmp_path)
        host._promotion_client = PromotionClient(Address("127.0.0.1", 1), "h")
        host._apply(OrderPromotion(5, "s", "i-1", 3, 1.0))
        await asyncio.gather(*host._tasks)
        return log

    log = asyncio.run(run())
    (answered,) = handled
    assert isinstance(answered, PromotionAnswered)
    assert (answered.call, answered.accepted) == (5, None)
    assert len(log.fields(EXCEPTION_ESCAPED)) == 1


def test_question_that_raises_is_answered(tmp_path, monkeypatch, handled):
    """Guard against a replacement that waits for good for whether a primary runs."""
    monkeypatch.setattr(PromotionClient, "promote", _escape_later)

    async def run() -> MemoryLog:
        host, log = _host(tmp_path)
        host._promotion_client = PromotionClient(Address("127.0.0.1", 1), "h")
        host._apply(AskPrimary(5, "s", "i-1", 3, 1.0))
        await asyncio.gather(*host._tasks)
        return log

    log = asyncio.run(run())
    assert handled == [PrimaryAnswered(5, None)]
    assert len(log.fields(EXCEPTION_ESCAPED)) == 1


def test_allowance_whose_connection_raises_is_answered(monkeypatch):
    """Guard against operations that wait for an allowance for good."""
    handled: list[object] = []
    logged: list[object] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: logged.append(context))
        monkeypatch.setattr(loop, "create_connection", _escape)
        clients = AllowanceClients(Address("127.0.0.1", 1), handled.append)
        clients.ask(AskAllowance(5, "127.0.0.1:1", 0, "c", 1, 0))
        await asyncio.sleep(0.05)

    asyncio.run(run())
    assert handled == [AllowanceAnswered(5, None)]
    assert len(logged) == 1


def test_connection_whose_opening_raises_is_refused(monkeypatch):
    """Guard against an attempt to connect that counts as in progress for good."""
    handled: list[object] = []
    logged: list[object] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: logged.append(context))
        monkeypatch.setattr(loop, "create_connection", _escape)
        connections = EndpointConnections("h", handled.append)
        connections.open(OpenConnection(5, "127.0.0.1:1", "s", "i-1", 1.0))
        await asyncio.sleep(0.05)

    asyncio.run(run())
    refused = ConnectionRefused(5, Code.OTHER, "RecursionError", True)
    assert handled == [refused]
    assert len(logged) == 1


def test_host_goes_on_to_ask_a_store_that_answers_with_a_list(tmp_path):
    """Guard against a host that asks a store once only, and never again."""
    asked: list[bytes] = []

    async def run() -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            asked.append(await reader.readline())
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_http(b"[]"))
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        path = tmp_path / "local.toml"
        address = Address(*server.sockets[0].getsockname()[:2])
        path.write_text(TEXT.format(store=address))
        host = HostRuntime(load_settings(path), MemoryLog(), path)
        host._start_core()
        await asyncio.sleep(3.0)
        host.abort()
        server.close()
        await asyncio.sleep(0.01)

    asyncio.run(run())
    first = asked[0].split(b"?")[0]
    assert first == b"GET /v1/rows-get"
    assert sum(b"table=mallowpass-hosts" in line for line in asked) > 1


@pytest.mark.parametrize("kind", ["call", "order"])
def test_cancelled_task_reports_nothing(tmp_path, monkeypatch, handled, kind):
    """Guard against a call that begins as the event loop ends."""

    async def wait(*args: object, **kwargs: object) -> None:
        await asyncio.sleep(60)

    monkeypatch.setattr(StoreClient, "call", wait)
    monkeypatch.setattr(PromotionClient, "promote", wait)

    async def run() -> MemoryLog:
        host, log = _host(tmp_path)
        host._promotion_client = PromotionClient(Address("127.0.0.1", 1), "h")
        effects = {
            "call": CallStore(5, ListRows(Table.HOSTS), 1.0),
            "order": OrderPromotion(5, "s", "i-1", 3, 1.0),
        }
        host._apply(effects[kind])
        await asyncio.sleep(0.01)
        tasks = list(host._tasks)
        host.abort()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert all(task.cancelled() for task in tasks)
        return log

    log = asyncio.run(run())
    assert handled == []
    assert log.fields(EXCEPTION_ESCAPED) == []
