"""Case 4: a host ends that lets writes run beside a promotion that is pending."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from pathlib import Path

from scene import (
    MNARA,
    Host,
    Record,
    Scene,
    await_ready,
    probe_hosts,
    run,
    work_time,
)

HOSTS = 4
WRITERS = 40  # of the 152 sessions that stand open
ROUNDS = 3  # of all that, at most
CALM = 4.0  # seconds of traffic before the first disruption
DARK = 1.5  # seconds for which the primary is dark
LATE = 9.0  # seconds after which the order is carried out, without an answer
BEFORE = 0.4  # seconds before that: the host that sent it ends
OTHER_DARK = 0.15  # seconds for which the other replica is down
DEAF = 4.0  # seconds for which the target receives nothing
AWAY = 3.5  # seconds for which that host is down
SETTLED = 8.0  # seconds after each round
WORK_MEAN, WORK_MOST = 0.011, 0.082  # seconds, of the sheet


class Client:
    """Write, one statement after the other, in one session after the other."""

    def __init__(self, name: str, hosts: list[Host], record: Record) -> None:
        self._random = random.Random(name)
        self._hosts = hosts
        self._record = record
        self._name = name
        self._count = 0
        self.done: dict[str, float] = {}  # when a write was answered with success

    async def run(self) -> None:
        """Work without end."""
        while True:
            ready = [host for host in self._hosts if host.in_rotation]
            if ready:
                with contextlib.suppress(OSError, TimeoutError):
                    await self._session(self._random.choice(ready))
            await asyncio.sleep(0.1)

    async def _session(self, host: Host) -> None:
        reader, writer = await asyncio.open_connection(host.front.host, host.front.port)
        try:
            writer.write(f"CONNECT tenancy-post {self._name}\r\n".encode())
            async with asyncio.timeout(2.0):
                line = await reader.readline()
            while line.startswith(b"READY I"):
                await asyncio.sleep(self._random.uniform(0.02, 0.1))
                line = await self._write(host, reader, writer)
        finally:
            writer.transport.abort()

    async def _write(self, host, reader, writer) -> bytes:
        self._count += 1
        request = f"{self._name}-{self._count:06x}"
        item = f"{self._random.randrange(2000):x}"
        if reader.at_eof():
            return b""
        writer.write(f"QUERY {request} WRITE {item} {request}\r\n".encode())
        self._record.write(f"{self._name} sends {request} WRITE {item} to {host.name}")
        while True:
            line = await reader.readline()
            if line.startswith(b"READY"):
                return line
            text = line.decode().strip()
            self._record.write(f"{self._name} gets {request} {text or 'no answer'}")
            if line.startswith(b"DONE "):
                self.done[request] = time.monotonic()
            elif not line:
                return b""


class Strike:
    """What happens around the one order that is carried out late."""

    def __init__(self, scene: Scene, hosts: list[Host], record: Record) -> None:
        self._scene, self._hosts, self._record = scene, hosts, record
        self._is_armed = False
        self._host = ""  # that sent the order
        self._target = ""
        self._carried_out_at = 0.0

    def on_order(self, name: str, target: str) -> float | None:
        """Return by how many seconds an order is late; None: it is answered."""
        self._record.write(f"{name} orders {target}")
        if not self._is_armed:
            return None
        self._is_armed, self._host, self._target = False, name, target
        self._carried_out_at = time.monotonic() + LATE
        self._record.write(f"that order is carried out {LATE} s later")
        return LATE

    async def play(self) -> bool:
        """Have a primary fail, and strike before the order for its successor."""
        group = self._scene.group
        primary = group.primary.name
        self._is_armed = True
        await self._scene.go_dark(primary, DARK)
        if not self._target:
            self._record.write("no promotion was ordered")
            return False
        (other,) = group.replicas.keys() - {self._target, primary}
        host = next(host for host in self._hosts if host.name == self._host)
        strike_at = self._carried_out_at - BEFORE
        await asyncio.sleep(max(0.0, strike_at - time.monotonic()))
        host.send(signal.SIGKILL)
        deaf = asyncio.create_task(self._scene.go_deaf(self._target, DEAF))
        await self._scene.go_dark(other, OTHER_DARK)
        await host.process.wait()
        await asyncio.sleep(AWAY)
        await host.start()
        await deaf
        return True


def _judge(clients: list[Client], scene: Scene) -> list[str]:
    """Return the commits that the rule LOST counts."""
    done = {request: at for client in clients for request, at in client.done.items()}
    lost = {entry.request_id: entry for entry in scene.group.lost}
    return [
        f"LOST {request}: commit {entry.position.text}, answered with success, isn't in"
        f" the log of {scene.group.primary.name}, which was promoted"
        for request, entry in lost.items()
        if request in done
    ]


async def _case(record: Record, folder: Path, trouble: bool) -> list[str] | None:
    scene = Scene(record, MNARA)
    rng = random.Random(8)
    scene.group.work_of = lambda request: work_time(rng, WORK_MEAN, WORK_MOST)
    on_role = scene.group.on_role

    def note_role(replica) -> None:
        role = "leads" if replica.is_primary else "does not lead any more"
        record.write(f"database {replica.name} {role}: {replica.received.text}")
        on_role(replica)

    scene.group.on_role = note_role
    hosts = [Host(scene, number, folder) for number in range(HOSTS)]
    strike = Strike(scene, hosts, record)
    scene.orders.delay_of = strike.on_order
    tasks: list[asyncio.Task] = []
    try:
        await scene.begin()
        for host in hosts:
            await host.start()
        tasks.append(asyncio.create_task(probe_hosts(hosts)))
        if not await await_ready(hosts):
            return None
        clients = [Client(f"w{i:02}", hosts, record) for i in range(WRITERS)]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(CALM)
        played = 0
        for _ in range(ROUNDS):
            played += not trouble or await strike.play()
            await asyncio.sleep(SETTLED)
            if _judge(clients, scene):
                break
        record.write(f"{sum(len(client.done) for client in clients)} writes done")
        return _judge(clients, scene) if played else None
    finally:
        for task in tasks:
            task.cancel()
        for host in hosts:
            await host.end()
        scene.end()


if __name__ == "__main__":
    sys.exit(run(_case, Path(__file__).parent))
