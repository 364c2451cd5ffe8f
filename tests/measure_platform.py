"""Measure hosts on the platform in virtual time: `python -m tests.measure_platform`.

Failover gaps by kind, connections over the limit, time until a configuration is in
force everywhere, and store calls by number of hosts. Figures come from stand-ins:
0.5 ms between any two, 4 ms an answer of the store, 300 ms a promotion.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable

import click

from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
)

GAP_LIMIT = 20.0  # seconds
LIMIT = 22  # connections of an endpoint
QUIET = 60.0  # seconds that calls are counted for


def _gap(world: ProxyWorld, fail: Callable[[ProxyWorld], None]) -> float:
    """Return the longest time without an acknowledged write around a failure."""
    callers = [world.caller(host, "own") for host in range(len(world.hosts))]
    strict = [world.caller(host, "strict") for host in range(len(world.hosts))]
    done_at = [world.timers.now]
    end = world.timers.now + GAP_LIMIT
    failed = False
    while world.timers.now < end and (len(done_at) < 60 or not failed):
        for caller, reader in zip(callers, strict, strict=True):
            reader.send(Read("a"))
            if caller.run(Write("a 1")).code is Code.DONE:
                done_at.append(world.timers.now)
        if not failed and len(done_at) > 20:
            failed = True
            del done_at[:-1]
            fail(world)
    gaps = [after - before for before, after in zip(done_at, done_at[1:], strict=False)]
    return max(gaps, default=GAP_LIMIT)


def _cut(world: ProxyWorld) -> None:
    for host in world.hosts[:3]:
        host.cut_from.add("db-casa")
    world.group.replicas["db-tanger"].deaf = False


FAILURES: dict[str, Callable[[ProxyWorld], None]] = {
    "crash": lambda world: world.crash("db-casa"),
    "dark": lambda world: world.crash("db-casa", dark=True),
    "planned": lambda world: world.enter(
        world.group.replicas["db-casa"], draining=True
    ),
    "cut from three hosts of four": _cut,
}


@click.command()
@click.option("--seeds", default=40)
def main(seeds: int) -> None:
    """Print all figures."""
    for kind, fail in FAILURES.items():
        gaps = sorted(_gap(ProxyWorld(4, seed), fail) for seed in range(seeds))
        middle, last = statistics.median(gaps), gaps[int(0.99 * (seeds - 1))]
        click.echo(
            f"gap, {kind}: p50 {1000 * middle:.0f} ms, p99 {1000 * last:.0f} ms,"
            f" longest {1000 * gaps[-1]:.0f} ms of {seeds}"
        )
    for hosts in (8, 74, 300):
        _measure_fleet(hosts)


def _measure_fleet(hosts: int) -> None:
    world = ProxyWorld(hosts, first_start=True)
    world.run(6.0)
    start = world.store.calls
    most = max(len(r.connections) for r in world.group.replicas.values())
    changed_at = world.timers.now
    world.store.put(CONFIGURATION_KEY, configuration(2))
    world.run_until(lambda: _in_force(world, 2), 10.0)
    in_force = world.timers.now - changed_at
    before = world.store.calls
    world.run(QUIET)
    rate = (world.store.calls - before) / QUIET
    click.echo(
        f"{hosts} hosts: {start} store calls for the start, {rate:.2f} a second at rest"
        f" ({rate / hosts:.3f} a host), configuration in force after"
        f" {1000 * in_force:.0f} ms, {most} connections of {LIMIT} at the most"
    )


def _in_force(world: ProxyWorld, version: int) -> bool:
    return all(h.tables.configuration.version == version for h in world.hosts)


main()
