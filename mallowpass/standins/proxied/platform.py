"""The whole platform on loopback: store, orders and groups, and hosts in front."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import socket
import time
from collections.abc import Sequence
from typing import Any

from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Customer,
    Route,
    ServiceLimits,
    index_credentials,
)
from mallowpass.core.proxy.storage import EndpointEntry, RowKey, Table
from mallowpass.core.timers import TimerService
from mallowpass.platform.runtime import EXCEPTION_ESCAPED, HostRuntime
from mallowpass.platform.settings import Address, HostSettings
from mallowpass.standins.proxied.assumptions import ALL_HOLD, Assumptions
from mallowpass.standins.proxied.httpserver import OrderServer, StoreServer
from mallowpass.standins.proxied.replicas import Group, Replica
from mallowpass.standins.proxied.rows import RowStore
from mallowpass.standins.proxied.wireserver import ReplicaServer

__all__ = ["CONFIGURATION_KEY", "LocalPlatform", "MemoryLog", "claims_configuration"]

TICK = 0.002  # seconds between looks at what is due in the stand-ins
CONFIGURATION_KEY = RowKey(Table.CONFIGURATION, "", "config")
DOMAINS = ("casa-ainsebaa", "tanger-ksar", "agadir-anza")
STORE_PORT, ORDERS_PORT, REPLICA_PORT = 8783, 8784, 8080
CALLERS_PORT, READY_PORT = 8785, 8786
LINKS_PORT, LIMITS_PORT = 7440, 7442
GRACE = 2.0
RESERVED_NUMBER = 250  # of the address that a platform holds while it is there
RESERVE_TRIES = 50


def claims_configuration(
    version: int, service: str, customers: Sequence[Customer] = ()
) -> Configuration:
    """Return a configuration with a route of each kind, as the claims desk has.

    With customers, callers have to show their keys.
    """
    kinds = {
        "claim-filing": Consistency.PRIMARY,
        "tariff-lookup": Consistency.BOUNDED,
        "status-sync": Consistency.OWN_WRITES,
    }
    routes = {
        name: Route(name, service, kind, 0.8, 0.4, 1, accepted_age=1.5)
        for name, kind in kinds.items()
    }
    return Configuration(
        version,
        routes,
        {service: ServiceLimits(service, 22, 1)},
        authenticates_callers=bool(customers),
        customers={customer.name: customer for customer in customers},
        credential_owners=index_credentials(customers),
    )


class MemoryLog:
    """Keep log lines, for whoever runs hosts within a process of its own."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def write(
        self, level: str, event: str, fields: tuple[tuple[str, Any], ...]
    ) -> None:
        """Keep a line."""
        self.lines.append((event, dict(fields)))

    def fields(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of all lines of one event."""
        return [fields for name, fields in self.lines if name == event]


def _reserve(net: random.Random) -> tuple[str, socket.socket]:
    """Return the first three numbers of addresses that nobody has, and what holds them.

    Several processes play at once, and what listened for one that has ended may do so
    for a moment longer.
    """
    for _ in range(RESERVE_TRIES):
        prefix = f"127.{net.randrange(64, 250)}.{net.randrange(250)}"
        reservation = _bind(f"{prefix}.{RESERVED_NUMBER}", STORE_PORT)
        if reservation is None:
            continue
        used = ((1, STORE_PORT), (1, ORDERS_PORT), (10, CALLERS_PORT), (10, READY_PORT))
        probes = [_bind(f"{prefix}.{number}", port) for number, port in used]
        for probe in probes:
            if probe is not None:
                probe.close()
        if all(probe is not None for probe in probes):
            return prefix, reservation
        reservation.close()
    raise OSError(f"no free addresses in {RESERVE_TRIES} tries")


def _bind(host: str, port: int) -> socket.socket | None:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen()
    except OSError:
        sock.close()
        return None
    return sock


class LocalPlatform:
    """Run the stand-ins over sockets of the loopback range, in one event loop."""

    def __init__(
        self,
        service: str = "claims-core",
        seed: int | None = None,
        fences: bool = True,
        peers: bool = False,
        assumptions: Assumptions = ALL_HOLD,
    ) -> None:
        # Two processes that play the same seed at once must not meet: the second one
        # would find its addresses in use.
        net = random.Random(f"{time.time_ns() if seed is None else seed} {os.getpid()}")
        self._prefix, self._reservation = _reserve(net)
        self._timers = TimerService(time.monotonic())
        self._tick: asyncio.Task[None] | None = None
        self.store = RowStore(self._timers)
        names = [f"db-{domain}" for domain in DOMAINS]
        self.fences = fences
        self._peers = peers  # hosts may call each other
        # Where no fence is checked, a replaced primary goes on as one for a while.
        self.group = Group(
            service,
            names,
            self._timers,
            goes_on=not fences,
            assumptions=assumptions,
        )
        self.group.on_role = self.enter
        self.orders = OrderServer({service: self.group}, fences)
        self._heartbeats = itertools.count(1)
        self.servers: dict[str, ReplicaServer] = {}
        self.hosts: list[HostRuntime] = []
        self.logs: list[MemoryLog] = []
        for number, name in enumerate(names):
            address = Address(f"{self._prefix}.{100 + number}", REPLICA_PORT)
            self.servers[name] = ReplicaServer(self.group, name, address)
        configuration = claims_configuration(1, service)
        self.store.put(CONFIGURATION_KEY, configuration)

    @property
    def orders_address(self) -> Address:
        """Return where orders to promote are taken."""
        return self._address(1, ORDERS_PORT)

    async def start(self, hosts: int = 2) -> None:
        """Start the stand-ins, then hosts in front of them."""
        self._tick = asyncio.get_running_loop().create_task(self._run_timers())
        await StoreServer(self.store).start(self._address(1, STORE_PORT))
        await self.orders.start(self.orders_address)
        for server in self.servers.values():
            await server.start()
        for replica in self.group.replicas.values():
            self.enter(replica)
        for number in range(hosts):
            await self._start_host(number)

    async def _start_host(self, number: int) -> None:
        domain = DOMAINS[number % len(DOMAINS)]
        settings = HostSettings(
            name=f"{domain}-{number}",
            failure_domain=domain,
            regions={name: name for name in DOMAINS},
            callers=self.callers_address(number),
            ready=self._address(10 + number, READY_PORT),
            store=self._address(1, STORE_PORT),
            orders=self._address(1, ORDERS_PORT),
            grace=GRACE,
            fences=self.fences,
            peers=self._address(10 + number, LINKS_PORT) if self._peers else None,
            limits=self._address(10 + number, LIMITS_PORT) if self._peers else None,
        )
        log = MemoryLog()
        host = HostRuntime(settings, log)
        self.logs.append(log)
        self.hosts.append(host)
        await host.start()

    def callers_address(self, number: int) -> Address:
        """Return where a host listens for callers."""
        return self._address(10 + number, CALLERS_PORT)

    def release(self) -> None:
        """Let others have the addresses; nothing listens there any more."""
        self._reservation.close()

    def stop(self) -> None:
        """End the hosts and the stand-ins at once.

        RuntimeError if an exception escaped a handler of any host while they ran.
        """
        for host in self.hosts:
            host.abort()
        if self._tick is not None:
            self._tick.cancel()
        for server in self.servers.values():
            server.stop()
        self.release()
        escaped = [
            fields for log in self.logs for fields in log.fields(EXCEPTION_ESCAPED)
        ]
        if escaped:
            raise RuntimeError(f"exceptions escaped: {escaped}")

    def enter(self, replica: Replica, draining: bool = False) -> None:
        """Write a member's entry, as it does itself."""
        entry = EndpointEntry(
            name=replica.name,
            service=self.group.service,
            address=str(self.entered_address(replica.name)),
            failure_domain=replica.name.removeprefix("db-"),
            slots=self.group.slots,
            draining=draining,
            is_primary=replica.is_primary,
            started_at=replica.started_at,
            heartbeats=next(self._heartbeats),
        )
        self.store.put(RowKey(Table.ENDPOINTS, "", replica.name), entry)

    def entered_address(self, name: str) -> Address:
        """Return the address that a member's entry gives."""
        return self.servers[name].address

    def crash(self, name: str) -> None:
        """End a member: its connections are reset, nobody listens any more."""
        self.servers[name].stop()
        self.group.crash(name)

    async def restart(self, name: str) -> None:
        """Start a member that has ended again, under its name and with nothing."""
        self.group.start(name, empty=True)
        await self.servers[name].start()
        self.enter(self.group.replicas[name])

    def _address(self, number: int, port: int) -> Address:
        return Address(f"{self._prefix}.{number}", port)

    async def _run_timers(self) -> None:
        while True:
            self._timers.advance(time.monotonic())
            self._timers.run_due()
            await asyncio.sleep(TICK)
