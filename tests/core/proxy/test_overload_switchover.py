"""Switchover from an overloaded primary whose replicas lag too far to serve reads."""

from __future__ import annotations

from itertools import count

import pytest

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.statements import Code, Pause, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    ServiceLimits,
    configuration,
    route,
)

READ_RATE = 150  # per second; a member with three slots serves 100


@pytest.fixture
def world() -> ProxyWorld:
    """Return a group with bounded-staleness reads, whose statements take 30 ms."""
    world = ProxyWorld(hosts=9)
    routes = configuration().routes | {
        "bounded": route(
            "bounded", Consistency.BOUNDED, statement_timeout=2.0, objective=1.0
        )
    }
    services = {SERVICE: ServiceLimits(SERVICE, 80, 1)}
    new = configuration(2, routes=routes, services=services)
    world.store.put(CONFIGURATION_KEY, new)
    world.group.times.work = 0.03
    world.run(0.5)
    return world


def write_repeatedly(world: ProxyWorld) -> None:
    world.caller(0, "strict").send(Write("a 1"))
    world.timers.after(0.2, write_repeatedly, world)


def read_repeatedly(world: ProxyWorld, per_second: float) -> list[Code]:
    """Read from now on; return the list to which the answers' codes are added."""
    codes: list[Code] = []
    numbers = count()

    def read() -> None:
        caller = world.caller(next(numbers) % len(world.hosts), "bounded")
        caller.answers = _Codes(codes)
        caller.send(Read("a"))
        world.timers.after(1.0 / per_second, read)

    read()
    return codes


class _Codes(list):
    """A list of one caller's answers that adds their codes to a shared list."""

    def __init__(self, codes: list[Code]) -> None:
        super().__init__()
        self._codes = codes

    def append(self, answer) -> None:
        super().append(answer)
        self._codes.append(answer.code)


def let_replicas_fall_behind(world: ProxyWorld) -> None:
    for name in ("db-tanger", "db-agadir"):
        world.group.replicas[name].lag = 60.0


def test_lagging_replicas_do_not_leave_all_reads_to_the_primary(world):
    """Guard against one in six statements being refused for forty seconds.

    Both replicas apply what they receive a minute late, and still do long after the
    cause of the lag. The primary alone had half the slots that the reads needed.
    Without a switchover, only time brings a replica up to date.
    """
    write_repeatedly(world)
    codes = read_repeatedly(world, READ_RATE)
    world.run(2.0)
    let_replicas_fall_behind(world)
    world.run(10.0)
    assert world.group.promotions == 1
    assert world.group.lost == []
    codes.clear()
    world.run(5.0)
    assert codes.count(Code.DONE) > 0.98 * 5 * READ_RATE


def test_primary_that_is_not_overloaded_keeps_its_lead(world):
    write_repeatedly(world)
    codes = read_repeatedly(world, 30)
    let_replicas_fall_behind(world)
    world.run(15.0)
    assert world.group.promotions == 0
    assert set(codes) == {Code.DONE}


def test_switchover_that_does_not_help_is_not_repeated(world):
    write_repeatedly(world)
    read_repeatedly(world, READ_RATE)
    world.run(2.0)
    world.group.times.lag = 60.0
    world.run(20.0)
    assert world.group.promotions <= 2
    assert world.group.lost == []


def test_replicas_that_receive_nothing_are_not_paused(world, monkeypatch):
    """Guard against writes that repeatedly wait for half a second.

    No replica has reached the floor, since none receives. Each host in turn attempted a
    switchover, and paused the other replicas before it knew whether the target
    receives.
    """
    write_repeatedly(world)
    read_repeatedly(world, READ_RATE)
    world.run(2.0)
    for name in ("db-tanger", "db-agadir"):
        world.group.replicas[name].lag = 60.0
    world.run(0.2)
    world.group.replicas["db-agadir"].deaf = True
    world.group.replicas["db-tanger"].deaf = True
    fenced = []
    monkeypatch.setattr(Fencing, "fence", lambda _, *args: fenced.append(args))
    world.run(8.0)
    begun_attempts = [
        line for host in world.hosts for line in host.logged("promotion_begun")
    ]
    assert begun_attempts
    assert not [c for c in world.calls if isinstance(c[2].statement, Pause)]
    assert fenced == []
    assert world.group.promotions == 0


def test_leaving_member_does_not_prevent_a_switchover(world):
    """Guard against an overload that lasts until a leaving member has ended.

    A member leaves, which takes seconds, while both other replicas are far behind. The
    leaving member gets no reads, so it was never found to be behind.
    """
    write_repeatedly(world)
    codes = read_repeatedly(world, READ_RATE)
    world.run(2.0)
    let_replicas_fall_behind(world)
    leaving = world.group.add("db-casa2")
    world.enter(leaving, draining=True)
    world.run(9.0)
    assert world.group.promotions == 1
    codes.clear()
    world.run(3.0)
    assert codes.count(Code.DONE) > 0.98 * 3 * READ_RATE


def test_planned_replacement_keeps_the_replica_that_serves_reads(world):
    """Guard against reads refused for nine seconds after a planned replacement.

    Two replicas are far behind, a new member is up to date, and the primary leaves. The
    new member was promoted, as its log was the furthest, so no replica could serve
    reads.
    """
    write_repeatedly(world)
    codes = read_repeatedly(world, 100)
    world.run(2.0)
    let_replicas_fall_behind(world)
    world.enter(world.group.add("db-casa2"))
    world.run(2.5)
    world.enter(world.group.replicas["db-casa"], draining=True)
    world.run(1.5)
    assert world.primary.name in ("db-tanger", "db-agadir")
    assert world.group.lost == []
    codes.clear()
    world.run(3.0)
    assert codes.count(Code.DONE) > 0.98 * 3 * 100


def test_few_holders_replace_an_overloaded_primary():
    """Guard against a tenth of statements refused while the replicas are behind.

    In a large fleet few hosts hold the connections and keep a full endpoint's queue
    short: statements wait, and are rejected, at the holders. The holders assumed that
    the primary had free slots, and knew only from the reads of their own callers that
    its replicas were behind.
    """
    times = GroupTimes(work=0.009)
    world = ProxyWorld(hosts=24, slots=2, times=times, fences=False, goes_on=True)
    world.run(2.0)
    write_repeatedly(world)
    codes = read_repeatedly(world, 280)
    world.run(2.0)
    let_replicas_fall_behind(world)
    world.run(10.0)
    assert world.group.promotions == 1
    assert world.group.lost == []
    codes.clear()
    world.run(3.0)
    assert codes.count(Code.DONE) > 0.95 * 3 * 280
