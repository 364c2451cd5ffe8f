"""Signals, reloading of settings, and uncaught exceptions of a running host."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from mallowpass.core.messages import Woken
from mallowpass.core.proxy.effects import CallStore, Exit, SetReady
from mallowpass.core.proxy.events import LinkOpened, SessionOpened, StoreAnswered
from mallowpass.core.proxy.registry import SYSTEMS
from mallowpass.core.proxy.storage import ListRows, StoreReply, StoreStatus, Table
from mallowpass.platform.http import HttpServer
from mallowpass.platform.lineserver import LineServer
from mallowpass.platform.runtime import EXCEPTION_ESCAPED, HostRuntime
from mallowpass.platform.settings import Address, load_settings
from mallowpass.platform.store import FEED_PATH
from mallowpass.standins.proxied.platform import MemoryLog
from mallowpass.versions import program_version

TEXT = """
nodeName = "h"
zone = "casa"
[listen]
front = "127.0.0.1:8784"
ready = "127.0.0.1:8785"
[bounds]
graceS = 6
[platform]
address = "127.0.0.1:8783"
"""


def _reload(path: Path, text: str) -> tuple[HostRuntime, MemoryLog]:
    async def run() -> tuple[HostRuntime, MemoryLog]:
        path.write_text(TEXT)
        log = MemoryLog()
        host = HostRuntime(load_settings(path), log, path)
        path.write_text(text)
        host.reload()
        return host, log

    return asyncio.run(run())


def test_reload_applies_and_logs_changes(tmp_path):
    text = TEXT.replace("graceS = 6", "graceS = 4").replace("8784", "8799")
    host, log = _reload(tmp_path / "local.toml", text)
    assert host._settings.grace == 4.0
    assert host._settings.callers.port == 8784
    assert log.fields("reloaded") == [
        {"changed": "callers,grace", "at_next_start": "callers"}
    ]


def test_reload_of_invalid_file_changes_nothing(tmp_path):
    host, log = _reload(tmp_path / "local.toml", TEXT.replace("zone", "zonk"))
    assert host._settings.failure_domain == "casa"
    assert "zone" in str(log.fields("reload_refused")[0]["why"])


# Sends a signal to its own process after its start, and before it has read
# its settings.
SIGNAL_DURING_START = """
import os, signal, sys
from mallowpass.platform import __main__ as program, settings
def load(path):
    os.kill(os.getpid(), getattr(signal, sys.argv[1]))
    raise settings.SettingsError("late")
settings.load_settings = load
program.main()
"""
EXIT_SETTINGS = 3


@pytest.mark.parametrize(("name", "code"), [("SIGHUP", EXIT_SETTINGS), ("SIGTERM", 0)])
def test_signal_before_settings_are_read(tmp_path, name, code):
    """Guard against a host that is killed by a signal while it starts."""
    environment = os.environ | {"MALLOWPASS_NODE_FILE": str(tmp_path / "none")}
    command = [sys.executable, "-c", SIGNAL_DURING_START, name]
    done = subprocess.run(command, env=environment, capture_output=True, timeout=20)
    assert done.returncode == code, done.stderr
    assert done.returncode != -getattr(signal, name)


# Sends a signal to its own process once it has read its settings, which change then,
# and ends a moment after its start.
SIGNAL_AFTER_SETTINGS = """
import asyncio, os, pathlib, signal, sys
from mallowpass.platform import __main__ as program, runtime, settings
path = pathlib.Path(os.environ["MALLOWPASS_NODE_FILE"])
load = settings.load_settings
def load_and_signal(source):
    found = load(source)
    settings.load_settings = load
    path.write_text(path.read_text().replace("graceS = 6", "graceS = 4"))
    os.kill(os.getpid(), signal.SIGHUP)
    return found
settings.load_settings = load_and_signal
async def start(self):
    asyncio.get_running_loop().call_later(0.2, self._stopped.set)
