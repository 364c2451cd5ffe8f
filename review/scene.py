"""Stand-ins of the platform, and hosts run by the deploy file, for the cases 4 to 8.

The store, the taking of orders and the databases are the project's own stand-ins. This
module adds what the users' pages tell besides: heartbeats, the sheet's times, the probe
of readiness, and hosts as processes of their own with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Route,
    ServiceLimits,
)
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.platform.settings import Address
from mallowpass.standins.proxied import wireserver
from mallowpass.standins.proxied.platform import (
    CALLERS_PORT,
    CONFIGURATION_KEY,
    DOMAINS,
    ORDERS_PORT,
    READY_PORT,
    STORE_PORT,
    LocalPlatform,
)
from mallowpass.standins.proxied.replicas import Group, Replica
from mallowpass.standins.proxied.wireserver import ReplicaServer

ROOT = Path(__file__).resolve().parents[1]
HEARTBEAT = 1.2  # seconds; `heartbeatMs`
RESENT = 0.3  # seconds until a caller's machine sends again what got no receipt
READY_LIMIT = 12.0  # seconds from the start of machines to traffic
GRACE = 6.0  # seconds; `graceS`
TRANSACTION_IDLE = 3.0  # seconds; `txIdleMs`
SILENT_BEATS = 3  # heartbeats of silence after which an entry is removed


@dataclass(frozen=True)
class Sheet:
    """Hold what the sheet of a site says; times in seconds."""

    service: str
    # Name of the database, kind, timeout, objective, priority and age.
    routes: tuple[tuple[str, Consistency, float, float, int, float], ...]
    slots: int
    connections: int
    opening: float  # of a new connection
    lag: float
    promotion: float
    distance: float  # one way between regions; each database has its own
    contact: float  # `contactMs`
    apply: float  # `configApplyMs`
    fences: bool  # `requireFencing`


MNARA = Sheet(
    "lease-ledger",
    (
        ("tenancy-post", Consistency.PRIMARY, 1.0, 0.4, 1, 0.0),
        ("carrier-view", Consistency.BOUNDED, 3.0, 1.0, 2, 1.5),
        ("rent-recon", Consistency.OWN_WRITES, 1.0, 0.8, 2, 2.5),
    ),
    slots=5,
    connections=55,
    opening=0.027,
    lag=0.02,
    promotion=1.0,
    distance=0.008,
    contact=4.0,
    apply=3.0,
    fences=True,
)
GLENBRAID = Sheet(
    "member-ledger",
    (
        ("loan-drawdown", Consistency.PRIMARY, 0.8, 0.6, 1, 0.0),
        ("balance-view", Consistency.BOUNDED, 1.2, 0.8, 2, 1.5),
        ("dealer-check", Consistency.OWN_WRITES, 0.8, 1.0, 2, 2.5),
    ),
    slots=2,
    connections=16,
    opening=0.012,
    lag=0.008,
    promotion=1.0,
    distance=0.02,
    contact=5.0,
    apply=4.0,
    fences=False,
)


class Record:
    """Write what was sent, answered and run, a line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now:9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def configuration(version: int, sheet: Sheet) -> Configuration:
    """Return the configuration of a sheet, for one service."""
    routes = {
        name: Route(name, sheet.service, kind, timeout, aim, priority, accepted_age=age)
        for name, kind, timeout, aim, priority, age in sheet.routes
    }
    limits = {sheet.service: ServiceLimits(sheet.service, sheet.connections, 1)}
    return Configuration(version, routes, limits, transaction_idle=TRANSACTION_IDLE)


def work_time(rng: random.Random, mean: float, most: float) -> float:
    """Draw the work of a statement: spread 0.7, and one in a hundred times five."""
    sigma = 0.7
    value = rng.lognormvariate(0.0, sigma) * mean / 1.28
    if rng.random() < 0.01:
        value *= 5
    return min(value, most)


