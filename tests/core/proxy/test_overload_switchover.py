"""A full primary whose replicas are far behind hands over to one of them."""

from __future__ import annotations

from itertools import count

import pytest

from mallowpass.core.proxy.configuration import Consistency
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

READS = 150  # a second; a member of three slots runs a hundred


@pytest.fixture
def world() -> ProxyWorld:
    """Return a group whose callers write a little, and read less than it can do."""
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


def write_often(world: ProxyWorld) -> None:
    world.caller(0, "strict").send(Write("a 1"))
    world.timers.after(0.2, write_often, world)


def read_much(world: ProxyWorld, per_second: float) -> list[Code]:
    """Read from now on; return the codes of the answers, as they come."""
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
    """Collect the codes of one caller's answers among those of all."""

    def __init__(self, codes: list[Code]) -> None:
        super().__init__()
        self._codes = codes

    def append(self, answer) -> None:
        super().append(answer)
        self._codes.append(answer.code)


def let_replicas_fall_behind(world: ProxyWorld) -> None:
    for name in ("db-tanger", "db-agadir"):
        world.group.replicas[name].lag = 60.0


def test_replicas_that_stay_behind_do_not_leave_all_reads_to_the_primary(world):
    """Symptom: one in six statements of a day is refused for forty seconds.

    Sequence: both replicas of a service apply what they receive a minute late, long
    after the trouble that made them slow; the primary alone has half the slots that
    the reads need.
    Cause: nothing but time brought a replica up to date.
    """
    write_often(world)
    codes = read_much(world, READS)
    world.run(2.0)
    let_replicas_fall_behind(world)
    world.run(10.0)
    assert world.group.promotions == 1
    assert world.group.lost == []
    codes.clear()
    world.run(5.0)
    assert codes.count(Code.DONE) > 0.98 * 5 * READS


def test_a_primary_that_has_time_keeps_its_lead(world):
    write_often(world)
    codes = read_much(world, 30)
    let_replicas_fall_behind(world)
    world.run(15.0)
    assert world.group.promotions == 0
    assert set(codes) == {Code.DONE}


def test_a_primary_is_not_relieved_again_and_again(world):
    write_often(world)
    read_much(world, READS)
    world.run(2.0)
    world.group.times.lag = 60.0
    world.run(20.0)
    assert world.group.promotions <= 2
    assert world.group.lost == []


def test_replicas_that_receive_nothing_are_not_paused_for_it(world):
    """Symptom: writes of a busy service wait for half a second, again and again.

    Sequence: no replica has the floor since none receives anything; each host in turn
    tries to hand over to one of them.
    Cause: the others are paused before it is known whether that one receives.
    """
    write_often(world)
    read_much(world, READS)
    world.run(2.0)
    for name in ("db-tanger", "db-agadir"):
        world.group.replicas[name].lag = 60.0
    world.run(0.2)
    world.group.replicas["db-agadir"].deaf = True
    world.group.replicas["db-tanger"].deaf = True
    world.run(8.0)
    begun = [line for host in world.hosts for line in host.logged("promotion_begun")]
    assert begun
    assert not [c for c in world.calls if isinstance(c[2].statement, Pause)]
    assert world.group.promotions == 0


def test_a_member_that_leaves_does_not_hold_up_relief(world):
    """Symptom: after a planned replacement, a service is overloaded until the replaced
    member has ended, seconds later.

    Sequence: the old primary leaves; both other replicas are far behind.
    Cause: one that leaves gets no reads, so it was never found to be behind.
    """
    write_often(world)
    codes = read_much(world, READS)
    world.run(2.0)
    let_replicas_fall_behind(world)
    leaving = world.group.add("db-casa2")
    world.enter(leaving, draining=True)
    world.run(9.0)
    assert world.group.promotions == 1
    codes.clear()
    world.run(3.0)
    assert codes.count(Code.DONE) > 0.98 * 3 * READS


def test_a_planned_replacement_leaves_the_replica_that_serves_reads(world):
    """Symptom: reads of a service are refused for nine seconds after a planned
    replacement.

    Sequence: two replicas are far behind; a new member is up to date, and the primary
    leaves.
    Cause: the new member was made the primary, since it had come furthest, and nobody
    was left to serve reads.
    """
    write_often(world)
    codes = read_much(world, 100)
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


def test_few_holders_have_a_full_primary_relieved():
    """A tenth of all statements is refused for as long as the replicas are behind.

    In a large fleet few hosts hold the connections, and keep a full endpoint's queue
    short: statements wait, and are turned away, at the holders. They took the primary
    for one that has time, and knew of its replicas only what their own callers' reads
    had found.
    """
    times = GroupTimes(work=0.009)
    world = ProxyWorld(hosts=24, slots=2, times=times, fences=False, goes_on=True)
    world.run(2.0)
    write_often(world)
    codes = read_much(world, 280)
    world.run(2.0)
    let_replicas_fall_behind(world)
    world.run(10.0)
    assert world.group.promotions == 1
    assert world.group.lost == []
    codes.clear()
    world.run(3.0)
    assert codes.count(Code.DONE) > 0.95 * 3 * 280
