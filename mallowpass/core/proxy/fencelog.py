"""Log lines that tell, at any holder, by which fence a replaced primary was covered.

The host that ordered a promotion may be gone, and its log with it. What its fence did
at each other holder tells when the order was sent, at the latest, and whether commits
were acknowledged between the end of the fence and the lead.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.recentcommits import RecentCommits
from mallowpass.core.proxy.signals import (
    FenceBegan,
    FenceEnd,
    FenceEnded,
    FenceRelaxed,
    FenceRenewed,
    FenceUnattended,
    PrimaryChanged,
    WriteAcknowledged,
)
from mallowpass.core.proxy.statements import Fence
from mallowpass.core.proxy.tables import GroupRow, ProxySystem

__all__ = ["FenceLog"]

# Times are in seconds.
# Without a fence, commits acknowledged this long before a change of primary count.
RECENT_COMMITS_AGE = 5.0
# A promotion order may be carried out this long after it was sent.
ORDER_AGE_MAX = 30.0
# Between two lines of fences of one owner that expired.
EXPIRED_INTERVAL = 10.0
CHANGES_MAX = 16  # changes of primary that are kept for each service


@dataclass(slots=True, eq=False)
class _Fence:
    """What became of the newest fence of one host."""

    order: Fence
    began_at: float
    renewed_at: float
    ended_at: float = float("-inf")
    end: FenceEnd | None = None  # None: in force
    relaxed_at: float = float("-inf")  # by its owner, for the last time

    def covers(self, name: str) -> bool:
        """Return whether writes to an endpoint were held."""
        if self.order.target is None:
            return name == self.order.primary
        return name != self.order.target


class FenceLog(ProxySystem):
    """Log the fences that expire, and those of primaries that are replaced."""

    __slots__ = (
        "_changes",
        "_commits",
        "_expired_at",
        "_fences",
        "_holders",
        "_primaries",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._primaries: dict[str, str] = {}  # last known ones, by service
        # Terms known at the last line, by service, replaced primary and successor.
        self._changes: dict[str, dict[tuple[str, str], int]] = {}
        # By service and endpoint.
        self._commits: dict[str, dict[str, RecentCommits]] = {}
        self._fences: dict[str, dict[str, _Fence]] = {}  # by service and owner
        self._expired_at: dict[tuple[str, str], float] = {}  # that were logged

    def start(self) -> None:
        """Subscribe to fences, commits and changes of primaries.

        This system starts after `Fencing`, so it knows which fences a change ends.
        """
        self._holders = self._node.system(Holders)
        subscribe = self._node.subscribe
        subscribe(FenceBegan, self._on_began)
        subscribe(FenceEnded, self._on_ended)
        subscribe(FenceRelaxed, self._on_relaxed)
        subscribe(FenceRenewed, self._on_renewed)
        subscribe(FenceUnattended, self._on_unattended)
        subscribe(PrimaryChanged, self._on_primary_changed)
        subscribe(WriteAcknowledged, self._on_acknowledged)

    # -- Fences --------------------------------------------------------------

    def _on_began(self, signal: FenceBegan) -> None:
        """Note a fence, unless it is a host's own until it knows more."""
        if signal.order.target is None:
            return
        fences = self._fences.setdefault(signal.service, {})
        for owner, fence in list(fences.items()):
            if self._is_old(fence):
                del fences[owner]
        before = fences.get(signal.order.owner)
        fence = _Fence(signal.order, self.now, self.now)
        if before is not None:
            fence.relaxed_at = before.relaxed_at
        fences[signal.order.owner] = fence

    def _is_old(self, fence: _Fence) -> bool:
        """Return whether all orders that a fence was for have been carried out."""
        return fence.end is not None and self.now > fence.ended_at + ORDER_AGE_MAX

    def _on_renewed(self, signal: FenceRenewed) -> None:
        fence = self._fences.get(signal.service, {}).get(signal.order.owner)
        if fence is None or fence.end is not None:
            self._on_began(FenceBegan(signal.service, signal.order))
            return
        fence.order = signal.order
        fence.renewed_at = self.now

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
        for commits in self._commits.get(signal.service, {}).values():
            commits.split()
        if signal.reason is FenceEnd.EXPIRED:
            self._log_silence(signal.service, fence, "fence_expired")

    def _on_unattended(self, signal: FenceUnattended) -> None:
        service = signal.group.service
        fence = self._fences.get(service, {}).get(signal.owner)
        if fence is not None and fence.end is None:
            self._log_silence(service, fence, "fence_unattended")

    def _log_silence(self, service: str, fence: _Fence, event: str) -> None:
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

    # -- Replaced primaries --------------------------------------------------

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        if signal.endpoint is None:
            return
        by_endpoint = self._commits.setdefault(signal.group.service, {})
        commits = by_endpoint.get(signal.endpoint.name)
        if commits is None:
            commits = by_endpoint[signal.endpoint.name] = RecentCommits()
        commits.add(self.now, signal.position)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = signal.group
        replaced = self._primaries.get(group.service, "")
        if group.primary in ("", replaced):
            return
        self._primaries[group.service] = group.primary
        if replaced and self._is_new(group, replaced):
            self._log_replaced(group, replaced)
        self._commits.pop(group.service, None)

    def _is_new(self, group: GroupRow, replaced: str) -> bool:
        """Return whether a change is not one that this host had taken back."""
        changes = self._changes.setdefault(group.service, {})
        key = (replaced, group.primary)
        is_new = changes.pop(key, None) != group.term
        changes[key] = group.term
        if len(changes) > CHANGES_MAX:
            del changes[next(iter(changes))]
        return is_new

    def _log_replaced(self, group: GroupRow, replaced: str) -> None:
        """Tell of the fence that was renewed last, if there are several.

        A host that is no holder has fences only if it connects directly.
        """
        fences = [
            fence
            for fence in self._fences.get(group.service, {}).values()
            if fence.covers(replaced) and not self._is_old(fence)
        ]
        if not fences and not self._holders.holds(group.service):
            return
        fence = max(fences, key=lambda fence: fence.renewed_at, default=None)
        commits = self._commits.get(group.service, {}).get(replaced, RecentCommits())
        total = commits.total
        self._node.log(
            "warning",
            "primary_replaced",
            service=group.service,
            primary=group.primary,
            replaced=replaced,
            **self._fence_fields(fence),
            fences=len(fences),
            acknowledged=commits.since(self._unfenced_since(fence)).commits,
            newest="" if total.position is None else total.position.text,
            newest_ago=self._age(total.last_at),
        )

    def _fence_fields(self, fence: _Fence | None) -> dict[str, object]:
        if fence is None:
            fence = _Fence(Fence("", 0.0, ""), -math.inf, -math.inf)
        return {
            "ordered_by": fence.order.owner,
            "fence_target": fence.order.target or "",
            "fenced_ago": self._age(fence.began_at),
            "renewed_ago": self._age(fence.renewed_at),
            "fence_ended": "none" if fence.end is None else fence.end.value,
            "fence_ended_ago": self._age(fence.ended_at),
            "relaxed_ago": self._age(fence.relaxed_at),
        }

    def _unfenced_since(self, fence: _Fence | None) -> float:
        if fence is None:
            return self.now - RECENT_COMMITS_AGE
        return math.inf if fence.end in (None, FenceEnd.LEAD) else fence.ended_at

    def _age(self, time: float) -> float | str:
        return "never" if math.isinf(time) else round(self.now - time, 3)
