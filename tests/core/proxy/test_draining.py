"""Readiness of a host, and draining it."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    Commit,
    Read,
    Rollback,
    SetValue,
    Write,
)
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld

PRIMARY = "db-casa"
# Seconds of the grace period.
GRACE = 6.0
TRANSACTIONS_END = 3.0
EXIT = 5.7


@pytest.fixture
def world() -> ProxyWorld:
    return ProxyWorld()


def test_stopping_host_is_not_ready_at_once(world):
    world.hosts[0].stop()
    assert not world.hosts[0].ready


def test_stopping_host_serves_callers_that_still_connect(world):
    world.hosts[0].stop()
    world.run(1.0)
    caller = world.caller(0, "own")
    assert caller.run(Write("a 1")).code is Code.DONE


def test_idle_session_is_closed_once_the_host_is_out_of_the_balancer(world):
    caller = world.caller(0, "own")
    caller.run(Read("a"))
    world.hosts[0].stop()
    world.run(1.5)
    assert not caller.closed
    world.run(1.5)
    assert caller.closed
    assert world.hosts[0].exited


def test_session_is_not_closed_between_a_set_and_its_statement(world):
    """Callers lost operations during a restart, without an answer.

    A caller of a stopping host sets a value, and is about to send the statement that
    needs the value. The session counted as idle in between, and was closed.
    """
    caller = world.caller(0, "own")
    world.hosts[0].stop()
    world.run(2.15)
    caller.run(SetValue("role", "clerk"))
    world.run(0.1)
    assert not caller.closed
    assert caller.run(Read("a")).code is Code.DONE


def test_transaction_has_half_of_the_grace_period(world):
    caller = world.caller(0, "own")
    caller.run(Begin())
    caller.run(Write("a 1"))
    world.hosts[0].stop(6.0)
    world.run(2.5)
    assert caller.run(Commit()).code is Code.DONE
    late = world.caller(1, "own")
    late.run(Begin())
    late.run(Write("a 1"))
    world.hosts[1].stop(6.0)
    world.run(2.9)
    late.run(Read("a"))
    world.run(0.3)
    assert late.run(Commit()).code is Code.ABORTED


def test_stopping_host_deletes_its_entry(world):
    world.hosts[0].stop()
    world.run(3.0)
    assert set(world.hosts[1].tables.hosts) == {"host-1", "host-2"}


def test_busy_session_is_closed_between_two_operations(world):
    """A stopping host cut off a statement at the end of the grace period.

    A session sends one statement after the other without a pause. Only idle sessions
    were closed during the drain.
    """
    caller = world.caller(0, "own")
    world.hosts[0].stop(6.0)
    end = world.timers.now + 4.0
    while not caller.closed and world.timers.now < end:
        assert caller.run(Read("a")).code is Code.DONE
        world.run(0.005)
    assert caller.closed
    assert len(caller.answers) > 10
    world.run(0.5)
    assert world.hosts[0].logged("stopped")[0]["sessions"] == 0


def test_transaction_is_aborted_after_the_statement_that_ran_at_half_of_the_grace(
    world,
):
    """Guard against transactions that go on until the host ends, with no answer."""
    caller = world.caller(0, "strict")
    caller.run(Begin())
    caller.run(Write("a 1"))
    world.hosts[0].stop(GRACE)
    world.run(TRANSACTIONS_END - 0.01)
    world.group.work_of = lambda request: 0.1
    caller.send(Read("a"))
    world.run(0.2)
    assert caller.answers[-1].code is Code.DONE
    assert caller.run(Read("a")).code is Code.ABORTED
    assert caller.run(Rollback()).code is Code.DONE
    world.run(1.0)
    assert world.hosts[0].exited


def keep_open(world: ProxyWorld, callers: list[Caller], until: float) -> None:
    """Have callers set a value again and again, so that no session is idle."""
    while world.timers.now < until:
        for caller in callers:
            caller.run(SetValue("role", "clerk"))
        world.run(0.15)


def test_no_transaction_begins_after_half_of_the_grace(world):
    """Guard against transactions that begin as others are aborted."""
    caller = world.caller(0, "strict")
    stopped_at = world.timers.now
    world.hosts[0].stop(GRACE)
    keep_open(world, [caller], stopped_at + TRANSACTIONS_END + 0.1)
    assert caller.run(Begin()).code is Code.BUSY
    world.run(0.5)
    assert caller.closed


def test_statements_are_answered_as_the_grace_period_ends(world):
    """Guard against statements without an answer at the end of a host that stops."""
    host = world.hosts[0]
    read, write, held = callers = [world.caller(0, "strict") for _ in range(3)]
    stopped_at = world.timers.now
    host.stop(GRACE)
    keep_open(world, callers, stopped_at + EXIT - 0.2)
    world.group.work_of = lambda request: 0.5 if request else 0.0
    read.send(Read("a"))
    write.send(Write("a 1"))
    world.run(0.02)
    host.node.system(Fencing).fence(host.tables.endpoints[PRIMARY], 5.0, "host-1")
    held.send(Write("a 2"))
    held.send(Read("a"))
    world.run(0.3)
    assert host.exited
    assert read.answers[-1].code is Code.TIMED_OUT
    assert write.answers[-1].code is Code.IN_DOUBT
    assert [answer.code for answer in held.answers[-2:]] == [Code.BUSY, Code.BUSY]
