"""Tests of sampling: replicas serve reads while the primary is overloaded."""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.statements import Begin, Code, Commit, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld

OBJECTIVE = 0.8  # seconds
RATE = 240.0  # operations a second, over all hosts
# Shares of the operations; the rest are reads that a replica may serve.
STRICT_READS = 0.12
WRITES = 0.12
TRANSACTIONS = 0.12


class _Load:
    """Send statements to random hosts, and keep the callers of replica reads."""

    def __init__(self, world: ProxyWorld) -> None:
        self._world = world
        self._random = random.Random(5)
        self.replica_reads: list[tuple[float, Caller]] = []
        self._send()

    def _send(self) -> None:
        world = self._world
        host = self._random.randrange(len(world.hosts))
        kind = self._random.random()
        if kind < STRICT_READS:
            world.caller(host, "strict").send(Read("a"))
        elif kind < STRICT_READS + WRITES:
            world.caller(host, "own").send(Write("a 1"))
        elif kind < STRICT_READS + WRITES + TRANSACTIONS:
            caller = world.caller(host, "own")
            for statement in (Begin(), Read("a"), Write("a 1"), Commit()):
                caller.send(statement)
        else:
            caller = world.caller(host, "own")
            caller.send(Read("a"))
            self.replica_reads.append((world.timers.now, caller))
        world.timers.after(self._random.expovariate(RATE), self._send)

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the reads sent in a period that met the objective."""
        reads = [(at, c) for at, c in self.replica_reads if since <= at < until]
        served = [
            caller
            for at, caller in reads
            if caller.answers
            and caller.answers[0].code is Code.DONE
            and caller.answered_at[0] - at <= OBJECTIVE
        ]
        return len(served) / len(reads)


@pytest.mark.parametrize("hosts", [6, 24])
@pytest.mark.parametrize("fences", [True, False])
def test_replicas_serve_reads_while_the_primary_is_slow(hosts: int, fences: bool):
    """Guard against reads that are refused while a primary is slow, and long after.

    The primary takes eight times as long for each statement, so its answers are older
    than any read accepts. Without a floor all reads go to the primary as well, which
    keeps its queue full, while two replicas idle.
    """
    world = ProxyWorld(
        hosts=hosts,
        fences=fences,
        goes_on=not fences,
        times=GroupTimes(work=0.009),
        slots=2,
    )
    world.run(2.0)
    load = _Load(world)
    world.run(3.0)
    world.primary.slowness = 8.0
    began_at = world.timers.now
    world.run(6.0)
    world.primary.slowness = 1.0
    ended_at = world.timers.now
    world.run(2.0)
    assert load.served_share(began_at, ended_at) > 0.9
    assert load.served_share(ended_at + 0.5, ended_at + 1.5) > 0.97


def test_group_under_normal_load_is_not_probed():
    """Guard against traffic between regions for samples that statements give anyway."""
    world = ProxyWorld(hosts=3)
    world.run(2.0)
    _Load(world)
    world.run(2.0)
    counts_before = len(world.hosts[0].counts)
    world.run(4.0)
    probes = [
        count
        for host in world.hosts
        for count in host.counts[counts_before:]
        if count.name == "floors_asked"
    ]
    assert len(probes) <= 2