runtime.HostRuntime.start = start
program.main()
"""


def test_a_reload_signal_after_the_settings_are_read_is_kept(tmp_path):
    """Guard against changed settings that are read at the next signal only."""
    path = tmp_path / "local.toml"
    path.write_text(TEXT)
    environment = os.environ | {"MALLOWPASS_NODE_FILE": str(path)}
    command = [sys.executable, "-c", SIGNAL_AFTER_SETTINGS]
    done = subprocess.run(command, env=environment, capture_output=True, timeout=20)
    assert done.returncode == 0, done.stderr
    assert b"event=reloaded changed=grace" in done.stdout + done.stderr


def test_a_host_that_is_told_to_stop_while_it_starts_ends(tmp_path, monkeypatch):
    """Guard against a SIGTERM that is dropped while the servers are started."""
    monkeypatch.setattr(HttpServer, "start", _send_term)
    monkeypatch.setattr(LineServer, "start", _yield)

    async def run() -> None:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        async with asyncio.timeout(2.0):
            await HostRuntime(load_settings(path), MemoryLog(), path).run()

    asyncio.run(run())


async def _send_term(server: object, address: Address) -> None:
    os.kill(os.getpid(), signal.SIGTERM)
    await asyncio.sleep(0.01)


async def _yield(server: object, address: Address) -> None:
    await asyncio.sleep(0)


def test_events_before_the_start_of_the_core_are_handled_after_it(
    tmp_path, monkeypatch
):
    """Guard against links and sessions that are dropped while the servers start."""
    monkeypatch.setattr(HttpServer, "start", _yield)
    monkeypatch.setattr(LineServer, "start", _yield)
    handled: list[object] = []

    async def run() -> None:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        host = HostRuntime(load_settings(path), MemoryLog(), path)
        for kind in (SessionOpened, LinkOpened):
            host._node.subscribe(kind, handled.append)
        early = [SessionOpened(1, "d", None), LinkOpened(2, "h2", "s", "e")]
        for event in early:
            host.handle(event)
        assert handled == []
        await host.start()
        assert handled == early
        host.abort()

    asyncio.run(run())


def test_a_host_that_starts_tells_its_version(tmp_path, monkeypatch):
    """Guard against a record of many hosts that does not date any of them."""
    monkeypatch.setattr(HttpServer, "start", _yield)
    monkeypatch.setattr(LineServer, "start", _yield)

    async def run() -> MemoryLog:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        log = MemoryLog()
        host = HostRuntime(load_settings(path), log, path)
        await host.start()
        assert host._node.tables.version == program_version()
        host.abort()
        return log

    (line,) = asyncio.run(run()).fields("started")
    assert line["version"] == program_version()


def _with_host(tmp_path: Path, use) -> MemoryLog:
    async def run() -> MemoryLog:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        log = MemoryLog()
        use(HostRuntime(load_settings(path), log, path))
        return log

    return asyncio.run(run())


def test_exception_in_one_handler_does_not_stop_other_handlers(tmp_path):
    """Guard against callers that are disconnected without an answer or a log line.

    If an exception in one handler leaves the core, the effects of the other handlers of
    the same event are lost, and the socket on which the event arrived is closed.
    """
    reached = []

    def fail(event: Woken) -> None:
        raise OverflowError("no number")

    def use(host: HostRuntime) -> None:
        host._node.subscribe(Woken, fail)
        host._node.subscribe(Woken, reached.append)
        host._wake()
        assert b"exception_escaped" in host._metrics.render(host._node.tables)

    log = _with_host(tmp_path, use)
    assert len(reached) == 1
    (line,) = log.fields(EXCEPTION_ESCAPED)
    assert line["kind"] == "OverflowError"
    assert "test_runtime" in line["where"]


def test_failed_effect_does_not_stop_other_effects(tmp_path):
    def use(host: HostRuntime) -> None:
        host._carry_out([object(), SetReady(True)])
        assert host.ready

    log = _with_host(tmp_path, use)
    assert [line["during"] for line in log.fields(EXCEPTION_ESCAPED)] == ["object"]


def test_no_call_is_started_after_shutdown(tmp_path, monkeypatch):
    """Guard against the log line "Task was destroyed but it is pending!" at shutdown.

    The host stops while a call to the store is in flight. If the cancelled call is
    reported to the core as unanswered, the core starts another call, which the closing
    event loop does not cancel.
    """

    async def stop_at_once(host: HostRuntime) -> None:
        host._apply(Exit())

    monkeypatch.setattr(HostRuntime, "start", stop_at_once)

    async def run() -> int:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        host = HostRuntime(load_settings(path), MemoryLog(), path)
        host._node.start(SYSTEMS)
        await host.run()
        before = len(host._tasks)
        host.handle(StoreAnswered(1, StoreReply(StoreStatus.REFUSED)))
        host._carry_out([CallStore(2, ListRows(Table.HOSTS), 1.0)])
        return len(host._tasks) - before

    assert asyncio.run(run()) == 0


def _connect(address: Address, data: bytes) -> socket.socket | None:
    """Connect and send data; return None if nobody listens there."""
    try:
        connection = socket.create_connection((address.host, address.port), 1.0)
    except ConnectionRefusedError:
        return None
    connection.sendall(data)
    return connection


def test_a_host_that_has_stopped_begins_no_task_for_what_arrives(tmp_path, monkeypatch):
    """Guard against the log line "Task was destroyed but it is pending!" at shutdown.

    Other hosts connect again and ask for changes until the process is gone. The event
    loop cancels no task that begins while it ends.
    """
    host_name = f"127.{random.randrange(2, 60)}.{random.randrange(250)}.9"
    addresses = [Address(host_name, port) for port in (8781, 8782, 8783, 8784)]
    request = f"GET {FEED_PATH}?table=servers&after=1&waitMs=900 HTTP/1.1\r\n"
    data = f"{request}Host: h\r\n\r\n".encode()
    connections: list[socket.socket | None] = []

    async def serve_and_stop(host: HostRuntime) -> None:
        servers = (
            host._feed_server,
            host._ready_server,
            host._link_server,
            host._allowance_server,
        )
        for server, address in zip(servers, addresses, strict=True):
            await server.start(address)
        connections.append(_connect(addresses[0], b""))
        await asyncio.sleep(0.05)
        host._apply(Exit())

    monkeypatch.setattr(HostRuntime, "start", serve_and_stop)

    async def run() -> set[asyncio.Task]:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        await HostRuntime(load_settings(path), MemoryLog(), path).run()
        before = asyncio.all_tasks()
        connections[0].sendall(data)
        connections.extend(_connect(address, data) for address in addresses)
        await asyncio.sleep(0)
        begun: set[asyncio.Task] = set()
        for _ in range(5):
            await asyncio.sleep(0.01)
            begun |= asyncio.all_tasks() - before
        return begun

    begun = asyncio.run(run())
    for connection in connections:
        if connection is not None:
            connection.close()
    assert begun == set()
    assert connections[1:] == [None] * len(addresses)
