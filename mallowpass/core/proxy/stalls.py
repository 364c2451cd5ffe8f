"""Primaries whose writes stall: detection, and refusal of further writes.

A primary whose replicas receive nothing still answers reads, but its writes wait. A
waiting write occupies its connection until the connection is closed as dead, its caller
cannot repeat it, and soon reads find no free connection either. After a few such
writes, only one write is sent as a probe now and then, to find out whether it is
acknowledged. All others are refused, so that their callers may repeat them. Where a few
hosts hold all connections, these holders refuse writes for the other hosts too: each
other host sends few writes, and would let some of them wait before it detected a stall.

The successor of a failed primary acknowledges nothing until its replicas are resumed,
which may have to wait for the failed primary. So each host sends it one commit at
first, and the others once that one is acknowledged.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import (
    PrimaryChanged,
    PrimaryStalled,
    ReplicationConfirmed,
    WriteAcknowledged,
    WritesReleased,
    WriteStalled,
)
from mallowpass.core.proxy.statements import Access, Commit
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    GroupRow,
    ProxySystem,
    RequestRow,
)

__all__ = ["OVERDUE_SHARE", "WRITES_STALLED_MESSAGE", "Stalls"]

# A write without an answer after this share of its timeout is overdue.
OVERDUE_SHARE = 0.45
OVERDUE_DEFAULT = 0.36  # seconds, as a service without routes has no timeout
# Overdue writes, without an acknowledged write in between, that make a stall.
STALL_THRESHOLD = 2
# Seconds between two probes that one host sends. About as long as the timeout of
# statements, so that one or two probes are in flight.
PROBE_INTERVAL = 1.0

WRITES_STALLED_MESSAGE = "no replica acknowledges writes; try again in a moment"


@dataclass(slots=True)
class _Stall:
    """The overdue writes of a primary that has acknowledged none since."""

    primary: str
    writes: int = 0
    probe_at: float = 0.0  # time of the next probe; until then writes are refused
    is_successor: bool = False  # of a failed primary, and has acknowledged no write yet


class Stalls(ProxySystem):
    """Detect stalled writes, and decide which further writes are refused."""

    __slots__ = ("_overdue_times", "_overdue_version", "_stalls")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._stalls: dict[str, _Stall] = {}  # by service
        self._overdue_times: dict[str, float] = {}  # seconds, by service
        self._overdue_version = 0  # version of the configuration they are taken from

    def start(self) -> None:
        """Subscribe to acknowledged and to overdue writes."""
        self._node.subscribe(WriteStalled, self._on_write_stalled)
        self._node.subscribe(ReplicationConfirmed, self._on_acknowledged)
        self._node.subscribe(WriteAcknowledged, self._on_acknowledged)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def is_stalled(self, group: GroupRow) -> bool:
        """Return whether the writes at a group's primary stall."""
        stall = self._stalls.get(group.service)
        return stall is not None and stall.writes >= STALL_THRESHOLD

    def should_refuse(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether to refuse a statement now; its probe is not used up."""
        if not _is_single_write(request) or not self.is_stalled(group):
            return False
        return self.now < self._stalls[group.service].probe_at

    def note_sent(self, request: RequestRow, group: GroupRow) -> None:
        """Record that a statement was sent; while writes stall, a write is the probe.

        A write that finds no connection must not use up the probe: no write would be
        sent before the next one is due.
        """
        if _is_single_write(request) and self.is_stalled(group):
            self._stalls[group.service].probe_at = self.now + PROBE_INTERVAL

    def must_wait(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether a commit waits for the first acknowledgement of a successor.

        At most one commit of this host is in flight until then.
        """
        stall = self._stalls.get(group.service)
        if stall is None or not stall.is_successor:
            return False
        return _commits(request) and _awaits_commit(group)

    def should_refuse_write(self, group: GroupRow) -> bool:
        """Return whether to refuse a write of another host now.

        While writes stall, a write that is not refused is the probe, and the next probe
        is due `PROBE_INTERVAL` later.
        """
        if not self.is_stalled(group):
            return False
        stall = self._stalls[group.service]
        if self.now < stall.probe_at:
            return True
        stall.probe_at = self.now + PROBE_INTERVAL
        return False

    def await_acknowledgement(self, group: GroupRow) -> None:
        """Have commits wait for a first one at the successor of a failed primary."""
        self._stalls[group.service] = _Stall(group.primary, is_successor=True)

    def shortest_statement_timeout(self, service: str) -> float:
        """Return the shortest timeout of a service's routes, in seconds."""
        return self.overdue_time(service) / OVERDUE_SHARE

    def overdue_time(self, service: str) -> float:
        """Return the seconds after which any write of a service is overdue."""
        configuration = self.tables.configuration
        if configuration is None:
            return OVERDUE_DEFAULT
        if configuration.version != self._overdue_version:
            self._overdue_version = configuration.version
            self._overdue_times = {}
            for route in configuration.routes.values():
                time = OVERDUE_SHARE * route.statement_timeout
                known = self._overdue_times.get(route.service, time)
                self._overdue_times[route.service] = min(time, known)
        return self._overdue_times.get(service, OVERDUE_DEFAULT)

    def is_hanging(self, connection: ConnectionRow) -> bool:
        """Return whether an overdue statement blocks a connection during a stall."""
        service = connection.endpoint.entry.service
        if not connection.pending or not self.is_stalled(self.tables.group(service)):
            return False
        waited = self.now - connection.pending[0].sent_at
        return waited >= self.overdue_time(service)

    def _on_write_stalled(self, signal: WriteStalled) -> None:
        endpoint = signal.endpoint
        service = endpoint.entry.service
        if self.tables.group(service).primary != endpoint.name:
            return
        stall = self._stalls.setdefault(service, _Stall(endpoint.name))
        stall.writes += 1
        if stall.writes == STALL_THRESHOLD:
            stall.probe_at = self.now + PROBE_INTERVAL
            self._node.log(
                "warning", "writes_stall", service=service, primary=endpoint.name
            )
        if stall.writes >= STALL_THRESHOLD:
            self._node.publish(PrimaryStalled(endpoint))

    def _on_acknowledged(
        self, signal: WriteAcknowledged | ReplicationConfirmed
    ) -> None:
        self._end(signal.group.service, "a write was acknowledged")

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        stall = self._stalls.get(signal.group.service)
        if stall is not None and stall.primary != signal.group.primary:
            self._end(signal.group.service, "the primary changed")

    def _end(self, service: str, why: str) -> None:
        stall = self._stalls.pop(service, None)
        if stall is None:
            return
        if stall.writes >= STALL_THRESHOLD:
            self._node.log(
                "info",
                "writes_go_on",
                service=service,
                primary=stall.primary,
                unanswered=stall.writes,
                why=why,
            )
        if stall.is_successor:
            self._node.publish(WritesReleased(self.tables.group(service)))


def _is_single_write(request: RequestRow) -> bool:
    return request.access is Access.WRITE and request.transaction is None


def _commits(request: RequestRow) -> bool:
    """Return whether a statement commits writes by itself or of its transaction."""
    if request.transaction is None:
        return request.access is Access.WRITE
    return isinstance(request.statement, Commit) and request.commits_writes


def _awaits_commit(group: GroupRow) -> bool:
    """Return whether a commit is in flight at a primary, directly or by a holder."""
    primary = group.primary_row
    connections = () if primary is None else primary.connections.values()
    return any(batch.may_commit for c in connections for batch in c.pending)
