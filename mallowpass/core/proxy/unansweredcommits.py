"""Commits that this host sent to an endpoint and that were not answered.

What a primary's log shows beyond the acknowledged commits are commits that no replica
has received. None of these was answered. So where all hosts tell how many of theirs
were not, the log holds at most that many after the newest acknowledged one.

A commit that was not answered may reach the log until the endpoint has closed its
connection. What the log shows after that is at or behind the commit, which need not be
counted any more once that position is known to be acknowledged. The same holds for
commits of an earlier run of this host, of which it knows nothing.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.signals import CommitsUnanswered, HolderLeft
from mallowpass.core.proxy.statements import AnsweredLog, Code
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["LINGER_TIME", "UnansweredCommits"]

# Seconds for which an endpoint keeps a connection whose reset did not arrive, and a
# margin for clocks and for the answer to an order to step down.
LINGER_TIME = 3.3
UNANSWERED_MAX = 256  # lost connections that are kept for each endpoint

# Of a commit that may have run.
_UNCLEAR_CODES = frozenset({Code.FAILED, Code.TIMED_OUT, Code.IN_DOUBT, Code.OTHER})


@dataclass(slots=True)
class _Log:
    """What an endpoint's log showed, and what it may hold beside that."""

    # Before a reply to a statement that was sent at this time or later, commits may be
    # in the log that are not counted; None: such a reply has come.
    unknown_until: float | None
    shown: LogPosition = ZERO_POSITION
    # At or behind which are all commits that were not answered, and are not counted.
    base: LogPosition = ZERO_POSITION
    # When a connection ended, and how many commits on it were not answered.
    unanswered: deque[tuple[float, int]] = field(default_factory=deque)

    def note_position(self, position: LogPosition, asked_at: float) -> None:
        """Record a position that the log showed after `asked_at`."""
        self.shown = max(self.shown, position)
        if self.unknown_until is not None and asked_at >= self.unknown_until:
            self.unknown_until = None
            self.base = max(self.base, position)
        while self.unanswered and asked_at >= self.unanswered[0][0] + LINGER_TIME:
            self.unanswered.popleft()
            self.base = max(self.base, position)

    def note_unanswered(self, count: int, now: float) -> None:
        """Record commits whose connection has ended."""
        self.unanswered.append((now, count))
        if len(self.unanswered) > UNANSWERED_MAX:
            self.unanswered.clear()
            self.note_unknown(now)

    def note_unknown(self, now: float) -> None:
        """Record that it is not known how many commits were not answered until now."""
        self.unknown_until = now + LINGER_TIME


class UnansweredCommits(ProxySystem):
    """Count this host's commits that were not answered, for each endpoint."""

    __slots__ = ("_earlier_run_until", "_logs")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # When the connections of an earlier run of this host are gone.
        self._earlier_run_until = self.now + LINGER_TIME
        # By endpoint, whichever run of it. One that is gone may return with its log.
        self._logs: dict[str, _Log] = {}

    def start(self) -> None:
        """Subscribe to connections that end with commits in flight."""
        self._node.subscribe(CommitsUnanswered, self._on_unanswered)
        self._node.subscribe(HolderLeft, self._on_holder_left)

    def _log(self, endpoint: str) -> _Log:
        log = self._logs.get(endpoint)
        if log is None:
            log = self._logs[endpoint] = _Log(self._earlier_run_until)
        return log

    def _is_known(self, log: _Log) -> bool:
        """Return whether all commits that a log may hold are counted, or behind."""
        if log.unknown_until is None:
            return True
        is_first_run = self.tables.hosts_version > 0 and not self.tables.was_in_hosts
        return is_first_run and log.unknown_until == self._earlier_run_until

    def note_position(
        self, endpoint: EndpointRow, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position in a reply to a statement sent at `asked_at`."""
        self._log(endpoint.name).note_position(position, asked_at)

    def note_code(self, endpoint: EndpointRow, code: Code) -> None:
        """Record an endpoint's answer to a statement that may commit."""
        if code in _UNCLEAR_CODES:
            self._log(endpoint.name).note_unanswered(1, self.now)

    def note_ended_host(self, endpoint: str) -> None:
        """Record that a host has ended which may have sent commits to an endpoint."""
        self._log(endpoint).note_unknown(self.now)

    def _on_holder_left(self, signal: HolderLeft) -> None:
        """Note that commits of a host may be in flight that are not counted."""
        for name in self.tables.group(signal.service).endpoints:
            self.note_ended_host(name)

    def answered_log(self, endpoint: str) -> AnsweredLog | None:
        """Return what an endpoint's log showed, and how many commits were not answered.

        None if that is not known.
        """
        log = self._log(endpoint)
        if not self._is_known(log):
            return None
        in_flight = sum(
            batch.doubtful_commits
            for connection in self.tables.connections.values()
            if connection.endpoint.name == endpoint and not connection.holder
            for batch in connection.pending
        )
        count = in_flight + sum(count for _, count in log.unanswered)
        return AnsweredLog(log.shown, log.base, count)

    def _on_unanswered(self, signal: CommitsUnanswered) -> None:
        log = self._log(signal.endpoint.name)
        log.note_unanswered(signal.count, self.now)
