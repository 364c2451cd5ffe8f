"""Measure the control path in virtual time; run by hand, prints one line a figure.

    python tests/measure_control.py spread HOSTS   # time until in force everywhere
    python tests/measure_control.py traffic HOSTS  # bytes, messages, processor time
    python tests/measure_control.py memory HOSTS SERVICES

Real nodes with the control path's systems in one process. Processor time is that of
the nodes' `handle` and `wake` and of the codec; the process's own work is left out.
"""

from __future__ import annotations

import dataclasses
import gc
import random
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import tests.fakes.controlpath as fakes  # noqa: E402
from mallowpass.core.codec import encode_service  # noqa: E402

FAILURE_DOMAINS = 8
FRAME = 32  # bytes around each message: MAC, counter, websocket header
CHANGES_A_DAY = 3_500
DAY = 86_400.0


def fleet_of(hosts: int, seed: int = 1) -> fakes.Fleet:
    """Return a fleet that has come to rest."""
    domains = 3 if hosts < 16 else FAILURE_DOMAINS
    sizes = [hosts // domains + (n < hosts % domains) for n in range(domains)]
    fleet = fakes.Fleet(sizes, seed=seed, per_region=3)
    fleet.start_all()
    fleet.run(30)
    return fleet


def spread(hosts: int, changes: int = 60) -> None:
    """Print the time from an operator's request until it is in force everywhere."""
    fleet = fleet_of(hosts)
    chance = random.Random(5)
    answered, everywhere = [], []
    for number in range(changes):
        name = chance.choice(fleet.alive).name
        service = dataclasses.replace(fakes.make_service(), queue_length=number + 1)
        start = fleet.now
        call = fleet.change(name, service, number, f"c{number}")
        accepted = fleet.answer(name, call)
        assert accepted.accepted, accepted
        answered.append(fleet.now - start)
        version = number + 1
        fleet.run_until(lambda v=version: fleet.in_force("claims-core", v), 30)
        everywhere.append(fleet.now - start)
        fleet.run(chance.uniform(0.5, 2.0))
    for label, values in (("answer", answered), ("everywhere", everywhere)):
        values.sort()
        p50, p99 = values[len(values) // 2], values[int(len(values) * 0.99)]
        print(f"hosts={hosts} {label}_p50={p50:.4f}s {label}_p99={p99:.4f}s")


class Meter:
    """Add up what the nodes spend."""

    def __init__(self, fleet: fakes.Fleet) -> None:
        self._fleet = fleet
        self.seconds = 0.0
        self._wrap_nodes()

    def _wrap_nodes(self) -> None:
        def timed(function):
            def wrapper(*arguments):
                began = time.perf_counter()
                try:
                    return function(*arguments)
                finally:
                    self.seconds += time.perf_counter() - began

            return wrapper

        fakes.Node.handle = timed(fakes.Node.handle)
        fakes.encode_message = timed(fakes.encode_message)
        fakes.decode_message = timed(fakes.decode_message)

    def state(self) -> tuple[float, int, int, int, int]:
        """Return seconds, messages, bytes sent, bytes received, largest sender's."""
        hosts = self._fleet.alive
        messages = sum(sum(host.sent.values()) for host in hosts)
        sent = sum(host.bytes_sent for host in hosts)
        received = sum(host.bytes_received for host in hosts)
        largest = max(host.bytes_sent for host in hosts)
        return self.seconds, messages, sent, received, largest


def traffic(hosts: int, seconds: float = 60.0) -> None:
    """Print what a host spends when idle, and with changes of configuration."""
    fleet = fleet_of(hosts)
    meter = Meter(fleet)
    links = [len(h.node.system(fakes.Membership).linked_hosts) for h in fleet.alive]
    print(f"hosts={hosts} links_mean={sum(links) / hosts:.1f} links_max={max(links)}")
    _print_load("idle", fleet, meter, seconds, 0.0)
    # Ten times the day's rate, so that a minute holds enough of them.
    _print_load("changes_x10", fleet, meter, seconds, 10 * CHANGES_A_DAY / DAY)


def _print_load(
    label: str, fleet: fakes.Fleet, meter: Meter, seconds: float, rate: float
) -> None:
    before = meter.state()
    start = fleet.now
    number = 0
    while fleet.now < start + seconds:
        if rate:
            number += 1
            service = dataclasses.replace(fakes.make_service(), queue_length=number)
            name = fleet.random.choice(fleet.alive).name
            fleet.change(name, service, number - 1, f"c{number}")
        fleet.run(1 / rate if rate else seconds)
    after = meter.state()
    elapsed = fleet.now - start
    hosts = len(fleet.alive)
    spent, messages, sent, received, _ = (
        (b - a) / hosts / elapsed for a, b in zip(before, after, strict=True)
    )
    frames = messages * FRAME
    print(
        f"hosts={hosts} load={label} changes={number} messages_sent={messages:.2f}/s "
        f"encoded_sent={sent:.0f}B/s encoded_received={received:.0f}B/s "
        f"with_frames_both_ways={sent + received + 2 * frames:.0f}B/s "
        f"core_seconds={spent:.6f}/s ({spent:.4%} of a core)"
    )


def memory(hosts: int, services: int) -> None:
    """Print the memory of one node, by tracemalloc over the whole fleet."""
    rows = [_numbered_service(number) for number in range(services)]
    gc.collect()
    tracemalloc.start()
    fleet = fleet_of(hosts)
    for version in rows:
        value = encode_service(version)
        fleet.platform.handle(fakes.calls.WriteRow("services", version.name, 0, value))
    fleet.run(30)
    assert all(fleet.in_force(version.name, 1) for version in rows)
    # The platform's rows, and messages under way, are shared: they are small.
    gc.collect()
    total = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f"hosts={hosts} services={services} memory={total / hosts / 1024:.0f}KiB/host"
    )


def _numbered_service(number: int) -> fakes.ServiceVersion:
    service = fakes.make_service(f"service-{number}")
    databases = tuple(
        dataclasses.replace(
            database,
            members=tuple(
                dataclasses.replace(m, address=f"10.{number >> 8}.{number & 255}.{k}:1")
                for k, m in enumerate(database.members, 10 * n)
            ),
        )
        for n, database in enumerate(service.databases)
    )
    service = dataclasses.replace(service, databases=databases)
    return fakes.ServiceVersion(service.name, 1, service, f"c{number}", "amina")


if __name__ == "__main__":
    mode, *numbers = sys.argv[1:]
    {"spread": spread, "traffic": traffic, "memory": memory}[mode](*map(int, numbers))
