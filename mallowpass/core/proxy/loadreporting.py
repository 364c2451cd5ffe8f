"""Report the load of this host to the hosts that use it as a holder.

Statements wait at a holder for each endpoint: those of links, and those of its own
callers. Replies to other hosts carry how many wait and for how long, if the other host
was told otherwise before, or not for a while.
"""

from __future__ import annotations

import math
from dataclasses import replace

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.holderloads import HolderLoads
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.policy.loadreports import CACHE_TIME, is_due
from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.statements import EndpointReply, LoadReport
from mallowpass.core.proxy.tables import (
    EndpointRow,
    GroupRow,
    LinkRow,
    ProxySystem,
)
from mallowpass.core.proxy.writeholds import WriteHolds

__all__ = ["LoadReporting"]

_NOTHING_WAITS = LoadReport(0, 0.0)


class LoadReporting(ProxySystem):
    """Add reports of the queues of this host as a holder to replies."""

    __slots__ = (
        "_admission",
        "_cached",
        "_holder_loads",
        "_holders",
        "_routing",
        "_write_holds",
    )

    def start(self) -> None:
        """Start without a report."""
        self._admission = self._node.system(AdmissionControl)
        self._holder_loads = self._node.system(HolderLoads)
        self._holders = self._node.system(Holders)
        self._routing = self._node.system(Routing)
        self._write_holds = self._node.system(WriteHolds)
        # The last report of each endpoint, and when it was computed.
        self._cached: dict[EndpointRow, tuple[float, LoadReport]] = {}

    # -- Reporting -----------------------------------------------------------

    def add_report(
        self, link: LinkRow, reply: EndpointReply, waiting: list[LinkRow]
    ) -> EndpointReply:
        """Return a reply to another host, with a load report if one is due.

        A refusal keeps the load that it is for. `waiting` are the links that wait at
        this host, for any endpoint.
        """
        if not self._holder_loads.is_in_force:
            return reply
        if reply.load is None:
            if self._holders.are_all_holders(link.endpoint.entry.service):
                return reply  # no host chooses among holders
            report = self._report(link.endpoint, waiting)
            if not is_due(link.last_report, link.last_report_at, report, self.now):
                return reply
            reply = replace(reply, load=report)
        link.last_report, link.last_report_at = reply.load, self.now
        self._node.count("load_reports_sent")
        return reply

    def load_after_wait(
        self, link: LinkRow, waiting: list[LinkRow]
    ) -> LoadReport | None:
        """Return the load for which a link is refused that has waited in vain.

        The link has left the queue, and may have been the only one. Its wait counts, as
        a holder that refuses all calls would otherwise appear unloaded.
        """
        if not self._holder_loads.is_in_force:
            return None
        report = self._measure(link.endpoint, waiting)
        waited = self.now - link.waiting_since
        return LoadReport(report.queued + 1, max(report.wait or 0.0, waited))

    def _report(self, endpoint: EndpointRow, waiting: list[LinkRow]) -> LoadReport:
        """Return the load of this host at an endpoint, as of a moment ago."""
        group = self.tables.group(endpoint.entry.service)
        if not waiting and not group.waiting:
            return _NOTHING_WAITS
        cached = self._cached.get(endpoint)
        if cached is not None and self.now < cached[0] + CACHE_TIME:
            return cached[1]
        if cached is None:
            # Endpoints come and go; a new one is the time to forget the others.
            rows = set(self.tables.endpoints.values())
            for row in self._cached.keys() - rows:
                del self._cached[row]
        report = self._measure(endpoint, waiting)
        self._cached[endpoint] = (self.now, report)
        return report

    def _measure(self, endpoint: EndpointRow, waiting: list[LinkRow]) -> LoadReport:
        """Return the load of this host at an endpoint.

        The measured rate is that of links, while statements of this host's callers may
        be sent in between. So the wait is known only behind other links.
        """
        group = self.tables.group(endpoint.entry.service)
        links = sum(1 for link in waiting if link.endpoint is endpoint)
        queued = links + self._own_waiting(endpoint, group)
        if not queued:
            return _NOTHING_WAITS
        wait = self._admission.link_wait(endpoint, links) if links else None
        return LoadReport(queued, wait)

    def _own_waiting(self, endpoint: EndpointRow, group: GroupRow) -> int:
        """Return how many statements of this host's callers wait for an endpoint.

        Reads that any endpoint may run are divided equally among the group's endpoints.
        Statements that wait for a floor, for a primary or for held writes are not in
        the way of others.
        """
        if not group.waiting:
            return 0
        is_primary = endpoint.name == group.primary
        is_held = is_primary and self._write_holds.is_held(endpoint)
        reads = at_primary = 0
        for request in group.waiting:
            if request.retry_at > self.now or request.was_held:
                continue
            if request.primary_only:
                at_primary += not (is_held and request.needs_primary)
            elif self._routing.required_floor(request, group) is not None:
                reads += 1
        own = math.ceil(reads / max(1, len(group.endpoints)))
        return own + at_primary if is_primary else own
