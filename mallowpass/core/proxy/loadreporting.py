"""Report the load of this host to the hosts that use it as a holder.

Statements wait at a holder for each endpoint: those of links, and those of its own
callers. Replies to other hosts carry how many wait and for how long, if the other host
was told otherwise before, or not for a while.
"""

from __future__ import annotations

import math
from dataclasses import replace

from mallowpass.core.proxy.holderloads import HolderLoads
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.policy.loadreports import QueueDrain, is_due
from mallowpass.core.proxy.statements import EndpointReply, LoadReport
from mallowpass.core.proxy.tables import (
    EndpointRow,
    GroupRow,
    LinkRow,
    ProxySystem,
    RequestRow,
)

__all__ = ["LoadReporting"]

_NOTHING_WAITS = LoadReport(0, 0.0)


class LoadReporting(ProxySystem):
    """Measure the queues of this host as a holder, and add reports to replies."""

    __slots__ = ("_drains", "_holder_loads", "_holders")

    def start(self) -> None:
        """Start without a measurement."""
        self._holder_loads = self._node.system(HolderLoads)
        self._holders = self._node.system(Holders)
        self._drains: dict[str, QueueDrain] = {}  # by endpoint

    # -- Measuring -----------------------------------------------------------

    def note_link_sent(self, link: LinkRow) -> None:
        """Record that waiting calls of another host are sent."""
        self._note_sent(link.endpoint, link.waiting_since)

    def note_request_sent(self, request: RequestRow, endpoint: EndpointRow) -> None:
        """Record that a waiting statement of a caller of this host is sent.

        A statement that waited for a primary, or between two attempts, shows nothing of
        the queue.
        """
        if not request.was_held and not request.tries:
            self._note_sent(endpoint, request.arrived_at)

    def _note_sent(self, endpoint: EndpointRow, since: float) -> None:
        if since >= self.now or not self._holder_loads.is_in_force:
            return
        if not self._holders.holds(endpoint.entry.service):
            return
        drain = self._drains.get(endpoint.name)
        if drain is None:
            # Endpoints come and go; a new one is the time to forget the others.
            for name in self._drains.keys() - self.tables.endpoints.keys():
                del self._drains[name]
            drain = self._drains[endpoint.name] = QueueDrain()
        drain.note_sent(since, self.now)

    # -- Reporting -----------------------------------------------------------

    def add_report(
        self, link: LinkRow, reply: EndpointReply, waiting: list[LinkRow]
    ) -> EndpointReply:
        """Return a reply to another host, with a load report if one is due.

        `waiting` are the links that wait at this host, for any endpoint.
        """
        if not self._holder_loads.is_in_force:
            return reply
        report = self._report(link.endpoint, waiting)
        if not is_due(link.last_report, link.last_report_at, report, self.now):
            return reply
        if self._holders.are_all_holders(link.endpoint.entry.service):
            return reply  # no host chooses among holders
        link.last_report, link.last_report_at = report, self.now
        self._node.count("load_reports_sent")
        return replace(reply, load=report)

    def _report(self, endpoint: EndpointRow, waiting: list[LinkRow]) -> LoadReport:
        """Return the load of this host at an endpoint."""
        group = self.tables.group(endpoint.entry.service)
        if not waiting and not group.waiting:
            return _NOTHING_WAITS
        since = [link.waiting_since for link in waiting if link.endpoint is endpoint]
        since += self._own_waiting(endpoint, group)
        if not since:
            return _NOTHING_WAITS
        drain = self._drains.get(endpoint.name)
        wait = None if drain is None else drain.wait(len(since), min(since), self.now)
        return LoadReport(len(since), wait)

    def _own_waiting(self, endpoint: EndpointRow, group: GroupRow) -> list[float]:
        """Return since when statements of this host's callers wait for an endpoint.

        Reads that any endpoint may run are divided equally among the group's endpoints.
        """
        waiting = [
            request
            for request in group.waiting
            if request.retry_at <= self.now and not request.was_held
        ]
        reads = sorted(r.arrived_at for r in waiting if not r.primary_only)
        own = reads[: math.ceil(len(reads) / max(1, len(group.endpoints)))]
        if endpoint.name == group.primary:
            own += [r.arrived_at for r in waiting if r.primary_only]
        return own
