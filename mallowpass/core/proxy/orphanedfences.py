"""Fences whose owner neither renews nor lifts them.

The host that replaces a primary owns the fence of it at each holder, renews it while a
promotion order may still be carried out, and lifts it otherwise. If that host ends, or
is cut off, the fence expires seconds before an order without an answer does. The claim
tells of that order. So a holder reads the claim before a fence of another host expires,
and keeps its own writes fenced for as long as the order is pending, unless commits can
be acknowledged through the order's target alone, see `pendingfences`. If they can't,
writes would wait for seconds, so the holder replaces the primary as soon as it gets the
claim: a platform that checks fencing tokens then refuses the earlier order.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Reason
from mallowpass.core.proxy.signals import PrimaryFenced
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["OrphanedFences"]

# Times are in seconds.
CHECK_INTERVAL = 0.1
# Before the end of a fence at which the claim is read. An owner renews its fence at
# least 0.5 before; the read and the first questions to the members take 0.2.
READ_AHEAD = 0.4
# Between two attempts to replace the primary. The first one follows the read by as
# long: the claim of a host that has ended keeps others from claiming for 3 s.
REPLACE_INTERVAL = 1.0
JITTER_MAX = 0.15  # by which holders spread their attempts


class OrphanedFences(ProxySystem):
    """Keep fences that expire while the claim tells of a pending order."""

    __slots__ = (
        "_checked",
        "_claims",
        "_fencing",
        "_pending_fences",
        "_pending_orders",
        "_promotion",
        "_store",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Fenced primaries that are checked, each with the end of the fence for which
        # the claim was read last.
        self._checked: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to fences of this host's writes."""
        self._claims = self._node.system(Claims)
        self._fencing = self._node.system(Fencing)
        self._pending_fences = self._node.system(PendingFences)
        self._pending_orders = self._node.system(PendingOrders)
        self._promotion = self._node.system(Promotion)
        self._store = self._node.system(Store)
        self._node.subscribe(PrimaryFenced, self._on_fenced)

    def _on_fenced(self, signal: PrimaryFenced) -> None:
        if signal.endpoint.name not in self._checked:
            self._checked[signal.endpoint.name] = 0.0
            self._check(signal.endpoint)

    def _check(self, primary: EndpointRow) -> None:
        if not self._fencing.is_fenced(primary):
            del self._checked[primary.name]
            return
        owners = self._fencing.owners(primary)
        until = max(owners.values())
        is_due = self.now >= until - READ_AHEAD
        is_own = self._node.identity.name in owners
        if is_due and not is_own and self._checked[primary.name] < until:
            self._checked[primary.name] = until
            self._read_claim(primary)
        self.timers.after(CHECK_INTERVAL, self._check, primary)

    def _read_claim(self, primary: EndpointRow) -> None:
        group = self.tables.group(primary.entry.service)

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            offset = self.now - (self._store.time or 0.0)
            for target, until in () if claim is None else claim.ordered:
                if target == primary.name or until + offset <= self.now:
                    continue
                self._pending_orders.note_foreign_order(
                    group.service, target, until + offset
                )
                self._pending_fences.watch_foreign(group, primary.name, target)
                self._replace_later(primary)

        self._claims.read_newest(group.service, on_claim)

    def _replace_later(self, primary: EndpointRow) -> None:
        delay = REPLACE_INTERVAL + self._node.random.uniform(0.0, JITTER_MAX)
        self.timers.after(delay, self._replace, primary)

    def _replace(self, primary: EndpointRow) -> None:
        """Replace a primary for which writes wait while an order is pending."""
        group = self.tables.group(primary.entry.service)
        is_pending = bool(self._pending_orders.pending(group.service))
        if group.primary != primary.name or not is_pending:
            return
        if not self._pending_fences.is_lifted(group.service):
            why = "the host that ordered its replacement is gone"
            self._promotion.replace(group, primary.name, Reason.UNAVAILABLE, why)
        self._replace_later(primary)
