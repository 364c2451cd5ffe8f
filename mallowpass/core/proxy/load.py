"""Limit the statements that this host sends to an endpoint at once.

An endpoint runs a few statements at a time and queues the others in order of arrival. A
statement in that queue can neither be overtaken by a more urgent one nor be refused any
more, and it delays the statements of open transactions. Each host therefore keeps the
queues of endpoints short, and has statements wait in its own queue instead.
"""

from __future__ import annotations

import math

from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.tables import ConnectionState, EndpointRow, ProxySystem

__all__ = ["Load"]

LATENCY_WEIGHT = 0.1  # weight of the newest statement in the moving average
# Weight of the newest statement in the least latency, if the statement took longer:
# without it, a single quick statement would lower the least latency permanently.
LEAST_WEIGHT = 0.005
# Queue time, in seconds, above which each host limits its statements to its part of the
# endpoint's capacity. The latencies of statements differ by less.
QUEUE_TIME_MAX = 0.1


class Load(ProxySystem):
    """Measure the latency of endpoints, and limit the statements sent to them."""

    __slots__ = ("_holders", "_stalls")

    def start(self) -> None:
        """Look up the systems that this one depends on."""
        self._holders = self._node.system(Holders)
        self._stalls = self._node.system(Stalls)

    def record_latency(self, endpoint: EndpointRow, latency: float) -> None:
        """Record the latency of a statement, in seconds."""
        if endpoint.latency == 0.0:
            endpoint.latency = endpoint.least_latency = latency
            return
        endpoint.latency += LATENCY_WEIGHT * (latency - endpoint.latency)
        if latency < endpoint.least_latency:
            endpoint.least_latency = latency
        else:
            rise = latency - endpoint.least_latency
            endpoint.least_latency += LEAST_WEIGHT * rise

    @staticmethod
    def queue_time(endpoint: EndpointRow) -> float:
        """Return the estimated queue time at an endpoint, in seconds."""
        return endpoint.latency - endpoint.least_latency

    def has_room(self, endpoint: EndpointRow) -> bool:
        """Return whether this host may send an endpoint one more statement."""
        service = endpoint.entry.service
        if not self._holders.holds(service):
            return True  # the holder applies its own limit
        if self.queue_time(endpoint) <= QUEUE_TIME_MAX:
            return True
        return self._running_count(endpoint) < self._running_limit(endpoint)

    def _running_count(self, endpoint: EndpointRow) -> int:
        """Return how many statements of this host occupy an endpoint's slots.

        Commits that no replica acknowledges occupy none: if they counted, reads that
        the endpoint could run would be held back.
        """
        return sum(
            1
            for connection in endpoint.connections.values()
            if connection.pending
            and connection.state is not ConnectionState.OPENING
            and not self._stalls.is_hanging(connection)
        )

    def _running_limit(self, endpoint: EndpointRow) -> int:
        """Return this host's part of the statements that an endpoint may have."""
        service = endpoint.entry.service
        if self._holders.serves_customers(service):
            limit = self._holders.statement_limit(service)
            return max(1, int(limit * self._holders.part_of(endpoint)))
        hosts = max(1, self._holders.holder_count(service))
        return max(1, math.ceil(self._holders.statement_limit(service) / hosts))
