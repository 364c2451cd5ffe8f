"""Log messages about unusable rows of the store, without repetition."""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.storage import RowKey

__all__ = ["UnreadableRows"]

REASON_LENGTH_MAX = 200  # characters; a row may hold many thousands


class UnreadableRows:
    """Log the unusable rows of one table, each once until its reason changes.

    Another writer may write such a row every second, and every host receives each
    write.
    """

    __slots__ = ("_event", "_node", "_reasons")

    def __init__(self, node: Node, event: str) -> None:
        self._node = node
        self._event = event
        self._reasons: dict[RowKey, str] = {}

    def note(self, key: RowKey, reason: str) -> None:
        """Log that a row is unusable, unless that was logged with the same reason."""
        reason = reason[:REASON_LENGTH_MAX]
        if self._reasons.get(key) == reason:
            return
        self._reasons[key] = reason
        self._node.log("warning", self._event, row=key.key, why=reason)

    def clear(self, key: RowKey) -> None:
        """Record that a row is usable again, or gone."""
        self._reasons.pop(key, None)
