"""Orders to members whose answers are lost, or that are carried out late."""

from __future__ import annotations

import random

from mallowpass.core.proxy.statements import Demote, EndpointCall, Pause, Resume
from mallowpass.standins.proxied.connections import ReplicaConnection

__all__ = ["OrderFaults"]


class OrderFaults:
    """Hold what becomes of orders to members right now."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.share = 0.0  # of the orders, that get no answer
        self.late = 0.0  # seconds, at most, until those are carried out
        self.late_min = 0.0  # seconds, at least

    def strike(self, connection: ReplicaConnection, call: EndpointCall) -> bool:
        """Have an order get no answer, by chance; tell whether it is taken care of."""
        if not isinstance(call.statement, Pause | Resume | Demote):
            return False
        if self._random.random() >= self.share:
            return False
        connection.silent = True
        if self.late:
            connection.send_late(call, self._random.uniform(self.late_min, self.late))
        return bool(self.late)
