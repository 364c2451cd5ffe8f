"""Admission control by expected wait, at the host of a caller and at holders.

Each host measures how fast its queues drain: the queues of its groups, and as a holder
the queue of the calls that other hosts forward to each endpoint. A statement that can't
be served within the time that it is of use is refused at once, with the time after
which to retry. All other statements keep waiting.

The system only decides; `requests` and `links` own the queues and refuse. Without
`overload_control` it does nothing, and a statement is refused once it has waited for a
fixed time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.holderloads import HolderLoads
from mallowpass.core.proxy.policy.admission import (
    MOST_URGENT,
    RecentRefusals,
    longest_wait,
    retry_delay,
    retry_message,
    useful_until,
)
from mallowpass.core.proxy.policy.dispatch import urgency
from mallowpass.core.proxy.policy.waitestimate import DrainRate, expected_wait
from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.signals import (
    EndpointExpired,
    EndpointRestarted,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import EndpointReply, LoadReport
from mallowpass.core.proxy.tables import (
    EndpointRow,
    GroupRow,
    LinkRow,
    ProxySystem,
    RequestRow,
)

__all__ = ["AdmissionControl"]

# Times in seconds.
# Subtracted from the time for which an answer is of use when a holder is told of it, so
# that its refusal arrives before the caller's timeout. The way to a holder in another
# region and back takes 24 ms.
LINK_MARGIN = 0.03
# The overload of a group has ended once nothing was refused for this time.
OVERLOAD_END = 2.0


@dataclass(slots=True, eq=False)
class _Queue:
    """What is measured of one queue."""

    rate: DrainRate = field(default_factory=DrainRate)
    refusals: RecentRefusals = field(default_factory=RecentRefusals)


class AdmissionControl(ProxySystem):
    """Decide which statements wait, by how long they would wait.

    The statements of a group that only its primary may run are a queue of their own.
    With one rate for all, reads that replicas serve would make the primary appear fast,
    and a full primary would have reads refused for which replicas have room.
    """

    __slots__ = (
        "_holder_loads",
        "_last_refusals",
        "_link_queues",
        "_queues",
        "_routing",
        "_waiting_services",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # By service, and by whether only the primary may run the statements.
        self._queues: dict[tuple[str, bool], _Queue] = {}
        self._waiting_services: set[str] = set()  # those with anything in a queue
        self._link_queues: dict[EndpointRow, _Queue] = {}
        # When a statement of a service was last refused, while its overload lasts.
        self._last_refusals: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to the signals after which a measurement no longer applies."""
        self._holder_loads = self._node.system(HolderLoads)
        self._routing = self._node.system(Routing)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(EndpointRestarted, self._on_restarted)

    @property
    def is_active(self) -> bool:
        """Return whether statements are refused by their expected wait."""
        return self.tables.overload_control

    @property
    def measures_links(self) -> bool:
        """Return whether queues of links are measured, for refusals or load reports."""
        return self._holder_loads.is_in_force

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        self._queues.pop((signal.group.service, True), None)

    def _on_expired(self, signal: EndpointExpired) -> None:
        self._link_queues.pop(signal.endpoint, None)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        self._link_queues.pop(signal.previous, None)

    # -- Statements of this host's callers ------------------------------------

    def note_queue(self, group: GroupRow) -> None:
        """Record what waits in the queues of a group."""
        if not self.is_active:
            return
        service = group.service
        if not group.waiting:
            # On most calls nothing waits, and nothing did before.
            if service not in self._waiting_services:
                return
            self._waiting_services.remove(service)
        else:
            self._waiting_services.add(service)
        waiting = {request.primary_only for request in group.waiting}
        for primary_only in (False, True):
            queue = self._queue(group, primary_only)
            queue.rate.note_queue(self.now, primary_only in waiting)

    def note_sent(self, request: RequestRow, group: GroupRow) -> None:
        """Record that a statement leaves the queue to be sent."""
        if self.is_active and group.service in self._waiting_services:
            self._queue(group, request.primary_only).rate.note_sent(self.now)

    def turned_away(
        self, group: GroupRow, waits_for_load: Callable[[RequestRow, GroupRow], bool]
    ) -> Iterator[tuple[RequestRow, str]]:
        """Return the waiting statements to refuse, each with the text of its refusal.

        The statements that only the primary may run, and the others, each keep their
        first. `waits_for_load` tells whether a statement waits for nothing else than a
        connection.
        """
        if not self.is_active or len(group.waiting) < 2:
            return
        lanes = (False, True)
        rates = {lane: self._queue(group, lane).rate.rate(self.now) for lane in lanes}
        service_times = {lane: _service_time(group, lane) for lane in lanes}
        ahead = dict.fromkeys(lanes, 0)  # those refused before are not in the way
        for request in list(group.waiting):
            if request.finished:
                continue  # a caller that was refused before has sent its next statement
            lane = request.primary_only
            wait = expected_wait(ahead[lane], rates[lane])
            if (
                not ahead[lane]
                or wait is None
                or self._fits(request, wait, service_times[lane])
                or not waits_for_load(request, group)
            ):
                ahead[lane] += 1
            else:
                yield request, self._note_refused(request, group, wait)

    def refusal_on_arrival(
        self,
        request: RequestRow,
        group: GroupRow,
        reported_wait: float | None = None,
    ) -> str:
        """Return the text with which to refuse a statement unqueued; empty: queue it.

        `reported_wait` is the shortest wait, in seconds, that the holders of the usable
        endpoints report; None: not known.
        """
        if not self.is_active:
            return ""
        position = self._position(request, group)
        wait = self._wait_at(group, request, position)
        if reported_wait is not None:
            wait = reported_wait + (wait if wait is not None and position else 0.0)
            service_time = _service_time(group, request.primary_only, without_wait=True)
            if self._fits(request, wait, service_time):
                return ""
            return self._note_refused(request, group, wait)
        if wait is None or not position:
            return ""
        if self._fits(request, wait, _service_time(group, request.primary_only)):
            return ""
        queue = self._queue(group, request.primary_only)
        if not queue.refusals.applies(request.route.priority, wait, self.now):
            return ""
        return self._note_refused(request, group, wait, "recent-refusal")

    def decides(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether the expected wait of a statement is known.

        It replaces the fixed time for which the statement may wait for load.
        """
        return self.is_active and self._wait_at(group, request, 0) is not None

    def observe_wait(self, request: RequestRow, group: GroupRow) -> None:
        """Record the expected wait of a statement that was queued."""
        if not self.is_active:
            return
        wait = self._wait_at(group, request, self._position(request, group))
        if wait is not None:
            self._observe(group.service, wait)

    def keeps_trying(
        self, request: RequestRow, group: GroupRow, reply: EndpointReply
    ) -> bool | None:
        """Return whether to try a statement again that a full holder refused.

        The most urgent statements are tried for as long as an answer is of use, others
        once at each endpoint. None: the fixed time holds.
        """
        if not self.is_active or request.was_held:
            return None
        if request.route.priority == MOST_URGENT:
            service_time = _service_time(group, request.primary_only)
            return self._fits(request, 0.0, service_time)
        if reply.load is None or reply.load.wait is None:
            return None
        return self._routing.has_untried(request, group)

    def with_retry_time(
        self, request: RequestRow, why: str, load: LoadReport | None = None
    ) -> str:
        """Return the text of a refusal, with the time after which to retry.

        `load` is the load for which a holder refused the statement, if one did.
        """
        if not self.is_active:
            return why
        group = self.tables.group(request.route.service)
        wait = self._wait_at(group, request, self._position(request, group))
        if load is not None and load.wait is not None:
            wait = load.wait
        elif wait is None:
            wait = self.now - request.arrived_at
        return self._with_retry_time(why, wait, request.route.priority)

    def time_left(self, request: RequestRow) -> float | None:
        """Return how long a reply is of use to a statement that a holder forwards."""
        if not self.is_active or not request.connection.accepts_time_left:
            return None
        return max(0.0, useful_until(request) - LINK_MARGIN - self.now)

    def _queue(self, group: GroupRow, primary_only: bool) -> _Queue:
        key = (group.service, primary_only)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue()
        return queue

    def _position(self, request: RequestRow, group: GroupRow) -> int:
        """Return the number of statements that wait before one, queued or not."""
        key = urgency(request)
        return sum(
            other is not request
            and other.primary_only is request.primary_only
            and urgency(other) <= key
            for other in group.waiting
        )

    def _wait_at(
        self, group: GroupRow, request: RequestRow, position: int
    ) -> float | None:
        rate = self._queue(group, request.primary_only).rate.rate(self.now)
        return expected_wait(position, rate)

    def _fits(self, request: RequestRow, wait: float, service_time: float) -> bool:
        """Return whether a statement can use its answer after an expected wait."""
        longest = longest_wait(wait, request.route.priority, self._is_new(request))
        return self.now + longest + service_time <= useful_until(request)

    def _is_new(self, request: RequestRow) -> bool:
        return request.queued_at in (0.0, self.now)

    def _note_refused(
        self, request: RequestRow, group: GroupRow, wait: float, why: str = ""
    ) -> str:
        """Record a refusal for an expected wait, and return its text."""
        if not why:
            why = "expected-wait" if self._is_new(request) else "waited"
        priority = request.route.priority
        queue = self._queue(group, request.primary_only)
        queue.refusals.note(priority, wait, self.now)
        if why != "waited":
            self._observe(group.service, wait)
        self._count_refusal(group, why, wait, len(group.waiting))
        endpoints = "primary is" if request.primary_only else "endpoints are"
        text = f"its {endpoints} overloaded, the expected wait is {_ms(wait)} ms"
        return self._with_retry_time(text, wait, priority)

    # -- Calls that other hosts forward ---------------------------------------

    def note_link_queue(self, endpoint: EndpointRow, is_waiting: bool) -> None:
        """Record whether any call of other hosts waits for an endpoint."""
        if self.measures_links:
            self._link_queue(endpoint).rate.note_queue(self.now, is_waiting)

    def note_link_sent(self, endpoint: EndpointRow) -> None:
        """Record that calls of another host leave the queue of an endpoint."""
        if self.measures_links:
            self._link_queue(endpoint).rate.note_sent(self.now)

    def comes_after_own(self, link: LinkRow) -> bool:
        """Return whether a more urgent statement of this host's callers waits.

        Only statements count that the endpoint of the link may run.
        """
        if not self.is_active:
            return False
        group = self.tables.group(link.endpoint.entry.service)
        key = (link.priority, link.waiting_since)
        is_primary = link.endpoint.name == group.primary
        for request in group.waiting:
            if request.route.priority > link.priority:
                break
            if (
                (request.route.priority, request.arrived_at) < key
                and request.retry_at <= self.now
                and (is_primary or not request.primary_only)
            ):
                return True
        return False

    def link_wait(self, endpoint: EndpointRow, queued: int) -> float | None:
        """Return the expected wait of a call after `queued` others; None: unknown."""
        return expected_wait(queued, self._link_queue(endpoint).rate.rate(self.now))

    def links_turned_away(
        self, endpoint: EndpointRow, waiting: Sequence[LinkRow]
    ) -> Iterator[tuple[LinkRow, str, LoadReport]]:
        """Return the links whose calls to refuse, each with the text and the load.

        `waiting` are the links that wait for an endpoint, in the order of the queue.
        The first one stays.
        """
        if not self.is_active:
            return
        ahead = 0
        for link in waiting:
            wait = self.link_wait(endpoint, ahead)
            is_new = link.waiting_since == self.now
            if not ahead or wait is None or self._link_fits(link, wait, is_new):
                ahead += 1
                continue
            why = "expected-wait" if is_new else "waited"
            yield link, *self._note_link_refused(link, wait, len(waiting), why)

    def link_refusal_on_arrival(
        self, link: LinkRow, waiting: Sequence[LinkRow]
    ) -> tuple[str, LoadReport] | None:
        """Return the text and the load with which to refuse calls unqueued, if any."""
        if not self.is_active or link.useful_until is None:
            return None
        ahead = sum(other.priority <= link.priority for other in waiting)
        wait = self.link_wait(link.endpoint, ahead)
        if wait is None or not ahead or self._link_fits(link, wait, is_new=True):
            return None
        queue = self._link_queue(link.endpoint)
        if not queue.refusals.applies(link.priority, wait, self.now):
            return None
        return self._note_link_refused(link, wait, len(waiting), "recent-refusal")

    def link_may_wait(self, link: LinkRow) -> float | None:
        """Return the seconds for which calls may wait on; None: not by an estimate.

        Without a measurement the fixed wait holds, so that the other host can try
        another holder.
        """
        if not self.is_active or link.useful_until is None:
            return None
        if self.link_wait(link.endpoint, 0) is None:
            return None
        remaining = link.useful_until - link.endpoint.latency - self.now
        return remaining if remaining > 0.0 else None

    def _link_queue(self, endpoint: EndpointRow) -> _Queue:
        queue = self._link_queues.get(endpoint)
        if queue is None:
            queue = self._link_queues[endpoint] = _Queue()
        return queue

    def _link_fits(self, link: LinkRow, wait: float, is_new: bool) -> bool:
        if link.useful_until is None:
            return True  # the fixed wait holds
        longest = longest_wait(wait, link.priority, is_new)
        return self.now + longest + link.endpoint.latency <= link.useful_until

    def _note_link_refused(
        self, link: LinkRow, wait: float, queued: int, why: str
    ) -> tuple[str, LoadReport]:
        endpoint = link.endpoint
        queue = self._link_queue(endpoint)
        queue.refusals.note(link.priority, wait, self.now)
        group = self.tables.group(endpoint.entry.service)
        self._count_refusal(group, why, wait, queued)
        # The other host adds the time to retry, as it may try another holder before.
        text = f"the endpoint is overloaded, the expected wait is {_ms(wait)} ms"
        return text, LoadReport(queued, wait)

    # -- Log and metrics ------------------------------------------------------

    def _with_retry_time(self, why: str, wait: float, priority: int) -> str:
        delay = retry_delay(wait, priority, self._node.random.random())
        return retry_message(why, delay)

    def _observe(self, service: str, wait: float) -> None:
        self._node.observe("expected_wait_seconds", wait, service=service)

    def _count_refusal(
        self, group: GroupRow, why: str, wait: float, queued: int
    ) -> None:
        service = group.service
        self._node.count("admission_refused", why=why)
        if service not in self._last_refusals:
            self._node.log(
                "warning",
                "overload_began",
                service=service,
                expected_wait=round(wait, 3),
                queued=queued,
            )
            self.timers.after(OVERLOAD_END, self._check_end, group, queued)
        self._last_refusals[service] = self.now

    def _check_end(self, group: GroupRow, queued: int) -> None:
        """Log the end of an overload once nothing was refused for a while."""
        service = group.service
        end = self._last_refusals[service] + OVERLOAD_END
        if self.now < end:
            self.timers.at(end, self._check_end, group, queued)
            return
        del self._last_refusals[service]
        rates = [self._queue(group, lane).rate.rate(self.now) for lane in (False, True)]
        waits = [expected_wait(len(group.waiting), rate) for rate in rates]
        known = [wait for wait in waits if wait is not None]
        self._node.log(
            "info",
            "overload_ended",
            service=service,
            expected_wait=round(max(known, default=0.0), 3),
            queued=len(group.waiting),
        )


def _service_time(
    group: GroupRow, primary_only: bool, without_wait: bool = False
) -> float:
    """Return the usual time from the sending of a statement to its answer.

    The latencies that a host measures contain the waits at holders, unless the latency
    of statements that did not queue is taken by `without_wait`.
    """
    endpoints = list(group.endpoints.values())
    primary = group.primary_row
    if primary_only and primary is not None and primary.latency:
        endpoints = [primary]
    latencies = [
        endpoint.least_latency if without_wait else endpoint.latency
        for endpoint in endpoints
        if endpoint.latency
    ]
    return sum(latencies) / len(latencies) if latencies else 0.0


def _ms(seconds: float) -> int:
    return round(1000 * seconds)
