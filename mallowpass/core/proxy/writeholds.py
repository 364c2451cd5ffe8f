"""Holds on the writes of this host, while the primary that runs them is replaced.

A write that is in flight as its primary is replaced may be acknowledged by the replaced
primary, or by nobody. Held writes wait at this host, and are sent to the successor.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import PrimaryChanged, WritesHeld, WritesReleased
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["WRITES_HELD_MESSAGE", "DrainedHandler", "HoldReason", "WriteHolds"]

DRAIN_POLL_INTERVAL = 0.005  # seconds

WRITES_HELD_MESSAGE = "its primary is being replaced"

DrainedHandler = Callable[[], None]


class HoldReason(Enum):
    """Why writes are held; a hold lasts as long as one of its reasons."""

    SWITCHOVER = "switchover"  # the primary is replaced as planned
    FENCE = "fence"  # its successor is about to be promoted
    HOLDER = "holder"  # a holder that forwards this host's writes holds them


@dataclass(slots=True, eq=False)
class _Hold:
    """The hold on the writes to one primary."""

    endpoint: EndpointRow
    until: dict[HoldReason, float] = field(default_factory=dict)


class WriteHolds(ProxySystem):
    """Keep this host's holds, and tell when no held primary has a write in flight."""

    __slots__ = ("_holds",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._holds: dict[str, _Hold] = {}  # by name of the endpoint

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def is_held(self, endpoint: EndpointRow) -> bool:
        """Return whether writes to an endpoint wait at this host."""
        return endpoint.name in self._holds

    def is_held_here(self, endpoint: EndpointRow) -> bool:
        """Return whether writes to an endpoint wait for a reason of this host's own.

        Holders that forward each other's writes would otherwise keep up each other's
        holds without end.
        """
        hold = self._holds.get(endpoint.name)
        return hold is not None and any(r is not HoldReason.HOLDER for r in hold.until)

    def held(self, service: str, reason: HoldReason) -> list[EndpointRow]:
        """Return the endpoints of a service whose writes are held for a reason."""
        return [
            hold.endpoint
            for hold in self._holds.values()
            if hold.endpoint.entry.service == service and reason in hold.until
        ]

    def hold(
        self,
        endpoint: EndpointRow,
        duration: float,
        reason: HoldReason,
        handler: DrainedHandler = lambda: None,
    ) -> None:
        """Hold the writes to a primary for at most `duration` seconds.

        The handler is called once none of this host's writes to the primary is in
        flight, unless the hold ends before.
        """
        was_held = self.is_held(endpoint), self.is_held_here(endpoint)
        hold = self._holds.setdefault(endpoint.name, _Hold(endpoint))
        until = max(hold.until.get(reason, 0.0), self.now + duration)
        hold.until[reason] = until
        if was_held != (self.is_held(endpoint), self.is_held_here(endpoint)):
            self._node.publish(WritesHeld(endpoint))
        self.timers.at(until, self._end_if_due, hold)
        self._check_drained(hold, handler)

    def await_drained(self, endpoint: EndpointRow, handler: DrainedHandler) -> None:
        """Call a handler as `hold` does, without a change of the hold."""
        hold = self._holds.get(endpoint.name)
        if hold is not None:
            self._check_drained(hold, handler)

    def release(self, endpoint: EndpointRow, reason: HoldReason) -> None:
        """End the hold on the writes to an endpoint, unless it has another reason."""
        hold = self._holds.get(endpoint.name)
        if hold is not None:
            hold.until.pop(reason, None)
            self._end_if_due(hold)

    def _check_drained(self, hold: _Hold, handler: DrainedHandler) -> None:
        if not self._is_current(hold):
            return
        endpoint = self.tables.endpoints.get(hold.endpoint.name)
        if endpoint is not None and _has_commit_in_flight(endpoint):
            self.timers.after(DRAIN_POLL_INTERVAL, self._check_drained, hold, handler)
        else:
            handler()

    def _is_current(self, hold: _Hold) -> bool:
        return self._holds.get(hold.endpoint.name) is hold

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """End the holds on the writes to a former primary, except for its fences."""
        group = signal.group
        for hold in list(self._holds.values()):
            is_of_group = hold.endpoint.entry.service == group.service
            if is_of_group and group.primary not in ("", hold.endpoint.name):
                fenced_until = hold.until.get(HoldReason.FENCE)
                hold.until.clear()
                if fenced_until is not None:
                    hold.until[HoldReason.FENCE] = fenced_until
                self._end_if_due(hold)

    def _end_if_due(self, hold: _Hold) -> None:
        for reason, until in list(hold.until.items()):
            if self.now >= until:
                del hold.until[reason]
        if not hold.until:
            self._end(hold)

    def _end(self, hold: _Hold) -> None:
        if self._is_current(hold):
            del self._holds[hold.endpoint.name]
            group = self.tables.group(hold.endpoint.entry.service)
            self._node.publish(WritesReleased(group))


def _has_commit_in_flight(endpoint: EndpointRow) -> bool:
    connections = endpoint.connections.values()
    return any(connection.has_commit_in_flight for connection in connections)
