"""Share the slots of endpoints fairly among the customers whose statements wait.

In force where the configuration has customers. A host that queues statements for a
group, and a holder that queues the calls of links for an endpoint, each share fairly
what passes through them, by tags in their own memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import CONNECT_TIMEOUT
from mallowpass.core.proxy.events import ConnectionReady
from mallowpass.core.proxy.policy.dispatch import link_urgency, urgency
from mallowpass.core.proxy.policy.fairqueue import FairQueue, offer_order, quantum
from mallowpass.core.proxy.signals import ConfigurationAccepted
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    GroupRow,
    LinkRow,
    ProxySystem,
    RequestRow,
)
from mallowpass.core.records import record
from mallowpass.core.timers import Timer

__all__ = ["FairSharing"]

# Cost of a statement, and of opening a connection, before any was measured: seconds.
DEFAULT_COST = 0.03
DEFAULT_OPENING_TIME = 0.012
OPENING_WEIGHT = 0.1  # weight of the newest opening in the moving average
# Seconds between two reports. One effect for each statement would cost more than the
# queue itself.
REPORT_INTERVAL = 5.0
LABELS_MAX = 20  # customers with a label of their own in metrics
OTHER_LABEL = "other"


@record
class _Tagging:
    """Describe the queue and the customer for which a statement was tagged."""

    queue: FairQueue
    customer: str
    weight: float
    arrived_at: float


class FairSharing(ProxySystem):
    """Tag the waiting statements of customers, and account for those that are sent.

    It is started before the system of connections, so that it learns that a connection
    is open before a statement is sent on it.
    """

    __slots__ = (
        "_charges",
        "_delayed",
        "_labels",
        "_newest_sent",
        "_opening_times",
        "_queues",
        "_report_timer",
        "_seconds",
        "_tagged",
        "_unused",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # By service, name of the endpoint (empty: the group), and priority.
        self._queues: dict[tuple[str, str, int], FairQueue] = {}
        # Statements with a tag: those that wait, and those that were sent and may be
        # refused unrun.
        self._tagged: dict[RequestRow | LinkRow, _Tagging] = {}
        self._charges: dict[RequestRow | LinkRow, float] = {}  # of those that wait
        self._newest_sent: dict[FairQueue, float] = {}  # newest arrival that was sent
        self._opening_times: dict[str, float] = {}  # moving averages, by service
        self._unused: set[int] = set()  # open connections that ran no statement yet
        self._labels: dict[str, str] = {}
        self._seconds: Counter[str] = Counter()  # since the last report, by label
        self._delayed: Counter[str] = Counter()  # statements, likewise
        self._report_timer: Timer | None = None

    def start(self) -> None:
        """Subscribe to opened connections and new configurations."""
        self._node.subscribe(ConnectionReady, self._on_ready)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)

    @property
    def is_in_force(self) -> bool:
        """Return whether the configuration has customers."""
        configuration = self.tables.configuration
        return configuration is not None and bool(configuration.customers)

    # -- Tags ----------------------------------------------------------------

    def enter_request(self, request: RequestRow) -> None:
        """Tag a statement that is queued; one that was refused unrun keeps its tag."""
        if request not in self._tagged:
            self._tag(request, self._request_key(request), request.arrived_at)

    def enter_link(self, link: LinkRow) -> None:
        """Tag the calls of a link that is queued."""
        self._tag(link, _link_key(link), link.waiting_since)

    def _tag(
        self, row: RequestRow | LinkRow, key: tuple[str, str, int], arrived_at: float
    ) -> None:
        customer = row.customer
        if customer is None or not self.is_in_force:
            row.start_tag = 0.0
            self._tagged.pop(row, None)
            return
        queue = self._queue(key)
        weight, cost = self._weight(customer), self._cost(key[0])
        self._tagged[row] = _Tagging(queue, customer, weight, arrived_at)
        self._charges[row] = cost
        row.start_tag = queue.tag(customer, weight, cost, self.now)

    def leave(self, row: RequestRow | LinkRow) -> None:
        """Drop a statement's tag, and give back its charge if it was not sent.

        Called when a statement ends, and before it is queued again after it ran.
        """
        tagging = self._tagged.pop(row, None)
        cost = self._charges.pop(row, None)
        if tagging is not None and cost is not None:
            tagging.queue.charge(tagging.customer, tagging.weight, -cost, self.now)

    def note_sent(self, row: RequestRow | LinkRow, connection: ConnectionRow) -> None:
        """Account for a statement that leaves the queue on a connection."""
        tagging = self._tagged.get(row)
        if tagging is None:
            return  # not of a customer
        queue, customer = tagging.queue, tagging.customer
        # None: it was sent before and refused unrun.
        cost = self._charges.pop(row, None)
        seconds = cost or 0.0
        if cost is not None:
            queue.note_sent(row.start_tag)
            newest = self._newest_sent.get(queue, tagging.arrived_at)
            if tagging.arrived_at < newest:
                self._delayed[self._label(customer)] += 1
            self._newest_sent[queue] = max(newest, tagging.arrived_at)
        if connection.number in self._unused:
            self._unused.remove(connection.number)
            opening_time = self._opening_time(connection.endpoint.entry.service)
            queue.charge(customer, tagging.weight, opening_time, self.now)
            seconds += opening_time
        if seconds:
            self._add_seconds(customer, seconds)

    def charge_request(self, request: RequestRow) -> None:
        """Charge for a statement of an open transaction, which does not wait."""
        if request.statement.takes_slot:
            self._charge_unqueued(request.customer, self._request_key(request))

    def charge_link(self, link: LinkRow) -> None:
        """Charge for the calls in an open transaction of a link, which do not wait."""
        if any(call.statement.takes_slot for call in link.waiting):
            self._charge_unqueued(link.customer, _link_key(link))

    def _charge_unqueued(self, customer: str | None, key: tuple[str, str, int]) -> None:
        if customer is None or not self.is_in_force:
            return
        cost = self._cost(key[0])
        self._queue(key).charge(customer, self._weight(customer), cost, self.now)
        self._add_seconds(customer, cost)

    # -- Order ---------------------------------------------------------------

    def request_order(
        self, group: GroupRow, can_be_sent: Callable[[RequestRow], bool]
    ) -> list[RequestRow]:
        """Return a group's waiting statements in the order in which to try them."""
        if len(group.waiting) < 2 or not self.is_in_force:
            return list(group.waiting)
        idle = Counter(
            (connection.customer, endpoint.name == group.primary)
            for endpoint in group.endpoints.values()
            for connection in endpoint.connections.values()
            if _is_idle_of_customer(connection)
        )
        # Made on each arrival, with hundreds of statements in the queue: most customers
        # that wait have no idle connection.
        with_idle = {customer for customer, _ in idle}
        candidates = [r for r in group.waiting if r.session.customer in with_idle]
        if not candidates:
            return list(group.waiting)
        return offer_order(
            group.waiting,
            idle,
            urgency,
            lambda request: (request.customer, request.primary_only),
            lambda request: self._quantum(request.customer, group.service),
            can_be_sent,
            candidates,
        )

    def link_order(
        self, waiting: list[LinkRow], endpoint: EndpointRow
    ) -> list[LinkRow]:
        """Return the links that wait for an endpoint, in the order to try them."""
        links = [link for link in waiting if link.endpoint is endpoint]
        if len(links) < 2 or not self.is_in_force:
            return links
        idle = Counter(
            connection.customer
            for connection in endpoint.connections.values()
            if _is_idle_of_customer(connection)
        )
        if not idle:
            return links
        service = endpoint.entry.service
        return offer_order(
            links,
            idle,
            link_urgency,
            lambda link: link.customer,
            lambda link: self._quantum(link.customer, service),
        )

    # -- Costs ---------------------------------------------------------------

    def _request_key(self, request: RequestRow) -> tuple[str, str, int]:
        return (request.route.service, "", urgency(request)[0])

    def _queue(self, key: tuple[str, str, int]) -> FairQueue:
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = FairQueue()
        return queue

    def _weight(self, customer: str) -> float:
        known = self.tables.configuration.customers.get(customer)
        return 1.0 if known is None else known.weight

    def _cost(self, service: str) -> float:
        """Return the mean time that a group's endpoints take for a statement."""
        endpoints = self.tables.group(service).endpoints.values()
        measured = [e.latency for e in endpoints if e.latency]
        return sum(measured) / len(measured) if measured else DEFAULT_COST

    def _opening_time(self, service: str) -> float:
        return self._opening_times.get(service, DEFAULT_OPENING_TIME)

    def _quantum(self, customer: str, service: str) -> float:
        return quantum(self._opening_time(service), self._weight(customer))

    def _on_ready(self, event: ConnectionReady) -> None:
        """Measure how long it took to open a connection of a customer.

        After a pause of this host it seems to have taken as long as the pause.
        """
        connection = self.tables.connections.get(event.connection)
        if connection is None or connection.customer is None or not self.is_in_force:
            return
        service = connection.endpoint.entry.service
        elapsed = min(self.now - connection.opened_at, CONNECT_TIMEOUT)
        before = self._opening_times.get(service, elapsed)
        self._opening_times[service] = before + OPENING_WEIGHT * (elapsed - before)
        self._unused.add(connection.number)
        self._schedule_report()

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        """Return to the order of arrival once the configuration has no customers.

        Statements with tags would otherwise wait for all later ones, which have none.
        """
        if self.is_in_force:
            customers = self.tables.configuration.customers
            for customer in [name for name in self._labels if name not in customers]:
                del self._labels[customer]
            return
        for row in self._tagged:
            row.start_tag = 0.0
        self._tagged.clear()
        self._charges.clear()
        self._queues.clear()
        self._newest_sent.clear()
        for group in self.tables.groups.values():
            group.waiting.sort(key=urgency)

    # -- Reports -------------------------------------------------------------

    def _add_seconds(self, customer: str, cost: float) -> None:
        self._seconds[self._label(customer)] += cost
        self._schedule_report()

    def _label(self, customer: str) -> str:
        label = self._labels.get(customer)
        if label is None and len(self._labels) < LABELS_MAX:
            label = self._labels[customer] = customer
        return label or OTHER_LABEL

    def _schedule_report(self) -> None:
        if self._report_timer is None:
            self._report_timer = self.timers.after(REPORT_INTERVAL, self._report)

    def _report(self) -> None:
        """Emit what was accounted since the last report, and drop what has ended."""
        self._report_timer = None
        for label, seconds in self._seconds.items():
            self._node.count("fair_share_seconds", seconds, customer=label)
        for label, statements in self._delayed.items():
            self._node.count("fair_share_delayed", statements, customer=label)
        if self._delayed:
            ((customer, statements),) = self._delayed.most_common(1)
            self._node.log(
                "info",
                "fair_share_delayed",
                statements=self._delayed.total(),
                customers=len(self._delayed),
                most_delayed=customer,
                of_it=statements,
                seconds=round(self._seconds[customer], 3),
                seconds_of_all=round(self._seconds.total(), 3),
            )
        self._seconds.clear()
        self._delayed.clear()
        self._unused.intersection_update(self.tables.connections)
        for key in list(self._queues):
            # Links to an endpoint are closed when it is gone.
            if key[1] and key[1] not in self.tables.endpoints:
                self._newest_sent.pop(self._queues.pop(key), None)


def _link_key(link: LinkRow) -> tuple[str, str, int]:
    entry = link.endpoint.entry
    return (entry.service, entry.name, link.priority)


def _is_idle_of_customer(connection: ConnectionRow) -> bool:
    is_idle = connection.state is ConnectionState.IDLE
    return is_idle and connection.customer is not None
