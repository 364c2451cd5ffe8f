"""Writes wait at the hosts while a primary is replaced as planned, and reads do not.

The simulated platform checks no fencing tokens, and a replaced primary goes on as
primary until it is demoted.
"""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    Commit,
    Demote,
    HoldWrites,
    Read,
    Write,
)
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_replaced import OLD, check_guarantees, weak_world

LARGE = 24  # hosts of a fleet in which a few hold connections and the others forward


def run_until_ordered(world: ProxyWorld) -> None:
    """Have the primary leave, and run until a promotion was ordered."""
    world.enter(world.group.replicas[OLD], draining=True)
    world.run_until(lambda: bool(world.orders), 4.0)
    assert world.orders


def run_until_led(world: ProxyWorld) -> None:
    """Run until a successor leads, and two seconds more."""
    world.run_until(lambda: world.group.promotions == 1, 4.0)
    assert world.group.promotions == 1
    world.run(2.0)


def begin_and_write(world: ProxyWorld, host: int) -> Caller:
    """Return a caller in a transaction that has written."""
    caller = world.caller(host, "strict")
    for statement in (Begin(), Read("a"), Write("a 1")):
        assert caller.run(statement).code is Code.DONE
    return caller


@pytest.mark.parametrize("hosts", [4, LARGE])
def test_writes_that_wait_are_served_by_the_successor(hosts):
    """Guard against writes that are refused or in doubt in a planned replacement."""
    world = weak_world(hosts=hosts)
    world.run(4.0)
    run_until_ordered(world)
    callers = [world.caller(host, "own") for host in range(hosts)]
    for caller in callers:
        caller.send(Write("a 1"))
    world.run(0.1)
    assert [caller.answers for caller in callers] == [[]] * hosts
    run_until_led(world)
    assert {caller.answers[0].code for caller in callers} == {Code.DONE}
    assert {caller.answers[0].signature for caller in callers} == {world.primary.name}
    check_guarantees(world)


@pytest.mark.parametrize("hosts", [4, LARGE])
def test_the_primary_serves_reads_until_its_successor_leads(hosts):
    """Guard against reads that wait for a planned promotion, as writes have to."""
    world = weak_world(hosts=hosts, times=GroupTimes(promotion=1.0))
    world.run(4.0)
    run_until_ordered(world)
    for host in range(hosts):
        world.caller(host, "own").send(Write("a 1"))
    world.run(0.1)
    for host in range(0, hosts, 3):
        answer = world.caller(host, "strict").run(Read("a"), within=0.3)
        assert answer.code is Code.DONE
        assert answer.signature == OLD
    assert world.group.promotions == 0


@pytest.mark.parametrize("hosts", [4, LARGE])
def test_a_commit_that_the_successor_cannot_run_is_aborted_at_once(hosts):
    """Guard against a commit that waits for a successor without its transaction."""
    world = weak_world(hosts=hosts, times=GroupTimes(promotion=1.0))
    world.run(4.0)
    callers = [begin_and_write(world, host) for host in range(0, hosts, 4)]
    run_until_ordered(world)
    for caller in callers:
        assert caller.run(Commit(), within=0.1).code is Code.ABORTED
    assert world.group.promotions == 0
    run_until_led(world)
    check_guarantees(world)


@pytest.mark.parametrize("hosts", [4, LARGE])
def test_a_transaction_that_only_read_is_committed(hosts):
    """Guard against a commit without writes that is aborted, as others are."""
    world = weak_world(hosts=hosts, times=GroupTimes(promotion=1.0))
    world.run(4.0)
    callers = [world.caller(host, "strict") for host in range(0, hosts, 4)]
    for caller in callers:
        assert caller.run(Begin()).code is Code.DONE
        assert caller.run(Read("a")).code is Code.DONE
    run_until_ordered(world)
    for caller in callers:
        assert caller.run(Commit(), within=0.1).code is Code.DONE


def test_writes_go_on_at_the_primary_when_its_target_fails():
    """Guard against writes that wait on after a planned promotion was refused."""
    world = weak_world(times=GroupTimes(promotion=1.0))
    world.run(2.0)
    run_until_ordered(world)
    world.crash(world.orders[0].endpoint)
    world.enter(world.group.replicas[OLD])
    world.run(6.0)
    assert world.group.promotions == 0
    for host in range(4):
        assert world.caller(host, "own").run(Write("a 1")).code is Code.DONE
    check_guarantees(world)


def test_the_primary_steps_down_first_when_a_holder_confirms_no_drain():
    """Guard against a late acknowledgement to a host that does not hold its writes."""
    world = weak_world()
    world.run(2.0)
    world.cut(0, *(host.name for host in world.hosts[1:]))
    run_until_ordered(world)
    assert any(host.logged("writes_not_drained") for host in world.hosts)
    assert not world.group.replicas[OLD].is_primary
    orders = [call.statement for _, member, call in world.calls if member == OLD]
    assert any(isinstance(statement, Demote) for statement in orders)
    run_until_led(world)
    check_guarantees(world)


def test_holds_are_sent_to_holders_only():
    """Guard against an endpoint that gets a statement that only hosts know."""
    world = weak_world()
    world.run(2.0)
    run_until_ordered(world)
    run_until_led(world)
    sent = [call.statement for _, _, call in world.calls]
    assert not any(isinstance(statement, HoldWrites) for statement in sent)


def test_a_fencing_platform_needs_no_holds():
    """Guard against writes that wait where a promotion fences the primary."""
    world = ProxyWorld(hosts=4, times=GroupTimes(promotion=1.0))
    world.run(2.0)
    run_until_ordered(world)
    for host in range(4):
        answer = world.caller(host, "own").run(Write("a 1"), within=0.1)
        assert answer.code is Code.DONE
    assert world.group.promotions == 0
