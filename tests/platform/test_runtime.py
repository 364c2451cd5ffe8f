"""Reloading settings while a host runs."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from mallowpass.core.messages import Woken
from mallowpass.core.proxy.effects import CallStore, Exit, SetReady
from mallowpass.core.proxy.events import StoreAnswered
from mallowpass.core.proxy.registry import SYSTEMS
from mallowpass.core.proxy.storage import ListRows, StoreReply, StoreStatus, Table
from mallowpass.platform.runtime import EXCEPTION_ESCAPED, HostRuntime
from mallowpass.platform.settings import load_settings
from mallowpass.standins.proxied.platform import MemoryLog

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


def test_change_is_in_force_and_told(tmp_path):
    text = TEXT.replace("graceS = 6", "graceS = 4").replace("8784", "8799")
    host, log = _reload(tmp_path / "local.toml", text)
    assert host._settings.grace == 4.0
    assert host._settings.callers.port == 8784
    assert log.fields("reloaded") == [
        {"changed": "callers,grace", "at_next_start": "callers"}
    ]


def test_wrong_file_changes_nothing(tmp_path):
    host, log = _reload(tmp_path / "local.toml", TEXT.replace("zone", "zonk"))
    assert host._settings.failure_domain == "casa"
    assert "zone" in str(log.fields("reload_refused")[0]["why"])


# Sends itself a signal after the program has begun, and before it has its settings.
EARLY = """
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
def test_signal_before_the_settings_are_read(tmp_path, name, code):
    """Symptom: a host dies of a signal. Sequence: the signal comes while it starts."""
    environment = os.environ | {"MALLOWPASS_NODE_FILE": str(tmp_path / "none")}
    command = [sys.executable, "-c", EARLY, name]
    done = subprocess.run(command, env=environment, capture_output=True, timeout=20)
    assert done.returncode == code, done.stderr
    assert done.returncode != -getattr(signal, name)


def _with_host(tmp_path: Path, use) -> MemoryLog:
    async def run() -> MemoryLog:
        path = tmp_path / "local.toml"
        path.write_text(TEXT)
        log = MemoryLog()
        use(HostRuntime(load_settings(path), log, path))
        return log

    return asyncio.run(run())


def test_an_exception_of_one_handler_ends_nothing_beside_it(tmp_path):
    """Callers are cut without an answer, and nothing tells why.

    A handler raised. What other handlers had decided about the same event was dropped,
    and the socket that had brought the event was closed.
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


def test_an_effect_that_fails_takes_no_other_one_along(tmp_path):
    def use(host: HostRuntime) -> None:
        host._carry_out([object(), SetReady(True)])
        assert host.ready

    log = _with_host(tmp_path, use)
    assert [line["during"] for line in log.fields(EXCEPTION_ESCAPED)] == ["object"]


def test_nothing_is_begun_after_the_core_has_stopped(tmp_path, monkeypatch):
    """Symptom: a host that stops logs an exception, "Task was destroyed but it is
    pending!".

    Sequence: it is told to stop while a call to the store is under way. Cause: the call
    was cancelled, told the core that it got no answer, and the core began another one,
    which the closing event loop did not know of.
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
