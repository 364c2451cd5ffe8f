"""What liveness records of one database group in addition to its row."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.calls import ZERO_POSITION, LogPosition, Report
from mallowpass.core.systems.termhistory import TermHistory
from mallowpass.core.tables import DatabaseRow, EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["GroupView", "MajorityWaiter", "MemberView"]

SAMPLES_MAX = 256
SAMPLE_INTERVAL = 0.002  # seconds, at least
LAG_WEIGHT = 0.2  # of a new value in the moving average


class MajorityWaiter:
    """Wait for a majority to hold a position; can be cancelled at little cost."""

    __slots__ = ("_callback", "position")

    def __init__(self, position: LogPosition, callback: Callable[[bool], None]) -> None:
        self.position = position
        self._callback: Callable[[bool], None] | None = callback

    @property
    def is_waiting(self) -> bool:
        """Return whether the callback has neither been called nor cancelled."""
        return self._callback is not None

    def cancel(self) -> None:
        """Prevent the callback from being called; may be called twice."""
        self._callback = None

    def resolve(self, held: bool) -> None:
        """Call the callback once, unless cancelled."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(held)


@dataclass(slots=True)
class MemberView:
    """Hold the average lag of a member's reads, in seconds, and their log position."""

    lag: float = 0.0
    applied: LogPosition = ZERO_POSITION


