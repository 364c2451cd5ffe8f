"""Tests of the node: handling of events, signals, timers and the journal."""

from __future__ import annotations

from mallowpass.core.effects import CloseCaller, Log
from mallowpass.core.events import CallerConnected, CallerDisconnected
from mallowpass.core.node import (
    JOURNAL_LENGTH,
    FailureDomain,
    HostIdentity,
    Node,
    System,
    Tuning,
)
from mallowpass.core.signals import PrimaryChanged


class _Closer(System):
    """Close a caller's stream on connection, and emit once more a second later."""

    def start(self) -> None:
        self._node.subscribe(CallerConnected, self._on_connected)
        self._node.subscribe(PrimaryChanged, self._on_primary)

    def _on_connected(self, event: CallerConnected) -> None:
        self._node.emit(CloseCaller(event.stream))
        self.timers.after(1.0, self._node.emit, CloseCaller(-event.stream))

    def _on_primary(self, signal: PrimaryChanged) -> None:
        self._node.log("info", "primary", database=signal.database)


def _node() -> Node:
    identity = HostIdentity(
        name="casa-1",
        failure_domain="casa-ainsebaa",
        seat=0,
        peers_address="127.0.0.1:1",
        incarnation=1,
        domains=(FailureDomain("casa-ainsebaa", "casa", 3),),
    )
    node = Node(identity, Tuning(), seed=1)
    node.start([_Closer])
    return node


def test_event_is_handled_by_its_subscribers_only():
    node = _node()
    assert node.handle(1.0, CallerConnected(7)) == [CloseCaller(7)]
    assert node.handle(1.0, CallerDisconnected(7)) == []


def test_wake_runs_due_timers():
    node = _node()
    node.handle(1.0, CallerConnected(7))
    assert node.next_wake == 2.0
    assert node.wake(1.5) == []
    assert node.wake(2.0) == [CloseCaller(-7)]
    assert node.next_wake is None


def test_due_timers_run_before_the_event():
    node = _node()
    node.handle(1.0, CallerConnected(7))
    assert node.handle(3.0, CallerConnected(8)) == [CloseCaller(-7), CloseCaller(8)]


def test_signal_is_handled_when_it_is_published():
    node = _node()
    node.publish(PrimaryChanged("claims/tariffs"))
    effects = node.wake(1.0)
    assert effects == [Log("info", "primary", (("database", "claims/tariffs"),))]


def test_full_journal_drops_the_oldest_decision():
    node = _node()
    for number in range(JOURNAL_LENGTH + 1):
        node.record_decision("route", str(number), "text")
    assert len(node.journal) == JOURNAL_LENGTH
    assert node.journal[-1].subject == str(JOURNAL_LENGTH)


def test_identity_returns_the_region_of_its_failure_domain():
    node = _node()
    assert node.identity.region == "casa"
    assert node.identity.region_of("elsewhere") == ""


class _ReplacingCloser(_Closer):
    replaces = _Closer


def test_system_is_returned_for_the_class_that_it_replaces():
    node = _node()
    node.start([_ReplacingCloser])
    assert isinstance(node.system(_Closer), _ReplacingCloser)
