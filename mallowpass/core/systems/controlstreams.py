"""Control streams: one for each endpoint, renewed when they break or fall silent."""

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

BACKOFF_MIN = 0.05
BACKOFF_MAX = 2.0
# A silent endpoint is asked again after this share of its silence so far.
PROBE_SHARE = 0.25
# A stream is silent when a report is overdue by this share of the detection time.
# It leaves half of that time for a fresh stream to prove that the endpoint lives.
OVERDUE_SHARE = 0.25
ROUND_TRIP_WEIGHT = 0.2
# Typical sizes: message, gRPC prefix and HTTP/2 frame header, for the estimate.
CALL_BYTES = 24
REPLY_BYTES = 92

ReplyCallback = Callable[[ControlReply | None], None]


@dataclass(slots=True)
class ControlTraffic:
    """Count what control streams cost; bytes are an estimate from typical sizes."""

    calls: int = 0
    replies: int = 0
    opened: int = 0

    @property
    def bytes(self) -> int:
        """Return the estimated bytes in both directions."""
        return self.calls * CALL_BYTES + self.replies * REPLY_BYTES


@dataclass(slots=True)
class _Pending:
    call: ControlCall
    callback: ReplyCallback
    timer: Timer


@dataclass(slots=True)
class _Link:
    """Hold the streams of one endpoint and the calls that wait for replies."""

    endpoint: EndpointRow
    created_at: float
    watch: WatchCall
    watched_at: float = float("-inf")  # silence before this was as agreed
    watch_sent_at: float | None = None  # its first report is still to come
    round_trip: float = float("inf")
    current: int = 0
    is_open: bool = False
    candidate: int = 0
    candidate_at: float = 0.0
    failures: int = 0
    pending: dict[int, _Pending] = field(default_factory=dict)
    check: Timer | None = None
    retry: Timer | None = None


