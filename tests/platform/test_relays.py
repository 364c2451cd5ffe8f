"""Calls of hosts that follow the store by way of this one, and their answers."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from mallowpass.core.proxy.events import FeedAsked
from mallowpass.core.proxy.storage import (
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
    WatchRows,
)
from mallowpass.platform.relays import FeedServer, RelayClients
from mallowpass.platform.settings import Address
from mallowpass.platform.store import parse_watch, render_rows

WATCH = WatchRows(Table.HOSTS, 7, 0.2)
ROWS = (
    Row(RowKey(Table.HOSTS, "", "host-1"), 9, "casa - 1", "Y2FzYSAtIDE="),
    Row(RowKey(Table.HOSTS, "", "host-2"), 10),
)


@pytest.mark.parametrize(
    "target",
    [
        "/v1/rows-feed",
        "/v1/rows-get?table=servers&after=1&waitMs=1",
        "/v1/rows-feed?table=other&after=1&waitMs=1",
        "/v1/rows-feed?table=servers&after=-1&waitMs=1",
        "/v1/rows-feed?table=servers&after=1&waitMs=x",
        "/v1/rows-feed?table=servers&after=1&waitMs=1e9",
        "/v1/rows-feed?table=servers&after=" + 40 * "9" + "&waitMs=1",
        "/v1/rows-feed?table=servers&after=\u0663&waitMs=1",
    ],
)
def test_what_is_no_call_for_changes(target):
    assert parse_watch(target) is None


def test_refusal_is_told():
    reply = StoreReply(StoreStatus.REFUSED, message="stopping")
    assert render_rows(reply).status == 503


def test_rows_that_could_not_be_read_are_passed_on_as_they_are():
    key = RowKey(Table.ENDPOINTS, "", "db")
    reply = StoreReply(StoreStatus.DONE, (Row(key, 3, Unreadable("no"), "!!"),), 3)
    (item,) = json.loads(render_rows(reply).body)["rows"]
    assert item["value"] == "!!"


async def _play(reply: StoreReply, port: int) -> tuple[FeedAsked, StoreReply]:
    asked = []

    def sink(event: FeedAsked) -> None:
        asked.append(event)
        server.answer(event.feed, reply)

    server = FeedServer(sink)
    address = Address("127.0.0.1", port)
    await server.start(address)
    client = RelayClients(address).client(f"127.0.0.1:{port + 1}")
    answer = await client.call(WATCH, 1.0)
    server.close()
    return asked[0], answer


def test_rows_arrive_as_they_were_told(free_port):
    sent = StoreReply(StoreStatus.DONE, ROWS, 11, whole=True)
    asked, answer = asyncio.run(_play(sent, free_port))
    assert (asked.table, asked.after, asked.wait) == (Table.HOSTS, 7, 0.2)
    assert answer == sent


def test_relay_that_refuses(free_port):
    sent = StoreReply(StoreStatus.REFUSED)
    _, answer = asyncio.run(_play(sent, free_port))
    assert answer.status is StoreStatus.REFUSED


def test_relay_that_is_not_there(free_port):
    clients = RelayClients(Address("127.0.0.1", free_port))
    call = clients.client("127.0.0.1:1").call(WATCH, 1.0)
    assert asyncio.run(call).status is StoreStatus.REFUSED


@pytest.fixture
def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
