"""The connection pool of one endpoint, and the timeouts of the calls in flight."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mallowpass.core.calls import EndpointCall
from mallowpass.core.systems.concurrency import ConcurrencyLimit
from mallowpass.core.systems.waitqueue import QueueCounter, WaitQueue
from mallowpass.core.tables import (
    ConnectionRow,
    ConnectionState,
    DatabaseRow,
    EndpointRow,
)
from mallowpass.core.timers import TimerService

__all__ = ["EndpointPool", "BorrowedLoan", "BusyKeepAlive", "TimeoutTracker"]

# Seconds. A timer that is late by more than this shows that the host was paused.
PAUSE_THRESHOLD = 0.5
HOLD_TIME_SMOOTHING = 0.1  # weight of a new measurement in the moving average
LIFETIME_MARGIN = 0.5  # seconds of a connection's time to live that are left unused
# Seconds. A reply that an endpoint sends this long after a connection to it was closed
# shows that the network path was up: the endpoint has seen the close.
CLOSE_SETTLE_TIME = 0.5


class TimeoutTracker:
    """Track many numbered operations that share one timeout.

    Since the timeout is the same for all, the operations become due in the order in
    which they were added, and one timer is enough. A timer for each statement would
    cost more than the rest of its handling.
    """

    __slots__ = ("_callback", "_timeout", "_timer", "_timers", "entries")

    def __init__(
        self, timers: TimerService, timeout: float, callback: Callable[[int], None]
    ) -> None:
        self._timers = timers
        self._timeout = timeout
        self._callback = callback
        self.entries: dict[int, float] = {}  # number -> when added, oldest first
        self._timer = None

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, number: int) -> bool:
        return number in self.entries

    def add(self, number: int) -> None:
        """Start the timeout of a number."""
        self.entries[number] = self._timers.now
        if self._timer is None:
            self._timer = self._timers.after(self._timeout, self._on_timer)

    def remove(self, number: int) -> float | None:
        """Stop the timeout of a number; return when it started, None if it did not."""
        return self.entries.pop(number, None)

    def restart(self, number: int) -> None:
        """Start the timeout of a number again."""
        self.entries.pop(number, None)
        self.add(number)

    def numbers(self) -> list[int]:
        """Return all tracked numbers, oldest first."""
        return list(self.entries)

    def _on_timer(self) -> None:
        delay = self._timers.now - self._timer.when
        self._timer = None
        if delay > PAUSE_THRESHOLD:
            self._restart_all()
        for number in list(self._due_numbers()):
            # The callback of an earlier number may have removed this one.
            if self.entries.pop(number, None) is not None:
                self._callback(number)
        if self.entries and self._timer is None:
            oldest = next(iter(self.entries.values()))
            self._timer = self._timers.at(oldest + self._timeout, self._on_timer)

    def _due_numbers(self) -> Iterator[int]:
        for number, since in self.entries.items():
            if since + self._timeout > self._timers.now:
                return
            yield number

    def _restart_all(self) -> None:
        # The host was paused, and replies may be unread in its sockets. Closing these
        # connections now would lose statements because of a short pause.
        for number in self.entries:
            self.entries[number] = self._timers.now


class BorrowedLoan:
    """A loan of connection slots to one endpoint, by another host to this host.

    A slot is the right to one of the connections that the endpoint accepts.
    """

    __slots__ = (
        "close_at",
        "connections",
        "ends_at",
        "loan",
        "numbers",
        "open_until",
        "renew_at",
    )

    def __init__(self, loan: str, connections: int) -> None:
        self.loan = loan
        self.connections = connections
        # Times in seconds.
        self.open_until = 0.0  # after it, no connection is opened
        self.close_at = 0.0  # from then on, no call is sent; idle connections close
        self.ends_at = 0.0  # from then on, all connections are closed
        self.renew_at = 0.0
        self.numbers: set[int] = set()  # of open and opening connections


@dataclass(slots=True)
class BusyKeepAlive:
    """The last keep-alive sent on a connection with a call in flight.

    Its sequence is 0 if none has been sent.
    """

    sequence: int = 0
    sent_at: float = float("-inf")
    answered: bool = False

    @property
    def is_outstanding(self) -> bool:
        """Return whether the keep-alive was sent and has not been answered."""
        return self.sequence != 0 and not self.answered


class EndpointPool:
    """The connections of this host to one endpoint, their limits and the wait queue."""

    __slots__ = (
        "active_count",
        "average_hold_time",
        "backoff_exponent",
        "borrowed",
        "busy_keep_alives",
        "check_timer",
        "closing_slots",
        "concurrency",
        "connections",
        "database",
        "deferred_calls",
        "endpoint",
        "idle",
        "idle_borrowed",
        "in_flight",
        "internal_calls",
        "internal_in_flight",
        "is_dispatching",
        "lendable_share",
        "lent_count",
        "min_idle",
        "open_limit",
        "opening",
        "overdue",
        "own_share",
        "patient_classes",
        "peak_in_use",
        "pinned",
        "previous_peak_in_use",
        "queue",
        "retry_at",
        "retry_timer",
        "statement_share",
        "unresponsive_slots",
        "withheld_count",
    )

    def __init__(
        self, endpoint: EndpointRow, database: DatabaseRow, counter: QueueCounter
    ) -> None:
        self.endpoint = endpoint
        self.database = database
        # Slots of this host.
        self.own_share = 0  # static share of the connection limit
        self.lent_count = 0  # slots of the own share that are lent
        # Slots of the own share that stay unused until all loans that a previous run of
        # this host may have made have ended.
        self.withheld_count = 0
        # Set while the endpoint refuses connections beyond its limit.
        self.open_limit: int | None = None
        self.borrowed: dict[str, BorrowedLoan] = {}  # by name of the loan
        # Slots of connections that this host has closed but the endpoint may still
        # count. Of an unresponsive connection: the latest time at which the endpoint
        # drops it. Of any other: the time of the close, and that latest time.
        self.unresponsive_slots: list[float] = []
        self.closing_slots: list[tuple[float, float]] = []
        self.lendable_share = 0  # slots of the own share that may be lent at a time
        # Connections, by number.
        self.connections: dict[int, ConnectionRow] = {}
        self.idle: dict[int, ConnectionRow] = {}  # least recently used first
        self.idle_borrowed: dict[int, ConnectionRow] = {}
        self.pinned: dict[int, ConnectionRow] = {}  # without a statement, oldest first
        self.min_idle = 0  # lowest number of idle connections in this period
        self.peak_in_use = 0  # highest number of connections in use in this period
        self.previous_peak_in_use = 0
        self.active_count = 0  # connections on which a request's statement runs
        # Calls that no request waits for: the purpose, by connection.
        self.internal_calls: dict[int, str] = {}
        # Calls that are sent once the call in flight on their connection has been
        # answered: the sequence of the call in flight, the own sequence and the call.
        self.deferred_calls: dict[int, tuple[int, int, EndpointCall]] = {}
        self.busy_keep_alives: dict[int, BusyKeepAlive] = {}  # by connection
        # Timeouts, by connection.
        self.in_flight: TimeoutTracker  # calls of requests
        self.overdue: TimeoutTracker  # those unanswered for half of `silence`
        self.internal_in_flight: TimeoutTracker  # calls that no request waits for
        self.opening: TimeoutTracker
        # Requests.
        self.queue = WaitQueue({}, counter)
        self.patient_classes: frozenset[str] = frozenset()
        self.statement_share = 0  # statements at the same time; 0: no limit
        self.concurrency = ConcurrencyLimit()
        # Moving average, in seconds, of how long a request keeps a connection.
        self.average_hold_time = 0.0
        # Timers and backoff.
        self.check_timer = None
        self.retry_timer = None
        self.retry_at = float("-inf")
        self.backoff_exponent = 0
        self.is_dispatching = False

    @property
    def address(self) -> str:
        """Return the endpoint's address."""
        return self.endpoint.member.address

    @property
    def usable_share(self) -> int:
        """Return how many connections of the own share this host may have now."""
        usable_share = self.own_share - self.lent_count - self.withheld_count
        if self.open_limit is not None:
            usable_share = min(usable_share, self.open_limit)
        return max(0, usable_share)

    @property
    def share(self) -> int:
        """Return how many connections this host may have, including borrowed ones."""
        borrowed = sum(loan.connections for loan in self.borrowed.values())
        return self.usable_share + borrowed

    @property
    def own_count(self) -> int:
        """Return how many connections of the own share are open or being opened."""
        if not self.borrowed:
            return len(self.connections)
        borrowed = sum(len(loan.numbers) for loan in self.borrowed.values())
        return len(self.connections) - borrowed

    @property
    def statement_limit(self) -> int:
        """Return how many statements may run at the same time."""
        limit = self.concurrency.limit
        if self.statement_share:
            return min(limit, self.statement_share)
        return limit

    def is_active(self, connection: ConnectionRow) -> bool:
        """Return whether a request's statement occupies the connection."""
        number = connection.number
        if connection.state is not ConnectionState.BUSY:
            return False
        return number not in self.internal_calls or number in self.deferred_calls

    def record_hold_time(self, seconds: float) -> None:
        """Record how long a request kept its connection."""
        if self.average_hold_time:
            self.average_hold_time += HOLD_TIME_SMOOTHING * (
                seconds - self.average_hold_time
            )
        else:
            self.average_hold_time = seconds

    def drop_expired_slots(self, now: float) -> None:
        """Drop the slots that the endpoint no longer counts."""
        if self.unresponsive_slots:
            self.unresponsive_slots = [
                until for until in self.unresponsive_slots if until > now
            ]
        if self.closing_slots:
            settled_before = self.endpoint.last_reply_at - CLOSE_SETTLE_TIME
            self.closing_slots = [
                slot
                for slot in self.closing_slots
                if slot[0] > settled_before and slot[1] > now
            ]
