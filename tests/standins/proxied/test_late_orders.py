"""Tests of orders to promote that are late at the platform's stand-in."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from mallowpass.platform.http import HttpClient, HttpError, Request
from mallowpass.standins.proxied.platform import LocalPlatform

FIRST, SECOND, THIRD = "db-casa-ainsebaa", "db-tanger-ksar", "db-agadir-anza"
LATE = 0.5  # seconds
ANSWER_LIMIT = 0.2
LEAD_LIMIT = 1.0  # seconds, more than an order that is late and the promotion take


async def _order(platform: LocalPlatform, endpoint: str, token: int) -> int:
    """Order a promotion; return the status."""
    headers = (
        ("Mallowpass-Lease-Holder", "host-0"),
        ("Mallowpass-Fencing-Token", str(token)),
    )
    body = json.dumps({"service": platform.group.service, "id": endpoint}).encode()
    request = Request("POST", "/promote", headers, body)
    client = HttpClient(platform.orders_address)
    return (await client.call(request, ANSWER_LIMIT)).status


def _run(test: Callable[[LocalPlatform], Awaitable[None]]) -> None:
    """Run a test on a platform where orders of SECOND are late."""

    async def run() -> None:
        platform = LocalPlatform()
        platform.orders.delay_of = lambda host, endpoint: (
            LATE if endpoint == SECOND else None
        )
        await platform.start(hosts=0)
        try:
            await test(platform)
        finally:
            platform.stop()

    asyncio.run(run())


def test_order_that_is_late_is_carried_out_without_an_answer():
    """Guard against a stand-in that drops an order as the host that sent it ends."""

    async def test(platform: LocalPlatform) -> None:
        with pytest.raises(HttpError, match="no response"):
            await _order(platform, SECOND, token=1)
        assert platform.group.primary.name == FIRST
        await asyncio.sleep(LEAD_LIMIT)
        assert platform.group.primary.name == SECOND

    _run(test)


def test_order_that_is_late_is_refused_once_a_newer_one_is_carried_out():
    """Guard against a stand-in that checks the fencing token as an order arrives."""

    async def test(platform: LocalPlatform) -> None:
        with pytest.raises(HttpError, match="no response"):
            await _order(platform, SECOND, token=1)
        assert await _order(platform, THIRD, token=2) == 200
        await asyncio.sleep(LEAD_LIMIT)
        assert platform.group.primary.name == THIRD
        assert platform.group.promotions == 1

    _run(test)


def test_order_that_is_late_is_no_newer_one_until_it_is_carried_out():
    """Guard against a stand-in that refuses orders for one that it has not run."""

    async def test(platform: LocalPlatform) -> None:
        with pytest.raises(HttpError, match="no response"):
            await _order(platform, SECOND, token=2)
        assert await _order(platform, THIRD, token=1) == 200
        await asyncio.sleep(LEAD_LIMIT)
        assert platform.group.primary.name == SECOND
        assert platform.group.promotions == 2

    _run(test)
