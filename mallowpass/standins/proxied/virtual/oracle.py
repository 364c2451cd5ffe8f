"""What callers of proxying hosts may see, and what they saw."""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.proxy.configuration import Consistency, Route
from mallowpass.core.proxy.statements import Answer, Code, SessionState
from mallowpass.standins.proxied.replicas import Group, LogEntry, Replica

__all__ = ["Oracle", "Session", "StaleRead"]


@dataclass(slots=True)
class Session:
    """Hold what the oracle knows of one caller's session."""

    route: Route | None  # None: it was refused
    request_id: str = ""
    sent_at: float = 0.0
    began_at: float = 0.0  # when its transaction or single statement was sent
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class StaleRead:
    """Record a read that was answered from a log that lacked a commit."""

    member: str
    began_at: float
    acknowledged_at: float  # of the commit
    consistency: Consistency


@dataclass(frozen=True, slots=True)
class _Run:
    member: str
    lacking: tuple[LogEntry, ...]  # commits acknowledged by then


class Oracle:
    """Watch a group's reads and commits, and find those that break a promise.

    The group itself records commits that were lost, and those that were acknowledged
    by a primary after its successor led.
    """

    def __init__(self, group: Group) -> None:
        self._group = group
        self._runs: dict[str, _Run] = {}  # by request
        self._own: dict[str, Session] = {}  # sessions of requests that were sent
        self.stale: list[StaleRead] = []
        self.served_at: dict[str, float] = {}  # when each member last served a read
        group.on_read = self._on_read

    def sent(self, session: Session, request_id: str) -> None:
        """Note that a session sends a statement."""
        session.request_id = request_id
        session.sent_at = self._group.timers.now
        if not session.in_transaction:
            session.began_at = session.sent_at
        self._own[request_id] = session

    def answered(self, session: Session, answer: Answer) -> None:
        """Judge what a session was answered."""
        session.in_transaction = answer.state is SessionState.IN_TRANSACTION
        run = self._runs.pop(session.request_id, None)
        if run is None or answer.code is not Code.DONE:
            return
        self.served_at[run.member] = self._group.timers.now
        for entry in run.lacking:
            acknowledged_at = self._group.acknowledged_at[entry]
            if entry not in self._group.lost and self._is_owed(session, entry):
                consistency = session.route.consistency
                self.stale.append(
                    StaleRead(
                        run.member, session.began_at, acknowledged_at, consistency
                    )
                )
                return

    def _is_owed(self, session: Session, entry: LogEntry) -> bool:
        """Tell whether a read of a session must see a commit."""
        age = session.began_at - self._group.acknowledged_at[entry]
        route = session.route
        if route.consistency is Consistency.PRIMARY:
            return age > 0.0
        is_own = self._own.get(entry.request_id) is session
        if route.consistency is Consistency.OWN_WRITES and is_own:
            return age > 0.0
        return age > route.accepted_age

    def _on_read(self, replica: Replica, request_id: str) -> None:
        if request_id not in self._own:
            return
        seen = set(replica.log[: replica.applied])
        lacking = tuple(e for e in self._group.acknowledged if e not in seen)
        self._runs[request_id] = _Run(replica.name, lacking)
