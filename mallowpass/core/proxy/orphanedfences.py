"""Fences whose owner neither renews nor lifts them.

The host that replaces a primary owns the fence of it at each holder, renews it while a
promotion order may still be carried out, and lifts it otherwise. If that host ends, or
is cut off, the fence expires seconds before an order without an answer does. The claim
tells of that order. So a holder reads the claim before a fence of another host expires,
and keeps its own writes fenced for as long as the order is pending, unless commits can
be acknowledged through the order's target alone, see `pendingfences`. While the claim
can't be read, writes stay fenced until no order of that host can be pending any more.

If the target does not receive, writes would wait for seconds, so the holder replaces
the primary once no other host holds the claim: a platform that checks fencing tokens
then refuses the earlier order.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.pendingfences import FOREIGN_ORDER, PendingFences
from mallowpass.core.proxy.pendingorders import LATE_ORDER_TIMEOUT, PendingOrders
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
RETRY_INTERVAL = 0.5  # between two reads of a claim that could not be read
REPLACE_INTERVAL = 1.0  # between two attempts to replace the primary
JITTER_MAX = 0.15  # by which holders spread their reads and attempts
# Owner of a fence of this host's writes while the claim is not known, and how long each
# such fence lasts. It is renewed by each check.
UNREAD_CLAIM = "unread claim"
UNREAD_CLAIM_DURATION = 0.5
_OWN_FENCES = (FOREIGN_ORDER, UNREAD_CLAIM)


@dataclass(slots=True, eq=False)
class _Check:
    """The check of one primary that is fenced at this host."""

    until: float = 0.0  # end of the other hosts' fence for which the claim is read
    is_unread: bool = False  # the claim has not been read for that fence
    is_reading: bool = False  # a read is under way, or waits to be tried again


class OrphanedFences(ProxySystem):
    """Keep fences that expire while the claim tells of a pending order."""

    __slots__ = (
        "_checks",
        "_claims",
        "_fencing",
        "_pending_fences",
        "_pending_orders",
        "_promotion",
        "_replacing",
        "_store",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._checks: dict[str, _Check] = {}  # by primary
        # Primaries that this host replaces once the claim is free.
        self._replacing: set[str] = set()

    def start(self) -> None:
        """Subscribe to fences of this host's writes."""
        self._claims = self._node.system(Claims)
        self._fencing = self._node.system(Fencing)
        self._pending_fences = self._node.system(PendingFences)
        self._pending_orders = self._node.system(PendingOrders)
        self._promotion = self._node.system(Promotion)
        self._store = self._node.system(Store)
        self._node.subscribe(PrimaryFenced, self._on_fenced)

    # -- Reading the claim ---------------------------------------------------

    def _on_fenced(self, signal: PrimaryFenced) -> None:
        if signal.endpoint.name not in self._checks:
            self._checks[signal.endpoint.name] = _Check()
            self._check(signal.endpoint)

    def _check(self, primary: EndpointRow) -> None:
        if not self._fencing.is_fenced(primary):
            del self._checks[primary.name]
            return
        check = self._checks[primary.name]
        until = self._foreign_until(primary)
        if until > check.until and self.now >= until - READ_AHEAD:
            check.until = until
            check.is_unread = True
        if check.is_unread:
            self._extend(primary, check)
            if not check.is_reading:
                self._read_claim(primary, check)
        self.timers.after(CHECK_INTERVAL, self._check, primary)

    def _foreign_until(self, primary: EndpointRow) -> float:
        """Return when the last fence of another host ends."""
        own = (self._node.identity.name, *_OWN_FENCES)
        owners = self._fencing.owners(primary).items()
        return max((until for owner, until in owners if owner not in own), default=0.0)

    def _extend(self, primary: EndpointRow, check: _Check) -> None:
        """Keep a primary fenced while an order of another host may be pending.

        That host renews the fence with each order, so none is pending for longer.
        """
        longest = check.until - FENCE_DURATION + LATE_ORDER_TIMEOUT - self.now
        if longest <= 0.0:
            check.is_unread = False
            return
        duration = min(UNREAD_CLAIM_DURATION, longest)
        self._fencing.fence(primary, duration, UNREAD_CLAIM)

    def _read_claim(self, primary: EndpointRow, check: _Check) -> None:
        check.is_reading = True
        until = check.until

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            self._keep_fenced(primary, claim)
            # Without the store's time, it is unknown whether an order is pending.
            if not is_known or self._store.time is None:
                delay = RETRY_INTERVAL + self._jitter()
                self.timers.after(delay, self._end_reading, check)
                return
            check.is_reading = False
            is_current = self._checks.get(primary.name) is check
            if is_current and check.until == until:
                check.is_unread = False
                self._fencing.lift(primary, UNREAD_CLAIM)

        self._claims.read_newest(primary.entry.service, on_claim)

    def _end_reading(self, check: _Check) -> None:
        check.is_reading = False

    def _keep_fenced(self, primary: EndpointRow, claim: Claim | None) -> None:
        """Keep a primary fenced while orders of a claim are pending."""
        group = self.tables.group(primary.entry.service)
        service = group.service
        is_own = claim is not None and claim.holder == self._node.identity.name
        if claim is not None and not is_own and self._store.time is not None:
            offset = self.now - self._store.time
            for target, until in claim.ordered:
                if target != primary.name:
                    order_until = until + offset
                    self._pending_orders.note_foreign_order(
                        service, target, order_until
                    )
        pending = self._pending_orders.pending(service)
        pending.pop(primary.name, None)
        if not pending:
            return
        target = max(pending, key=lambda name: pending[name])
        self._pending_fences.watch_foreign(group, primary.name, target)
        if not is_own and primary.name not in self._replacing:
            self._replacing.add(primary.name)
            self._replace_later(primary)

    # -- Replacing the primary -----------------------------------------------

    def _jitter(self) -> float:
        return self._node.random.uniform(0.0, JITTER_MAX)

    def _replace_later(self, primary: EndpointRow) -> None:
        delay = REPLACE_INTERVAL + self._jitter()
        self.timers.after(delay, self._replace, primary)

    def _replace(self, primary: EndpointRow) -> None:
        """Replace a primary for which writes wait while an order is pending."""
        group = self.tables.group(primary.entry.service)
        is_pending = bool(self._pending_orders.pending(group.service))
        if group.primary != primary.name or not is_pending:
            self._replacing.discard(primary.name)
            return
        self._replace_later(primary)
        if self._pending_fences.is_lifted(group.service):
            return

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            # The host that ordered renews its claim as long as it orders again: it may
            # be alive, and cut off from this host alone.
            if claim is not None and is_known and self._claims.is_free(claim):
                why = "the host that ordered its replacement is gone"
                self._promotion.replace(group, primary.name, Reason.UNAVAILABLE, why)

        self._claims.read_newest(group.service, on_claim)
