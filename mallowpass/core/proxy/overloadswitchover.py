"""Switchover from an overloaded primary whose replicas all lag too far to serve reads.

The promoted replica applies all that it has received before it becomes primary. The
former primary, which has applied everything, becomes a replica that can serve reads. So
the group has two members that serve reads instead of one. Without a switchover the
primary would serve all reads alone until the replicas have caught up, which takes many
times as long as the cause of the lag lasted.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Reason
from mallowpass.core.proxy.signals import ReplicasBehind
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["OverloadSwitchover"]

# Times are in seconds.
# Hosts that find the same replicas behind spread their attempts over this time.
JITTER_MAX = 0.4
# An endpoint must have been primary for this time, and the same time must have passed
# since the last attempt. The time doubles with each change of primary within
# CHANGE_WINDOW.
PRIMARY_TIME_MIN = 3.0
CHANGE_WINDOW = 30.0
# A primary is overloaded if statements wait at it for this time. Hosts keep its queue
# short, and a few holders keep it shorter still, so the threshold is low.
QUEUE_TIME_MIN = 0.05
# A primary is overloaded as well if a statement for it was rejected within this time.
REJECTION_WINDOW = 1.0


class OverloadSwitchover(ProxySystem):
    """Replace overloaded primaries that have to serve all reads."""

    __slots__ = ("_scheduled", "_holders", "_load", "_promotion", "_tried_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._scheduled: set[str] = set()  # services with a check that is due
        self._tried_at: dict[str, float] = {}  # by service

    def start(self) -> None:
        """Subscribe to reports of groups whose replicas are all behind."""
        node = self._node
        self._holders = node.system(Holders)
        self._load = node.system(Load)
        self._promotion = node.system(Promotion)
        node.subscribe(ReplicasBehind, self._on_behind)

    def _on_behind(self, signal: ReplicasBehind) -> None:
        service = signal.group.service
        if service not in self._scheduled and self._holders.holds(service):
            self._scheduled.add(service)
            delay = self._node.random.uniform(0.0, JITTER_MAX)
            self.timers.after(delay, self._replace_if_overloaded, signal.group)

    def _replace_if_overloaded(self, group: GroupRow) -> None:
        self._scheduled.discard(group.service)
        primary = group.primary_row
        if primary is None or group.is_suspected:
            return
        if not self._is_overloaded(group, primary) or not self._is_due(group):
            return
        self._tried_at[group.service] = self.now
        why = "no replica has the floor"
        self._promotion.replace(group, primary.name, Reason.OVERLOADED, why)

    def _is_overloaded(self, group: GroupRow, primary: EndpointRow) -> bool:
        if group.last_rejection_at > self.now - REJECTION_WINDOW:
            return True
        return self._load.queue_time(primary) >= QUEUE_TIME_MIN

    def _is_due(self, group: GroupRow) -> bool:
        # The wait grows, so that a switchover that did not help is not repeated often.
        since = self.now - CHANGE_WINDOW
        recent_changes = sum(
            1 for changed_at in group.primary_change_times if changed_at > since
        )
        required = PRIMARY_TIME_MIN * 2.0**recent_changes
        tried_at = self._tried_at.get(group.service, float("-inf"))
        return (
            self.now - max(tried_at, *group.primary_change_times, float("-inf"))
            >= required
        )
