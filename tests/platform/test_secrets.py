"""Callers' keys appear in no output of a host: logs, answers, metrics or calls."""

from __future__ import annotations

import asyncio
import json

import pytest

from mallowpass.platform.documents import CONSISTENCY_BY_ROUTE_TYPE
from mallowpass.platform.http import HttpClient, Request
from mallowpass.platform.runtime import METRICS_PATH, METRICS_PORT
from mallowpass.platform.settings import Address
from mallowpass.standins.proxied.caller import CallerError, WireCaller
from mallowpass.standins.proxied.platform import CONFIGURATION_KEY, LocalPlatform

KEYS = ("nirth5mgjy5rcpihhacr", "uddedev3nax7u27gxpry", "kafigo3wexo1dimu7yst")
UNKNOWN = "zzplq9vunknownkey0a"
MISTYPED = ("nirth5mgjy5rcpihhacs", "nirth5 mgjy5rcpihhacr", "uddedev3nax7u27gxpry ")
TEST_TIMEOUT = 20.0  # seconds


def _document(version: int, *customers: dict) -> bytes:
    routes = [
        {
            "host": kind,
            "service": "claims-core",
            "routeType": kind,
            "timeoutMs": 800,
            "maxStalenessMs": 1500,
        }
        for kind in CONSISTENCY_BY_ROUTE_TYPE
    ]
    service = {"name": "claims-core", "maxConns": 22, "syncReplicas": 1}
    document = {
        "version": version,
        "routes": routes,
        "services": [service],
        "tenants": list(customers),
    }
    return json.dumps(document).encode()


def _customer(name: str, *keys: str) -> dict:
    return {"name": name, "apiKeys": keys, "ratePerS": 50, "burst": 50}


async def _run(platform: LocalPlatform) -> str:
    """Connect callers with valid and invalid keys; return all output of the hosts."""
    address = platform.callers_address(0)
    received = []
    for key in (UNKNOWN, *MISTYPED, ""):
        with pytest.raises(CallerError, match="ERR NOAUTH") as caught:
            await WireCaller.connect(address, "primary", key)
        received.append(str(caught.value))
    callers = [await WireCaller.connect(address, "primary", key) for key in KEYS]
    for caller in callers:
        answer = await caller.run("WRITE a 1")
        received.append(answer.text)
        while answer.code != "DONE":  # until the parts of the rate limits have keepers
            await asyncio.sleep(0.1)
            answer = await caller.run("WRITE a 1")
            received.append(answer.text)
    # One key is revoked. Then an invalid configuration gives a key to two customers.
    remaining = (_customer("acme", KEYS[0]), _customer("berth", KEYS[2]))
    platform.store.put(CONFIGURATION_KEY, _document(2, *remaining))
    await asyncio.sleep(0.4)
    received.append((await callers[1].run("READ a")).text)
    assert (await callers[1].run("READ a")).code == "NOAUTH"
    invalid = (_customer("acme", KEYS[0]), _customer("berth", KEYS[0]))
    platform.store.put(CONFIGURATION_KEY, _document(3, *invalid))
    await asyncio.sleep(0.4)
    assert (await callers[0].run("READ a")).code == "DONE"
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(f"CONNEXT primary {KEYS[0]}\r\n".encode())
    received.append((await reader.read()).decode())
    metrics = HttpClient(Address(address.host, METRICS_PORT))
    response = await metrics.call(Request("GET", METRICS_PATH), 1.0)
    received.append(response.body.decode())
    log_lines = [line for log in platform.logs for line in log.lines]
    assert platform.logs[0].fields("configuration_unreadable")
    customers = {
        connection.customer
        for replica in platform.group.replicas.values()
        for connection in replica.connections
    }
    assert {"acme", "berth"} <= customers
    return repr((received, log_lines, customers))


def test_no_key_appears_in_output():
    async def run() -> str:
        platform = LocalPlatform(peers=True)
        customers = (_customer("acme", *KEYS[:2]), _customer("berth", KEYS[2]))
        platform.store.put(CONFIGURATION_KEY, _document(1, *customers))
        async with asyncio.timeout(TEST_TIMEOUT):
            await platform.start()
            try:
                while not all(host.ready for host in platform.hosts):
                    await asyncio.sleep(0.01)
                return await _run(platform)
            finally:
                platform.stop()

    output = asyncio.run(run())
    for key in (*KEYS, UNKNOWN, *MISTYPED):
        assert key.strip() not in output
