"""Replicas that nobody looks after: told to receive by whoever finds one stuck."""

from __future__ import annotations

from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.resumption import Resumption
from mallowpass.core.proxy.signals import ReplicaStuck
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["StuckReplicas"]

JITTER = 1.0  # seconds; hosts that find a replica stuck don't act at once together


class StuckReplicas(ProxySystem):
    """Have replicas receive that were left paused."""

    __slots__ = ("_holders", "_promotion", "_resumption")

    def start(self) -> None:
        """Subscribe to replicas that are stuck."""
        node = self._node
        self._holders = node.system(Holders)
        self._promotion = node.system(Promotion)
        self._resumption = node.system(Resumption)
        node.subscribe(ReplicaStuck, self._on_stuck)

    def _on_stuck(self, signal: ReplicaStuck) -> None:
        pause = self._node.random.uniform(0.0, JITTER)
        self.timers.after(pause, self._repair, signal.endpoint)

    def _repair(self, endpoint: EndpointRow) -> None:
        service = endpoint.entry.service
        if endpoint.behind_since is None or self._promotion.is_replacing(service):
            return
        if not self.tables.is_current(endpoint):
            return
        if self._holders.holds(service):
            self._resumption.repair(endpoint)
