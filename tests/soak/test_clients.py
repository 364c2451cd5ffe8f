"""Tests of what callers of the soak find; no host is started here."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from mallowpass.platform.settings import Address
from mallowpass.standins.proxied.caller import WireCaller
from tests.soak.clients import Client, Findings
from tests.soak.judge import LOST

LIMIT = 10.0  # seconds


class _Caller:
    """Answer that all is done, and show nothing of it."""

    async def run(self, text: str) -> SimpleNamespace:
        """Return the answer."""
        await asyncio.sleep(0)
        return SimpleNamespace(code="DONE", text="-", rows=("0",), state="T")

    async def close(self) -> None:
        """Close."""


@pytest.fixture
def find(monkeypatch):
    """Return a function that tells what a client finds, by what the leader holds."""

    async def connect(*_) -> _Caller:
        return _Caller()

    monkeypatch.setattr(WireCaller, "connect", connect)

    async def run(is_kept: bool) -> Findings:
        findings = Findings()
        client = Client(
            "k0",
            [Address("127.0.0.1", 1)],
            findings,
            1,
            lambda endpoint, item, number: "",
            lambda item, number: is_kept,
            "demo",
        )
        task = asyncio.create_task(client.run())
        async with asyncio.timeout(LIMIT):
            while not findings.broken:
                await asyncio.sleep(0.01)
            client.stopping = True
            await task
        return findings

    return lambda is_kept: asyncio.run(run(is_kept))


def test_a_read_that_misses_a_write_that_the_leader_has_is_no_lost_commit(find):
    """Guard against stale reads that are taken for a loss that is known."""
    findings = find(True)
    assert "after its own" in findings.broken[0]
    assert LOST not in findings.broken[0]


def test_a_read_that_misses_a_write_that_was_lost_is_told_as_such(find):
    """Guard against losses that look like stale reads."""
    assert all(LOST in finding for finding in find(False).broken)


def test_writes_that_were_answered_are_remembered(find):
    """Guard against a judge that is not told what callers were told to be done."""
    findings = find(True)
    assert "k0 1" in findings.answered
    assert not findings.answered & findings.promised
