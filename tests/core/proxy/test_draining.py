"""Readiness of a host, and draining it."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import Begin, Code, Commit, Read, SetValue, Write
from mallowpass.standins.proxied.virtual.world import ProxyWorld


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