class _Served(wireserver._Served):
    """Hold a connection of a caller in another region, to one run of a database.

    A database that is dark answers nothing. Once it has started again, it knows nothing
    of its earlier connections: it resets one on which something arrives, or on which
    something has arrived meanwhile, which the caller's machine sends again.
    """

    def __init__(self, server: DatabaseServer) -> None:
        super().__init__(server.group, server.name, server.connections)
        self._of = server
        self._run = server.run
        self.is_owed = False  # something arrived that was not taken

    def data_received(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._of.distance, self._take, data)

    def _take(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        if self._of.is_dark:
            self.is_owed = True
        elif self._run != self._of.run:
            self.transport.abort()
        else:
            super().data_received(data)

    def _answer(self, reply) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._of.distance, self._give, reply)

    def _give(self, reply) -> None:
        is_cut = self._of.is_dark or self._run != self._of.run
        if not (is_cut or self.transport.is_closing()):
            super()._answer(reply)


class DatabaseServer(ReplicaServer):
    """Listen for a database, which may go dark."""

    def __init__(self, group: Group, name: str, address: Address, far: float) -> None:
        super().__init__(group, name, address)
        self.group, self.name, self.distance = group, name, far
        self.connections = self._connections
        self.is_dark = False
        self.run = 0

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Served(self), self.address.host, self.address.port
        )

    def wake(self) -> None:
        """Answer again, as a new run."""
        self.is_dark = False
        self.run += 1
        loop = asyncio.get_running_loop()
        for served in list(self.connections):
            if served.is_owed:
                loop.call_later(RESENT, served.transport.abort)


class Scene(LocalPlatform):
    """Run the stand-ins, with heartbeats of the databases."""

    def __init__(self, record: Record, sheet: Sheet = MNARA) -> None:
        super().__init__(sheet.service, fences=sheet.fences)
        self.record = record
        self.sheet = sheet
        for name, server in list(self.servers.items()):
            self.servers[name] = DatabaseServer(
                self.group, name, server.address, sheet.distance
            )
        self.group.slots = sheet.slots
        self.group.max_connections = sheet.connections
        times = self.group.times
        times.lag, times.promotion = sheet.lag, sheet.promotion
        times.opening, times.network = sheet.opening, sheet.distance
        self.store.put(CONFIGURATION_KEY, configuration(1, sheet))
        self.ran: dict[str, float] = {}  # when a database began with a request
        self.leaving: set[str] = set()  # databases that drain
        self._beat: asyncio.Task[None] | None = None

    async def begin(self) -> None:
        """Start the stand-ins."""
        await self.start(hosts=0)
        self._beat = asyncio.create_task(self._beats())

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT)
            for replica in list(self.group.replicas.values()):
                if replica.up:
                    self.enter(replica)

    def enter(self, replica: Replica, draining: bool = False) -> None:
        """Write a database's entry, as it does itself."""
        super().enter(replica, draining or replica.name in self.leaving)

    async def go_dark(self, name: str, duration: float) -> None:
        """Have a database crash without a word, and start again with its log."""
        self.record.write(f"database {name} goes dark")
        self.servers[name].is_dark = True
        self.group.crash(name)
        lapse = SILENT_BEATS * HEARTBEAT
        await asyncio.sleep(min(duration, lapse))
        if duration > lapse:
            self.store.delete(RowKey(Table.ENDPOINTS, "", name))
            await asyncio.sleep(duration - lapse)
        self.group.start(name)
        self.servers[name].wake()
        self.enter(self.group.replicas[name])
        self.record.write(f"database {name} has started again")

    async def go_deaf(self, name: str, duration: float) -> None:
        """Have a replica receive nothing for a while."""
        self.record.write(f"database {name} receives nothing")
        replica = self.group.replicas[name]
        replica.deaf = True
        await asyncio.sleep(duration)
        replica.deaf = False
        self.group.catch_up(replica)
        self.record.write(f"database {name} receives again")

    def address(self, number: int, port: int) -> Address:
        """Return an address of this run."""
        return self._address(number, port)

    def end(self) -> None:
        """End the stand-ins."""
        if self._beat is not None:
            self._beat.cancel()
        self.stop()


