"""Commits that this host gave up and that may wait at an endpoint for a replica.

A host that fences a silent primary closes the connections on which a commit is in
flight. If no way leads to the primary, it does not learn of that, and keeps them for a
while: a commit that had arrived is acknowledged as soon as a replica receives it. So
each host counts the commits that it gave up, until their connections have ended there:
the primary has had time to drop them, or the resets have arrived. No answer tells of a
reset, but if the primary has answered what was sent shortly before a close and shortly
after it, the way was open.

Whether a replica has them shows by the position that the primary's log had last. While
commits wait, the primary may answer nothing else. An empty transaction, which takes no
slot of an endpoint, then asks for the position.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.durability import COMMITS_MAX
from mallowpass.core.proxy.signals import (
    CallsSent,
    CommitsAbandoned,
    EndpointExpired,
    EndpointRestarted,
)
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.statements import (
    AbandonedCommits,
    Begin,
    EndpointCall,
    EndpointReply,
    Rollback,
)
from mallowpass.core.proxy.tables import ConnectionRow, EndpointRow, ProxySystem
from mallowpass.core.proxy.unansweredcommits import LINGER_TIME
from mallowpass.core.proxy.writeholds import WriteHolds

__all__ = ["WaitingCommits"]

# Times are in seconds.
# After the last reply of an endpoint, within which a commit was sent that most likely
# arrived: a round trip, and the interval between two samples.
ARRIVAL_TIME = 0.1
# Without a reply while a commit waits, until the position is sampled.
SAMPLE_INTERVAL = 0.02
# Multiple of the usual latency that a commit takes before it counts as waiting.
LATENCY_TIMES = 2
ABANDONED_MAX = 1024  # commits that are kept for each endpoint
# From the last answer of an endpoint to a close, within which the way to it counts as
# open; longer than a statement on each of its connections hangs until it times out.
REACH_TIME = 1.0
# From a close until the endpoint has to answer a later statement for the same reason: a
# connection is opened, and a round trip between regions.
RESET_TIMEOUT = 0.3


@dataclass(slots=True, eq=False)
class _Abandoned:
    """A commit that this host gave up."""

    sent_at: float
    closed_at: float
    position_before: LogPosition | None  # that the log had shown as it was sent
    was_reached: bool  # the endpoint had answered this host a moment before the close
    # Its reset arrived: the endpoint has answered what was sent before and after it.
    is_reset: bool = False

    def has_ended(self, now: float) -> bool:
        """Return whether the endpoint has closed the connection."""
        return self.is_reset or self.closed_at <= now - LINGER_TIME


@dataclass(slots=True, eq=False)
class _Samples:
    """The samples of one endpoint's position."""

    is_watched: bool = False  # a timer looks for commits that wait
    asked_at: float = float("-inf")


