"""Fences at a host that was not told of one, while a primary is being replaced.

The host that replaces a primary had the other hosts fence it. A host that starts was
not there, or has lost its fence with its end. Nor was one told that becomes a holder
meanwhile, or that connects directly as it is cut off from the holders. The claim tells
them of the promotion order that may be carried out at any moment: until then, no commit
may be acknowledged by a primary that is not the order's target.

The host that sent the order may be gone, so this fence is an unattended one from the
beginning, see `fencing`. Its holder ends it by a fence of its own, relaxed or not.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.replacement import PromotionOrdered
from mallowpass.core.proxy.signals import (
    HolderJoined,
    HoldersBypassed,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import Fence
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import GroupRow, ProxySystem

__all__ = ["StartFences"]

# Seconds for which a host that begins to connect directly holds its writes, at most,
# until it has read the claim.
CLAIM_READ_TIMEOUT = 0.5
# Seconds within which the host that guards a pending order renews its fence here.
RENEWAL_TIMEOUT = 1.5


class StartFences(ProxySystem):
    """Fence the primaries that are being replaced as this host joins in."""

    __slots__ = ("_checked", "_claims", "_fencing", "_holders", "_owner", "_store")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._checked: set[str] = set()  # services

    def start(self) -> None:
        """Subscribe to the first primary of each service, unless the fleet is new."""
        self._claims = self._node.system(Claims)
        self._fencing = self._node.system(Fencing)
        self._holders = self._node.system(Holders)
        self._store = self._node.system(Store)
        # Apart from the fence of an attempt of this host, which names its target.
        self._owner = f"{self._node.identity.name}/start"
        self._node.subscribe(HolderJoined, self._on_holder_joined)
        self._node.subscribe(HoldersBypassed, self._on_holders_bypassed)
        self._node.subscribe(PromotionOrdered, self._on_ordered)
        if not self.tables.first_start:
            self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = signal.group
        if not group.primary or group.service in self._checked:
            return
        self._checked.add(group.service)
        if self._holders.holds(group.service):
            self._check_claim(group)

    def _on_holders_bypassed(self, signal: HoldersBypassed) -> None:
        group = self.tables.group(signal.endpoint.entry.service)
        if group.primary_row is signal.endpoint and not signal.endpoint.is_leaving:
            self._fencing.fence(signal.endpoint, CLAIM_READ_TIMEOUT, self._owner)
            self._check_claim(group)

    def _on_holder_joined(self, signal: HolderJoined) -> None:
        group = self.tables.group(signal.service)
        if group.primary_row is not None:
            self._check_claim(group)

    def _check_claim(self, group: GroupRow) -> None:
        """Fence a primary while an order is pending, and end an earlier fence if not.

        The claim is read before the first connection is open. In a new era it tells
        once hosts have had time to write their orders again, as in `writers`.
        """

        def on_claim(claim: Claim | None, is_read: bool) -> None:
            is_fenced = claim is not None and self._fence(group, claim)
            if is_read and self._store.is_settled and not is_fenced:
                self._fencing.lift_service(group, self._owner)

        self._claims.read(group.service, on_claim)

    def fence_intended(self, group: GroupRow, claim: Claim) -> None:
        """Fence a primary that may be replaced by an order that a claim intends.

        Its holder has not told of the order while its claim lasted.
        """
        is_held = self._claims.is_held(claim)
        if is_held or self._fencing.has_unattended(group.service):
            return
        time = self._store.time or 0.0
        rivals = claim.rivals(group.primary, time)
        ends = {target: until for target, until in claim.ordered if target in rivals}
        if any(claim.fenced_until(target) <= time for target in ends):
            self._leave_unattended(group, claim, ends)

    def _on_ordered(self, signal: PromotionOrdered) -> None:
        """Leave the primary to the fence of this host's own order.

        Its claim has inherited all orders that are pending.
        """
        self._fencing.lift_service(signal.attempt.group, self._owner)

    def _fence(self, group: GroupRow, claim: Claim) -> bool:
        """Fence a primary while an order is pending; return whether one is."""
        primary = group.primary_row
        if primary is None:
            return False
        if primary.is_leaving and not self.tables.promotion_fences_primary:
            return False  # quiescence keeps it from acknowledging commits
        time = self._store.time or 0.0
        ends = {
            target: claim.fenced_until(target)
            for target, _ in claim.ordered
            if target != primary.name and claim.fenced_until(target) > time
        }
        if not ends:
            return False
        self._leave_unattended(group, claim, ends)
        return True

    def _leave_unattended(
        self, group: GroupRow, claim: Claim, ends: dict[str, float]
    ) -> None:
        """Fence a primary for orders that are pending until times of the store."""
        target = next(iter(ends)) if len(ends) == 1 else ""
        duration = max(ends.values()) - (self._store.time or 0.0)
        is_own = claim.holder == self._node.identity.name  # of an earlier run
        grace = 0.0 if is_own else RENEWAL_TIMEOUT
        fence = Fence(group.primary, duration, self._owner, target, token=claim.token)
        self._fencing.leave_unattended(group, fence, grace)
