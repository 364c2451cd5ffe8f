"""Calls of hosts that follow the store by way of this one, and their answers."""

from __future__ import annotations

import asyncio
import json
import socket
import zlib

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
from mallowpass.platform.http import BODY_MAX, HttpServer, Request, Response
from mallowpass.platform.relays import FeedServer, RelayClients
from mallowpass.platform.settings import Address
from mallowpass.platform.store import (
    FEED_PATH,
    StoreClient,
    accepts_compressed,
    parse_watch,
    render_rows,
)

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
    sent = StoreReply(StoreStatus.DONE, ROWS, 11, is_snapshot=True)
    asked, answer = asyncio.run(_play(sent, free_port))
    assert (asked.table, asked.after, asked.wait) == (Table.HOSTS, 7, 0.2)
    assert answer == sent


def _many(count: int) -> StoreReply:
    rows = tuple(
        Row(RowKey(Table.HOSTS, "", f"host-{i}"), i, "casa - 1", "Y2FzYSAtIDE=")
        for i in range(1, count)
    )
    return StoreReply(StoreStatus.DONE, rows, count, is_snapshot=True)


def test_many_rows_arrive_compressed(free_port):
    """Symptom: relays of a large fleet send more than their links take.

    Sequence: hundreds of endpoints enter themselves, or half of the hosts start again.
    Cause: each follower was sent all rows, which are much alike, at full length.
    """
    sent = _many(300)
    _, answer = asyncio.run(_play(sent, free_port))
    assert answer == sent
    plain, compressed = render_rows(sent), render_rows(sent, compressed=True)
    assert len(compressed.body) < len(plain.body) / 5


def test_a_host_that_does_not_ask_for_it_gets_nothing_compressed():
    """One that is older would take each answer for none."""
    old = Request("GET", "/v1/rows-feed?table=servers&after=1&waitMs=1")
    assert not accepts_compressed(old)
    headers = (("accept-encoding", "deflate"),)
    assert accepts_compressed(Request("GET", old.target, headers))
    assert json.loads(render_rows(_many(300)).body)["ver"] == 300


@pytest.mark.parametrize(
    "body",
    [
        b"no deflate",
        zlib.compress(b"[]")[:-3],
        zlib.compress(b"{" + (BODY_MAX + 1) * b" "),
        zlib.compress(b"no JSON"),
    ],
)
def test_a_compressed_answer_that_can_not_be_read(free_port, body):
    async def play() -> StoreReply:
        response = Response(200, body, "deflate")
        server = HttpServer({FEED_PATH: lambda request: response})
        address = Address("127.0.0.1", free_port)
        await server.start(address)
        answer = await StoreClient(address, of_host=True).call(WATCH, 5.0)
        server.close()
        return answer

    answer = asyncio.run(play())
    assert answer.status is StoreStatus.UNKNOWN
    assert answer.rows == ()


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