class WaitingCommits(ProxySystem):
    """Keep the commits that may wait at endpoints, and sample these."""

    __slots__ = (
        "_abandoned",
        "_connections",
        "_samples",
        "_stalls",
        "_started_at",
        "_write_holds",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._abandoned: dict[EndpointRow, deque[_Abandoned]] = {}
        self._samples: dict[EndpointRow, _Samples] = {}
        self._started_at = self.now

    def start(self) -> None:
        """Subscribe to commits that are sent and that are given up."""
        self._connections = self._node.system(Connections)
        self._stalls = self._node.system(Stalls)
        self._write_holds = self._node.system(WriteHolds)
        self._node.subscribe(CallsSent, self._on_sent)
        self._node.subscribe(CommitsAbandoned, self._on_abandoned)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(EndpointRestarted, self._on_restarted)

    def is_reached(self, endpoint: EndpointRow) -> bool:
        """Return whether an endpoint has answered this host a moment ago."""
        return endpoint.reached_sent_at >= self.now - REACH_TIME

    def _unproven(self, endpoint: EndpointRow) -> Iterator[_Abandoned]:
        """Yield the commits whose resets an endpoint may soon show to have arrived."""
        since = self.now - RESET_TIMEOUT
        for commit in self._abandoned.get(endpoint, ()):
            if commit.closed_at > since and not commit.is_reset and commit.was_reached:
                yield commit

    def restarted_ago(self, endpoints: Sequence[EndpointRow]) -> float | None:
        """Return the seconds since this host replaced a run that was not stopped.

        None if endpoints have closed the connections of that run, or there was none. An
        endpoint that has answered this run was in reach, and was told of the end of the
        one before.
        """
        age = self.now - self._started_at
        has_answered = any(e.last_direct_reply_at > self._started_at for e in endpoints)
        is_recent = self.tables.was_in_hosts and age < LINGER_TIME
        return age if is_recent and not has_answered else None

    def sent_ago(self, endpoints: Sequence[EndpointRow]) -> float | None:
        """Return the seconds since the newest commit was sent that likely arrived."""
        sent_at = [
            commit.sent_at
            for endpoint in endpoints
            for commit in self._waiting(endpoint)
            if commit.sent_at <= endpoint.last_direct_reply_at + ARRIVAL_TIME
        ]
        return self.now - max(sent_at) if sent_at else None

    def abandoned(self, endpoints: Sequence[EndpointRow]) -> AbandonedCommits:
        """Return the commits of this host that may wait at some endpoints."""
        closed_at, shown_before = [], []
        for endpoint in endpoints:
            for commit in self._waiting(endpoint):
                closed_at.append(commit.closed_at)
                has_arrived = commit.sent_at <= endpoint.answered_sent_at
                if has_arrived and commit.position_before is not None:
                    shown_before.append(commit.position_before)
        if not closed_at:
            return AbandonedCommits()
        age = self.now - max(closed_at)
        newest = tuple(sorted(shown_before)[-COMMITS_MAX:])
        return AbandonedCommits(len(closed_at), age, newest)

    def _waiting(self, endpoint: EndpointRow) -> Iterator[_Abandoned]:
        """Yield the commits that may wait at an endpoint for a replica."""
        for commit in self._abandoned.get(endpoint, ()):
            if not commit.has_ended(self.now):
                yield commit

    def _on_abandoned(self, signal: CommitsAbandoned) -> None:
        endpoint = signal.endpoint
        was_reached = self.is_reached(endpoint)
        commits = self._abandoned.setdefault(endpoint, deque(maxlen=ABANDONED_MAX))
        commits.extend(
            _Abandoned(commit.sent_at, self.now, commit.position_before, was_reached)
            for commit in signal.commits
        )
        if was_reached and signal.commits:
            self.timers.after(0.0, self._look_for_resets, endpoint)

    def _look_for_resets(self, endpoint: EndpointRow) -> None:
        """Have an endpoint answer a statement that is sent after a close."""
        for commit in list(self._unproven(endpoint)):
            commit.is_reset = endpoint.reached_sent_at > commit.closed_at
        is_over = next(self._unproven(endpoint), None) is None
        if is_over or not self.tables.is_current(endpoint):
            return
        connection = self._connections.acquire(endpoint, None, own_only=True)
        if connection is not None:
            self._ask(connection)
        elif self._has_no_writes(endpoint):
            # A write on one that is opened would hang as on the others.
            self._connections.grow(endpoint, beyond_share=True)
        self.timers.after(SAMPLE_INTERVAL, self._look_for_resets, endpoint)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        self._forget(signal.previous)

    def _on_expired(self, signal: EndpointExpired) -> None:
        self._forget(signal.endpoint)

    def _forget(self, endpoint: EndpointRow) -> None:
        self._abandoned.pop(endpoint, None)
        self._samples.pop(endpoint, None)

    def _has_no_writes(self, endpoint: EndpointRow) -> bool:
        """Return whether this host sends no writes to an endpoint for now."""
        group = self.tables.group(endpoint.entry.service)
        is_stalled = group.primary == endpoint.name and self._stalls.is_stalled(group)
        return is_stalled or self._write_holds.is_held(endpoint)

    # -- Samples -------------------------------------------------------------

    def _on_sent(self, signal: CallsSent) -> None:
        """Look whether a commit waits once it has taken longer than usual."""
        connection = signal.connection
        if connection.holder or not connection.pending[-1].commits:
            return
        endpoint = connection.endpoint
        samples = self._samples.setdefault(endpoint, _Samples())
        if not samples.is_watched:
            samples.is_watched = True
            self.timers.after(self._usual_time(endpoint), self._look, endpoint, samples)

    @staticmethod
    def _usual_time(endpoint: EndpointRow) -> float:
        return max(SAMPLE_INTERVAL, LATENCY_TIMES * endpoint.latency)

    def _look(self, endpoint: EndpointRow, samples: _Samples) -> None:
        """Sample the position of an endpoint that answers nothing beside a commit."""
        sent_at = [
            batch.sent_at
            for connection in endpoint.connections.values()
            if not connection.holder
            for batch in connection.pending
            if batch.commits
        ]
        samples.is_watched = bool(sent_at)
        if not sent_at:
            return
        since = self.now - self._usual_time(endpoint)
        is_silent = endpoint.last_direct_reply_at <= self.now - SAMPLE_INTERVAL
        # One that did not answer the last sample is asked once it answers again.
        is_asked = samples.asked_at > endpoint.last_direct_reply_at
        if min(sent_at) <= since and is_silent and not is_asked:
            self._sample(endpoint, samples)
        self.timers.after(SAMPLE_INTERVAL, self._look, endpoint, samples)

    def _sample(self, endpoint: EndpointRow, samples: _Samples) -> None:
        """Ask for a position on an idle connection, if there is one.

        None is opened: a statement that finds no connection soon shows whether the
        endpoint can be reached.
        """
        connection = self._connections.acquire(endpoint, None, own_only=True)
        if connection is None:
            return
        samples.asked_at = self.now
        self._ask(connection)

    def _ask(self, connection: ConnectionRow) -> None:
        service = connection.endpoint.entry.service
        self._node.count("positions_asked", service=service)
        calls = [EndpointCall(Begin()), EndpointCall(Rollback())]
        # The position that the reply shows is recorded as that of any reply is.
        self._connections.send(connection, calls, self._on_sampled)

    def _on_sampled(
        self, connection: ConnectionRow, replies: list[EndpointReply]
    ) -> None:
        self._connections.release(connection)
