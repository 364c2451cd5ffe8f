"""Promotions that were begun by a host that is gone.

The order of such a host may be carried out seconds after its end. Its fences hold
writes until then, see `fencing`, and no other host has a reason to claim if the primary
is well. So the hosts that it had fence the primary read the newest claim, and one of
them replaces the primary in its place: the orders before are void once a newer one is
carried out. If the claim shows that none is pending, the fences end.

A host whose process has ended refuses links. It is replaced as soon as another host
finds that out, and its claim does not keep others from claiming.

A host that does not reach the store goes on to hold its writes, until it finds the
successor or is told by the host that took over.
"""

from __future__ import annotations

from functools import partial

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.signals import (
    FenceSilent,
    FenceUnattended,
    ForwardedConnectionRefused,
)
from mallowpass.core.proxy.statements import host_of
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import GroupRow, ProxySystem

__all__ = ["Takeovers"]

# Times are in seconds.
CHECK_INTERVAL = 0.2  # between two looks at the claim
JITTER_MAX = 0.1  # added, so that hosts do not claim at the same time
SILENCE_TIMEOUT = 0.5  # for a host that refuses a link
GONE_TIMEOUT = 3.0  # for which a host counts as gone, as long as its claim lasts


class Takeovers(ProxySystem):
    """Replace primaries that are fenced by a host that may be gone."""

    __slots__ = (
        "_claims",
        "_connections",
        "_earliest",
        "_fencing",
        "_gone",
        "_pending_orders",
        "_promotion",
        "_silent",
        "_store",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._earliest: dict[str, float] = {}  # time of a takeover, by service
        # Hosts that are asked for a sign of life, each with the groups it has fenced.
        self._silent: dict[str, dict[str, GroupRow]] = {}
        self._gone: dict[str, float] = {}  # until when hosts count as gone

    def start(self) -> None:
        """Subscribe to fences whose owners may be gone."""
        self._claims = self._node.system(Claims)
        self._fencing = self._node.system(Fencing)
        self._pending_orders = self._node.system(PendingOrders)
        self._promotion = self._node.system(Promotion)
        self._store = self._node.system(Store)
        self._connections = self._node.system(Connections)
        self._node.subscribe(FenceSilent, self._on_silent)
        self._node.subscribe(FenceUnattended, self._on_unattended)
        self._node.subscribe(ForwardedConnectionRefused, self._on_refused)

    # -- Hosts that are gone -------------------------------------------------

    def _on_silent(self, signal: FenceSilent) -> None:
        """Open a link to the owner of a fence, which it refuses if it has ended."""
        group, name = signal.group, host_of(signal.owner)
        host = self.tables.hosts.get(name)
        endpoint = group.primary_row or next(iter(group.endpoints.values()), None)
        if host is None or endpoint is None or name == self._node.identity.name:
            return
        self._silent.setdefault(name, {})[group.service] = group
        self.timers.after(SILENCE_TIMEOUT, self._end_silence, name, group)
        self._connections.acquire_via(endpoint, host, carries_fences=True)

    def _end_silence(self, host: str, group: GroupRow) -> None:
        self._silent.get(host, {}).pop(group.service, None)

    def _on_refused(self, signal: ForwardedConnectionRefused) -> None:
        if not signal.is_unconnected:
            return
        groups = self._silent.pop(signal.host, {})
        if groups:
            self._gone[signal.host] = self.now + GONE_TIMEOUT
        for group in groups.values():
            self._fencing.note_gone(group, signal.host)

    def _is_gone(self, host: str) -> bool:
        return self._gone.get(host, 0.0) > self.now

    # -- Takeovers -----------------------------------------------------------

    def _on_unattended(self, signal: FenceUnattended) -> None:
        service, earliest = signal.group.service, self.now + signal.grace
        if service in self._earliest:
            self._earliest[service] = min(self._earliest[service], earliest)
        else:
            self._earliest[service] = earliest
            self._check(signal.group)

    def _check(self, group: GroupRow) -> None:
        if not self._fencing.has_unattended(group.service):
            del self._earliest[group.service]
            return
        delay = CHECK_INTERVAL + self._node.random.uniform(0.0, JITTER_MAX)
        self.timers.after(delay, self._check, group)
        on_claim = partial(self._on_claim, group, self.now)
        self._claims.read_newest(group.service, on_claim)

    def _on_claim(
        self, group: GroupRow, asked_at: float, claim: Claim | None, is_known: bool
    ) -> None:
        if not self._fencing.has_unattended(group.service):
            return
        if not is_known:
            self._take_over_lost_order(group)
        elif not self._is_pending(group, claim):
            self._fencing.end_unattended(group, asked_at)
        elif self.now >= self._earliest.get(group.service, self.now):
            self._take_over(group, claim)

    def _take_over_lost_order(self, group: GroupRow) -> None:
        """Replace a primary whose claim a store that was restored may lack."""
        if not (self._store.has_been_restored and self._store.is_settled):
            return
        if not self._promotion.is_replacing(group.service):
            targets = self._fencing.unattended_targets(group.service)
            self._pending_orders.note_lost_orders(group.service, targets)
            self._promotion.take_over(group, "")

    def _is_pending(self, group: GroupRow, claim: Claim | None) -> bool:
        """Return whether an order is pending that no other fence protects.

        The host with the newest claim knows of the orders of all claims before.
        """
        if claim is None or not claim.rivals(group.primary, self._store.time):
            return False
        return not self._fencing.is_attended(group.service, claim.token)

    def _take_over(self, group: GroupRow, claim: Claim) -> None:
        is_gone = self._is_gone(claim.holder)
        if self._claims.is_held(claim) and not is_gone:
            return
        if self._promotion.is_replacing(group.service):
            return
        self._promotion.take_over(group, claim.holder if is_gone else "")
        if not self._promotion.is_replacing(group.service):
            return
        self._node.log(
            "warning",
            "promotion_taken_over",
            service=group.service,
            primary=group.primary,
            holder=claim.holder,
            token=claim.token,
            claim_age=round(self._claims.age(claim), 3),
        )
