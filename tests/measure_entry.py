"""Measure one `mallowpass serve` process; run by hand, prints a line a quantity.

    python -m tests.measure_entry sessions     # memory of idle sessions
    python -m tests.measure_entry transactions # memory of connections in use
    python -m tests.measure_entry waiting      # memory of requests that wait
    python -m tests.measure_entry statements   # processor time of statements
    python -m tests.measure_entry databases    # watching: memory, processor time
    python -m tests.measure_entry peers        # processor time of links at rest
    python -m tests.measure_entry start        # start until the first read is served

Stand-ins, the host and those who hold sessions are processes of their own, on
loopback. Memory is the resident set, time is the processor's, both of the host's
process alone; so what gRPC and the event loop take is counted.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

from mallowpass.adapters.client import CallerClient, OperatorClient
from mallowpass.core.calls import Access
from mallowpass.core.services import Database, Member, Service
from mallowpass.measure.sizes import slope_of

FLEET_KEY = "fleet-key-0123456789"
OPERATOR_KEY = "operator-key-0123456789"
SERVICE = "measured"
DATABASE = "group-0"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
CALM = 5.0  # seconds of processor time counted at rest
HELD_PER_PROCESS = 1_000
LIMIT = 120.0

SESSIONS = (500, 1_000, 2_000, 5_000)
TRANSACTIONS = (25, 50, 100, 200)
WAITING = (500, 1_000, 2_000, 4_000)
RATES = (100, 200, 400, 540)
HOSTS = (1, 2, 3, 5)
GROUPS = (0, 4, 8, 16, 32)

STANDINS = """
[platform]
listen = "127.0.0.1:0"
[[failure_domain]]
name = "casa"
region = "north"
"""
GROUP = """
[[group]]
name = "group-{number}"
connections = {connections}
slots = 3
"""
MEMBER = """
[[group.member]]
name = "group-{number}-{member}"
failure_domain = "casa"
listen = "127.0.0.1:0"
"""
HOST = """
[host]
name = "casa-{seat}"
failure_domain = "casa"
seat = {seat}
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "{platform}"
[fleet]
key_environment = "MALLOWPASS_FLEET_KEY"
seeds = [{seeds}]
[[fleet.failure_domains]]
name = "casa"
region = "north"
hosts = {seats}
[[operators]]
name = "operator"
key_environment = "MALLOWPASS_OPERATOR_KEY"
"""


class _Process:
    """Run one command and read its lines until one matches."""

    def __init__(self, *arguments: str) -> None:
        self._lines: list[str] = []
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={
                **os.environ,
                "MALLOWPASS_FLEET_KEY": FLEET_KEY,
                "MALLOWPASS_OPERATOR_KEY": OPERATOR_KEY,
            },
        )

    @property
    def memory(self) -> int:
        """Return the resident set, bytes."""
        text = Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(text.split()[1]) * PAGE

    @property
    def seconds(self) -> float:
        """Return the processor time of all threads."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / TICKS

    def line(self, pattern: str) -> str:
        """Return the first group of the first line that matches."""
        for line in self._lines:
            if found := re.search(pattern, line):
                return found.group(1)
        while line := self._process.stdout.readline():
            self._lines.append(line)
            if found := re.search(pattern, line):
                return found.group(1)
        raise RuntimeError(f"no {pattern!r} in {self._lines}")

    def end(self) -> None:
        """Kill the process and wait for it."""
        self._process.kill()
        self._process.wait()


class _Setup:
    """Hold the stand-ins and the host, and processes of clients."""

    def __init__(self, folder: Path, groups: int, connections: int, seats: int) -> None:
        self._folder = folder
        self._started: list[_Process] = []
        self._connections = connections
        self._groups = groups
        text = STANDINS + "".join(map(self._group_text, range(groups)))
        self.standins = self._start("mallowpass", "standin", self._file("s.toml", text))
        self._seats = seats
        self._seeds = ""
        began = time.monotonic()
        self.host = self.start_host(0)
        self.start_seconds = time.monotonic() - began
        self.callers = self.host.line(r"event=host-started.* callers=(\S+)")
        self.operators = self.host.line(r"event=host-started.* operators=(\S+)")
        peers = self.host.line(r"event=host-started.* peers=(\S+)")
        self._seeds = f'"{peers}"'

    def start_host(self, seat: int) -> _Process:
        """Start a host and wait until it listens."""
        text = HOST.format(
            seat=seat,
            seats=self._seats,
            platform=self.standins.line(r"name=platform address=(\S+)"),
            seeds=self._seeds,
        )
        host = self._start("mallowpass", "serve", self._file(f"h{seat}.toml", text))
        host.line("event=(host-started)")
        return host

    def end(self) -> None:
        """End what was started."""
        for process in self._started:
            process.end()

    async def create_service(self, name: str, groups: range) -> None:
        """Create a service over some groups."""
        databases = tuple(map(self._database, groups))
        service = Service(name, databases, queue_length=100_000)
        client = OperatorClient(self.operators, "operator", OPERATOR_KEY.encode())
        try:
            answer = await client.change_service(service, 0, f"create-{name}")
        finally:
            await client.close()
        if not answer.accepted:
            raise RuntimeError(f"not accepted: {answer}")

    def hold(self, count: int) -> _Process:
        """Start a process that holds sessions, and wait until they are open."""
        held = self._start(
            "tests.measure_entry", "hold", self.callers, SERVICE, str(count)
        )
        held.line("(held)")
        return held

    def _start(self, *arguments: str) -> _Process:
        process = _Process(*arguments)
        self._started.append(process)
        return process

    def _file(self, name: str, text: str) -> str:
        path = self._folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def _group_text(self, number: int) -> str:
        members = (MEMBER.format(number=number, member=m) for m in range(3))
        group = GROUP.format(number=number, connections=self._connections)
        return group + "".join(members)

    def _database(self, number: int) -> Database:
        name = f"group-{number}"
        members = tuple(
            Member(
                f"{name}-{m}",
                self.standins.line(rf"name={name}/{name}-{m} address=(\S+)"),
                "casa",
            )
            for m in range(3)
        )
        return Database(name, members, connections=self._connections)


