"""Reads that replicas can serve are served while the primary can't serve them all."""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.statements import Begin, Code, Commit, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld

OBJECTIVE = 0.8  # seconds
RATE = 240.0  # operations a second of all hosts
# Shares of them; the rest are reads that a replica may serve.
STRICT_READS = 0.12
WRITES = 0.12
TRANSACTIONS = 0.12


class _Load:
    """Send statements at random hosts, and remember what became of each read."""

    def __init__(self, world: ProxyWorld) -> None:
        self._world = world
        self._random = random.Random(5)
        self.sent: list[tuple[float, Caller]] = []
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
            self.sent.append((world.timers.now, caller))
        world.timers.after(self._random.expovariate(RATE), self._send)

    def served(self, since: float, until: float) -> float:
        """Return the share of the reads of a time that were served in time."""
        callers = [(at, c) for at, c in self.sent if since <= at < until]
        done = [
            caller
            for at, caller in callers
            if caller.answers
            and caller.answers[0].code is Code.DONE
            and caller.answered_at[0] - at <= OBJECTIVE
        ]
        return len(done) / len(callers)


@pytest.mark.parametrize("hosts", [6, 24])
@pytest.mark.parametrize("fences", [True, False])
def test_replicas_serve_reads_while_the_primary_is_slow(hosts: int, fences: bool):
    """Most reads are refused for as long as a primary is slow, and longer.

    A primary took eight times as long for each statement, so its answers were older
    than any read accepts. For want of a floor all reads went to it as well, which kept
    its queue full, while two replicas idled.
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
    began = world.timers.now
    world.run(6.0)
    world.primary.slowness = 1.0
    ended = world.timers.now
    world.run(2.0)
    assert load.served(began, ended) > 0.9
    assert load.served(ended + 0.5, ended + 1.5) > 0.97


def test_a_calm_group_is_asked_nothing():
    """Bytes between regions are spent on what statements tell anyway."""
    world = ProxyWorld(hosts=3)
    world.run(2.0)
    _Load(world)
    world.run(2.0)
    counted = len(world.hosts[0].counts)
    world.run(4.0)
    asked = [
        count
        for host in world.hosts
        for count in host.counts[counted:]
        if count.name == "floors_asked"
    ]
    assert len(asked) <= 2
