"""What callers are told of a transaction whose connection is lost."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    Commit,
    EndpointReply,
    SessionState,
    Write,
)
from mallowpass.standins.proxied.connections import ReplicaConnection
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld

PRIMARY = "db-casa"
ANSWER_TIME = 0.1  # seconds until a lost connection is answered


def writing_callers(world: ProxyWorld, count: int) -> list[Caller]:
    """Return callers of one host, each in a transaction that has written."""
    callers = [world.caller(0, "strict") for _ in range(count)]
    for caller in callers:
        for statement in (Begin(), Write("a 1")):
            assert caller.run(statement).code is Code.DONE
    return callers


def test_a_commit_that_was_held_back_is_aborted_as_its_connection_is_lost():
    """Guard against an exception, and against doubt about a commit that was not sent.

    A successor gets one commit of a host at a time until it has acknowledged one.
    """
    world = ProxyWorld()
    sent, held = writing_callers(world, 2)
    host = world.hosts[0]
    host.node.system(Stalls).await_acknowledgement(host.tables.group(SERVICE))
    for replica in world.group.replicas.values():
        replica.deaf = True
    for caller in (sent, held):
        caller.send(Commit())
        world.run(0.02)
    world.crash(PRIMARY)
    world.run(ANSWER_TIME)
    assert sent.answers[-1].code is Code.IN_DOUBT
    assert held.answers[-1].code is Code.ABORTED
    assert held.answers[-1].state is SessionState.IDLE


def test_a_commit_that_was_refused_is_aborted_as_its_connection_is_lost(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guard against doubt about a commit that its endpoint refused to run."""
    world = ProxyWorld()
    (caller,) = writing_callers(world, 1)
    send = ReplicaConnection.send

    def refuse_commits(connection, call, done) -> None:
        if isinstance(call.statement, Commit):
            state = SessionState.IN_TRANSACTION
            done(EndpointReply(code=Code.BUSY, state=state))
        else:
            send(connection, call, done)

    monkeypatch.setattr(ReplicaConnection, "send", refuse_commits)
    caller.send(Commit())
    world.run(0.03)
    world.crash(PRIMARY)
    world.run(ANSWER_TIME)
    assert caller.answers[-1].code is Code.ABORTED
