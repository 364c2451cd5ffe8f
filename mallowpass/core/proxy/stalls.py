"""Primaries that acknowledge no writes: told to others, and spared further writes.

A primary whose replicas receive nothing answers reads and lets writes wait. Each of
them keeps its connection until that is closed for its silence, its caller can't repeat
it, and soon reads find no connection either. So after a few only one is sent now and
then, to see whether it is acknowledged; the others are refused, and their callers may
repeat them. Where few hosts hold the connections, these see to it for all others: each
other host sends few writes, and would have some of its own wait before it knows.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import (
    PrimaryChanged,
    PrimaryReplicates,
    PrimaryStalled,
    WriteAcknowledged,
    WriteStalled,
)
from mallowpass.core.proxy.statements import Access
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    GroupRow,
    ProxySystem,
    RequestRow,
)

__all__ = ["OVERDUE_SHARE", "WRITES_STALLED_MESSAGE", "Stalls"]

# A write that is unanswered for this share of its timeout is overdue.
OVERDUE_SHARE = 0.45
OVERDUE_DEFAULT = 0.36  # seconds, where no route tells a timeout
STALLS = 2  # writes without an answer, and none with one, that make a stall
# Seconds between two writes of a host that are sent to see whether they are
# acknowledged; about as long as statements have, so that one or two are on their way.
PROBE_GAP = 1.0

WRITES_STALLED_MESSAGE = "no replica acknowledges writes; try again in a moment"


@dataclass(slots=True)
class _Stall:
    """Hold what is known of a primary's unanswered writes."""

    primary: str
    writes: int = 0
    probe_at: float = 0.0  # no write is sent before


class Stalls(ProxySystem):
    """Own what this host knows of writes that get no answer."""

    __slots__ = ("_overdue", "_overdue_for", "_stalls")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._stalls: dict[str, _Stall] = {}  # by service
        self._overdue: dict[str, float] = {}  # seconds, by service
        self._overdue_for = 0  # version of the configuration

    def start(self) -> None:
        """Subscribe to writes, answered or not."""
        self._node.subscribe(WriteStalled, self._on_stalled)
        self._node.subscribe(PrimaryReplicates, self._on_acknowledged)
        self._node.subscribe(WriteAcknowledged, self._on_acknowledged)
        self._node.subscribe(PrimaryChanged, self._on_primary)

    def is_stalled(self, group: GroupRow) -> bool:
        """Tell whether a group's primary acknowledges no writes."""
        stall = self._stalls.get(group.service)
        return stall is not None and stall.writes >= STALLS

    def should_refuse(self, request: RequestRow, group: GroupRow) -> bool:
        """Tell whether a statement should not be sent now; if not, it is the probe."""
        if request.access is not Access.WRITE or request.transaction is not None:
            return False
        return self.should_refuse_write(group)

    def should_refuse_write(self, group: GroupRow) -> bool:
        """Tell whether no further write should be sent; if not, it is the probe."""
        if not self.is_stalled(group):
            return False
        stall = self._stalls[group.service]
        if self.now < stall.probe_at:
            return True
        stall.probe_at = self.now + PROBE_GAP
        return False

    def shortest_statement_timeout(self, service: str) -> float:
        """Return the shortest timeout of a service's statements, in seconds."""
        return self.overdue_time(service) / OVERDUE_SHARE

    def overdue_time(self, service: str) -> float:
        """Return after how many seconds any write of a service is overdue."""
        configuration = self.tables.configuration
        if configuration is None:
            return OVERDUE_DEFAULT
        if configuration.version != self._overdue_for:
            self._overdue_for = configuration.version
            self._overdue = {}
            for route in configuration.routes.values():
                time = OVERDUE_SHARE * route.statement_timeout
                known = self._overdue.get(route.service, time)
                self._overdue[route.service] = min(time, known)
        return self._overdue.get(service, OVERDUE_DEFAULT)

    def is_hanging(self, connection: ConnectionRow) -> bool:
        """Tell whether a connection waits for an answer that can't come by now."""
        service = connection.endpoint.entry.service
        if not connection.pending or not self.is_stalled(self.tables.group(service)):
            return False
        waited = self.now - connection.pending[0].sent_at
        return waited >= self.overdue_time(service)

    def _on_stalled(self, signal: WriteStalled) -> None:
        endpoint = signal.endpoint
        service = endpoint.entry.service
        if self.tables.group(service).primary != endpoint.name:
            return
        stall = self._stalls.setdefault(service, _Stall(endpoint.name))
        stall.writes += 1
        if stall.writes == STALLS:
            stall.probe_at = self.now + PROBE_GAP
            self._node.log(
                "warning", "writes_stall", service=service, primary=endpoint.name
            )
        if stall.writes >= STALLS:
            self._node.publish(PrimaryStalled(endpoint))

    def _on_acknowledged(self, signal: WriteAcknowledged | PrimaryReplicates) -> None:
        self._end(signal.group.service, "one was acknowledged")

    def _on_primary(self, signal: PrimaryChanged) -> None:
        self._end(signal.group.service, "another primary is known, or none")

    def _end(self, service: str, why: str) -> None:
        stall = self._stalls.pop(service, None)
        if stall is not None and stall.writes >= STALLS:
            self._node.log(
                "info",
                "writes_go_on",
                service=service,
                primary=stall.primary,
                unanswered=stall.writes,
                why=why,
            )
