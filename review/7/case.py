"""Case 7: a rolling restart under transactions that last some seconds."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from dataclasses import dataclass, field
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

HOSTS = 4
SESSIONS = 96  # of the 152 that stand open on the sheet
STATEMENTS = 12  # of a transaction, its BEGIN and COMMIT included: the page's most
PAUSE = (0.2, 0.5)  # seconds between two statements of a transaction
DURATION = 98.0  # seconds of traffic
ROUTE, TIMEOUT, DEADLINE = "carrier-view", 3.0, 6.0
LOSS_SLACK = 0.2  # seconds; `lossSlackMs`
WORK_MEAN, WORK_MOST = 0.055, 0.41  # seconds, of the sheet


@dataclass
class Sent:
    """A statement of a client, and how its answer ended."""

    request: str
    host: Host
    sent_at: float
    began_at: float  # when the client began the transaction
    closed_at: float | None = None  # the connection ended without a complete answer


@dataclass
class Stops:
    """When each host got SIGTERM."""

    at: dict[str, list[float]] = field(default_factory=dict)


class Client:
    """One session after the other, each with one transaction after the other."""

    def __init__(self, number: int, hosts: list[Host], record: Record) -> None:
        self._random = random.Random(number)
        self._hosts = hosts
        self._record = record
        self._name = f"c{number:02}"
        self._count = 0
        self.broken: list[Sent] = []
        self.answered = 0

    async def run(self, until: float) -> None:
        """Work until a time."""
        while time.monotonic() < until:
            ready = [host for host in self._hosts if host.in_rotation]
            if not ready:
                await asyncio.sleep(0.1)
                continue
            host = self._random.choice(ready)
            with contextlib.suppress(OSError):  # it doesn't listen any more
                await self._session(host, until)
            await asyncio.sleep(0.05)

    async def _session(self, host: Host, until: float) -> None:
        reader, writer = await asyncio.open_connection(host.front.host, host.front.port)
        try:
            writer.write(f"CONNECT {ROUTE} {self._name}\r\n".encode())
            async with asyncio.timeout(2.0):
                line = await reader.readline()
            if not line.startswith(b"READY"):
                return
            while time.monotonic() < until:
                if not await self._transaction(host, reader, writer):
                    return
                await asyncio.sleep(self._random.uniform(*PAUSE))
        except TimeoutError:
            return
        finally:
            writer.transport.abort()

    async def _transaction(self, host, reader, writer) -> bool:
        """Run a transaction; tell whether the session may go on."""
        began_at = time.monotonic()
        reads = [f"READ {self._random.randrange(2000):x}" for _ in range(10)]
        for text in ("BEGIN READ", *reads, "COMMIT"):
            state = await self._statement(host, reader, writer, text, began_at)
            expected = "I" if text == "COMMIT" else "T"
            if state != expected:
                return False
            if text != "COMMIT":
                await asyncio.sleep(self._random.uniform(*PAUSE))
        return True

    async def _statement(self, host, reader, writer, text, began_at) -> str:
        self._count += 1
        request = f"{self._name}{self._count:08x}"
        if reader.at_eof():
            return ""  # closed before: nothing is sent
        writer.write(f"QUERY {request} {text}\r\n".encode())
        sent = Sent(request, host, time.monotonic(), began_at)
        self._record.write(f"{self._name} sends {request} {text} to {host.name}")
        code = ""
        while True:
            line = await self._line(reader)
            if not line.endswith(b"\r\n"):
                sent.closed_at = time.monotonic()
                self.broken.append(sent)
                self._record.write(f"{self._name} loses {request}: connection ended")
                return ""
            word, _, rest = line[:-2].decode().partition(" ")
            if word in ("DONE", "ERR"):
                code = f"{word} {rest}"
            if word == "READY":
                self.answered += 1
                self._record.write(f"{self._name} gets {request} {code}")
                return rest.split(" ")[0]

    @staticmethod
    async def _line(reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.readline()
        except OSError:
            return b""


async def _roll(hosts: list[Host], record: Record, stops: Stops, until: float) -> None:
    """Stop the hosts and start them again, in turn, without end."""
    while True:
        for host in hosts:
            if time.monotonic() + GRACE + 2.0 > until:
                return
            stops.at.setdefault(host.name, []).append(time.monotonic())
            host.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE):
                    code = await host.process.wait()
                record.write(f"host {host.name} ended with {code}")
            except TimeoutError:
                record.write(f"host {host.name} is killed after its grace")
                await host.end()
            await host.start()
            await await_ready([host])


def _judge(clients: list[Client], stops: Stops, scene: Scene) -> list[str]:
    """Return the requests that the rule LOST counts."""
    found = []
    for sent in (sent for client in clients for sent in client.broken):
        asked = [t for t in stops.at.get(sent.host.name, []) if t <= sent.closed_at]
        if not asked or sent.closed_at > max(asked) + GRACE + 1.0:
            continue  # no planned work
        after = sent.sent_at - max(asked)
        waited = sent.closed_at - sent.sent_at
        ran_at = scene.ran.get(sent.request)
        if ran_at is None and waited <= LOSS_SLACK:
            continue  # it was not passed on, and ended soon
        if waited >= TIMEOUT - 0.05:
            continue  # the route's timeout was reached
        if sent.closed_at - sent.began_at >= DEADLINE:
            continue  # the deadline was reached
        if after <= 3.0:
            continue  # the database may have been at work in the last sixth
        passed = "not passed on" if ran_at is None else "passed on to a database"
        found.append(
            f"LOST {sent.request}, sent {after:.2f} s after the SIGTERM of"
            f" {sent.host.name}, {passed}: its connection ended {waited:.3f} s later"
            " without an answer"
        )
    return found


async def _case(record: Record, folder: Path, trouble: bool) -> list[str] | None:
    scene = Scene(record)
    rng = random.Random(4)

    def work_of(request: str) -> float:
        if request:
            scene.ran.setdefault(request, time.monotonic())
            record.write(f"a database takes {request}")
        return work_time(rng, WORK_MEAN, WORK_MOST)

    scene.group.work_of = work_of
    hosts = [Host(scene, number, folder) for number in range(HOSTS)]
    tasks: list[asyncio.Task] = []
    try:
        await scene.begin()
        for host in hosts:
            await host.start()
        tasks.append(asyncio.create_task(probe_hosts(hosts)))
        if not await await_ready(hosts):
            return None
        until = time.monotonic() + DURATION
        clients = [Client(number, hosts, record) for number in range(SESSIONS)]
        work = [asyncio.create_task(client.run(until)) for client in clients]
        await asyncio.sleep(3.0)
        stops = Stops()
        if trouble:
            tasks.append(asyncio.create_task(_roll(hosts, record, stops, until)))
        await asyncio.gather(*work)
        answered = sum(client.answered for client in clients)
        ended = sum(len(client.broken) for client in clients)
        record.write(f"{answered} statements answered, {ended} without an answer")
        if not answered:
            return None
        if not trouble and ended:
            return [f"LOST? {ended} connections ended without trouble"]
        return _judge(clients, stops, scene)
    finally:
        for task in tasks:
            task.cancel()
        for host in hosts:
            await host.end()
        scene.end()


if __name__ == "__main__":
    sys.exit(run(_case, Path(__file__).parent))
