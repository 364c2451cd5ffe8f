"""End-to-end tests over sockets: callers, hosts, replicas, store and promotions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import wraps

import pytest

from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.platform import wire
from mallowpass.platform.http import HttpClient, Request
from mallowpass.platform.runtime import METRICS_PATH, METRICS_PORT
from mallowpass.platform.settings import Address
from mallowpass.standins.proxied.caller import CallerError, WireCaller
from mallowpass.standins.proxied.platform import (
    CONFIGURATION_KEY,
    LocalPlatform,
    claims_configuration,
)

TEST_TIMEOUT = 20.0  # seconds
REQUEST_ID = "i"


def on_platform(test: Callable[[LocalPlatform], Awaitable[None]]) -> Callable[[], None]:
    """Run a test on two hosts in front of the stand-ins."""

    @wraps(test)
    def run() -> None:
        asyncio.run(_run(test))

    del run.__wrapped__  # otherwise pytest takes the parameter for a fixture
    return run


async def _run(test: Callable[[LocalPlatform], Awaitable[None]]) -> None:
    platform = LocalPlatform()
    async with asyncio.timeout(TEST_TIMEOUT):
        await platform.start()
        try:
            while not all(host.ready for host in platform.hosts):
                await asyncio.sleep(0.01)
            await test(platform)
        finally:
            platform.stop()


@on_platform
async def test_statements_of_a_session(platform):
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    written = await caller.run("WRITE a 1")
    assert (written.code, written.text, written.state) == (
        "DONE",
        "db-casa-ainsebaa",
        "I",
    )
    assert (await caller.run("READ a")).rows == ("1",)
    assert (await caller.run("SET role clerk")).code == "DONE"
    assert (await caller.run("PREPARE s1 WRITE q1")).code == "DONE"
    assert (await caller.run("EXEC s1 a 2 b")).code == "DONE"
    assert (await caller.run("BEGIN READ")).state == "T"
    assert (await caller.run("READ a")).rows == ("2 b",)
    assert (await caller.run("COMMIT")).state == "I"
    await caller.close()


def _sized(start: str, line_bytes: int) -> str:
    """Return a statement that fills a line of a caller up to a length."""
    head = len(f"QUERY {REQUEST_ID} {start}") + len("\r\n")
    return start + "x" * (line_bytes - head)


@on_platform
async def test_statements_as_long_as_a_message(platform):
    """Guard against a statement that ends a shared connection, and ends in doubt.

    A host made its line longer than the database takes.
    """
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    shape = "q" * 600_000
    assert (await caller.run(f"PREPARE long WRITE {shape}")).code == "DONE"
    assert (await caller.run("PREPARE s WRITE q2c")).code == "DONE"
    assert (await caller.run("EXEC long a 1")).code == "DONE"
    assert (await caller.run("EXEC s b 1")).code == "DONE"
    written = await caller.run(_sized("WRITE c ", wire.MAX_LINE_BYTES), REQUEST_ID)
    assert written.code == "DONE"
    for start in ("EXEC s a ", "PREPARE t WRITE ", "READ "):
        text = _sized(start, wire.MAX_LINE_BYTES)
        began = time.monotonic()
        refused = await caller.run(text, REQUEST_ID)
        assert (refused.code, refused.state) == ("BUSY", "I")
        assert time.monotonic() - began < 1.0
    assert (await caller.run("READ a")).rows == ("1",)
    assert not any(log.fields("connection_lost") for log in platform.logs)


@on_platform
async def test_transaction_fails_with_a_statement_that_is_too_long(platform):
    """Guard against a transaction of which one statement is left out."""
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    assert (await caller.run("PREPARE s WRITE q2c")).code == "DONE"
    assert (await caller.run("BEGIN")).code == "DONE"
    assert (await caller.run("EXEC s a 1")).code == "DONE"
    text = _sized("EXEC s a ", wire.MAX_LINE_BYTES)
    refused = await caller.run(text, REQUEST_ID)
    assert (refused.code, refused.state) == ("BUSY", "E")
    assert (await caller.run("COMMIT")).code == "ABORTED"
    assert (await caller.run("READ a")).rows == ("",)
    assert not any(log.fields("connection_lost") for log in platform.logs)


@on_platform
async def test_refusals_of_long_texts_are_messages(platform):
    """Guard against a refusal that repeats a text, and is longer than a message."""
    address = platform.callers_address(0)
    caller = await WireCaller.connect(address, "status-sync")
    name = "\udcff" * (wire.MAX_LINE_BYTES - 200)
    for text in (f"DEALLOC {name}", f"EXEC {name} a 1"):
        refused = await caller.run(text)
        assert refused.code == "NOSTMT"
        assert len(refused.text) < 5_000
    with pytest.raises(CallerError, match="ERR NODB") as refusal:
        await WireCaller.connect(address, "x" * (wire.MAX_LINE_BYTES - 200))
    assert len(str(refusal.value)) < 5_000


def test_two_platforms_never_share_addresses():
    """Guard against tests that fail because another test uses the same addresses."""
    one, other = LocalPlatform(seed=7), LocalPlatform(seed=7)
    assert one.callers_address(0) != other.callers_address(0)
    one.release()
    other.release()


@on_platform
async def test_unknown_database(platform):
    with pytest.raises(CallerError, match="ERR NODB"):
        await WireCaller.connect(platform.callers_address(0), "nowhere")


@on_platform
async def test_malformed_statement(platform):
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    for text in ("AFTER 1.1 READ a", "STATUS", "READ", "WRITE a", "FLY"):
        assert (await caller.run(text)).code == "MALFORMED"
    assert (await caller.run("READ a")).code == "DONE"


@on_platform
async def test_new_route_takes_effect_without_restart(platform):
    configuration = claims_configuration(2, "claims-core")
    routes = dict(configuration.routes)
    routes["new"] = replace(routes["status-sync"], database="new")
    platform.store.put(CONFIGURATION_KEY, replace(configuration, routes=routes))
    await asyncio.sleep(0.3)
    caller = await WireCaller.connect(platform.callers_address(1), "new")
    assert (await caller.run("READ a")).code == "DONE"


@on_platform
async def test_crashed_primary_is_replaced(platform):
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    other = await WireCaller.connect(platform.callers_address(1), "claim-filing")
    for number in range(10):
        assert (await caller.run(f"WRITE a {number}")).code == "DONE"
    platform.crash("db-casa-ainsebaa")
    began = time.monotonic()
    while (await other.run("WRITE b 1")).code != "DONE":
        assert time.monotonic() - began < 8.0
    assert (await caller.run("READ a")).rows == ("9",)
    assert platform.group.lost == []


@on_platform
async def test_primary_that_restarts_empty_is_replaced(platform):
    """Guard against reads that return no rows, and against writes that all fail.

    The primary crashes and restarts at once without data, under the same name and
    address. The hosts take it for the primary with its former data.
    """
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    assert (await caller.run("WRITE a 1")).code == "DONE"
    platform.crash("db-casa-ainsebaa")
    await platform.restart("db-casa-ainsebaa")
    began = time.monotonic()
    while (await caller.run("WRITE b 1")).code != "DONE":
        assert time.monotonic() - began < 8.0
    assert (await caller.run("READ a")).rows == ("1",)
    assert platform.group.primary.name != "db-casa-ainsebaa"
    assert platform.group.lost == []
    assert all(log.fields("endpoint_restarted") for log in platform.logs)


@on_platform
async def test_unreadable_store_entries_are_ignored(platform):
    """Guard against a host that loses all endpoints because of unreadable rows."""
    for number, value in enumerate((b"\xff", b"[" * 100_000, b"{}", b"null")):
        key = RowKey(Table.ENDPOINTS, "", f"db-stray-{number}")
        platform.store.put(key, value)
    platform.store.put(RowKey(Table.HOSTS, "", "host-stray"), b"\xff\xfe")
    platform.store.put(CONFIGURATION_KEY, b"\xff")
    await asyncio.sleep(0.5)
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    for number in range(10):
        assert (await caller.run(f"WRITE a {number}")).code == "DONE"
        assert (await caller.run("READ a")).rows == (str(number),)
    for log in platform.logs:
        assert len(log.fields("endpoint_entry_unreadable")) == 4
        assert len(log.fields("configuration_unreadable")) == 1


@on_platform
async def test_stopping_host_finishes_open_transactions(platform):
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    await caller.run("BEGIN")
    await caller.run("WRITE a 1")
    platform.hosts[0].stop()
    assert not platform.hosts[0].ready
    assert (await caller.run("COMMIT")).code == "DONE"
    with pytest.raises((CallerError, ConnectionError)):
        # The host closes sessions after callers had time to move to other hosts.
        while True:
            await asyncio.sleep(0.35)
            await caller.run("READ a")


@on_platform
async def test_metrics_endpoint(platform):
    caller = await WireCaller.connect(platform.callers_address(0), "status-sync")
    await caller.run("WRITE a 1")
    address = Address(platform.callers_address(0).host, METRICS_PORT)
    request = Request("GET", METRICS_PATH)
    response = await HttpClient(address).call(request, 2.0)
    text = response.body.decode()
    assert 'mallowpass_statements_total{code="done"} 1.0' in text
    assert "mallowpass_statement_seconds_bucket" in text
