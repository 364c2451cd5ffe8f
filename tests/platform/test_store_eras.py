"""Test versions and eras in responses of the store and of relays."""

from __future__ import annotations

import asyncio
import json
import socket
import time

import pytest

from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    WatchRows,
    era_of,
    make_version,
    store_version,
)
from mallowpass.core.timers import TimerService
from mallowpass.platform.http import Response
from mallowpass.platform.settings import Address
from mallowpass.platform.store import (
    StoreClient,
    _parse_relay_reply,
    _parse_reply,
    render_rows,
)
from mallowpass.standins.proxied.httpserver import StoreServer
from mallowpass.standins.proxied.rows import RowStore

KEY = RowKey(Table.CLAIMS, "", "claims-core")


def test_version_of_a_later_era_is_above_all_earlier_ones():
    assert make_version(2, 1) > make_version(1, 10**9)
    assert make_version(0, 7) == 7
    assert (era_of(make_version(3, 7)), store_version(make_version(3, 7))) == (3, 7)


def _response(headers: tuple[tuple[bytes, bytes], ...], status: int = 200) -> Response:
    item = {"table": "mallowpass-claims", "key": "a", "value": "YQ==", "ver": 7}
    body = json.dumps({"rows": [item], "ver": 9, "nowMs": 1000}).encode()
    return Response(status, body, headers=headers)


@pytest.mark.parametrize(
    ("value", "era"), [(b"4", 4), (b"", 0), (b"x", 0), (b"-1", 0), (b"99999", 0)]
)
def test_era_is_read_from_each_response(value, era):
    reply = _parse_reply(_response(((b"store-era", value),)))
    assert reply.era == era
    assert reply.version == make_version(era, 9)
    assert reply.rows[0].version == make_version(era, 7)


def test_response_of_a_store_without_eras_has_era_zero():
    reply = _parse_reply(_response(()))
    assert (reply.era, reply.version, reply.rows[0].version) == (0, 9, 7)


def test_era_is_read_from_a_refusal():
    assert _parse_reply(_response(((b"store-era", b"4"),), status=503)).era == 4


def test_relayed_versions_include_their_eras():
    version = make_version(3, 7)
    reply = StoreReply(
        StoreStatus.DONE, (Row(KEY, version, "a", "YQ=="),), make_version(3, 9)
    )
    relayed = _parse_relay_reply(render_rows(reply))
    assert (relayed.era, relayed.version) == (3, make_version(3, 9))
    assert relayed.rows[0].version == version


async def _check_restored_store(
    store: RowStore, timers: TimerService, port: int
) -> None:
    async def run_timers() -> None:
        while True:
            timers.advance(time.monotonic())
            timers.run_due()
            await asyncio.sleep(0.001)

    task = asyncio.create_task(run_timers())
    address = Address("127.0.0.1", port)
    await StoreServer(store).start(address)
    client = StoreClient(address)
    copy = store.copy()
    put = ChangeRows(expected=((KEY, 0),), puts=((KEY, "a"),))
    written = await client.call(put, 1.0)
    assert (written.status, written.era) == (StoreStatus.DONE, 1)
    again = ChangeRows(expected=((KEY, written.version),), puts=((KEY, "b"),))
    assert (await client.call(again, 1.0)).status is StoreStatus.DONE
    newest = (await client.call(ListRows(Table.CLAIMS), 1.0)).version
    store.come_back(copy, written_again=9.0)
    missed = await client.call(WatchRows(Table.CLAIMS, newest, 0.0), 1.0)
    assert (missed.status, missed.era) == (StoreStatus.HISTORY_GONE, 2)
    assert (await client.call(again, 1.0)).status is StoreStatus.CONFLICT
    listed = await client.call(ListRows(Table.CLAIMS), 1.0)
    assert listed.rows == ()
    assert listed.version > newest
    task.cancel()


def test_calls_to_a_store_restored_from_a_backup():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    timers = TimerService(time.monotonic())
    asyncio.run(
        asyncio.wait_for(_check_restored_store(RowStore(timers), timers, port), 5.0)
    )
