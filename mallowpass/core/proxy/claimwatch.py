"""Fences of primaries for which the store shows a pending promotion order.

The host that replaces a failed primary tells the holders that it reaches to fence the
primary. A holder that it does not reach, and that reaches the primary and the store,
learns of the order from the claim, with which the order is stored.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import CLAIM_ROW_KEY, Claim
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.storage import Row, Table
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.proxy.unreadable import UnreadableRows

__all__ = ["ClaimWatch"]


class ClaimWatch(ProxySystem):
    """Watch the claims of all hosts, where promotions do not fence primaries."""

    __slots__ = ("_fencing", "_store", "_unreadable")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._unreadable = UnreadableRows(node, "claim_unreadable")

    def start(self) -> None:
        """Watch the claims in the store."""
        self._fencing = self._node.system(Fencing)
        self._store = self._node.system(Store)
        if not self.tables.promotion_fences_primary:
            self._store.watch(Table.CLAIMS, self._on_rows)

    def _on_rows(self, rows: tuple[Row, ...], complete: bool) -> None:
        for row in rows:
            if row.key.key == CLAIM_ROW_KEY and isinstance(row.value, str):
                self._apply(row, row.value)

    def _apply(self, row: Row, text: str) -> None:
        try:
            claim = Claim.decode(text)
        except ValueError as error:
            self._unreadable.note(row.key, str(error))
            return
        self._unreadable.clear(row.key)
        self._fence_claimed(row.key.part, claim)

    def _fence_claimed(self, service: str, claim: Claim) -> None:
        """Fence a primary if another member may replace it at any moment."""
        primary = self.tables.group(service).primary_row
        if primary is None or primary.name != claim.primary:
            return
        now = self._store.time or 0.0
        times = [until for target, until in claim.ordered if target != primary.name]
        duration = min(max(times, default=now) - now, FENCE_DURATION)
        if duration > 0.0:
            self._fencing.fence(primary, duration)