@dataclass(slots=True)
class GroupView:
    """Hold positions, term starts, waiters and activity of one group."""

    row: DatabaseRow
    holders: dict[str, int] = field(default_factory=dict)  # positions in row.term
    history: TermHistory = field(default_factory=TermHistory)
    members: dict[str, MemberView] = field(default_factory=dict)  # by address
    # Times at which this host first saw that some member had received a position,
    # oldest first.
    received_samples: deque[tuple[float, LogPosition]] = field(default_factory=deque)
    last_primary: str = ""
    last_write_at: float = float("-inf")  # when this host last waited for a majority
    # Whether members report when they reach the positions of this host's writes,
    # instead of after each change.
    awaits_positions: bool = False
    highest_awaited: LogPosition = ZERO_POSITION  # by any waiter so far
    last_read_at: float = float("-inf")  # when this host last asked for positions
    primary_reported_at: float = float("-inf")  # the last report of row.term's primary
    activity_timer: Timer | None = None
    # No majority can hold the primary's writes, so it gets none, even if it reports.
    is_blocked: bool = False
    minority_since: float | None = None  # since when no majority is reachable
    stall_timer: Timer | None = None
    is_stalled: bool = False  # writes wait, and the majority position is unchanged
    _waiters: list[tuple[LogPosition, int, MajorityWaiter]] = field(
        default_factory=list
    )
    _counter: itertools.count[int] = field(default_factory=itertools.count)

    # -- Terms ---------------------------------------------------------------

    def discarded_by(self, position: LogPosition) -> LogPosition | None:
        """Return the start of the term that discarded a position of the newest log."""
        return self.history.discarded_by(position, self.row.term)

    def contains(self, end: LogPosition, position: LogPosition) -> bool:
        """Return whether a log that ends at `end` is proven to contain a position."""
        if position.position == 0:
            return True
        if end.term == position.term:
            return end.position >= position.position
        if end.term < position.term or not self.history.has_start_of(end.term):
            return False
        return self.history.discarded_by(position, end.term) is None

    # -- Held by a majority --------------------------------------------------

    def count_holder(self, address: str, report: Report) -> bool:
        """Record what a member holds in the current term; return whether it advanced.

        The report counts only if its promised term and its log's term are both the
        current term. A member that promised a higher term may be part of a majority
        that elects a primary without the entry. An entry of an older term may still be
        overwritten, even if a majority has it.
        """
        term = self.row.term
        if report.term != term or report.received.term != term:
            return False
        return self._advance_holder(address, report.received.position)

    def _advance_holder(self, address: str, position: int) -> bool:
        if position <= self.holders.get(address, 0):
            return False
        self.holders[address] = position
        return True

    def count_answer(self, address: str, term: int, applied: LogPosition) -> bool:
        """Record what a member holds by its answer; return whether it advanced.

        An answer on a connection contains the member's promised term and a position of
        its log, as a report does.
        """
        if not self.row.term == term == applied.term:
            return False
        return self._advance_holder(address, applied.position)

    def compute_majority_position(self) -> LogPosition:
        """Return the highest position of the current term that a majority holds."""
        majority = self.row.definition.majority
        if len(self.holders) < majority:
            return ZERO_POSITION
        position = sorted(self.holders.values(), reverse=True)[majority - 1]
        return LogPosition(self.row.term, position)

    def begin_term(self, now: float) -> None:
        """Reset what depends on the term: a primary of a new term leads."""
        self.primary_reported_at = now
        self.is_blocked = self.is_stalled = False
        self.minority_since = None
        self.holders.clear()
        for member in self.row.endpoints.values():
            if member.report is not None:
                self.count_holder(member.address, member.report)

    @property
    def is_awaited(self) -> bool:
        """Return whether a waiter waits for a majority."""
        return any(waiter.is_waiting for _, _, waiter in self._waiters)

    def wait(self, waiter: MajorityWaiter) -> None:
        """Add a waiter to the queue, which is ordered by position."""
        self.highest_awaited = max(self.highest_awaited, waiter.position)
        heapq.heappush(self._waiters, (waiter.position, next(self._counter), waiter))

    def resolve_waiters(self) -> None:
        """Resolve the waiters up to the majority position and those of older terms.

        A new term sets the majority position to its own beginning, above all older
        positions: reports can't prove any more that a majority holds those.
        """
        while self._waiters and self._waiters[0][0] <= self.row.majority_position:
            waiter = heapq.heappop(self._waiters)[2]
            waiter.resolve(self.is_held_by_majority(waiter.position))

    def fail_waiters(self) -> None:
        """Resolve all waiters with False: no further reports will arrive."""
        waiters, self._waiters = sorted(self._waiters), []
        for _, _, waiter in waiters:
            waiter.resolve(False)

    def is_held_by_majority(self, position: LogPosition) -> bool:
        """Return whether a majority is known to hold a position in its own term."""
        majority_position = self.row.majority_position
        return (
            majority_position.term == position.term
            and majority_position.position >= position.position
        )

    # -- Lag -----------------------------------------------------------------

    def record_received(self, now: float, received: LogPosition) -> None:
        """Record when a position was first seen as received by some member."""
        if self.received_samples and received <= self.received_samples[-1][1]:
            return
        if (
            self.received_samples
            and now - self.received_samples[-1][0] < SAMPLE_INTERVAL
        ):
            return
        self.received_samples.append((now, received))
        if len(self.received_samples) > SAMPLES_MAX:
            self.received_samples.popleft()

    def note_applied(self, now: float, address: str, applied: LogPosition) -> None:
        """Update a member's average lag when it has applied more."""
        member = self.members.setdefault(address, MemberView())
        if applied <= member.applied:
            return
        member.applied = applied
        seen = self._seen_at(applied)
        if seen is not None:
            member.lag += LAG_WEIGHT * (now - seen - member.lag)

    def predict(
        self, now: float, endpoint: EndpointRow, position: LogPosition
    ) -> float | None:
        """Return in how many seconds a member should have applied a position.

        If the member has already taken longer than its average lag, it is expected to
        need as long again. So reads soon stop waiting for a member that applies
        nothing.
        """
        member = self.members.get(endpoint.address)
        if member is None or endpoint.report is None:
            return None
        seen = self._seen_at(position)
        waited = 0.0 if seen is None else now - seen
        return member.lag - waited if waited < member.lag else waited

    def _seen_at(self, position: LogPosition) -> float | None:
        """Return when a position was first seen, None if newer than all samples."""
        index = _first_at_or_above(self.received_samples, position)
        return None if index is None else self.received_samples[index][0]


def _first_at_or_above(
    samples: deque[tuple[float, LogPosition]], position: LogPosition
) -> int | None:
    low, high = 0, len(samples)
    while low < high:
        middle = (low + high) // 2
        if samples[middle][1] < position:
            low = middle + 1
        else:
            high = middle
    return low if low < len(samples) else None
