"""Case 8: a host that has just been started is stopped again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
import time
from pathlib import Path

from scene import (
    GRACE,
    Host,
    Record,
    Scene,
    await_ready,
    probe_hosts,
    run,
    work_time,
)

HOSTS = 3
SESSIONS = 30  # of the 152 that stand open on the sheet
OPERATIONS = 8  # of a session, at most: some sessions serve a single one
ROUTE, TIMEOUT = "rent-recon", 1.0
WORK_MEAN, WORK_MOST = 0.033, 0.082  # seconds, of the sheet
DURATION = 92.0  # seconds of traffic
START_LIMIT = 5.0  # seconds until a process listens
LOSS_SLACK = 0.2  # seconds; `lossSlackMs`


class Client:
    """Open sessions one after the other; each reads, one statement at a time."""

    def __init__(self, number: int, hosts: list[Host], record: Record) -> None:
        self._random = random.Random(number)
        self._hosts = hosts
        self._record = record
        self._name = f"c{number:02}"
        self._count = 0
        # Host, request, when it was sent, and when its connection ended instead.
        self.broken: list[tuple[Host, str, float, float]] = []
        self.answered = 0

    async def run(self, until: float) -> None:
        """Work until a time."""
        while time.monotonic() < until:
            ready = [host for host in self._hosts if host.in_rotation]
            if ready:
                with contextlib.suppress(OSError, TimeoutError):
                    await self._session(self._random.choice(ready), until)
            await asyncio.sleep(0.1)

    async def _session(self, host: Host, until: float) -> None:
        reader, writer = await asyncio.open_connection(host.front.host, host.front.port)
        try:
            writer.write(f"CONNECT {ROUTE} {self._name}\r\n".encode())
            async with asyncio.timeout(2.0):
                line = await reader.readline()
            for _ in range(self._random.randint(1, OPERATIONS)):
                if not line.startswith(b"READY") or time.monotonic() > until:
                    return
                await asyncio.sleep(self._random.uniform(0.02, 0.1))
                if reader.at_eof():
                    return
                line = await self._read(host, reader, writer)
        finally:
            writer.transport.abort()

    async def _read(self, host, reader, writer) -> bytes:
        self._count += 1
        request = f"{self._name}{self._count:08x}"
        item = f"{self._random.randrange(2000):x}"
        writer.write(f"QUERY {request} READ {item}\r\n".encode())
        sent_at = time.monotonic()
        self._record.write(f"{self._name} sends {request} READ {item} to {host.name}")
        while True:
            try:
                line = await reader.readline()
            except OSError:
                line = b""
            if not line.endswith(b"\r\n"):
                self.broken.append((host, request, sent_at, time.monotonic()))
                self._record.write(f"{self._name} loses {request}: connection ended")
                return b""
            if line.startswith(b"READY"):
                self.answered += 1
                self._record.write(f"{self._name} gets {request} answered")
                return line


async def _await_listening(host: Host) -> bool:
    """Wait until the process listens at its ready address, like the platform's probe.

    Its other sockets follow within milliseconds, and then it serves.
    """
    end = time.monotonic() + START_LIMIT
    while time.monotonic() < end and host.runs:
        with socket.socket() as probe:
            if probe.connect_ex((host.ready.host, host.ready.port)) == 0:
                return True
        await asyncio.sleep(0.0005)
    return False


async def _restart(
    host: Host, record: Record, stops: list[float], trouble: bool, until: float
) -> None:
    """Start a host and stop it right away, again and again, as the platform does."""
    while time.monotonic() + GRACE + 3.0 < until:
        await host.start()
        await _await_listening(host)
        if not trouble:
            await asyncio.sleep(GRACE)  # it is stopped when it has long been serving
        stops.append(time.monotonic())
        host.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE):
                code = await host.process.wait()
            record.write(f"host {host.name} ended with {code}")
        except TimeoutError:
            record.write(f"host {host.name} is killed after its grace: it still runs")
            await host.end()
        await asyncio.sleep(0.2)


def _judge(
    clients: list[Client], host: Host, stops: list[float], scene: Scene
) -> list[str]:
    """Return the requests that the rule LOST counts."""
    found = []
    for where, request, sent_at, closed_at in (b for c in clients for b in c.broken):
        asked = [t for t in stops if t <= closed_at]
        if where is not host or not asked or closed_at > max(asked) + GRACE + 1.0:
            continue
        after, waited = sent_at - max(asked), closed_at - sent_at
        was_run = request in scene.ran
        if not was_run and waited <= LOSS_SLACK:
            continue
        if waited >= TIMEOUT - 0.05 or after <= 3.0:
            continue  # the timeout was reached, or the database may be at work still
        found.append(
            f"LOST {request}, sent {after:.2f} s after the SIGTERM of {host.name},"
            f" {'passed on to a database' if was_run else 'not passed on'}: its"
            f" connection ended {waited:.3f} s later without an answer"
        )
    return found


async def _case(record: Record, folder: Path, trouble: bool) -> list[str] | None:
    scene = Scene(record)
    rng = random.Random(5)

    def work_of(request: str) -> float:
        if request:
            scene.ran.setdefault(request, time.monotonic())
            record.write(f"a database takes {request}")
        return work_time(rng, WORK_MEAN, WORK_MOST)

    scene.group.work_of = work_of
    hosts = [Host(scene, number, folder) for number in range(HOSTS)]
    *others, restarted = hosts
    tasks: list[asyncio.Task] = []
    try:
        await scene.begin()
        for host in others:
            await host.start()
        tasks.append(asyncio.create_task(probe_hosts(hosts)))
        if not await await_ready(others):
            return None
        until = time.monotonic() + DURATION
        clients = [Client(number, hosts, record) for number in range(SESSIONS)]
        work = [asyncio.create_task(client.run(until)) for client in clients]
        stops: list[float] = []
        await _restart(restarted, record, stops, trouble, until)
        for client in work:
            client.cancel()
        if not sum(client.answered for client in clients):
            return None
        return _judge(clients, restarted, stops, scene)
    finally:
        for task in tasks:
            task.cancel()
        for host in hosts:
            await host.end()
        scene.end()


if __name__ == "__main__":
    sys.exit(run(_case, Path(__file__).parent))
