"""Hold the connections to one endpoint and the times by which they must answer."""

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

PAUSE = 0.5  # a timer that runs so many seconds late proves that the host stood still
HOLD_SMOOTHING = 0.1
LIFE_MARGIN = 0.5  # seconds of a connection's time to live that are left unused
# What was heard from an endpoint so many seconds after a connection to it was closed
# proves that the path was open: the endpoint has seen the closing.
SETTLE = 0.5


class TimeoutTracker:
    """Tell which of many things took longer than one common time.

    All wait equally long, so they fall due in the order they were added, and one
    timer does for all: a timer for each statement would cost more than the rest.
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
        """Watch a number from now on."""
        self.entries[number] = self._timers.now
        if self._timer is None:
            self._timer = self._timers.after(self._timeout, self._run)

    def remove(self, number: int) -> float | None:
        """Stop watching; return since when it was watched, None if it was not."""
        return self.entries.pop(number, None)

    def restart(self, number: int) -> None:
        """Watch a number anew from now."""
        self.entries.pop(number, None)
        self.add(number)

    def numbers(self) -> list[int]:
        """Return all numbers that are watched, oldest first."""
        return list(self.entries)

    def _run(self) -> None:
        late = self._timers.now - self._timer.when
        self._timer = None
        if late > PAUSE:
            self._excuse_all()
        for number in list(self._due()):
            # One callback may end what another was to be called for.
            if self.entries.pop(number, None) is not None:
                self._callback(number)
        if self.entries and self._timer is None:
            oldest = next(iter(self.entries.values()))
            self._timer = self._timers.at(oldest + self._timeout, self._run)

    def _due(self) -> Iterator[int]:
        for number, since in self.entries.items():
            if since + self._timeout > self._timers.now:
                return
            yield number

    def _excuse_all(self) -> None:
        # The host was paused: answers lie unread in its sockets. To close their
        # connections now would turn a short pause into lost statements.
        for number in self.entries:
            self.entries[number] = self._timers.now


class BorrowedLoan:
    """Hold the connections that another host lends at one endpoint."""

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
        self.open_until = 0.0  # none is opened after this
        self.close_at = 0.0  # nothing is sent after this; idle ones are closed
        self.ends_at = 0.0  # all are closed
        self.renew_at = 0.0
        self.numbers: set[int] = set()


@dataclass(slots=True)
class BusyKeepAlive:
    """Hold the newest keep-alive beside a call; one not asked for has sequence 0."""

    sequence: int = 0
    asked_at: float = float("-inf")
    answered: bool = False

    @property
    def is_outstanding(self) -> bool:
        """Tell whether it was asked for and is not answered."""
        return self.sequence != 0 and not self.answered


class EndpointPool:
    """Hold one endpoint's connections at this host, its queue and its limits."""

    __slots__ = (
        "active_count",
        "in_flight",
        "backoff_exponent",
        "borrowed",
        "check_timer",
        "internal_in_flight",
        "concurrency",
        "statement_share",
        "connections",
        "database",
        "deferred_calls",
        "endpoint",
        "silent_slots",
        "average_hold_time",
        "idle",
        "idle_borrowed",
        "min_idle",
        "internal_calls",
        "overdue",
        "lent_count",
        "lendable_share",
        "open_limit",
        "opening",
        "own_share",
        "patient_classes",
        "peak_in_use",
        "previous_peak_in_use",
        "pinned",
        "busy_keep_alives",
        "is_dispatching",
        "queue",
        "retry_at",
        "retry_timer",
        "closing_slots",
        "withheld_count",
    )

    def __init__(
        self, endpoint: EndpointRow, database: DatabaseRow, tally: QueueCounter
    ) -> None:
        self.endpoint = endpoint
        self.database = database
        # How many connections are this host's.
        self.own_share = 0  # static share
        self.lent_count = 0  # of it, lent to others
        self.withheld_count = 0  # of it, not used before old loans are surely over
        self.open_limit: int | None = None  # while the endpoint says: too many
        self.borrowed: dict[str, BorrowedLoan] = {}
        self.silent_slots: list[float] = []  # places of silent ones, until when
        self.closing_slots: list[
            tuple[float, float]
        ] = []  # closed ones: when, until when
        self.lendable_share = 0  # of the static share, at most lent at one time
        # The connections.
        self.connections: dict[int, ConnectionRow] = {}
        self.idle: dict[int, ConnectionRow] = {}  # least recently used first
        self.idle_borrowed: dict[int, ConnectionRow] = {}
        self.pinned: dict[int, ConnectionRow] = {}  # without a statement, oldest first
        self.min_idle = 0  # fewest idle ones lately
        self.peak_in_use = (
            0  # most in use at once, in this period and in the one before
        )
        self.previous_peak_in_use = 0
        self.active_count = 0  # connections with a request's statement
        self.internal_calls: dict[
            int, str
        ] = {}  # in flight, and no request waits for it
        # Calls held until the one in flight is answered: its sequence, then their own.
        self.deferred_calls: dict[int, tuple[int, int, EndpointCall]] = {}
        # Keep-alives beside a call in flight, by connection.
        self.busy_keep_alives: dict[int, BusyKeepAlive] = {}
        self.in_flight: TimeoutTracker  # calls in flight
        self.overdue: (
            TimeoutTracker  # of them, those unanswered for half of the silence
        )
        self.internal_in_flight: TimeoutTracker
        self.opening: TimeoutTracker
        # Work.
        self.queue = WaitQueue({}, tally)
        self.patient_classes: frozenset[str] = frozenset()
        self.statement_share = 0  # 0: no limit
        self.concurrency = ConcurrencyLimit()
        self.average_hold_time = (
            0.0  # moving average of how long a request keeps a connection
        )
        # Timers and pauses.
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
        """Return how many connections of its own share this host may have now."""
        usable_share = self.own_share - self.lent_count - self.withheld_count
        if self.open_limit is not None:
            usable_share = min(usable_share, self.open_limit)
        return max(0, usable_share)

    @property
    def share(self) -> int:
        """Return how many connections this host may have, with borrowed ones."""
        borrowed = sum(loan.connections for loan in self.borrowed.values())
        return self.usable_share + borrowed

    @property
    def own_count(self) -> int:
        """Return how many connections of the own share exist or are opening."""
        if not self.borrowed:
            return len(self.connections)
        borrowed = sum(len(loan.numbers) for loan in self.borrowed.values())
        return len(self.connections) - borrowed

    @property
    def statement_limit(self) -> int:
        """Return how many statements may run at once."""
        limit = self.concurrency.limit
        if self.statement_share:
            return min(limit, self.statement_share)
        return limit

    def is_active(self, connection: ConnectionRow) -> bool:
        """Tell whether a request's statement occupies the connection."""
        number = connection.number
        if connection.state is not ConnectionState.BUSY:
            return False
        return number not in self.internal_calls or number in self.deferred_calls

    def record_hold_time(self, seconds: float) -> None:
        """Learn how long a request kept its connection."""
        if self.average_hold_time:
            self.average_hold_time += HOLD_SMOOTHING * (
                seconds - self.average_hold_time
            )
        else:
            self.average_hold_time = seconds

    def drop_expired_slots(self, now: float) -> None:
        """Forget places that are surely free again."""
        if self.silent_slots:
            self.silent_slots = [until for until in self.silent_slots if until > now]
        if self.closing_slots:
            heard = self.endpoint.last_reply_at - SETTLE
            self.closing_slots = [
                place
                for place in self.closing_slots
                if place[0] > heard and place[1] > now
            ]
