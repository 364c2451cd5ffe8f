"""Hold the requests that wait for one endpoint, in fair order.

Classes share by weight, callers within a class take turns, and one caller's
requests stay in order. Each operation costs the same however many wait: entries
that were cancelled or expired are dropped when their turn comes.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator

from mallowpass.core.tables import RequestRow

__all__ = ["QueueCounter", "WaitQueue"]

COST_FIRST = 0.001  # seconds that a class's statement is taken to cost at first
COST_SMOOTHING = 0.1
DEAD_MAX = 64  # dropped entries that may stay in line before it is rebuilt


class QueueCounter:
    """Count what waits in several queues together."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class _Entry:
    """Hold one waiting request; None once it was cancelled."""

    __slots__ = ("class_name", "request", "since")

    def __init__(self, request: RequestRow, class_name: str, since: float) -> None:
        self.request: RequestRow | None = request
        self.class_name = class_name
        self.since = since


class _ClassLine:
    """Hold one class: callers in turn, each with its requests in order."""

    __slots__ = ("callers", "cost", "dead", "name", "served", "waiting", "weight")

    def __init__(self, name: str, weight: int) -> None:
        self.name = name
        self.weight = max(1, weight)
        self.callers: OrderedDict[str, deque[_Entry]] = OrderedDict()
        self.waiting = 0
        self.dead = 0
        self.served = 0.0  # cost over weight; the class with the least is next
        self.cost = COST_FIRST

    def push(self, caller: str, entry: _Entry) -> None:
        line = self.callers.get(caller)
        if line is None:
            line = self.callers[caller] = deque()
        line.append(entry)
        self.waiting += 1

    def pop(self) -> _Entry | None:
        while self.callers:
            caller, line = next(iter(self.callers.items()))
            entry = line.popleft()
            if not line:
                del self.callers[caller]
            if entry.request is None:
                self.dead -= 1
                continue
            # The turn passes only with a request served: a caller whose entries
            # were cancelled would else lose its turn for nothing.
            if line:
                self.callers.move_to_end(caller)
            self.waiting -= 1
            return entry
        return None

    def cancel(self, entry: _Entry) -> None:
        entry.request = None
        self.waiting -= 1
        self.dead += 1
        # Cancelled entries of an endpoint that serves nobody would pile up until
        # memory is gone; a rebuild costs no more than the cancels before it.
        if self.dead > self.waiting + DEAD_MAX:
            self._rebuild()

    def _rebuild(self) -> None:
        callers: OrderedDict[str, deque[_Entry]] = OrderedDict()
        for caller, line in self.callers.items():
            kept = deque(entry for entry in line if entry.request is not None)
            if kept:
                callers[caller] = kept
        self.callers = callers
        self.dead = 0


class WaitQueue:
    """Order waiting requests by class weight, then by caller in turn.

    `entries` is for reading only, by paths too hot for a call of `len`.
    """

    __slots__ = ("_clock", "_lines", "_tally", "_weights", "entries")

    def __init__(
        self, weights: dict[str, int], tally: QueueCounter | None = None
    ) -> None:
        self._weights = weights
        self._tally = tally or QueueCounter()
        self._lines: dict[str, _ClassLine] = {}
        self.entries: dict[int, _Entry] = {}  # by request number
        self._clock = 0.0  # `served` of the class that was served last

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, number: int) -> bool:
        return number in self.entries

    def set_weights(self, weights: dict[str, int]) -> None:
        """Take over the classes' weights of a changed service."""
        self._weights = weights
        for name, line in self._lines.items():
            line.weight = max(1, weights.get(name, 1))

    def push(self, request: RequestRow, caller: str, now: float) -> None:
        """Add a request at the end of its caller's line."""
        line = self._line(request.request_class)
        if not line.waiting:
            # A class that asked for nothing saved up no claim: it would else hold
            # off all others for as long as it was idle.
            line.served = max(line.served, self._clock)
        entry = _Entry(request, line.name, now)
        self.entries[request.number] = entry
        self._tally.count += 1
        line.push(caller, entry)

    def pop(
        self, without: frozenset[str] = frozenset()
    ) -> tuple[RequestRow, float] | None:
        """Take the next request and when it came, none of the classes `without`."""
        line = self._next_line(without)
        if line is None:
            return None
        entry = line.pop()
        if entry is None or entry.request is None:
            return None
        del self.entries[entry.request.number]
        self._tally.count -= 1
        self._clock = line.served
        line.served += line.cost / line.weight
        return entry.request, entry.since

    def cancel(self, number: int) -> bool:
        """Drop a request; tell whether it waited."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return False
        self._tally.count -= 1
        self._lines[entry.class_name].cancel(entry)
        return True

    def record_cost(self, class_name: str, seconds: float) -> None:
        """Learn how long a request of a class kept its connection.

        Shares are of time: by count alone, a class of slow statements would take
        almost all connections from one of quick statements.
        """
        line = self._line(class_name)
        line.cost += COST_SMOOTHING * (seconds - line.cost)

    def requests_ahead(self, class_name: str) -> float:
        """Return how many requests are served before a new one of a class."""
        line = self._line(class_name)
        weights = sum(
            other.weight
            for other in self._lines.values()
            if other.waiting or other is line
        )
        return min(len(self.entries), line.waiting * weights / line.weight)

    def has_waiting_outside(self, class_names: frozenset[str]) -> bool:
        """Tell whether a request of any other class waits."""
        return any(
            line.waiting and name not in class_names
            for name, line in self._lines.items()
        )

    def take_all(self) -> list[RequestRow]:
        """Take all requests out."""
        requests = list(self._requests())
        self._tally.count -= len(requests)
        self.entries.clear()
        self._lines.clear()
        return requests

    def waiting_requests(self) -> list[RequestRow]:
        """Return all requests; for rare events only, it visits each."""
        return list(self._requests())

    def _requests(self) -> Iterator[RequestRow]:
        for entry in self.entries.values():
            if entry.request is not None:
                yield entry.request

    def _line(self, name: str) -> _ClassLine:
        # Callers name classes: a line for each name made up would never go away.
        known = name if name in self._weights else ""
        line = self._lines.get(known)
        if line is None:
            line = _ClassLine(known, self._weights.get(known, 1))
            self._lines[known] = line
        return line

    def _next_line(self, without: frozenset[str]) -> _ClassLine | None:
        best: _ClassLine | None = None
        for name, line in self._lines.items():
            if not line.waiting or name in without:
                continue
            if best is None or line.served < best.served:
                best = line
        return best
