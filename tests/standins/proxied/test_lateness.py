"""Orders to members and events of hosts arrive late, and in order."""

from __future__ import annotations

from mallowpass.core.proxy.statements import EndpointCall, Pause, Read
from mallowpass.standins.proxied.connections import connect
from mallowpass.standins.proxied.virtual.world import ProxyWorld

REPLICA = "db-tanger"
LATENESS = 0.3  # seconds
ANSWERED = 0.1  # seconds, at most, without faults


def test_late_order_is_carried_out_between_its_bounds():
    world = ProxyWorld()
    faults = world.order_faults
    faults.share, faults.late_min, faults.late = 1.0, 2.0, 3.0
    connection = connect(world.group, REPLICA)
    assert faults.strike(connection, EndpointCall(Pause(2)))
    world.run(1.9)
    assert not world.group.replicas[REPLICA].paused_for
    world.run(1.2)
    assert world.group.replicas[REPLICA].paused_for == 2


def test_what_a_late_host_gets_arrives_later_and_in_order():
    world = ProxyWorld()
    world.run(1.0)
    world.hosts[0].lateness = LATENESS
    caller = world.caller(0, "own")
    caller.send(Read("a"))
    world.run(LATENESS - 0.01)
    assert not caller.opened
    world.hosts[0].lateness = 0.0
    second = world.caller(0, "own")
    assert not second.opened
    world.run(LATENESS + ANSWERED)
    assert caller.answers
    assert second.opened
