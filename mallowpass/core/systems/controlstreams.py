"""Control streams: one per endpoint, replaced when it is lost or unresponsive."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.calls import ControlCall, ControlReply, ProbeCall, WatchCall
from mallowpass.core.effects import CloseControl, OpenControl, SendControl
from mallowpass.core.events import ControlLost, ControlOpened, ControlReplied
from mallowpass.core.node import Node
from mallowpass.core.tables import EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["ControlStreams", "ControlTraffic", "ReplyCallback"]

BACKOFF_MIN = 0.05  # seconds
BACKOFF_MAX = 2.0
# The next probe of an overdue endpoint follows after this fraction of the time since
# its last reply.
PROBE_SHARE = 0.25
# A stream is overdue when a report is late by this fraction of the detection time. This
# leaves half of the detection time for a second stream to show that the endpoint is
# alive.
OVERDUE_SHARE = 0.25
ROUND_TRIP_WEIGHT = 0.2  # weight of the newest measurement in the moving average
# Typical sizes of a message with its gRPC prefix and HTTP/2 frame header.
CALL_BYTES = 24
REPLY_BYTES = 92

ReplyCallback = Callable[[ControlReply | None], None]


@dataclass(slots=True)
class ControlTraffic:
    """The traffic of control streams; its bytes are an estimate."""

    calls: int = 0
    replies: int = 0
    opened: int = 0

    @property
    def bytes(self) -> int:
        """Return the bytes in both directions, estimated from typical sizes."""
        return self.calls * CALL_BYTES + self.replies * REPLY_BYTES


@dataclass(slots=True)
class _PendingCall:
    """A call that has no reply yet."""

    call: ControlCall
    callback: ReplyCallback
    timer: Timer


@dataclass(slots=True)
class _EndpointStreams:
    """The streams of one endpoint and the calls that wait for replies."""

    endpoint: EndpointRow
    created_at: float
    watch: WatchCall
    # Until then the endpoint reported as often as the previous watch required.
    watched_at: float = float("-inf")
    watch_sent_at: float | None = None  # until its first report arrives
    round_trip: float = float("inf")  # seconds; inf: unknown
    current: int = 0  # number of the stream in use, 0 for none
    is_open: bool = False
    candidate: int = 0  # number of the stream being opened to replace it, 0 for none
    candidate_at: float = 0.0
    failures: int = 0
    pending: dict[int, _PendingCall] = field(default_factory=dict)
    check_timer: Timer | None = None
    retry_timer: Timer | None = None


class ControlStreams:
    """Keep a control stream open to each endpoint, and match replies to calls."""

    __slots__ = ("_awake_since", "_by_address", "_node", "_on_reply", "traffic")

    def __init__(
        self,
        node: Node,
        on_reply: Callable[[EndpointRow, ControlReply], None],
        awake_since: Callable[[], float],
    ) -> None:
        self._node = node
        self._on_reply = on_reply
        self._awake_since = awake_since
        self._by_address: dict[str, _EndpointStreams] = {}
        self.traffic = ControlTraffic()
        node.subscribe(ControlOpened, self._on_opened)
        node.subscribe(ControlLost, self._on_lost)
        node.subscribe(ControlReplied, self._on_replied)

    # -- Endpoints -----------------------------------------------------------

    def add(self, endpoint: EndpointRow, watch: WatchCall) -> None:
        """Open a stream to an endpoint, and keep one open from now on."""
        streams = self._by_address.get(endpoint.address)
        if streams is not None:
            streams.endpoint = endpoint
            return
        streams = _EndpointStreams(endpoint, self._node.timers.now, watch)
        self._by_address[endpoint.address] = streams
        self._open(streams)
        self._check(streams)

    def remove(self, address: str) -> None:
        """Close the streams of an endpoint; its calls in flight get None as reply."""
        streams = self._by_address.pop(address, None)
        if streams is None:
            return
        for timer in (streams.check_timer, streams.retry_timer):
            if timer is not None:
                timer.cancel()
        for stream in (streams.current, streams.candidate):
            self._close(streams, stream)
        for sequence in list(streams.pending):
            self._fail_call(streams, sequence)

    def watch(self, address: str, watch: WatchCall) -> None:
        """Change how often an endpoint reports."""
        streams = self._by_address.get(address)
        if streams is None or streams.watch == watch:
            return
        if not self._is_overdue(streams):
            # With a longer report interval, the endpoint had no report to send. The
            # time until now must not count once its reports are more frequent.
            streams.watched_at = self._node.timers.now
        streams.watch = watch
        if streams.is_open:
            self._send_watch(streams)
        if streams.check_timer is not None:
            streams.check_timer.cancel()
        self._check(streams)

    def time_since_reply(self, address: str) -> float:
        """Return the seconds since an endpoint's last reply.

        Time before the end of this host's own last pause does not count: a paused
        host reads no replies.
        """
        streams = self._by_address.get(address)
        if streams is None:
            return 0.0
        last_reply_at = streams.endpoint.last_reply_at
        since = max(
            last_reply_at, streams.created_at, streams.watched_at, self._awake_since()
        )
        return self._node.timers.now - since

    def report_interval(self, address: str) -> float:
        """Return the longest time between two reports of an endpoint, in seconds."""
        streams = self._by_address.get(address)
        return streams.watch.interval if streams is not None else 0.0

    def round_trip(self, address: str) -> float:
        """Return the round-trip time to an endpoint in seconds, inf if unknown."""
        streams = self._by_address.get(address)
        return streams.round_trip if streams is not None else float("inf")

    # -- Calls ---------------------------------------------------------------

    def call(
        self,
        address: str,
        call: ControlCall,
        callback: ReplyCallback,
        timeout: float,
    ) -> None:
        """Make a control call; the callback gets None without a reply in time.

        Without an open stream the call waits for one. A call may be sent twice, when
        a stream is replaced: all control calls are idempotent.
        """
        streams = self._by_address.get(address)
        if streams is None:
            # Not before this method returns: the calling code may still be setting
            # up the state that its callback needs.
            self._node.timers.after(0.0, callback, None)
            return
        sequence = self._node.next_number()
        timer = self._node.timers.after(timeout, self._fail_call, streams, sequence)
        streams.pending[sequence] = _PendingCall(call, callback, timer)
        if streams.is_open:
            self._send(streams, sequence, call)

    def open_second_stream(self, address: str) -> None:
        """Open a second stream beside one that may never carry a reply again."""
        streams = self._by_address.get(address)
        if streams is not None and not streams.candidate:
            self._open(streams)

    def _fail_call(self, streams: _EndpointStreams, sequence: int) -> None:
        pending = streams.pending.pop(sequence, None)
        if pending is None:
            return
        pending.timer.cancel()
        pending.callback(None)

    def _send(
        self, streams: _EndpointStreams, sequence: int, call: ControlCall
    ) -> None:
        self.traffic.calls += 1
        address = streams.endpoint.address
        self._node.emit(SendControl(address, streams.current, sequence, call))

    def _send_watch(self, streams: _EndpointStreams) -> None:
        streams.endpoint.watch_sequence = self._node.next_number()
        streams.watch_sent_at = self._node.timers.now
        self._send(streams, streams.endpoint.watch_sequence, streams.watch)

    # -- Opening and closing -------------------------------------------------

    def _open(self, streams: _EndpointStreams) -> None:
        streams.retry_timer = None
        if streams.candidate:
            return
        streams.candidate = self._node.next_number()
        streams.candidate_at = self._node.timers.now
        self.traffic.opened += 1
        address = streams.endpoint.address
        self._node.emit(OpenControl(address, streams.candidate, self._open_timeout))

    def _close(self, streams: _EndpointStreams, stream: int) -> None:
        if stream:
            self._node.emit(CloseControl(streams.endpoint.address, stream))

    @property
    def _open_timeout(self) -> float:
        return self._node.tuning.connect_timeout / 2

    def _on_opened(self, event: ControlOpened) -> None:
        streams = self._by_address.get(event.address)
        if streams is None or event.stream != streams.candidate:
            return
        self._close(streams, streams.current)
        streams.current, streams.candidate = streams.candidate, 0
        streams.is_open = True
        streams.failures = 0
        streams.endpoint.control_stream = streams.current
        streams.endpoint.is_control_open = True
        self._send_watch(streams)
        for sequence, pending in list(streams.pending.items()):
            self._send(streams, sequence, pending.call)

    def _on_lost(self, event: ControlLost) -> None:
        streams = self._by_address.get(event.address)
        if streams is None:
            return
        if event.stream == streams.candidate:
            streams.candidate = 0
        elif event.stream == streams.current:
            streams.current = 0
            streams.is_open = False
            streams.endpoint.control_stream = 0
            streams.endpoint.is_control_open = False
        else:
            return
        streams.failures += 1
        self._retry_later(streams)

    def _retry_later(self, streams: _EndpointStreams) -> None:
        if streams.retry_timer is not None:
            return
        highest = min(BACKOFF_MAX, BACKOFF_MIN * 2 ** min(streams.failures, 10))
        # Jitter: all hosts lose an endpoint at the same moment, and would otherwise
        # reconnect at the same moment, just when the endpoint starts again.
        delay = self._node.random.uniform(BACKOFF_MIN / 2, highest)
        streams.retry_timer = self._node.timers.after(delay, self._open_again, streams)

    def _open_again(self, streams: _EndpointStreams) -> None:
        streams.retry_timer = None
        if not streams.is_open or self._is_overdue(streams):
            self._open(streams)

    # -- Checks of overdue streams -------------------------------------------

    def _is_overdue(self, streams: _EndpointStreams) -> bool:
        return (
            self.time_since_reply(streams.endpoint.address)
            >= self._overdue_after(streams) - 1e-9
        )

    def _overdue_after(self, streams: _EndpointStreams) -> float:
        return streams.watch.interval + self._node.tuning.detection * OVERDUE_SHARE

    def _check(self, streams: _EndpointStreams) -> None:
        """Open a second stream if the current one is overdue, and check again later.

        A middlebox may drop the state of an open connection, which then never carries
        a message again while new connections work. Without a second stream, a healthy
        primary would be suspected.
        """
        if self._is_overdue(streams) and streams.is_open:
            self._probe(streams)
        self._drop_stuck_candidate(streams)
        streams.check_timer = self._node.timers.after(
            self._seconds_to_check(streams), self._check, streams
        )

    def _seconds_to_check(self, streams: _EndpointStreams) -> float:
        """Return the seconds until the next check; more the longer no reply arrives."""
        elapsed = self.time_since_reply(streams.endpoint.address)
        interval = self._node.tuning.probe_interval
        left = self._overdue_after(streams) - elapsed
        return max(left, interval, min(elapsed * PROBE_SHARE, BACKOFF_MAX))

    def _probe(self, streams: _EndpointStreams) -> None:
        self._send(streams, self._node.next_number(), ProbeCall())
        if streams.retry_timer is None:
            self._open(streams)

    def _drop_stuck_candidate(self, streams: _EndpointStreams) -> None:
        opened_for = self._node.timers.now - streams.candidate_at
        if streams.candidate and opened_for > 2 * self._open_timeout:
            self._close(streams, streams.candidate)
            streams.candidate = 0
            streams.failures += 1
            self._retry_later(streams)

    # -- Replies -------------------------------------------------------------

    def _on_replied(self, event: ControlReplied) -> None:
        streams = self._by_address.get(event.address)
        if streams is None or event.stream != streams.current:
            return  # A replaced stream's reply is older than those of the current one.
        self.traffic.replies += 1
        streams.endpoint.last_reply_at = self._node.timers.now
        if event.reply.sequence == streams.endpoint.watch_sequence:
            self._measure_round_trip(streams)
        self._on_reply(streams.endpoint, event.reply)
        pending = streams.pending.pop(event.reply.sequence, None)
        if pending is not None:
            pending.timer.cancel()
            pending.callback(event.reply)

    def _measure_round_trip(self, streams: _EndpointStreams) -> None:
        """Measure the round trip of a watch call and its first report.

        The endpoint sends that report at once. A pause of either end makes a
        measurement too long, and nothing makes one too short: a shorter measurement
        replaces the average.
        """
        if streams.watch_sent_at is None:
            return
        elapsed = self._node.timers.now - streams.watch_sent_at
        streams.watch_sent_at = None
        if elapsed < streams.round_trip:
            streams.round_trip = elapsed
        else:
            streams.round_trip += ROUND_TRIP_WEIGHT * (elapsed - streams.round_trip)
