"""Start the real program beside the project's stand-ins, on loopback addresses.

One `Rig` holds the store, the promotion service and three databases of one service
(the project's own stand-ins, in this process), and some hosts: separate processes that
run the command of the deploy file. Addresses are of the loopback range and free.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shlex
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path

from mallowpass.standins.proxied.platform import DOMAINS, LocalPlatform

ROOT = Path(__file__).resolve().parents[1]
STORE_PORT, ORDERS_PORT, CALLERS_PORT, READY_PORT = 8783, 8784, 8785, 8786
PEERS_PORT = 7440
MEMORY_MB = 300  # `memoryMb` of the small deployments
GRACE = 6

_started: list[asyncio.subprocess.Process] = []  # by any host, in order


class Record:
    """Write `record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line, with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:9.3f} {text}\n")

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


class Host:
    """One host: its settings, its process, and how often it has ended."""

    def __init__(self, rig: Rig, number: int) -> None:
        self.number = number
        self.name = f"edge-{DOMAINS[number % len(DOMAINS)]}-{number}"
        self.ip = rig.ip(10 + number)
        self.log = rig.folder / f"{self.name}.log"
        self.settings = rig.folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.settings.write_text(_settings(rig, self))

    @property
    def callers(self) -> tuple[str, int]:
        """Return where clients connect."""
        return self.ip, CALLERS_PORT

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["proxy"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MALLOWPASS_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        _started.append(self.process)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def memory_mb(self) -> float:
        """Return the memory of the process now, 0 if it does not run."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024.0
        return 0.0

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the ready probe."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        except OSError:
            return False
        try:
            writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


def _settings(rig: Rig, host: Host) -> str:
    zone = DOMAINS[host.number % len(DOMAINS)]
    zones = "\n".join(f'{name} = "{name}"' for name in DOMAINS)
    return f"""
nodeName = "{host.name}"
role = "proxy"
machineClass = "edge"
serves = ["edge"]
ip = "{host.ip}"
zone = "{zone}"
region = "{zone}"
internalPorts = [{PEERS_PORT}, {PEERS_PORT + 15}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
{zones}
[listen]
front = "{host.ip}:{CALLERS_PORT}"
ready = "{host.ip}:{READY_PORT}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {MEMORY_MB}
maxFds = 4300
linkMbps = 1000.0
[bounds]
contactMs = 5000
drainMs = 7000
graceS = {GRACE}
configApplyMs = 3000
requireFencing = {str(rig.platform.fences).lower()}
[platform]
address = "{rig.ip(1)}:{STORE_PORT}"
form = "table"
[cloud]
address = "{rig.ip(1)}:{ORDERS_PORT}"
duties = ["failover"]
"""


class Rig:
    """The stand-ins, and the hosts in front of them."""

    def __init__(self, hosts: int, fences: bool = True) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = LocalPlatform(fences=fences)
        self.hosts = [Host(self, number) for number in range(hosts)]

    def ip(self, number: int) -> str:
        """Return a loopback address of this run."""
        return self.platform._address(number, 1).host

    async def start(self) -> None:
        """Start all, and wait until each host is ready and serves a write."""
        await self.platform.start(hosts=0)
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await self.await_ready(host)

    async def await_ready(self, host: Host, limit: float = 15.0) -> None:
        """Wait until a host is ready; RuntimeError after `limit` seconds."""
        end = time.monotonic() + limit
        while not await host.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{host.name} is not ready: {host.log.read_text()}")
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all processes that this rig started."""
        for host in self.hosts:
            await host.kill()
        self.platform.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Session:
    """A client's session, by the lines of the wire protocol."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, host: Host, database: str) -> Session:
        """Open a session; OSError if the host does not take it."""
        reader, writer = await asyncio.open_connection(*host.callers, limit=8 << 20)
        writer.write(f"CONNECT {database} demo\r\n".encode())
        async with asyncio.timeout(2.0):
            line = await reader.readline()
        if not line.startswith(b"READY"):
            writer.close()
            raise OSError(f"refused: {line!r}")
        return cls(reader, writer)

    async def ask(self, request: str, text: str, limit: float = 4.0):
        """Send a statement; return the code, the text of the end, rows and state."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        rows, code, rest = [], "", ""
        async with asyncio.timeout(limit):
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\r\n"):
                    raise OSError("the connection was closed")
                word, _, tail = line[:-2].decode().partition(" ")
                if word == "ROW":
                    rows.append(tail)
                elif word == "DONE":
                    code, rest = word, tail
                elif word == "ERR":
                    code, _, rest = tail.partition(" ")
                elif word == "READY":
                    return code, rest, rows, tail.split(" ")[0]

    def close(self) -> None:
        """End the session."""
        self.writer.write(b"BYE\r\n")
        self.writer.close()


def play(main: Callable[[], Coroutine[None, None, int]]) -> None:
    """Run a case and exit with its code; 2 if it could not run or was ended."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    finally:
        for process in _started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
    sys.stdout.flush()
    sys.exit(code)
