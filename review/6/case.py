"""Case 6: a new primary restarts before it has acknowledged a commit."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

from scene import (
    GLENBRAID,
    Host,
    Record,
    Scene,
    await_ready,
    probe_hosts,
    run,
    work_time,
)

HOSTS = 3
WRITERS, READERS = 36, 16  # of the 152 sessions that stand open
PAUSE = (0.1, 1.5)  # seconds between two statements of a transaction
CALM = 4.0  # seconds of traffic before the first disruption
DEAF = 6.0  # seconds for which a replica receives nothing
BEHIND = 0.7  # seconds of that until the primary goes dark
DARK = 7.0  # seconds for which the primary is dark
LED = 1.2  # seconds for which its successor leads
AGAIN = 0.6  # seconds for which that one is dark
HEALED = 14.0  # seconds from the last disruption to the planned work
RECENT = 5.0  # seconds of reads by which the replica that is to leave is chosen
DRAIN = 7.0  # seconds; `drainMs`
LATER = 6.0  # seconds for which the database serves on after that
WORK_MEAN, WORK_MOST = {"r": 0.015, "w": 0.003}, 0.11  # seconds, of the sheet


class Client:
    """Open sessions; a writer runs transactions, a reader single reads."""

    def __init__(self, name: str, hosts: list[Host], record: Record) -> None:
        self._random = random.Random(name)
        self._hosts = hosts
        self._record = record
        self._name = name
        self._count = 0
        self.answered = 0
        self.sent: dict[str, tuple[str, float]] = {}  # host and time, by request

    async def run(self) -> None:
        """Work without end."""
        while True:
            ready = [host for host in self._hosts if host.in_rotation]
            if ready:
                with contextlib.suppress(OSError, TimeoutError):
                    await self._session(self._random.choice(ready))
            await asyncio.sleep(0.1)

    async def _session(self, host: Host) -> None:
        route = "loan-drawdown" if self._name[0] == "w" else "balance-view"
        reader, writer = await asyncio.open_connection(host.front.host, host.front.port)
        try:
            writer.write(f"CONNECT {route} {self._name}\r\n".encode())
            async with asyncio.timeout(2.0):
                line = await reader.readline()
            state = "I" if line.startswith(b"READY") else ""
            while state == "I":
                state = await self._operation(host, reader, writer)
                await asyncio.sleep(self._random.uniform(0.05, 0.3))
        finally:
            writer.transport.abort()

    async def _operation(self, host, reader, writer) -> str:
        item = f"{self._random.randrange(2000):x}"
        if self._name[0] == "r":
            return await self._statement(host, reader, writer, f"READ {item}")
        if self._random.random() < 0.2:
            return await self._statement(host, reader, writer, f"WRITE {item} data")
        for text in ("BEGIN", f"WRITE {item} data", "COMMIT"):
            state = await self._statement(host, reader, writer, text)
            if state != "T":
                break
            await asyncio.sleep(self._random.uniform(*PAUSE))
        if state == "E":
            state = await self._statement(host, reader, writer, "ROLLBACK")
        return state

    async def _statement(self, host, reader, writer, text) -> str:
        self._count += 1
        request = f"{self._name}-{self._count:06x}"
        if reader.at_eof():
            return ""
        writer.write(f"QUERY {request} {text}\r\n".encode())
        self.sent[request] = (host.name, time.monotonic())
        self._record.write(f"{self._name} sends {request} {text} to {host.name}")
        code = ""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                self._record.write(f"{self._name} loses {request}")
                return ""
            word, _, rest = line[:-2].decode().partition(" ")
            if word in ("DONE", "ERR"):
                code = f"{word} {rest}"
            if word == "READY":
                self.answered += 1
                self._record.write(f"{self._name} gets {request} {code}")
                return rest.split(" ")[0]


async def _disrupt(scene: Scene, record: Record) -> bool:
    """Have the primary replaced, and its successor restart; tell whether it led."""
    group = scene.group
    primary = group.primary.name
    others = sorted(group.replicas.keys() - {primary})
    deaf = asyncio.create_task(scene.go_deaf(others[1], DEAF))
    await asyncio.sleep(BEHIND)
    dark = asyncio.create_task(scene.go_dark(primary, DARK))
    while group.primary.name == primary and not dark.done():
        await asyncio.sleep(0.01)
    if group.primary.name == primary:
        return False
    record.write(f"database {group.primary.name} leads")
    await asyncio.sleep(LED)
    await scene.go_dark(group.primary.name, AGAIN)
    await asyncio.gather(deaf, dark)
    return True


def _judge(
    clients: list[Client], name: str, acked_at: float, reads: dict[str, float]
) -> list[str]:
    """Return the requests that the rule DRAIN counts."""
    sent = {request: at for client in clients for request, at in client.sent.items()}
    found = []
    for request, ran_at in reads.items():
        late = ran_at - acked_at
        if request in sent and late > DRAIN:
            host, sent_at = sent[request]
            found.append(
                f"DRAIN {request}, sent to {host} {sent_at - acked_at:.2f} s after the"
                f" store had acknowledged that {name} is draining, runs there"
                f" {late:.2f} s after it"
            )
    return found


async def _case(record: Record, folder: Path, trouble: bool) -> list[str] | None:
    scene = Scene(record, GLENBRAID)
    rng = random.Random(6)
    scene.group.work_of = lambda request: work_time(
        rng, WORK_MEAN.get(request[:1], 0.003), WORK_MOST
    )
    reads: dict[str, dict[str, float]] = {}  # when each ran, by database and request

    def on_read(replica, request: str) -> None:
        reads.setdefault(replica.name, {})[request] = time.monotonic()
        record.write(f"database {replica.name} runs {request}")

    scene.group.on_read = on_read
    hosts = [Host(scene, number, folder) for number in range(HOSTS)]
    names = [f"w{i:02}" for i in range(WRITERS)] + [f"r{i:02}" for i in range(READERS)]
    tasks: list[asyncio.Task] = []
    try:
        await scene.begin()
        for host in hosts:
            await host.start()
        tasks.append(asyncio.create_task(probe_hosts(hosts)))
        if not await await_ready(hosts):
            return None
        clients = [Client(name, hosts, record) for name in names]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(CALM)
        if trouble and not await _disrupt(scene, record):
            record.write("no database was promoted")
            return None
        await asyncio.sleep(HEALED)
        recent = time.monotonic() - RECENT
        leaving = max(
            (
                each.name
                for each in scene.group.replicas.values()
                if not each.is_primary
            ),
            key=lambda name: sum(at > recent for at in reads.get(name, {}).values()),
        )
        scene.leaving.add(leaving)
        scene.enter(scene.group.replicas[leaving])
        acked_at = time.monotonic()
        record.write(f"the store acknowledges that {leaving} is draining")
        await asyncio.sleep(DRAIN + LATER)
        record.write(f"{sum(client.answered for client in clients)} answered")
        for host in hosts:
            text = host.log.read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                if "exception_escaped" in line:
                    record.write(f"{host.name} logs {line}")
        return _judge(clients, leaving, acked_at, reads.get(leaving, {}))
    finally:
        for task in tasks:
            task.cancel()
        for host in hosts:
            await host.end()
        scene.end()


if __name__ == "__main__":
    sys.exit(run(_case, Path(__file__).parent))
