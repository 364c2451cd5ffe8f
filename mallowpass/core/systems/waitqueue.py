"""Queue the requests that wait for a connection to one endpoint, in fair order.

Request classes share the connections by weight (weighted fair queueing), the callers
within a class take turns, and the requests of one caller stay in order. The cost of
an operation does not depend on the length of the queue: cancelled entries are
dropped when their turn comes.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator

from mallowpass.core.tables import RequestRow

__all__ = ["QueueCounter", "WaitQueue"]

# Estimate, in seconds, of how long a request keeps its connection, until the first
# requests of its class have been measured.
INITIAL_COST = 0.001
COST_SMOOTHING = 0.1  # weight of a new measurement in the moving average
# Cancelled entries of a class beyond the number of waiting ones that may stay in the
# queue before the queue is rebuilt.
CANCELLED_MAX = 64


class QueueCounter:
    """Count the requests in several queues together."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class _Entry:
    """A queued request; `request` is None after a cancellation."""

    __slots__ = ("class_name", "queued_at", "request")

    def __init__(self, request: RequestRow, class_name: str, queued_at: float) -> None:
        self.request: RequestRow | None = request
        self.class_name = class_name
        self.queued_at = queued_at


class _ClassQueue:
    """The queued requests of one class: callers in turn, each with its own queue."""

    __slots__ = (
        "callers",
        "cancelled",
        "cost",
        "name",
        "virtual_time",
        "waiting",
        "weight",
    )

    def __init__(self, name: str, weight: int) -> None:
        self.name = name
        self.weight = max(1, weight)
        self.callers: OrderedDict[str, deque[_Entry]] = OrderedDict()
        self.waiting = 0
        self.cancelled = 0
        # Sum of cost over weight of the requests served. The class with the lowest
        # virtual time is served next.
        self.virtual_time = 0.0
        self.cost = INITIAL_COST  # moving average, in seconds

    def push(self, caller: str, entry: _Entry) -> None:
        queue = self.callers.get(caller)
        if queue is None:
            queue = self.callers[caller] = deque()
        queue.append(entry)
        self.waiting += 1

    def pop(self) -> _Entry | None:
        while self.callers:
            caller, queue = next(iter(self.callers.items()))
            entry = queue.popleft()
            if not queue:
                del self.callers[caller]
            if entry.request is None:
                self.cancelled -= 1
                continue
            # The turn passes only when a request was taken. Otherwise a caller whose
            # entries were cancelled would lose its turn.
            if queue:
                self.callers.move_to_end(caller)
            self.waiting -= 1
            return entry
        return None

    def cancel(self, entry: _Entry) -> None:
        entry.request = None
        self.waiting -= 1
        self.cancelled += 1
        # If the endpoint gives no connection, no entry is taken, and cancelled entries
        # would fill the memory. A rebuild costs no more than the cancellations before.
        if self.cancelled > self.waiting + CANCELLED_MAX:
            self._rebuild()

    def _rebuild(self) -> None:
        callers: OrderedDict[str, deque[_Entry]] = OrderedDict()
        for caller, queue in self.callers.items():
            kept = deque(entry for entry in queue if entry.request is not None)
            if kept:
                callers[caller] = kept
        self.callers = callers
        self.cancelled = 0


class WaitQueue:
    """Order queued requests by class weight, and callers within a class in turn.

    `entries` is public, for reading only: on hot paths it avoids a call of `len`.
    """

    __slots__ = ("_class_queues", "_counter", "_virtual_time", "_weights", "entries")

    def __init__(
        self, weights: dict[str, int], counter: QueueCounter | None = None
    ) -> None:
        self._weights = weights
        self._counter = counter or QueueCounter()
        self._class_queues: dict[str, _ClassQueue] = {}
        self.entries: dict[int, _Entry] = {}  # by request number
        self._virtual_time = 0.0  # of the class that was served last

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, number: int) -> bool:
        return number in self.entries

    def set_weights(self, weights: dict[str, int]) -> None:
        """Set the weights of the classes of a changed service."""
        self._weights = weights
        for name, queue in self._class_queues.items():
            queue.weight = max(1, weights.get(name, 1))

    def push(self, request: RequestRow, caller: str, now: float) -> None:
        """Add a request at the end of its caller's queue."""
        queue = self._class_queue(request.request_class)
        if not queue.waiting:
            # An idle class does not accumulate credit. Otherwise it would block all
            # other classes for as long as it had been idle.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        entry = _Entry(request, queue.name, now)
        self.entries[request.number] = entry
        self._counter.count += 1
        queue.push(caller, entry)

    def pop(
        self, excluded: frozenset[str] = frozenset()
    ) -> tuple[RequestRow, float] | None:
        """Take the next request that is not of an excluded class.

        Returns the request and the time at which it was queued.
        """
        queue = self._next_class(excluded)
        if queue is None:
            return None
        entry = queue.pop()
        if entry is None or entry.request is None:
            return None
        del self.entries[entry.request.number]
        self._counter.count -= 1
        self._virtual_time = queue.virtual_time
        queue.virtual_time += queue.cost / queue.weight
        return entry.request, entry.queued_at

    def cancel(self, number: int) -> bool:
        """Remove a request, and return whether it was queued."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return False
        self._counter.count -= 1
        self._class_queues[entry.class_name].cancel(entry)
        return True

    def record_cost(self, class_name: str, seconds: float) -> None:
        """Record how long a request of a class kept its connection.

        Classes share connection time, not the number of requests. By number, a class
        of slow statements would take almost all connections from a class of fast ones.
        """
        queue = self._class_queue(class_name)
        queue.cost += COST_SMOOTHING * (seconds - queue.cost)

    def requests_ahead(self, class_name: str) -> float:
        """Return how many queued requests precede a new request of a class."""
        queue = self._class_queue(class_name)
        weights = sum(
            other.weight
            for other in self._class_queues.values()
            if other.waiting or other is queue
        )
        return min(len(self.entries), queue.waiting * weights / queue.weight)

    def has_waiting_outside(self, class_names: frozenset[str]) -> bool:
        """Return whether a request of any other class is queued."""
        return any(
            queue.waiting and name not in class_names
            for name, queue in self._class_queues.items()
        )

    def take_all(self) -> list[RequestRow]:
        """Remove and return all requests."""
        requests = list(self._requests())
        self._counter.count -= len(requests)
        self.entries.clear()
        self._class_queues.clear()
        return requests

    def waiting_requests(self) -> list[RequestRow]:
        """Return all requests; the cost grows with the length of the queue."""
        return list(self._requests())

    def _requests(self) -> Iterator[RequestRow]:
        for entry in self.entries.values():
            if entry.request is not None:
                yield entry.request

    def _class_queue(self, name: str) -> _ClassQueue:
        # Callers name the classes. A queue for each invented name would never be
        # removed, so unknown classes share one.
        known = name if name in self._weights else ""
        queue = self._class_queues.get(known)
        if queue is None:
            queue = _ClassQueue(known, self._weights.get(known, 1))
            self._class_queues[known] = queue
        return queue

    def _next_class(self, excluded: frozenset[str]) -> _ClassQueue | None:
        best: _ClassQueue | None = None
        for name, queue in self._class_queues.items():
            if not queue.waiting or name in excluded:
                continue
            if best is None or queue.virtual_time < best.virtual_time:
                best = queue
        return best
