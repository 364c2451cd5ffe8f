"""The stand-in of replicas keeps the promises of its answers."""

from __future__ import annotations

from mallowpass.core.proxy.statements import Code, EndpointCall, Write
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.connections import connect
from mallowpass.standins.proxied.replicas import Group


def _run(timers: TimerService, until: float) -> None:
    while timers.next_due is not None and timers.next_due <= until:
        timers.advance(timers.next_due)
        timers.run_due()


def test_commit_that_the_successor_has_is_not_called_not_run():
    """Symptom: a write takes effect twice.

    Sequence: a primary loses the lead while a commit waits for a second replica; its
    successor has received the commit. Cause: it is answered as one that did not run,
    and is sent again.
    """
    timers = TimerService()
    group = Group("s", ["a", "b", "c"], timers, synchronous=2)
    group.replicas["c"].deaf = True
    connection = connect(group, "a")
    replies = []
    connection.send(EndpointCall(Write("k 1"), "r1"), replies.append)
    _run(timers, 0.1)
    group.promote("b")
    _run(timers, 1.0)
    assert group.primary.value("k") == "1"
    assert replies == []


def test_commit_that_is_rolled_back_is_called_not_run():
    timers = TimerService()
    group = Group("s", ["a", "b", "c"], timers)
    group.replicas["b"].deaf = group.replicas["c"].deaf = True
    connection = connect(group, "a")
    replies = []
    connection.send(EndpointCall(Write("k 1"), "r1"), replies.append)
    _run(timers, 0.1)
    group.promote("b")
    _run(timers, 1.0)
    assert [reply.code for reply in replies] == [Code.NOT_PRIMARY]
    assert group.primary.value("k") == ""
