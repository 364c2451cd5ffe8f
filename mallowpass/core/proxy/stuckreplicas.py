"""Resumption of replicas that were left paused.

The host that paused a replica may fail before it resumes the replica. Any host that
finds the replica stuck resumes it.
"""

from __future__ import annotations

from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.resumption import Resumption
from mallowpass.core.proxy.signals import ReplicaStuck
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["StuckReplicas"]

# Seconds over which hosts that find the same replica stuck spread their attempts.
JITTER_MAX = 1.0


class StuckReplicas(ProxySystem):
    """Resume replicas that were left paused."""

    __slots__ = ("_holders", "_promotion", "_resumption")

    def start(self) -> None:
        """Subscribe to reports of stuck replicas."""
        node = self._node
        self._holders = node.system(Holders)
        self._promotion = node.system(Promotion)
        self._resumption = node.system(Resumption)
        node.subscribe(ReplicaStuck, self._on_stuck)

    def _on_stuck(self, signal: ReplicaStuck) -> None:
        delay = self._node.random.uniform(0.0, JITTER_MAX)
        self.timers.after(delay, self._resume_if_stuck, signal.endpoint)

    def _resume_if_stuck(self, endpoint: EndpointRow) -> None:
        service = endpoint.entry.service
        if endpoint.behind_since is None or self._promotion.is_replacing(service):
            return
        if not self.tables.is_current(endpoint):
            return
        if self._holders.holds(service):
            self._resumption.resume_stuck(endpoint)
