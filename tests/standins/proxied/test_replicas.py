"""The stand-in of replicas keeps the promises of its answers."""

from __future__ import annotations

from mallowpass.core.proxy.statements import (
    Begin,
    Code,
    Demote,
    EndpointCall,
    EndpointReply,
    Rollback,
    Statement,
    Write,
)
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.connections import connect
from mallowpass.standins.proxied.replicas import Group, GroupTimes


def _run(timers: TimerService, until: float) -> None:
    while timers.next_due is not None and timers.next_due <= until:
        timers.advance(timers.next_due)
        timers.run_due()


def _ask(group: Group, name: str, *statements: Statement) -> list[EndpointReply]:
    """Return what a member answers within a tenth of a second."""
    connection = connect(group, name)
    replies: list[EndpointReply] = []
    for number, statement in enumerate(statements):
        call = EndpointCall(statement, f"{name}-{number}-{group.timers.now}")
        connection.send(call, replies.append)
    _run(group.timers, group.timers.now + 0.1)
    connection.close()
    return replies


def _replaced(timers: TimerService) -> Group:
    """Return a group whose first member was replaced, goes on, and is cut off."""
    group = Group("s", ["a", "b", "c"], timers, goes_on=True)
    group.cut("a", ["b"])
    group.promote("b")
    _run(timers, 0.4)
    return group


def test_replaced_primary_goes_on_until_it_can_reach_its_successor_for_a_second():
    timers = TimerService()
    group = _replaced(timers)
    _run(timers, 5.0)
    accepted = _ask(group, "a", Begin(), Rollback())
    assert [reply.code for reply in accepted] == [Code.DONE, Code.DONE]
    group.heal()
    _run(timers, 6.0)
    assert group.replicas["a"].is_primary
    _run(timers, 6.5)
    assert not group.replicas["a"].is_primary
    assert _ask(group, "a", Begin())[0].code is Code.NOT_PRIMARY


def test_replaced_primary_is_demoted_by_a_newer_term_only():
    timers = TimerService()
    group = _replaced(timers)
    assert _ask(group, "a", Demote(1))[0].status.is_primary
    assert not _ask(group, "a", Demote(2))[0].status.is_primary
    assert _ask(group, "a", Write("k 1"))[0].code is Code.NOT_PRIMARY


def test_commit_is_recorded_that_a_replaced_primary_acknowledges():
    timers = TimerService()
    group = _replaced(timers)
    group.cut("b", ["c"])
    assert _ask(group, "a", Write("k 1"))[0].code is Code.DONE
    assert len(group.overtaken) == len(group.lost) == 1
    assert not group.overtaken[0].kept


def test_commit_that_was_under_way_is_told_from_one_that_is_lost():
    """A finding of the one must not pass for the other."""
    timers = TimerService()
    times = GroupTimes(network=0.0015)
    group = Group("s", ["a", "b", "c"], timers, goes_on=True, times=times)
    group.promote("b")
    _run(timers, 0.2922)
    timers.advance(0.2922)
    assert _ask(group, "a", Write("k 1"))[0].code is Code.DONE
    assert [overtaken.kept for overtaken in group.overtaken] == [True]
    assert group.lost == []


def test_replica_that_heard_of_the_successor_receives_nothing_of_the_old_primary():
    timers = TimerService()
    group = _replaced(timers)
    _run(timers, 1.0)
    assert _ask(group, "a", Write("k 1")) == []
    assert group.overtaken == []


def test_primary_that_crashed_comes_back_as_replica_of_its_successor():
    timers = TimerService()
    group = Group("s", ["a", "b", "c"], timers, goes_on=True)
    group.crash("a")
    group.promote("b")
    _run(timers, 0.4)
    group.start("a")
    assert not group.replicas["a"].is_primary


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


def test_commit_that_a_later_successor_has_is_not_called_not_run():
    """Symptom: a write takes effect twice, or is kept though promised not to be.

    Sequence: a primary is demoted before its successor leads; that one has received a
    commit. Cause: it is answered as one that did not run, as nobody leads just then.
    """
    timers = TimerService()
    group = Group("s", ["a", "b", "c"], timers, synchronous=2)
    group.replicas["c"].deaf = True
    connection, other = connect(group, "a"), connect(group, "a")
    replies = []
    connection.send(EndpointCall(Write("k 1"), "r1"), replies.append)
    _run(timers, 0.1)
    other.send(EndpointCall(Demote(2)), lambda reply: None)
    _run(timers, 0.2)
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


def test_commit_that_its_member_keeps_when_it_leads_again_is_not_called_not_run():
    """Guard against a stand-in that keeps a commit after it said that it did not run.

    No replica received the commit. Its member was ordered to step down, and was then
    promoted as the one with the furthest log.
    """
    timers = TimerService()
    group = Group("s", ["a", "b", "c"], timers, goes_on=True)
    group.cut("a", ["b", "c"])
    connection = connect(group, "a")
    replies: list[EndpointReply] = []
    connection.send(EndpointCall(Write("k 1"), "id1"), replies.append)
    _run(timers, 0.1)
    group.demote(group.replicas["a"], 2)
    _run(timers, 0.3)
    assert replies == []
    group.promote("a")
    group.heal()
    _run(timers, 1.0)
    assert group.replicas["a"].value("k") == "1"
    assert [reply.code for reply in replies] in ([], [Code.DONE])
