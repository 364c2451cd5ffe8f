"""Telling of rows that can't be used, without repeating it."""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.storage import RowKey

__all__ = ["UnreadableRows"]


REASON_MAX = 200  # characters; a row may hold many thousands


class UnreadableRows:
    """Log rows of one table that can't be used, each once until its reason changes.

    Another writer may write its row every second, and each host is told each time.
    """

    __slots__ = ("_event", "_node", "_reasons")

    def __init__(self, node: Node, event: str) -> None:
        self._node = node
        self._event = event
        self._reasons: dict[RowKey, str] = {}

    def note(self, key: RowKey, reason: str) -> None:
        """Log that a row can't be used, unless that is known."""
        reason = reason[:REASON_MAX]
        if self._reasons.get(key) == reason:
            return
        self._reasons[key] = reason
        self._node.log("warning", self._event, row=key.key, why=reason)

    def clear(self, key: RowKey) -> None:
        """Note that a row can be used, or is gone."""
        self._reasons.pop(key, None)
