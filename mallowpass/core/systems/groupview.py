"""What liveness keeps of one database group beside its row."""

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

MARKS_KEPT = 256
MARK_GAP = 0.002
LAG_WEIGHT = 0.2


class MajorityWaiter:
    """Wait for a majority to hold a position; cancelling it is cheap."""

    __slots__ = ("_callback", "position")

    def __init__(self, position: LogPosition, callback: Callable[[bool], None]) -> None:
        self.position = position
        self._callback: Callable[[bool], None] | None = callback

    @property
    def is_waiting(self) -> bool:
        """Tell whether the callback is still to run."""
        return self._callback is not None

    def cancel(self) -> None:
        """Keep the callback from running; may be done twice."""
        self._callback = None

    def resolve(self, held: bool) -> None:
        """Run the callback once, unless cancelled."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(held)


@dataclass(slots=True)
class MemberView:
    """Hold how far a member's reads lag, in seconds, and what they see."""

    lag: float = 0.0
    applied: LogPosition = ZERO_POSITION


@dataclass(slots=True)
class GroupView:
    """Hold positions, term starts, waiters and activity of one group."""

    row: DatabaseRow
    holders: dict[str, int] = field(default_factory=dict)  # positions in row.term
    history: TermHistory = field(default_factory=TermHistory)
    members: dict[str, MemberView] = field(default_factory=dict)  # by address
    # When this host first saw a position received anywhere, oldest first.
    marks: deque[tuple[float, LogPosition]] = field(default_factory=deque)
    last_primary: str = ""
    last_write_at: float = float("-inf")  # this host last waited for a majority
    awaits_positions: bool = False  # of its writes, in place of watching all moves
    highest_awaited: LogPosition = ZERO_POSITION  # the highest that was ever waited for
    last_read_at: float = float("-inf")  # this host last asked for positions
    primary_at: float = float("-inf")  # a primary of row.term last reported
    activity_timer: Timer | None = None
    # The primary may be heard, but no majority can hold what it takes.
    is_barred: bool = False
    minority_since: float | None = None  # no majority of members is heard
    stall_timer: Timer | None = None
    is_stalled: bool = False  # writes wait, and `held` stands still
    _waiters: list[tuple[LogPosition, int, MajorityWaiter]] = field(
        default_factory=list
    )
    _counter: itertools.count[int] = field(default_factory=itertools.count)

    # -- Terms ---------------------------------------------------------------

    def dropped_by(self, position: LogPosition) -> LogPosition | None:
        """Return the start of the term that dropped a position from the newest log."""
        return self.history.dropped_by(position, self.row.term)

    def contains(self, end: LogPosition, position: LogPosition) -> bool:
        """Tell whether a log that ends at `end` is proven to contain a position."""
        if position.position == 0:
            return True
        if end.term == position.term:
            return end.position >= position.position
        if end.term < position.term or not self.history.knows(end.term):
            return False
        return self.history.dropped_by(position, end.term) is None

    # -- Held by a majority --------------------------------------------------

    def count_holder(self, address: str, report: Report) -> bool:
        """Count a member as holding the log in the present term; tell if it moved.

        All three of promised term, log term and position count: a member that
        promised a higher term may be part of the majority that elects a primary
        without the entry, and an entry of an older term may still be overwritten
        though a majority has it.
        """
        term = self.row.term
        if report.term != term or report.received.term != term:
            return False
        return self._count(address, report.received.position)

    def _count(self, address: str, position: int) -> bool:
        if position <= self.holders.get(address, 0):
            return False
        self.holders[address] = position
        return True

    def count_answer(self, address: str, term: int, applied: LogPosition) -> bool:
        """Count a member by what it answered on a connection; tell if it moved.

        It names its promised term and a place of its log, as a report does.
        """
        if not self.row.term == term == applied.term:
            return False
        return self._count(address, applied.position)

    def compute_majority_position(self) -> LogPosition:
        """Return the highest place of the present term that a majority holds."""
        majority = self.row.definition.majority
        if len(self.holders) < majority:
            return ZERO_POSITION
        position = sorted(self.holders.values(), reverse=True)[majority - 1]
        return LogPosition(self.row.term, position)

    def begin_term(self, now: float) -> None:
        """Count from new who holds what: a primary of another term leads."""
        self.primary_at = now
        self.is_barred = self.is_stalled = False
        self.minority_since = None
        self.holders.clear()
        for member in self.row.endpoints.values():
            if member.report is not None:
                self.count_holder(member.address, member.report)

    @property
    def is_awaited(self) -> bool:
        """Tell whether anybody waits for a majority."""
        return any(waiter.is_waiting for _, _, waiter in self._waiters)

    def wait(self, waiter: MajorityWaiter) -> None:
        """Queue a waiter by its position."""
        self.highest_awaited = max(self.highest_awaited, waiter.position)
        heapq.heappush(self._waiters, (waiter.position, next(self._counter), waiter))

    def resolve_waiters(self) -> None:
        """Resolve the waiters that `held` has reached and those of older terms.

        A new term starts with `held` at its beginning, above all that is older:
        nothing of a term that is over becomes held by reports any more.
        """
        while self._waiters and self._waiters[0][0] <= self.row.majority_position:
            waiter = heapq.heappop(self._waiters)[2]
            waiter.resolve(self.is_held_by_majority(waiter.position))

    def fail_waiters(self) -> None:
        """Tell all waiters that nothing more will be known."""
        waiters, self._waiters = sorted(self._waiters), []
        for _, _, waiter in waiters:
            waiter.resolve(False)

    def is_held_by_majority(self, position: LogPosition) -> bool:
        """Tell whether a majority is known to hold a position of its own term."""
        held = self.row.majority_position
        return held.term == position.term and held.position >= position.position

    # -- Lag -----------------------------------------------------------------

    def mark(self, now: float, received: LogPosition) -> None:
        """Note when a position was first seen received anywhere."""
        if self.marks and received <= self.marks[-1][1]:
            return
        if self.marks and now - self.marks[-1][0] < MARK_GAP:
            return
        self.marks.append((now, received))
        if len(self.marks) > MARKS_KEPT:
            self.marks.popleft()

    def note_applied(self, now: float, address: str, applied: LogPosition) -> None:
        """Move a member's average lag on when it applied more."""
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

        A member that is later than usual is expected to be late for as long
        again: so one that stands still is soon not waited for.
        """
        member = self.members.get(endpoint.address)
        if member is None or endpoint.report is None:
            return None
        seen = self._seen_at(position)
        waited = 0.0 if seen is None else now - seen
        return member.lag - waited if waited < member.lag else waited

    def _seen_at(self, position: LogPosition) -> float | None:
        """Return when a position was first seen, None when newer than all marks."""
        index = _first_at_or_above(self.marks, position)
        return None if index is None else self.marks[index][0]


def _first_at_or_above(
    marks: deque[tuple[float, LogPosition]], position: LogPosition
) -> int | None:
    low, high = 0, len(marks)
    while low < high:
        middle = (low + high) // 2
        if marks[middle][1] < position:
            low = middle + 1
        else:
            high = middle
    return low if low < len(marks) else None
