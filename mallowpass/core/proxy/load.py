"""How many statements this host runs at an endpoint at once.

An endpoint runs a few statements at a time and queues the others, first come, first
served. Whatever waits there can't be put behind what is more urgent, nor be refused
any more, and makes each statement of an open transaction wait as well. So a host keeps
that queue short: what has to wait waits here.
"""

from __future__ import annotations

import math

from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.tables import ConnectionState, EndpointRow, ProxySystem

__all__ = ["Load"]

LATENCY_WEIGHT = 0.1  # of the newest measurement in the moving average
# Part of the way to the newest measurement that the least latency moves, so that one
# lucky statement does not count for ever.
LEAST_WEIGHT = 0.005
# What statements wait at an endpoint, in seconds, until each host keeps to its part. It
# is beyond what statements differ by.
QUEUE_TIME_MAX = 0.1


class Load(ProxySystem):
    """Measure endpoints, and tell whether they may get more to do."""

    __slots__ = ("_holders", "_stalls")

    def start(self) -> None:
        """Find the systems that are asked."""
        self._holders = self._node.system(Holders)
        self._stalls = self._node.system(Stalls)

    def record_latency(self, endpoint: EndpointRow, latency: float) -> None:
        """Record how long a statement took, in seconds."""
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
        """Return how long statements wait at an endpoint, in seconds."""
        return endpoint.latency - endpoint.least_latency

    def has_room(self, endpoint: EndpointRow) -> bool:
        """Tell whether this host may send an endpoint one more statement."""
        service = endpoint.entry.service
        if not self._holders.holds(service):
            return True  # that is for the holder to say
        if self.queue_time(endpoint) <= QUEUE_TIME_MAX:
            return True
        return self._running(endpoint) < self._part(endpoint)

    def _running(self, endpoint: EndpointRow) -> int:
        """Return how many statements of this host an endpoint works on.

        Commits that no replica acknowledges take none of its slots. Counted, they would
        leave no room for reads that it could run.
        """
        return sum(
            1
            for connection in endpoint.connections.values()
            if connection.pending
            and connection.state is not ConnectionState.OPENING
            and not self._stalls.is_hanging(connection)
        )

    def _part(self, endpoint: EndpointRow) -> int:
        """Return this host's part of the statements that a full endpoint has."""
        service = endpoint.entry.service
        hosts = max(1, self._holders.holder_count(service))
        return max(1, math.ceil(self._holders.statements(service) / hosts))
