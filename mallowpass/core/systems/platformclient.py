"""The client of the platform's service: budget, coalescing, circuit breaker.

The platform is shared by the whole fleet and has outages. Each host spends at most
its share of the fleet's calls, an operator's call goes before a poll, and after
repeated failures calls are answered here at once: an outage costs freshness, never
service. Every call is answered exactly once, in time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mallowpass.core.effects import CallPlatform
from mallowpass.core.events import PlatformReplied
from mallowpass.core.node import Node, System
from mallowpass.core.platformcalls import (
    PlatformCall,
    PlatformFailed,
    PlatformReply,
    RegisterHost,
    WriteRow,
)
from mallowpass.core.timers import Timer
from mallowpass.errors import ErrorCode

__all__ = ["CircuitState", "PlatformClient"]

# What the platform bears, with room left for what is not ours.
FLEET_READS_PER_SECOND = 1_500.0
FLEET_WRITES_PER_SECOND = 200.0
BURST_MIN = 4.0  # a change and its read-back must not wait for tokens

IN_FLIGHT_MAX = 16
QUEUE_MAX = 256
QUEUE_WAIT_MAX = 3.0  # seconds until a call that got no token is answered
ANSWER_MARGIN = 0.25  # seconds beyond the timeout that the adapter was given

FAILURES_TO_OPEN = 4
OPEN_MIN = 0.5
OPEN_MAX = 8.0
URGENT_PROBE_GAP = 0.5
READ_TRIES = 2
RETRY_BACKOFF = 0.1

Callback = Callable[[PlatformReply], None]


class CircuitState(Enum):
    """Say whether calls go out: all, one as a probe, or none."""

    CLOSED = "closed"
    HALF_OPEN = "half-open"
    OPEN = "open"


@dataclass(slots=True, eq=False)
class _Pending:
    """Hold one call until it is answered."""

    request: PlatformCall
    callbacks: list[Callback]
    urgent: bool
    tries: int = 0
    number: int = 0  # of the call in flight; 0: queued
    timer: Timer | None = field(default=None, repr=False)

    @property
    def is_write(self) -> bool:
        """Tell whether a lost answer leaves the platform's state unknown."""
        return isinstance(self.request, WriteRow | RegisterHost)


