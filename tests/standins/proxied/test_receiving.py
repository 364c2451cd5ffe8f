"""Replicas of the stand-in receive what was sent, each at a distance of its own."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import (
    Code,
    EndpointCall,
    EndpointReply,
    EndpointStatus,
    Pause,
    Resume,
    Statement,
    Write,
)
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.connections import ReplicaConnection, connect
from mallowpass.standins.proxied.replicas import Group

DISTANCES = {"near": 0.001, "far": 0.010}  # seconds from the primary


def run(group: Group, until: float) -> None:
    """Run until some time."""
    timers = group.timers
    while timers.next_due is not None and timers.next_due <= until:
        timers.advance(timers.next_due)
        timers.run_due()
    timers.advance(until)


def send(connection: ReplicaConnection, statement: Statement) -> list[EndpointReply]:
    """Send a statement; return where its reply will be."""
    replies: list[EndpointReply] = []
    connection.send(EndpointCall(statement, f"r{id(replies)}"), replies.append)
    return replies


def status(group: Group, name: str, statement: Statement) -> EndpointStatus:
    """Return the row that a member answers an order with."""
    return send(connect(group, name), statement)[0].status


@pytest.fixture
def group() -> Group:
    """Return a group of a primary, a near replica and a far one."""
    group = Group("s", ["primary", *DISTANCES], TimerService())
    for name, distance in DISTANCES.items():
        group.replicas[name].distance = distance
    group.work_of = lambda request: 0.001
    return group


def test_replicas_differ_by_commits_on_their_way(group: Group):
    replies = send(connect(group, "primary"), Write("k 1"))
    run(group, 0.005)
    assert replies[0].code is Code.DONE
    assert len(group.replicas["near"].log) == 1
    assert group.replicas["far"].log == []
    run(group, 0.012)
    assert group.replicas["far"].log == group.replicas["near"].log


def test_commit_is_acknowledged_once_the_receipt_is_back(group: Group):
    group.replicas["near"].deaf = True
    replies = send(connect(group, "primary"), Write("k 1"))
    run(group, 0.0205)
    assert len(group.replicas["far"].log) == 1
    assert replies == []
    run(group, 0.0225)
    assert replies[0].code is Code.DONE


def test_replica_receives_what_was_sent_and_nothing_newer(group: Group):
    connection = connect(group, "primary")
    send(connection, Write("k 1"))
    run(group, 0.006)
    send(connection, Write("k 2"))
    run(group, 0.013)
    assert len(group.replicas["near"].log) == 2
    assert len(group.replicas["far"].log) == 1


def test_commit_on_its_way_to_a_paused_replica_is_not_received(group: Group):
    send(connect(group, "primary"), Write("k 1"))
    run(group, 0.006)
    assert status(group, "far", Pause(2)).paused_for == 2
    run(group, 0.5)
    assert group.replicas["far"].log == []
    status(group, "far", Resume())
    run(group, 0.6)
    assert len(group.replicas["far"].log) == 1


def test_pause_for_a_term_that_is_known_does_nothing(group: Group):
    assert status(group, "near", Pause(1)).paused_for == 0
    send(connect(group, "primary"), Write("k 1"))
    run(group, 0.1)
    assert len(group.replicas["near"].log) == 1


def test_pause_for_an_older_term_leaves_a_newer_one(group: Group):
    assert status(group, "near", Pause(3)).paused_for == 3
    assert status(group, "near", Pause(2)).paused_for == 3


def test_replica_that_is_gone_is_counted_if_it_has_reported(group: Group):
    """Guard against a stand-in that forgets receipts on their way."""
    group.replicas["near"].deaf = True
    replies = send(connect(group, "primary"), Write("k 1"))
    run(group, 0.015)
    group.crash("far")
    run(group, 0.1)
    assert replies[0].code is Code.DONE


def test_member_that_started_empty_has_reported_nothing(group: Group):
    """Guard against acknowledgements by a log that is gone."""
    connection = connect(group, "primary")
    send(connection, Write("k 1"))
    run(group, 0.1)
    for name in DISTANCES:
        group.start(name, empty=True)
        group.replicas[name].deaf = True
    replies = send(connection, Write("k 2"))
    run(group, 0.5)
    assert replies == []
