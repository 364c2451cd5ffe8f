"""Fences of primaries for which the store shows a pending promotion order.

The host that replaces a failed primary tells the holders that it reaches to fence the
primary. A holder that it does not reach, and that reaches the primary and the store,
learns of the order from the claim, with which the order is stored.

An order may get no answer and be repeated for a long time, while the primary is well
again. So the orders for one target fence a primary only once.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import CLAIM_ROW_KEY, Claim
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.storage import Row, Table
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.proxy.unreadable import UnreadableRows

__all__ = ["ClaimWatch"]


class ClaimWatch(ProxySystem):
    """Watch the claims of all hosts, where promotions do not fence primaries."""

    __slots__ = ("_fenced", "_fencing", "_store", "_unreadable")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Primaries that were fenced, and the targets of the orders, by service.
        self._fenced: dict[str, tuple[str, frozenset[str]]] = {}
        self._unreadable = UnreadableRows(node, "claim_unreadable")

    def start(self) -> None:
        """Watch the claims in the store."""
        self._fencing = self._node.system(Fencing)
        self._store = self._node.system(Store)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        if not self.tables.promotion_fences_primary:
            self._store.watch(Table.CLAIMS, self._on_rows)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        self._fenced.pop(signal.group.service, None)

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
        pending = {
            target: until
            for target, until in claim.ordered
            if target != primary.name and until > now
        }
        fenced = (primary.name, frozenset(pending))
        if not pending or self._fenced.get(service) == fenced:
            return
        self._fenced[service] = fenced
        duration = max(pending.values()) - now
        self._fencing.fence(primary, min(duration, FENCE_DURATION))
