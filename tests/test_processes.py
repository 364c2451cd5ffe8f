"""Tests of a fleet as separate processes, as operators run it."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

FLEET_KEY = "fleet-key-0123456789"
OPERATOR_KEY = "operator-key-0123456789"
WAIT = 60.0  # seconds; a process that is not ready by then is stuck

STANDINS = """
[platform]
listen = "127.0.0.1:0"
[[failure_domain]]
name = "casa"
region = "north"
[[failure_domain]]
name = "tanger"
region = "north"
[[group]]
name = "claims"
connections = 20
slots = 3
"""
MEMBER = """
[[group.member]]
name = "{name}"
failure_domain = "{domain}"
listen = "127.0.0.1:0"
"""
HOST = """
[host]
name = "{domain}-0"
failure_domain = "{domain}"
seat = 0
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
hosts = 1
[[fleet.failure_domains]]
name = "tanger"
region = "north"
hosts = 1
[[operators]]
name = "operator"
key_environment = "MALLOWPASS_OPERATOR_KEY"
"""
SERVICE = """
name = "claims-core"
[[database]]
name = "claims"
connections = 20
{members}
"""
SERVICE_MEMBER = """
[[database.member]]
name = "{name}"
address = "{address}"
failure_domain = "{domain}"
"""
DOMAINS = {"claims-0": "casa", "claims-1": "tanger", "claims-2": "casa"}


class _Process:
    """Run one command and read its lines as they come."""

    def __init__(self, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "mallowpass", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env=_environment(),
        )
        self._lines: list[str] = []
        self._changed = threading.Condition()
        threading.Thread(target=self._read, daemon=True).start()

    @property
    def number(self) -> int:
        return self._process.pid

    def line(self, pattern: str) -> re.Match[str]:
        """Return the first line that matches, when it is there."""

        def found() -> re.Match[str] | None:
            matches = (re.search(pattern, line) for line in self._lines)
            return next((match for match in matches if match), None)

        with self._changed:
            match = self._changed.wait_for(found, WAIT)
        assert match, f"no {pattern!r} in {self._lines}"
        return match

    def terminate(self) -> int:
        self._process.send_signal(signal.SIGTERM)
        return self._process.wait(WAIT)

    def kill(self) -> None:
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait(WAIT)

    def _read(self) -> None:
        for line in self._process.stdout:
            with self._changed:
                self._lines.append(line)
                self._changed.notify_all()


def _environment() -> dict[str, str]:
    keys = {
        "MALLOWPASS_FLEET_KEY": FLEET_KEY,
        "MALLOWPASS_OPERATOR_KEY": OPERATOR_KEY,
    }
    return {**os.environ, **keys}


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "mallowpass", *arguments],
        capture_output=True,
        text=True,
        env=_environment(),
        timeout=WAIT,
    )


class _Fleet:
    """Hold the stand-ins and two hosts, each a process of its own."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.processes: list[_Process] = []
        members = "".join(MEMBER.format(name=n, domain=d) for n, d in DOMAINS.items())
        standins = self._file("standins.toml", STANDINS + members)
        self.standins = self._start("standin", standins)
        platform = self._address("platform")
        self.casa = self._start_host("casa", platform, "")
        peers = self.casa.line(r"event=host-started.* peers=(\S+)").group(1)
        self.tanger = self._start_host("tanger", platform, f'"{peers}"')

    def service_file(self) -> str:
        members = "".join(
            SERVICE_MEMBER.format(
                name=name, domain=domain, address=self._address(f"claims/{name}")
            )
            for name, domain in DOMAINS.items()
        )
        return self._file("service.toml", SERVICE.format(members=members))

    def port_of(self, host: _Process, kind: str) -> str:
        return host.line(rf"event=host-started.* {kind}=(\S+)").group(1)

    def stop(self) -> None:
        for process in self.processes:
            process.kill()

    def _address(self, name: str) -> str:
        return self.standins.line(rf"name={name} address=(\S+)").group(1)

    def _start_host(self, domain: str, platform: str, seeds: str) -> _Process:
        text = HOST.format(domain=domain, platform=platform, seeds=seeds)
        host = self._start("serve", self._file(f"{domain}.toml", text))
        host.line("event=host-started")
        return host

    def _start(self, *arguments: str) -> _Process:
        process = _Process(*arguments)
        self.processes.append(process)
        return process

    def _file(self, name: str, text: str) -> str:
        path = self._folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory) -> Iterator[_Fleet]:
    fleet = _Fleet(tmp_path_factory.mktemp("fleet"))
    yield fleet
    fleet.stop()


def _sql(fleet: _Fleet, host: _Process, token: Path, *arguments: str):
    address = fleet.port_of(host, "callers")
    session = ("--address", address, "--token-file", str(token))
    return _run(
        "sql", *session, "--service", "claims-core", "--database", "claims", *arguments
    )


def test_write_through_one_host_is_read_through_another(fleet, tmp_path):
    operators = fleet.port_of(fleet.casa, "operators")
    created = _run("service", "create", "--address", operators, fleet.service_file())
    assert created.returncode == 0, created.stderr
    fleet.tanger.line("event=service_accepted")
    token = tmp_path / "token"
    table = "CREATE TABLE claims (number INTEGER)"
    made = _sql(fleet, fleet.casa, token, "--write", table)
    assert made.returncode == 0, made.stderr
    insert = "INSERT INTO claims VALUES (7)"
    written = _sql(fleet, fleet.casa, token, "--write", insert)
    assert written.returncode == 0, written.stderr
    read = _sql(fleet, fleet.tanger, token, "SELECT number FROM claims")
    assert read.stdout.split() == ["number", "7"], read.stderr


def test_host_is_one_process_without_children(fleet):
    tasks = Path(f"/proc/{fleet.casa.number}/task")
    children = [task.joinpath("children").read_text() for task in tasks.iterdir()]
    assert not any(children)


def test_terminated_host_drains_and_ends_well(fleet):
    assert fleet.tanger.terminate() == 0
    fleet.tanger.line("event=host-stopped")