class ControlStreams:
    """Keep a working control stream to each endpoint and match replies to calls."""

    __slots__ = ("_links", "_node", "_on_reply", "_heard_since", "traffic")

    def __init__(
        self,
        node: Node,
        on_reply: Callable[[EndpointRow, ControlReply], None],
        heard_since: Callable[[], float],
    ) -> None:
        self._node = node
        self._on_reply = on_reply
        self._heard_since = heard_since
        self._links: dict[str, _Link] = {}
        self.traffic = ControlTraffic()
        node.subscribe(ControlOpened, self._opened)
        node.subscribe(ControlLost, self._lost)
        node.subscribe(ControlReplied, self._replied)

    # -- Endpoints -----------------------------------------------------------

    def add(self, endpoint: EndpointRow, watch: WatchCall) -> None:
        """Open a stream to an endpoint that is in force from now on."""
        link = self._links.get(endpoint.address)
        if link is not None:
            link.endpoint = endpoint
            return
        link = _Link(endpoint, self._node.timers.now, watch)
        self._links[endpoint.address] = link
        self._open(link)
        self._check(link)

    def remove(self, address: str) -> None:
        """Close the streams of an endpoint; calls in flight get no reply."""
        link = self._links.pop(address, None)
        if link is None:
            return
        for timer in (link.check, link.retry):
            if timer is not None:
                timer.cancel()
        for stream in (link.current, link.candidate):
            self._close(link, stream)
        for sequence in list(link.pending):
            self._give_up(link, sequence)

    def watch(self, address: str, watch: WatchCall) -> None:
        """Change how often an endpoint reports."""
        link = self._links.get(address)
        if link is None or link.watch == watch:
            return
        if not self._is_silent(link):
            # Under a slow watch an endpoint is quiet for long; that is no evidence
            # once it is watched closely.
            link.watched_at = self._node.timers.now
        link.watch = watch
        if link.is_open:
            self._send_watch(link)
        if link.check is not None:
            link.check.cancel()
        self._check(link)

    def time_since_reply(self, address: str) -> float:
        """Return for how long nothing was heard of an endpoint, in seconds.

        Time before this host's own last pause does not count: whoever was
        stopped himself cannot tell who else was silent.
        """
        link = self._links.get(address)
        if link is None:
            return 0.0
        heard_at = link.endpoint.last_reply_at
        since = max(heard_at, link.created_at, link.watched_at, self._heard_since())
        return self._node.timers.now - since

    def report_interval(self, address: str) -> float:
        """Return how long the watch alone may keep an endpoint quiet, in seconds."""
        link = self._links.get(address)
        return link.watch.interval if link is not None else 0.0

    def round_trip(self, address: str) -> float:
        """Return how long an endpoint takes to answer, in seconds; inf: unknown."""
        link = self._links.get(address)
        return link.round_trip if link is not None else float("inf")

    # -- Calls ---------------------------------------------------------------

    def call(
        self,
        address: str,
        call: ControlCall,
        callback: ReplyCallback,
        timeout: float,
    ) -> None:
        """Make a control call; the callback gets None when no reply came in time.

        Without an open stream the call waits for one. It may go out twice, when
        a stream is replaced: all control calls are idempotent.
        """
        link = self._links.get(address)
        if link is None:
            # Not at once: the caller may still be setting up what it counts on.
            self._node.timers.after(0.0, callback, None)
            return
        sequence = self._node.next_number()
        timer = self._node.timers.after(timeout, self._give_up, link, sequence)
        link.pending[sequence] = _Pending(call, callback, timer)
        if link.is_open:
            self._send(link, sequence, call)

    def open_second_stream(self, address: str) -> None:
        """Open a second stream beside one that may be silent for good."""
        link = self._links.get(address)
        if link is not None and not link.candidate:
            self._open(link)

    def _give_up(self, link: _Link, sequence: int) -> None:
        pending = link.pending.pop(sequence, None)
        if pending is None:
            return
        pending.timer.cancel()
        pending.callback(None)

    def _send(self, link: _Link, sequence: int, call: ControlCall) -> None:
        self.traffic.calls += 1
        address = link.endpoint.address
        self._node.emit(SendControl(address, link.current, sequence, call))

    def _send_watch(self, link: _Link) -> None:
        link.endpoint.watch_sequence = self._node.next_number()
        link.watch_sent_at = self._node.timers.now
        self._send(link, link.endpoint.watch_sequence, link.watch)

    # -- Opening and closing -------------------------------------------------

    def _open(self, link: _Link) -> None:
        link.retry = None
        if link.candidate:
            return
        link.candidate = self._node.next_number()
        link.candidate_at = self._node.timers.now
        self.traffic.opened += 1
        address = link.endpoint.address
        self._node.emit(OpenControl(address, link.candidate, self._open_timeout))

    def _close(self, link: _Link, stream: int) -> None:
        if stream:
            self._node.emit(CloseControl(link.endpoint.address, stream))

    @property
    def _open_timeout(self) -> float:
        return self._node.tuning.connect_timeout / 2

    def _opened(self, event: ControlOpened) -> None:
        link = self._links.get(event.address)
        if link is None or event.stream != link.candidate:
            return
        self._close(link, link.current)
        link.current, link.candidate = link.candidate, 0
        link.is_open = True
        link.failures = 0
        link.endpoint.control_stream = link.current
        link.endpoint.is_control_open = True
        self._send_watch(link)
        for sequence, pending in list(link.pending.items()):
            self._send(link, sequence, pending.call)

    def _lost(self, event: ControlLost) -> None:
        link = self._links.get(event.address)
        if link is None:
            return
        if event.stream == link.candidate:
            link.candidate = 0
        elif event.stream == link.current:
            link.current = 0
            link.is_open = False
            link.endpoint.control_stream = 0
            link.endpoint.is_control_open = False
        else:
            return
        link.failures += 1
        self._retry_later(link)

    def _retry_later(self, link: _Link) -> None:
        if link.retry is not None:
            return
        highest = min(BACKOFF_MAX, BACKOFF_MIN * 2 ** min(link.failures, 10))
        # Jitter: all hosts lose an endpoint at the same moment and would come
        # back at the same moment, just when it starts again.
        delay = self._node.random.uniform(BACKOFF_MIN / 2, highest)
        link.retry = self._node.timers.after(delay, self._open_again, link)

    def _open_again(self, link: _Link) -> None:
        link.retry = None
        if not link.is_open or self._is_silent(link):
            self._open(link)

    # -- Silence -------------------------------------------------------------

    def _is_silent(self, link: _Link) -> bool:
        return (
            self.time_since_reply(link.endpoint.address) >= self._overdue(link) - 1e-9
        )

    def _overdue(self, link: _Link) -> float:
        return link.watch.interval + self._node.tuning.detection * OVERDUE_SHARE

    def _check(self, link: _Link) -> None:
        """Try a fresh stream when the present one is silent; look again later.

        Something between two ends may lose track of an open connection: it then
        stays silent for good while new ones work. Without a fresh one beside it
        a living primary would be taken for dead.
        """
        if self._is_silent(link) and link.is_open:
            self._probe_silent(link)
        self._drop_stuck_candidate(link)
        link.check = self._node.timers.after(self._check_delay(link), self._check, link)

    def _check_delay(self, link: _Link) -> float:
        """Return when to look again: ever more rarely while an endpoint is silent."""
        silence = self.time_since_reply(link.endpoint.address)
        interval = self._node.tuning.probe_interval
        left = self._overdue(link) - silence
        return max(left, interval, min(silence * PROBE_SHARE, BACKOFF_MAX))

    def _probe_silent(self, link: _Link) -> None:
        self._send(link, self._node.next_number(), ProbeCall())
        if link.retry is None:
            self._open(link)

    def _drop_stuck_candidate(self, link: _Link) -> None:
        opened_for = self._node.timers.now - link.candidate_at
        if link.candidate and opened_for > 2 * self._open_timeout:
            self._close(link, link.candidate)
            link.candidate = 0
            link.failures += 1
            self._retry_later(link)

    # -- Replies -------------------------------------------------------------

    def _replied(self, event: ControlReplied) -> None:
        link = self._links.get(event.address)
        if link is None or event.stream != link.current:
            return  # of a stream that was replaced: older than what is known
        self.traffic.replies += 1
        link.endpoint.last_reply_at = self._node.timers.now
        if event.reply.sequence == link.endpoint.watch_sequence:
            self._measure(link)
        self._on_reply(link.endpoint, event.reply)
        pending = link.pending.pop(event.reply.sequence, None)
        if pending is not None:
            pending.timer.cancel()
            pending.callback(event.reply)

    def _measure(self, link: _Link) -> None:
        """Time a watch's first report, which is sent at once.

        A pause makes one measure long; none is shorter than the way takes. So a
        shorter one counts in full.
        """
        if link.watch_sent_at is None:
            return
        took = self._node.timers.now - link.watch_sent_at
        link.watch_sent_at = None
        if took < link.round_trip:
            link.round_trip = took
        else:
            link.round_trip += ROUND_TRIP_WEIGHT * (took - link.round_trip)
