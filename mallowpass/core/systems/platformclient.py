"""Client of the platform's service, with a rate limit and a circuit breaker.

The platform is shared by the whole fleet and has outages. Each host makes at most its
share of the fleet's calls, and an operator's calls go before polls. After repeated
failures the client refuses calls at once: during an outage hosts get no changes, but
continue to serve. Every call gets exactly one reply, within a bounded time.
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

# The rates that the platform sustains, less a reserve for its other clients.
FLEET_READS_PER_SECOND = 1_500.0
FLEET_WRITES_PER_SECOND = 200.0
BURST_MIN = 4.0  # tokens; a change and its read-back must not wait for tokens

IN_FLIGHT_MAX = 16
QUEUE_MAX = 256
QUEUE_WAIT_MAX = 3.0  # seconds until a call without a token is refused
REPLY_MARGIN = 0.25  # seconds that a reply may follow the timeout of its call

FAILURES_TO_OPEN = 4
OPEN_TIME_MIN = 0.5  # seconds that the circuit stays open at first, before jitter
OPEN_TIME_MAX = 8.0
URGENT_PROBE_INTERVAL = 0.5  # seconds at least between two urgent probes
READ_ATTEMPTS_MAX = 2
RETRY_BACKOFF = 0.1  # seconds on average

Callback = Callable[[PlatformReply], None]


class CircuitState(Enum):
    """Which calls are sent: all, one at a time as a probe, or only urgent probes."""

    CLOSED = "closed"
    HALF_OPEN = "half-open"
    OPEN = "open"


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call that has no reply yet."""

    request: PlatformCall
    callbacks: list[Callback]
    is_urgent: bool
    attempts: int = 0
    number: int = 0  # of the call in flight; 0: queued
    timer: Timer | None = field(default=None, repr=False)

    @property
    def is_write(self) -> bool:
        """Return whether the platform's state is unknown when the reply is lost."""
        return isinstance(self.request, WriteRow | RegisterHost)