@contextlib.contextmanager
def _setup(groups: int = 1, connections: int = 20, seats: int = 1) -> Iterator[_Setup]:
    with tempfile.TemporaryDirectory() as folder:
        setup = _Setup(Path(folder), groups, connections, seats)
        try:
            yield setup
        finally:
            setup.end()


@contextlib.asynccontextmanager
async def _clients(setup: _Setup, count: int) -> AsyncIterator[list[CallerClient]]:
    clients = [CallerClient(setup.callers, SERVICE, f"c-{n}") for n in range(count)]
    await asyncio.gather(*(client.open() for client in clients))
    await _done(clients[0].write(DATABASE, "CREATE TABLE IF NOT EXISTS t (n INTEGER)"))
    try:
        yield clients
    finally:
        await asyncio.gather(*(client.close() for client in clients))


async def _done(asked) -> object:
    answer = await asked
    if not answer.done:
        raise RuntimeError(f"not done: {answer}")
    return answer


async def _settle(host: _Process) -> None:
    """Wait until the memory stands still for a while."""
    before = -1
    while before != host.memory:
        before = host.memory
        await asyncio.sleep(1.0)


def _show(quantity: str, over: str, points: list[tuple[float, float]]) -> None:
    slope = slope_of(quantity, over, points)
    values = " ".join(f"{size:g}:{value:.6g}" for size, value in slope.points)
    print(
        f"{quantity} over {over}: {values}\n"
        f"    slope {slope.slope:.4g} (between points "
        f"{slope.low:.4g} to {slope.high:.4g}, standard error {slope.error:.2g}) "
        f"from {slope.intercept:.4g}",
        flush=True,
    )


# -- Measurements ------------------------------------------------------------


async def measure_sessions() -> None:
    """Hold idle sessions, each on its own TCP connection."""
    memory, time_at_rest = [], []
    with _setup() as setup:
        await setup.create_service(SERVICE, range(1))
        held = 0
        for count in SESSIONS:
            while held < count:
                part = min(HELD_PER_PROCESS, count - held)
                setup.hold(part)
                held += part
            await _settle(setup.host)
            memory.append((held, setup.host.memory))
            before = setup.host.seconds
            await asyncio.sleep(CALM)
            time_at_rest.append((held, (setup.host.seconds - before) / CALM))
    _show("resident bytes", "idle sessions", memory)
    _show("processor s/s", "idle sessions", time_at_rest)


async def measure_transactions() -> None:
    """Open transactions, each with a connection of its own; sessions are there."""
    points = []
    with _setup(connections=max(TRANSACTIONS) + 20) as setup:
        await setup.create_service(SERVICE, range(1))
        async with _clients(setup, max(TRANSACTIONS)) as clients:
            for first, count in zip((0, *TRANSACTIONS), TRANSACTIONS, strict=False):
                begun = (
                    client.begin(DATABASE, Access.READ)
                    for client in clients[first:count]
                )
                await asyncio.gather(*map(_done, begun))
                points.append((count, setup.host.memory))
    _show("resident bytes", "open transactions and connections", points)


async def measure_waiting() -> None:
    """Let requests wait for the one connection, which a transaction holds."""
    points = []
    with _setup(connections=1) as setup:
        await setup.create_service(SERVICE, range(1))
        async with _clients(setup, 9) as clients:
            await _done(clients[0].begin(DATABASE))
            waiting: list[asyncio.Task] = []
            for count in WAITING:
                while len(waiting) < count:
                    waiting.append(asyncio.create_task(_ask(clients, len(waiting))))
                await asyncio.sleep(1.0)
                refused = [task.result() for task in waiting if task.done()]
                if refused:
                    raise RuntimeError(f"{len(refused)} did not wait: {refused[0]}")
                points.append((count, setup.host.memory))
            for task in waiting:
                task.cancel()
    _show("resident bytes", "waiting requests", points)


