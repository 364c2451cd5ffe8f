"""Connections to a stand-in of an endpoint: the slots they take, missing answers."""

from __future__ import annotations

from mallowpass.core.proxy.statements import EndpointCall, Read, Status
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.connections import ReplicaConnection, open_in_slot
from mallowpass.standins.proxied.replicas import Group, GroupTimes
from mallowpass.standins.proxied.virtual.world import ProxyWorld

NAME = "db-casa"


def _run(timers: TimerService, until: float) -> None:
    while (due := timers.next_due) is not None and due <= until:
        timers.advance(due)
        timers.run_due()
    timers.advance(until)


def _group(**values) -> Group:
    return Group("claims-core", [NAME], TimerService(), **values)


def test_new_connections_wait_for_slots_of_their_endpoint():
    group = _group(slots=1, times=GroupTimes(opening=0.012))
    opened_at = []
    for _ in range(3):
        open_in_slot(group, NAME, lambda: opened_at.append(group.timers.now))
    _run(group.timers, 1.0)
    assert [round(at, 3) for at in opened_at] == [0.012, 0.024, 0.036]
    assert group.replicas[NAME].busy == 0


def test_full_endpoint_refuses_without_a_slot():
    """Guard against refused connections that use up the slots of a full endpoint."""
    group = _group(max_connections=1, times=GroupTimes(opening=0.012))
    ReplicaConnection(group, group.replicas[NAME])
    opened_at = []
    open_in_slot(group, NAME, lambda: opened_at.append(group.timers.now))
    assert opened_at == [0.0]


def test_endpoint_that_crashes_while_a_connection_is_opened_runs_nothing_on_it():
    """Guard against a connection to an endpoint that is down."""
    world = ProxyWorld(times=GroupTimes(opening=0.5), settle_time=0.0)
    replica = world.primary
    while not replica.busy:
        world.run(0.01)
    world.crash(replica.name)
    world.run(2.0)
    assert not replica.up
    assert not replica.connections


def test_half_silent_endpoint_answers_probes_and_about_half_of_the_statements():
    group = _group()
    replica = group.replicas[NAME]
    replica.unanswered = 0.5
    answered = 0
    for _ in range(200):
        connection = ReplicaConnection(group, replica)
        replies = []
        connection.send(EndpointCall(Status()), replies.append)
        _run(group.timers, group.timers.now + 0.1)
        assert len(replies) == 1
        connection.send(EndpointCall(Read("a"), request_id="q"), replies.append)
        _run(group.timers, group.timers.now + 0.1)
        answered += len(replies) - 1
        connection.close()
    assert 70 < answered < 130