class PlatformClient(System):
    """Call the platform within this host's share of the fleet's budget."""

    __slots__ = (
        "_breaker",
        "_in_flight",
        "_queued_reads",
        "_queues",
        "_read_bucket",
        "_send_timer",
        "_write_bucket",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        host_count = max(1, sum(domain.hosts for domain in node.identity.domains))
        tuning = node.tuning
        reads = min(
            tuning.platform_reads_per_second, FLEET_READS_PER_SECOND / host_count
        )
        writes = min(
            tuning.platform_writes_per_second, FLEET_WRITES_PER_SECOND / host_count
        )
        self._read_bucket = _Bucket(reads, node.timers.now)
        self._write_bucket = _Bucket(writes, node.timers.now)
        self._breaker = _Breaker(node)
        self._queues: tuple[deque[_PendingCall], deque[_PendingCall]] = (
            deque(),
            deque(),
        )
        self._queued_reads: dict[PlatformCall, _PendingCall] = {}  # by request
        self._in_flight: dict[int, _PendingCall] = {}
        self._send_timer: Timer | None = None

    @property
    def circuit_state(self) -> CircuitState:
        """Return the state of the circuit breaker."""
        return self._breaker.state

    @property
    def queued_calls(self) -> int:
        """Return the number of calls that wait for a token or a free slot."""
        return sum(map(len, self._queues))

    @property
    def last_answer_at(self) -> float | None:
        """Return when the platform last replied successfully, None for never."""
        return self._breaker.last_answer_at

    def start(self) -> None:
        """Subscribe to the platform's replies."""
        self._node.subscribe(PlatformReplied, self._on_replied)

    def call(
        self, request: PlatformCall, callback: Callback, urgent: bool = False
    ) -> None:
        """Call the platform; the callback gets exactly one reply.

        A failure that is not ambiguous proves that the platform did not receive the
        call. An urgent call, an operator's, goes before all other queued calls.
        """
        pending = _PendingCall(request, [callback], urgent)
        if self._join_queued_read(pending):
            return
        if not self._breaker.can_send(urgent):
            self._refuse(pending, ErrorCode.PLATFORM_CIRCUIT_OPEN)
        elif self.queued_calls >= QUEUE_MAX:
            self._refuse(pending, ErrorCode.PLATFORM_BUDGET_SPENT)
        else:
            self._enqueue(pending)
            self._send_queued()

    def stop(self) -> None:
        """Refuse all queued calls, which would otherwise get no reply."""
        for queue in self._queues:
            for pending in tuple(queue):
                self._refuse(pending, ErrorCode.PLATFORM_UNAVAILABLE)

    # -- Queue ---------------------------------------------------------------

    def _join_queued_read(self, pending: _PendingCall) -> bool:
        # Only a queued read is shared: the platform may have answered a read in
        # flight before a write that the new call must see.
        queued = None if pending.is_write else self._queued_reads.get(pending.request)
        if queued is None:
            return False
        queued.callbacks += pending.callbacks
        if pending.is_urgent and not queued.is_urgent:
            self._queues[1].remove(queued)
            queued.is_urgent = True
            self._queues[0].append(queued)
            self._send_queued()
        return True

    def _enqueue(self, pending: _PendingCall) -> None:
        self._queues[0 if pending.is_urgent else 1].append(pending)
        if not pending.is_write:
            self._queued_reads[pending.request] = pending
        pending.timer = self.timers.after(
            QUEUE_WAIT_MAX, self._refuse, pending, ErrorCode.PLATFORM_BUDGET_SPENT
        )

    def _dequeue(self, pending: _PendingCall) -> None:
        queue = self._queues[0 if pending.is_urgent else 1]
        if pending in queue:
            queue.remove(pending)
        if self._queued_reads.get(pending.request) is pending:
            del self._queued_reads[pending.request]
        if pending.timer is not None:
            pending.timer.cancel()

    def _send_queued(self) -> None:
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        # Keyed by is_write, with the seconds until the next token: writes that wait
        # for a token must not hold up reads, or the reverse.
        delays: dict[bool, float] = {}
        for queue in self._queues:
            for pending in tuple(queue):
                if len(self._in_flight) >= IN_FLIGHT_MAX:
                    return
                if pending.is_write not in delays:
                    self._send_or_defer(pending, delays)
        if delays:
            self._send_timer = self.timers.after(
                min(delays.values()), self._send_queued
            )

    def _send_or_defer(self, pending: _PendingCall, delays: dict[bool, float]) -> None:
        if not self._breaker.can_send(pending.is_urgent):
            self._refuse(pending, ErrorCode.PLATFORM_CIRCUIT_OPEN)
            return
        bucket = self._write_bucket if pending.is_write else self._read_bucket
        delay = bucket.take(self.now)
        if delay > 0:
            delays[pending.is_write] = delay
        else:
            self._send(pending)

    def _send(self, pending: _PendingCall) -> None:
        self._dequeue(pending)
        self._breaker.on_sent()
        timeout = self._node.tuning.platform_timeout
        pending.attempts += 1
        pending.number = self._node.next_number()
        self._in_flight[pending.number] = pending
        pending.timer = self.timers.after(
            timeout + REPLY_MARGIN, self._on_no_reply, pending.number
        )
        self._node.emit(CallPlatform(pending.number, pending.request, timeout))

    # -- Replies -------------------------------------------------------------

    def _on_replied(self, event: PlatformReplied) -> None:
        self._on_reply(event.call, event.reply)

    def _on_no_reply(self, number: int) -> None:
        # The adapter has to reply within the timeout. If it fails to, an operator
        # would otherwise wait for ever, and no poll would be sent again.
        self._on_reply(number, PlatformFailed("no answer in time"))

    def _on_reply(self, number: int, reply: PlatformReply) -> None:
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
            self._breaker.on_success()
            self._answer(pending, reply)
        self._send_queued()

    def _on_failed(self, pending: _PendingCall, reply: PlatformFailed) -> None:
        self._count("failed")
        self._breaker.on_failure()
        if pending.is_write or pending.attempts >= READ_ATTEMPTS_MAX:
            # A write is not repeated here: the platform may have received the call.
            self._answer(pending, reply)
            return
        delay = RETRY_BACKOFF * self._node.random.uniform(0.5, 1.5)
        self.timers.after(delay, self._retry, pending)

    def _retry(self, pending: _PendingCall) -> None:
        if self._breaker.can_send(pending.is_urgent):
            self._enqueue(pending)
            self._send_queued()
        else:
            self._refuse(pending, ErrorCode.PLATFORM_CIRCUIT_OPEN)

    def _refuse(self, pending: _PendingCall, code: ErrorCode) -> None:
        self._dequeue(pending)
        self._count("refused")
        self._answer(pending, PlatformFailed(code.meaning, False, code.name))

    def _answer(self, pending: _PendingCall, reply: PlatformReply) -> None:
        for callback in pending.callbacks:
            callback(reply)

    def _count(self, outcome: str) -> None:
        self._node.count("platform_calls", outcome=outcome)


class _Bucket:
    """A token bucket that fills at `rate` tokens per second."""

    __slots__ = ("_burst", "_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._burst = max(BURST_MIN, rate)
        self._tokens = self._burst
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until the next token."""
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self._rate + 1e-6


class _Breaker:
    """A circuit breaker, which opens after repeated failures."""

    __slots__ = (
        "_failures",
        "_node",
        "_open_time",
        "_opened_at",
        "_probe_at",
        "_state",
        "last_answer_at",
    )

    def __init__(self, node: Node) -> None:
        self._node = node
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._open_time = OPEN_TIME_MIN
        self._opened_at = 0.0
        self._probe_at = float("-inf")
        self.last_answer_at: float | None = None

    @property
    def state(self) -> CircuitState:
        """Return the state; an open circuit becomes half-open after a while."""
        open_duration = self._node.timers.now - self._opened_at
        if self._state is CircuitState.OPEN and open_duration >= self._open_time:
            self._state = CircuitState.HALF_OPEN
        return self._state

    def can_send(self, urgent: bool) -> bool:
        """Return whether a call may be sent now.

        When the platform has recovered, an operator must not wait for the next probe:
        an urgent call serves as a probe itself, at a limited rate.
        """
        state = self.state
        if state is CircuitState.CLOSED:
            return True
        since_probe = self._node.timers.now - self._probe_at
        if state is CircuitState.HALF_OPEN:
            return since_probe >= self._node.tuning.platform_timeout + REPLY_MARGIN
        return urgent and since_probe >= URGENT_PROBE_INTERVAL

    def on_sent(self) -> None:
        """Note that a call was sent; unless the circuit is closed it is a probe."""
        if self.state is not CircuitState.CLOSED:
            self._probe_at = self._node.timers.now

    def on_success(self) -> None:
        """Close the circuit."""
        self.last_answer_at = self._node.timers.now
        self._failures = 0
        if self._state is not CircuitState.CLOSED:
            self._state = CircuitState.CLOSED
            self._open_time = OPEN_TIME_MIN
            self._probe_at = float("-inf")
            self._node.log("info", "platform_circuit", state="closed")

    def on_failure(self) -> None:
        """Open the circuit after repeated failures, and longer after a failed probe."""
        self._failures += 1
        if self._state is CircuitState.CLOSED:
            if self._failures < FAILURES_TO_OPEN:
                return
            self._node.log("warning", "platform_circuit", state="open")
        else:
            self._open_time = min(OPEN_TIME_MAX, self._open_time * 2)
        self._state = CircuitState.OPEN
        self._opened_at = self._node.timers.now
        # Jitter: all hosts would otherwise probe a recovering platform at once.
        self._open_time = min(
            OPEN_TIME_MAX, self._open_time * self._node.random.uniform(0.75, 1.25)
        )
