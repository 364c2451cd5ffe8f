"""Base class of the parts of Pooling."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mallowpass.core.node import Node
from mallowpass.core.tables import ConnectionRow, Tables
from mallowpass.core.timers import TimerService

if TYPE_CHECKING:
    from mallowpass.core.systems.pooling import Pooling

__all__ = ["PoolPart"]


class PoolPart:
    """Base class of the parts of Pooling; holds what each of them works with."""

    __slots__ = ("_connections", "_node", "_pooling")

    def __init__(self, node: Node, pooling: Pooling) -> None:
        self._node = node
        self._pooling = pooling
        self._connections: dict[int, ConnectionRow] = node.tables.connections

    @property
    def tables(self) -> Tables:
        """Return the node's tables."""
        return self._node.tables

    @property
    def timers(self) -> TimerService:
        """Return the node's timer service."""
        return self._node.timers

    @property
    def now(self) -> float:
        """Return the time of the event being handled, in seconds."""
        return self._node.timers.now
