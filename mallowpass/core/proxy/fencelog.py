"""What became of the fences that this host was told of, and lines of those that expire.

`PromotionLog` tells of the fences of a primary that was replaced.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import (
    FenceBegan,
    FenceEnd,
    FenceEnded,
    FenceRelaxed,
    FenceRenewed,
    FenceUnattended,
)
from mallowpass.core.proxy.statements import Fence
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["FenceLog", "LoggedFence"]

# Times are in seconds.
# A promotion order may be carried out this long after it was sent.
ORDER_AGE_MAX = 30.0
# Between two lines of fences of one owner that expired.
EXPIRED_INTERVAL = 10.0


@dataclass(slots=True, eq=False)
class LoggedFence:
    """What became of the newest fence of one host."""

    order: Fence
    began_at: float
    renewed_at: float
    ended_at: float = float("-inf")
    end: FenceEnd | None = None  # None: in force
    relaxed_at: float = float("-inf")  # by its owner, for the last time
    ordered_at: float = float("-inf")  # renewed with an order that tells an account

    def covers(self, name: str) -> bool:
        """Return whether writes to an endpoint were held."""
        if self.order.target is None:
            return name == self.order.primary
        return name != self.order.target

    def is_for(self, successor: str) -> bool:
        """Return whether the fence was in force until its target led."""
        if self.end is None:
            return self.order.target == successor
        return self.end is FenceEnd.LEAD

    def was_in_force(self, time: float) -> bool:
        """Return whether writes were held at a time, as far as this host was told."""
        return self.began_at <= time and (self.end is None or time <= self.ended_at)


class FenceLog(ProxySystem):
    """Track the fences that this host was told of, and log those that expire."""

    __slots__ = ("_expired_at", "_fences")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._fences: dict[str, dict[str, LoggedFence]] = {}  # by service and owner
        self._expired_at: dict[tuple[str, str], float] = {}  # that were logged

    def start(self) -> None:
        """Subscribe to fences."""
        subscribe = self._node.subscribe
        subscribe(FenceBegan, self._on_began)
        subscribe(FenceEnded, self._on_ended)
        subscribe(FenceRelaxed, self._on_relaxed)
        subscribe(FenceRenewed, self._on_renewed)
        subscribe(FenceUnattended, self._on_unattended)

    def covering(self, service: str, primary: str) -> list[LoggedFence]:
        """Return the fences that cover or covered a primary, the newest last."""
        fences = self._fences.get(service, {}).values()
        known = [f for f in fences if f.covers(primary) and not self._is_old(f)]
        return sorted(known, key=lambda fence: fence.renewed_at)

    def _on_began(self, signal: FenceBegan) -> None:
        """Note a fence, unless it is a host's own until it knows more."""
        if signal.order.target is None:
            return
        fences = self._fences.setdefault(signal.service, {})
        for owner, fence in list(fences.items()):
            if self._is_old(fence):
                del fences[owner]
        before = fences.get(signal.order.owner)
        fence = LoggedFence(signal.order, self.now, self.now)
        if before is not None:
            fence.order = _with_account(signal.order, before.order)
            fence.relaxed_at = before.relaxed_at
            fence.ordered_at = before.ordered_at
        if signal.order.account:
            fence.ordered_at = self.now
        fences[signal.order.owner] = fence

    def _is_old(self, fence: LoggedFence) -> bool:
        """Return whether all orders that a fence was for have been carried out."""
        return fence.end is not None and self.now > fence.ended_at + ORDER_AGE_MAX

    def _on_renewed(self, signal: FenceRenewed) -> None:
        fence = self._fences.get(signal.service, {}).get(signal.order.owner)
        if fence is None or fence.end is not None:
            self._on_began(FenceBegan(signal.service, signal.order))
            return
        fence.order = _with_account(signal.order, fence.order)
        fence.renewed_at = self.now
        if signal.order.account:
            fence.ordered_at = self.now

    def _on_relaxed(self, signal: FenceRelaxed) -> None:
        fence = self._fences.get(signal.service, {}).get(signal.owner)
        if fence is not None:
            fence.relaxed_at = self.now

    def _on_ended(self, signal: FenceEnded) -> None:
        fence = self._fences.get(signal.service, {}).get(signal.owner)
        if fence is None or fence.end is not None:
            return
        fence.end = signal.reason
        fence.ended_at = self.now
        if signal.reason is FenceEnd.EXPIRED:
            self._log_silence(signal.service, fence, "fence_expired")

    def _on_unattended(self, signal: FenceUnattended) -> None:
        service = signal.group.service
        fence = self._fences.get(service, {}).get(signal.owner)
        if fence is not None and fence.end is None:
            self._log_silence(service, fence, "fence_unattended")

    def _log_silence(self, service: str, fence: LoggedFence, event: str) -> None:
        """Tell of a fence that its owner has not renewed in time."""
        for key, logged_at in list(self._expired_at.items()):
            if self.now >= logged_at + EXPIRED_INTERVAL:
                del self._expired_at[key]
        key = (service, fence.order.owner)
        if key in self._expired_at:
            return
        self._expired_at[key] = self.now
        self._node.log(
            "warning",
            event,
            service=service,
            owner=fence.order.owner,
            target=fence.order.target or "",
            fenced_ago=self._age(fence.began_at),
            renewed_ago=self._age(fence.renewed_at),
        )

    def _age(self, time: float) -> float:
        return round(self.now - time, 3)


def _with_account(order: Fence, before: Fence) -> Fence:
    """Return a fence with the account of the order that it was renewed with before."""
    is_same = order.token == before.token and order.target == before.target
    if order.account or not is_same:
        return order
    return replace(order, account=before.account)