class Host:
    """Hold one host: its settings, its process, and what the balancer knows of it."""

    def __init__(self, scene: Scene, number: int, folder: Path) -> None:
        self.number = number
        self.name = f"edge-{number}"
        self.front = scene.address(10 + number, CALLERS_PORT)
        self.ready = scene.address(10 + number, READY_PORT)
        self.in_rotation = False
        self.log = folder / f"{self.name}.log"
        self._record = scene.record
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(self._text(scene), encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None
        self._misses = 0

    def _text(self, scene: Scene) -> str:
        zone = DOMAINS[self.number % len(DOMAINS)]
        zones = "\n".join(f'{name} = "{name}"' for name in DOMAINS)
        return f"""
nodeName = "{self.name}"
role = "proxy"
machineClass = "edge"
serves = ["edge"]
ip = "{self.front.host}"
zone = "{zone}"
region = "{zone}"
internalPorts = [7440, 7455]
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
{zones}
[listen]
front = "{self.front}"
ready = "{self.ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4300
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = {int(1000 * scene.sheet.contact)}
drainMs = 7000
graceS = {int(GRACE)}
lossSlackMs = 200
configApplyMs = {int(1000 * scene.sheet.apply)}
recoveryS = 12
requireFencing = {str(scene.fences).lower()}
thawSlackMs = 300
[platform]
address = "{scene.address(1, STORE_PORT)}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
[cloud]
address = "{scene.address(1, ORDERS_PORT)}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
"""

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["proxy"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["MALLOWPASS_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self._record.write(f"host {self.name} starts, pid {self.process.pid}")

    @property
    def runs(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.runs:
            self._record.write(f"host {self.name} gets {number.name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it runs."""
        if self.runs:
            self.process.kill()
            await self.process.wait()

    def note_rotation(self) -> None:
        """Record whether the host gets new connections."""
        word = "is in rotation" if self.in_rotation else "is out of rotation"
        self._record.write(f"host {self.name} {word}")

    async def probe(self) -> None:
        """Ask once whether the host is ready, as the platform does each second."""
        is_ready = False
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(
                    self.ready.host, self.ready.port
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                is_ready = line.split(b" ")[1:2] == [b"200"]
                writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        self._misses = 0 if is_ready else self._misses + 1
        if is_ready or self._misses >= 2:
            self.in_rotation = is_ready


async def probe_hosts(hosts: list[Host]) -> None:
    """Probe all hosts once a second, without end."""
    while True:
        before = [host.in_rotation for host in hosts]
        await asyncio.gather(*(host.probe() for host in hosts))
        for host, was in zip(hosts, before, strict=True):
            if host.in_rotation != was:
                host.note_rotation()
        await asyncio.sleep(1.0)


async def await_ready(hosts: list[Host], limit: float = READY_LIMIT) -> bool:
    """Wait until all hosts are in rotation; tell whether they are."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if all(host.in_rotation for host in hosts):
            return True
        await asyncio.sleep(0.05)
    return False


async def _until_ended(case, record: Record, folder: Path, trouble: bool):
    """Run a case; if this process is asked to end, its processes end before."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await case(record, folder, trouble)


def run(case, folder: Path) -> int:
    """Run a case; return 1 if it found a broken rule, 0 if not, 2 if it couldn't run.

    `case` is called with the record, a temporary folder and whether there is trouble,
    and returns the findings, or None.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    found = None
    try:
        with tempfile.TemporaryDirectory(prefix="mallowpass-review-") as temporary:
            found = asyncio.run(_until_ended(case, record, Path(temporary), trouble))
    except (Exception, asyncio.CancelledError) as error:  # it says nothing of the rule
        record.write(f"ended early: {error!r}")
    for finding in found or ():
        record.write(f"BROKEN {finding}")
        print(finding, file=sys.stderr)
    result = "held" if found == [] else "broken" if found else "could not run"
    record.write(f"result: {result}")
    record.close()
    return {"held": 0, "broken": 1}.get(result, 2)
