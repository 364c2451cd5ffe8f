"""Commits in flight that this host gave up, and a line of them for each fence.

A host that closes a connection gives up the commits in flight there. The primary may
acknowledge them later if it keeps the connection, as the reset does not arrive.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

import math
from collections import deque

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import CommitsAbandoned, EndpointExpired, FenceBegan
from mallowpass.core.proxy.statements import Fence
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["AbandonmentLog"]

# Times are in seconds.
# Commits that were given up this long before count. An endpoint that does not hear of
# the reset keeps a connection for less.
RECENT_AGE = 5.0
# From the beginning of a fence until its line: the commits in flight at a primary that
# does not answer are given up meanwhile.
LOG_DELAY = 0.25
LOG_INTERVAL = 10.0  # between two lines of fences of one owner
CLOSED_MAX = 256  # connections for each endpoint that are kept


@record
class _Closed:
    """A connection that this host closed with commits in flight."""

    closed_at: float
    sent_at: float  # the first of them
    commits: int


class AbandonmentLog(ProxySystem):
    """Count commits in flight that were given up, and log them for each fence."""

    __slots__ = ("_closed", "_logged_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._closed: dict[str, deque[_Closed]] = {}  # by endpoint
        self._logged_at: dict[tuple[str, str], float] = {}  # by service and owner

    def start(self) -> None:
        """Subscribe to commits that are given up, and to fences."""
        self._node.subscribe(CommitsAbandoned, self._on_abandoned)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(FenceBegan, self._on_began)

    def recent(self, endpoint: str) -> int:
        """Return how many commits at an endpoint were given up in the last seconds."""
        return sum(closed.commits for closed in self._recent(endpoint))

    def _recent(self, endpoint: str) -> list[_Closed]:
        since = self.now - RECENT_AGE
        return [c for c in self._closed.get(endpoint, ()) if c.closed_at >= since]

    def _on_abandoned(self, signal: CommitsAbandoned) -> None:
        commits = sum(batch.unanswered_commits for batch in signal.commits)
        if commits:
            sent_at = min(batch.sent_at for batch in signal.commits)
            name = signal.endpoint.name
            closed = self._closed.setdefault(name, deque(maxlen=CLOSED_MAX))
            closed.append(_Closed(self.now, sent_at, commits))

    def _on_expired(self, signal: EndpointExpired) -> None:
        self._closed.pop(signal.endpoint.name, None)

    # -- Lines ---------------------------------------------------------------

    def _on_began(self, signal: FenceBegan) -> None:
        group = self.tables.group(signal.service)
        began = (group, signal.order, self.now)
        self.timers.after(LOG_DELAY, self._log, *began)

    def _log(self, group: GroupRow, order: Fence, began_at: float) -> None:
        """Tell once for each fence of the commits that were given up, if any."""
        endpoint = self._endpoint(group, order)
        if endpoint is None or self._is_told(group.service, order.owner):
            return
        self._logged_at[group.service, order.owner] = self.now
        closed = self._recent(endpoint.name)
        shown, heard_at = endpoint.position, endpoint.last_direct_reply_at
        self._node.log(
            "warning",
            "commits_abandoned",
            service=group.service,
            endpoint=endpoint.name,
            owner=order.owner,
            target=order.target or "",
            fenced_ago=self._age(began_at),
            commits=sum(c.commits for c in closed if c.closed_at >= began_at),
            earlier=sum(c.commits for c in closed if c.closed_at < began_at),
            sent_ago=self._age(min(c.sent_at for c in closed)),
            last_reply_ago=self._age(heard_at),
            shown="" if shown is None else shown.text,
        )

    def _endpoint(self, group: GroupRow, order: Fence) -> EndpointRow | None:
        """Return the endpoint that a fence covers at which commits were given up."""
        counts = {
            name: self.recent(name) for name in group.endpoints if _covers(order, name)
        }
        name = max(counts, key=counts.get, default="")
        return group.endpoints[name] if counts.get(name) else None

    def _is_told(self, service: str, owner: str) -> bool:
        for key, logged_at in list(self._logged_at.items()):
            if self.now >= logged_at + LOG_INTERVAL:
                del self._logged_at[key]
        return (service, owner) in self._logged_at

    def _age(self, time: float) -> float | str:
        return "never" if math.isinf(time) else round(self.now - time, 3)


def _covers(order: Fence, name: str) -> bool:
    """Return whether a fence holds the writes to an endpoint."""
    return name == order.primary if order.target is None else name != order.target