async def _ask(clients: list[CallerClient], number: int) -> object:
    client = clients[1 + number % (len(clients) - 1)]
    return await client.execute(
        DATABASE,
        "INSERT INTO t VALUES (?)",
        (number,),
        access=Access.WRITE,
        deadline=LIMIT,
    )


async def measure_statements() -> None:
    """Drive reads, then writes, at several rates; the line's slope is a statement's."""
    with _setup(connections=20) as setup:
        await setup.create_service(SERVICE, range(1))
        async with _clients(setup, 50) as clients:
            for access in (Access.READ, Access.WRITE):
                points = [
                    await _drive(setup.host, clients, access, rate) for rate in RATES
                ]
                _show("processor s/s", f"{access.value}s a second", points)


async def _drive(
    host: _Process, clients: list[CallerClient], access: Access, rate: float
) -> tuple[float, float]:
    """Return the rate that was reached and the processor time a second."""
    write = access is Access.WRITE
    sql = "INSERT INTO t VALUES (1)" if write else "SELECT 1"
    tasks = []
    began, spent = time.monotonic(), host.seconds
    while (elapsed := time.monotonic() - began) < 2 * CALM:
        while len(tasks) < elapsed * rate:
            client = clients[len(tasks) % len(clients)]
            asked = client.execute(DATABASE, sql, access=access)
            tasks.append(asyncio.create_task(_done(asked)))
        await asyncio.sleep(0.002)
    await asyncio.gather(*tasks)
    elapsed = time.monotonic() - began
    return len(tasks) / elapsed, (host.seconds - spent) / elapsed


async def measure_databases() -> None:
    """Watch idle databases; a lone host is the first steward of each."""
    memory, seconds = [], []
    with _setup(groups=max(GROUPS)) as setup:
        watched = 0
        for count in GROUPS:
            if count:
                await setup.create_service(f"service-{count}", range(watched, count))
            watched = count
            await asyncio.sleep(CALM)
            before = setup.host.seconds
            await asyncio.sleep(2 * CALM)
            seconds.append((count, (setup.host.seconds - before) / (2 * CALM)))
            memory.append((count, setup.host.memory))
    _show("resident bytes", "databases watched, three members", memory)
    _show("processor s/s", "databases watched, ten reports/s of the primary", seconds)


async def measure_peers() -> None:
    """Link hosts without services; up to five of a domain are all linked."""
    memory, seconds = [], []
    with _setup(seats=max(HOSTS)) as setup:
        hosts = [setup.host]
        for count in HOSTS:
            while len(hosts) < count:
                hosts.append(setup.start_host(len(hosts)))
            await asyncio.sleep(2 * CALM)
            before = [host.seconds for host in hosts]
            await asyncio.sleep(4 * CALM)
            spent = sum(host.seconds for host in hosts) - sum(before)
            seconds.append((count - 1, spent / count / (4 * CALM)))
            memory.append((count - 1, sum(host.memory for host in hosts) / count))
    _show("processor s/s of a host", "links, four heartbeats a second", seconds)
    _show("resident bytes of a host", "links", memory)


async def measure_start() -> None:
    """Start hosts; print until it listens, and until a read is served."""
    listening, serving, spent = [], [], []
    for _ in range(5):
        with _setup() as setup:
            began = time.monotonic()
            await setup.create_service(SERVICE, range(1))
            async with _clients(setup, 1) as clients:
                await _done(clients[0].read(DATABASE, "SELECT 1"))
            serving.append(time.monotonic() - began)
            listening.append(setup.start_seconds)
            spent.append(setup.host.seconds)
            memory = setup.host.memory
    print(f"process start until listening, s: {sorted(listening)}")
    print(f"then until a service is created and read, s: {sorted(serving)}")
    print(f"processor s of the start: {sorted(spent)}; resident bytes: {memory}")


# -- Holding -----------------------------------------------------------------


async def hold(address: str, service: str, count: str) -> None:
    """Hold idle sessions until the standard input ends."""
    clients = [CallerClient(address, service, f"c-{n}") for n in range(int(count))]
    for first in range(0, len(clients), 50):
        opened = (client.open() for client in clients[first : first + 50])
        await asyncio.gather(*map(_done, opened))
    print("held", flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    name, *rest = sys.argv[1:]
    functions = {
        "sessions": measure_sessions,
        "transactions": measure_transactions,
        "waiting": measure_waiting,
        "statements": measure_statements,
        "databases": measure_databases,
        "peers": measure_peers,
        "start": measure_start,
        "hold": hold,
    }
    asyncio.run(functions[name](*rest))
