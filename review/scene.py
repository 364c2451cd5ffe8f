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
from pathlib import Path

from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Route,
    ServiceLimits,
)
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
from mallowpass.standins.proxied.wireserver import ReplicaServer

ROOT = Path(__file__).resolve().parents[1]
HEARTBEAT = 1.2  # seconds; `heartbeatMs`
READY_LIMIT = 12.0  # seconds from the start of machines to traffic
CONTACT = 4.0  # seconds; `contactMs` of the sheet of mnara-pool
GRACE = 6.0  # seconds; `graceS`
# Of the sheet of mnara-pool: name of the database, kind, timeout, objective, age.
ROUTES = (
    ("tenancy-post", Consistency.PRIMARY, 1.0, 0.4, 1, 0.0),
    ("carrier-view", Consistency.BOUNDED, 3.0, 1.0, 2, 1.5),
    ("rent-recon", Consistency.OWN_WRITES, 1.0, 0.8, 2, 2.5),
)
TRANSACTION_IDLE = 3.0  # seconds; `txIdleMs`
SLOTS, CONNECTIONS = 5, 55
DISTANCE = 0.008  # seconds one way between regions; each database has its own
DEADLINES = {"tenancy-post": 2.5, "carrier-view": 6.0, "rent-recon": 2.5}


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


def configuration(version: int, service: str) -> Configuration:
    """Return the configuration of the sheet of mnara-pool, for one service."""
    routes = {
        name: Route(name, service, kind, timeout, aim, priority, accepted_age=age)
        for name, kind, timeout, aim, priority, age in ROUTES
    }
    limits = {service: ServiceLimits(service, CONNECTIONS, 1)}
    return Configuration(version, routes, limits, transaction_idle=TRANSACTION_IDLE)


def work_time(rng: random.Random, mean: float, most: float) -> float:
    """Draw the work of a statement: spread 0.7, and one in a hundred times five."""
    sigma = 0.7
    value = rng.lognormvariate(0.0, sigma) * mean / 1.28
    if rng.random() < 0.01:
        value *= 5
    return min(value, most)


class _Far(wireserver._Served):
    """Hold a connection of a caller in another region."""

    def data_received(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(DISTANCE, self._take, data)

    def _take(self, data: bytes) -> None:
        if not self.transport.is_closing():
            super().data_received(data)

    def _answer(self, reply) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(DISTANCE, self._give, reply)

    def _give(self, reply) -> None:
        if not self.transport.is_closing():
            super()._answer(reply)


class _FarServer(ReplicaServer):
    """Listen for a database in another region than the hosts."""

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Far(self._group, self._name, self._connections),
            self.address.host,
            self.address.port,
        )


class Scene(LocalPlatform):
    """Run the stand-ins, with heartbeats of the databases."""

    def __init__(self, record: Record, fences: bool = True, far: bool = False) -> None:
        super().__init__("lease-ledger", fences=fences)
        self.record = record
        if far:
            for name, server in list(self.servers.items()):
                self.servers[name] = _FarServer(self.group, name, server.address)
        self.group.slots, self.group.max_connections = SLOTS, CONNECTIONS
        self.group.times.lag, self.group.times.promotion = 0.02, 1.0
        self.group.times.opening = 0.027
        self.store.put(CONFIGURATION_KEY, configuration(1, "lease-ledger"))
        self.ran: dict[str, float] = {}  # when a database began with a request
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
maxFds = 4200
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = {int(1000 * CONTACT)}
drainMs = 7000
graceS = {int(GRACE)}
lossSlackMs = 200
configApplyMs = 3000
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


def run(case, folder: Path) -> int:
    """Run a case; return 1 if it found a broken rule, 0 if not, 2 if it couldn't run.

    `case` is called with the record, a temporary folder and whether there is trouble,
    and returns the findings, or None.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    try:
        with tempfile.TemporaryDirectory(prefix="mallowpass-review-") as temporary:
            found = asyncio.run(case(record, Path(temporary), trouble))
    except OSError as error:
        record.write(f"could not run: {error}")
        found = None
    if found is None:
        record.write("result: could not run")
        return 2
    for finding in found:
        record.write(f"BROKEN {finding}")
        print(finding, file=sys.stderr)
    record.write(f"result: {'broken' if found else 'held'}")
    record.close()
    return 1 if found else 0