class PlatformClient(System):
    """Call the platform within this host's share of the fleet's budget."""

    __slots__ = (
        "_breaker",
        "_in_flight",
        "_pump_timer",
        "_queues",
        "_reads",
        "_readable",
        "_writable",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        seats = max(1, sum(domain.hosts for domain in node.identity.domains))
        tuning = node.tuning
        reads = min(tuning.platform_reads_per_second, FLEET_READS_PER_SECOND / seats)
        writes = min(tuning.platform_writes_per_second, FLEET_WRITES_PER_SECOND / seats)
        self._readable = _Bucket(reads, node.timers.now)
        self._writable = _Bucket(writes, node.timers.now)
        self._breaker = _Breaker(node)
        self._queues: tuple[deque[_Pending], deque[_Pending]] = (deque(), deque())
        self._reads: dict[PlatformCall, _Pending] = {}  # queued, by content
        self._in_flight: dict[int, _Pending] = {}
        self._pump_timer: Timer | None = None

    @property
    def circuit_state(self) -> CircuitState:
        """Return the state of the circuit."""
        return self._breaker.state

    @property
    def queued_calls(self) -> int:
        """Return how many calls wait for budget."""
        return sum(map(len, self._queues))

    @property
    def last_answer_at(self) -> float | None:
        """Return when the platform last answered, None for never."""
        return self._breaker.last_answer_at

    def start(self) -> None:
        """Subscribe to the platform's replies."""
        self._node.subscribe(PlatformReplied, self._on_replied)

    def call(
        self, request: PlatformCall, callback: Callback, urgent: bool = False
    ) -> None:
        """Call the platform; the callback gets exactly one reply.

        A failure that is not ambiguous proves that the platform did not get the
        call. An operator's call is urgent: it goes before all that wait.
        """
        pending = _Pending(request, [callback], urgent)
        if self._join(pending):
            return
        if not self._breaker.admits(urgent):
            self._refuse(pending, ErrorCode.PLATFORM_CIRCUIT_OPEN)
        elif self.queued_calls >= QUEUE_MAX:
            self._refuse(pending, ErrorCode.PLATFORM_BUDGET_SPENT)
        else:
            self._enqueue(pending)
            self._pump()

    def stop(self) -> None:
        """Answer what still waits; nothing else will."""
        for queue in self._queues:
            for pending in tuple(queue):
                self._refuse(pending, ErrorCode.PLATFORM_UNAVAILABLE)

    # -- Queue ---------------------------------------------------------------

    def _join(self, pending: _Pending) -> bool:
        # Only a read that has not left yet is shared: one in flight may have been
        # answered before a write that the new caller already knows of.
        earlier = None if pending.is_write else self._reads.get(pending.request)
        if earlier is None:
            return False
        earlier.callbacks += pending.callbacks
        if pending.urgent and not earlier.urgent:
            self._queues[1].remove(earlier)
            earlier.urgent = True
            self._queues[0].append(earlier)
            self._pump()
        return True

    def _enqueue(self, pending: _Pending) -> None:
        self._queues[0 if pending.urgent else 1].append(pending)
        if not pending.is_write:
            self._reads[pending.request] = pending
        pending.timer = self.timers.after(
            QUEUE_WAIT_MAX, self._refuse, pending, ErrorCode.PLATFORM_BUDGET_SPENT
        )

    def _dequeue(self, pending: _Pending) -> None:
        queue = self._queues[0 if pending.urgent else 1]
        if pending in queue:
            queue.remove(pending)
        if self._reads.get(pending.request) is pending:
            del self._reads[pending.request]
        if pending.timer is not None:
            pending.timer.cancel()

    def _pump(self) -> None:
        if self._pump_timer is not None:
            self._pump_timer.cancel()
            self._pump_timer = None
        # Writes that wait for budget must not hold up reads that have theirs.
        blocked: dict[bool, float] = {}
        for queue in self._queues:
            for pending in tuple(queue):
                if len(self._in_flight) >= IN_FLIGHT_MAX:
                    return
                if pending.is_write not in blocked:
                    self._send_or_block(pending, blocked)
        if blocked:
            self._pump_timer = self.timers.after(min(blocked.values()), self._pump)

    def _send_or_block(self, pending: _Pending, blocked: dict[bool, float]) -> None:
        if not self._breaker.admits(pending.urgent):
            self._refuse(pending, ErrorCode.PLATFORM_CIRCUIT_OPEN)
            return
        bucket = self._writable if pending.is_write else self._readable
        delay = bucket.take(self.now)
        if delay > 0:
            blocked[pending.is_write] = delay
        else:
            self._send(pending)

    def _send(self, pending: _Pending) -> None:
        self._dequeue(pending)
        self._breaker.sent()
        timeout = self._node.tuning.platform_timeout
        pending.tries += 1
        pending.number = self._node.next_number()
        self._in_flight[pending.number] = pending
        pending.timer = self.timers.after(
            timeout + ANSWER_MARGIN, self._on_silence, pending.number
        )
        self._node.emit(CallPlatform(pending.number, pending.request, timeout))

    # -- Replies -------------------------------------------------------------

    def _on_replied(self, event: PlatformReplied) -> None:
        self._settle(event.call, event.reply)

    def _on_silence(self, number: int) -> None:
        # The adapter promises an answer; if it breaks that promise an operator
        # would wait for ever and the poll would never go out again.
        self._settle(number, PlatformFailed("no answer in time"))

    def _settle(self, number: int, reply: PlatformReply) -> None:
        pending = self._in_flight.pop(number, None)
        if pending is None:
            self._count("late")
            return
        if pending.timer is not None:
            pending.timer.cancel()
        if isinstance(reply, PlatformFailed):
            self._on_failed(pending, reply)
        else:
            self._count("answered")
            self._breaker.succeeded()
            self._answer(pending, reply)
        self._pump()

    def _on_failed(self, pending: _Pending, reply: PlatformFailed) -> None:
        self._count("failed")
        self._breaker.failed()
        if pending.is_write or pending.tries >= READ_TRIES:
            # The adapter may not know whether the platform got the call.
            self._answer(pending, reply)
            return
        delay = RETRY_BACKOFF * self._node.random.uniform(0.5, 1.5)
        self.timers.after(delay, self._retry, pending)

    def _retry(self, pending: _Pending) -> None:
        if self._breaker.admits(pending.urgent):
            self._enqueue(pending)
            self._pump()
        else:
            self._refuse(pending, ErrorCode.PLATFORM_CIRCUIT_OPEN)

    def _refuse(self, pending: _Pending, code: ErrorCode) -> None:
        self._dequeue(pending)
        self._count("refused")
        self._answer(pending, PlatformFailed(code.meaning, False, code.name))

    def _answer(self, pending: _Pending, reply: PlatformReply) -> None:
        for callback in pending.callbacks:
            callback(reply)

    def _count(self, outcome: str) -> None:
        self._node.count("platform_calls", outcome=outcome)


class _Bucket:
    """Meter calls: `rate` tokens a second, a few saved up."""

    __slots__ = ("_burst", "_rate", "_refilled", "_tokens")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._burst = max(BURST_MIN, rate)
        self._tokens = self._burst
        self._refilled = now

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        refill = (now - self._refilled) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self._rate + 1e-6


class _Breaker:
    """Hold calls back after repeated failures, and probe for the end of it."""

    __slots__ = (
        "_failures",
        "_node",
        "_open_for",
        "_opened_at",
        "_probe_at",
        "_state",
        "last_answer_at",
    )

    def __init__(self, node: Node) -> None:
        self._node = node
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._open_for = OPEN_MIN
        self._opened_at = 0.0
        self._probe_at = float("-inf")
        self.last_answer_at: float | None = None

    @property
    def state(self) -> CircuitState:
        """Return the state now; an open circuit turns half-open by time."""
        waited = self._node.timers.now - self._opened_at
        if self._state is CircuitState.OPEN and waited >= self._open_for:
            self._state = CircuitState.HALF_OPEN
        return self._state

    def admits(self, urgent: bool) -> bool:
        """Tell whether a call may go out now.

        An operator who acts when the platform is back must not wait for the next
        probe: an urgent call is a probe itself, only not many a second.
        """
        state = self.state
        if state is CircuitState.CLOSED:
            return True
        since_probe = self._node.timers.now - self._probe_at
        if state is CircuitState.HALF_OPEN:
            return since_probe >= self._node.tuning.platform_timeout + ANSWER_MARGIN
        return urgent and since_probe >= URGENT_PROBE_GAP

    def sent(self) -> None:
        """Note that a call went out: with the circuit not closed it is a probe."""
        if self.state is not CircuitState.CLOSED:
            self._probe_at = self._node.timers.now

    def succeeded(self) -> None:
        """Close the circuit."""
        self.last_answer_at = self._node.timers.now
        self._failures = 0
        if self._state is not CircuitState.CLOSED:
            self._state = CircuitState.CLOSED
            self._open_for = OPEN_MIN
            self._probe_at = float("-inf")
            self._node.log("info", "platform_circuit", state="closed")

    def failed(self) -> None:
        """Open the circuit after repeated failures, longer after each probe."""
        self._failures += 1
        if self._state is CircuitState.CLOSED:
            if self._failures < FAILURES_TO_OPEN:
                return
            self._node.log("warning", "platform_circuit", state="open")
        else:
            self._open_for = min(OPEN_MAX, self._open_for * 2)
        self._state = CircuitState.OPEN
        self._opened_at = self._node.timers.now
        # Jitter: else all hosts probe a platform that struggles to its feet at once.
        self._open_for = min(
            OPEN_MAX, self._open_for * self._node.random.uniform(0.75, 1.25)
        )
