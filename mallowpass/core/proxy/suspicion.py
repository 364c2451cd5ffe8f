"""Detection of failed primaries: a primary is replaced once enough hosts suspect it.

A host that cannot reach a primary, or sees the primary's writes stall, reports that in
the store. One host may merely be cut off from a healthy primary, so the primary is
replaced only if a share of the hosts that connect to it suspect it at the same time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.replacement import Reason
from mallowpass.core.proxy.signals import (
    EndpointRestarted,
    EndpointUnreachable,
    EraChanged,
    PrimaryChanged,
    PrimaryConfirmed,
    PrimaryStalled,
    PrimarySuspected,
    ReplicationConfirmed,
    WriteAcknowledged,
)
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["Suspicion"]

# Seconds without a reply after which a primary counts as unresponsive. The wait in a
# full queue is shorter.
UNRESPONSIVE_TIMEOUT = 0.25
# A primary is replaced once this share of the hosts that connect to it suspect it, and
# at least this number of hosts.
QUORUM_SHARE = 0.25
QUORUM_MIN = 2
# Seconds after its start before a host may conclude that it is the only host: until
# then it may not know the others.
ONLY_HOST_DELAY = 10.0
REPORT_LIFETIME = 4.0  # seconds for which a report in the store counts
REPORT_INTERVAL = 1.5  # seconds between two reports of a host
# Seconds between two reads of the other hosts' reports. The interval doubles with each
# read: after the first few the host waits for a promotion, and that shows in the
# endpoints' entries.
POLL_INTERVAL_MIN = 0.15
POLL_INTERVAL_MAX = 1.0


@record
class SuspicionReport:
    """A host's report, kept in the store, that it suspects a primary.

    `time` is the time of the store's clock in seconds.
    """

    primary: str
    time: float
    must_hold: LogPosition  # position proven to be acknowledged; see `durability`

    def encode(self) -> str:
        """Return the text that is stored."""
        return f"{self.primary} {self.time:.3f} {self.must_hold.text}"

    @classmethod
    def decode(cls, text: str) -> SuspicionReport:
        """Parse a stored text; raise ValueError if it is not a report."""
        primary, time, must_hold = text.split(" ")
        if not math.isfinite(float(time)):
            raise ValueError(f"time of a report is not finite: {time!r}")
        return cls(primary, float(time), LogPosition.parse(must_hold))


@dataclass(slots=True)
class _Suspect:
    """The primary of a group that this host suspects."""

    primary: str
    why: str
    since: float
    is_stalled: bool  # acknowledges no writes, though it may answer reads
    reported_at: float = float("-inf")
    polls: int = 0


class Suspicion(ProxySystem):
    """Report suspected primaries, and replace those that enough hosts suspect."""

    __slots__ = (
        "_durability",
        "_holders",
        "_promotion",
        "_started_at",
        "_store",
        "_suspects",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._started_at = node.timers.now
        self._suspects: dict[str, _Suspect] = {}  # by service

    def start(self) -> None:
        """Subscribe to signals about the state of primaries."""
        node = self._node
        self._durability = node.system(Durability)
        self._holders = node.system(Holders)
        self._promotion = node.system(Promotion)
        self._store = node.system(Store)
        node.subscribe(EndpointUnreachable, self._on_unreachable)
        node.subscribe(PrimaryStalled, self._on_primary_stalled)
        node.subscribe(PrimaryConfirmed, self._on_primary_confirmed)
        node.subscribe(ReplicationConfirmed, self._on_acknowledged)
        node.subscribe(WriteAcknowledged, self._on_acknowledged)
        node.subscribe(EndpointRestarted, self._on_restarted)
        node.subscribe(PrimaryChanged, self._on_primary_changed)
        node.subscribe(EraChanged, self._on_era_changed)

    # -- Evidence ------------------------------------------------------------

    def _on_unreachable(self, signal: EndpointUnreachable) -> None:
        endpoint = signal.endpoint
        if self._is_watched_primary(endpoint) and self._is_unresponsive(endpoint):
            self._suspect(endpoint, f"unreachable: {signal.why}")

    def _on_primary_stalled(self, signal: PrimaryStalled) -> None:
        if self._is_watched_primary(signal.endpoint):
            self._suspect(signal.endpoint, "writes get no answer", is_stalled=True)

    def _on_primary_confirmed(self, signal: PrimaryConfirmed) -> None:
        # A stalled primary may go on to answer reads, so an answer does not clear it.
        suspect = self._suspects.get(signal.group.service)
        if suspect is not None and not suspect.is_stalled:
            self._clear(signal.group.service, "primary answers again")

    def _on_acknowledged(
        self, signal: WriteAcknowledged | ReplicationConfirmed
    ) -> None:
        self._clear(signal.group.service, "primary acknowledges writes")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        service = signal.previous.entry.service
        suspect = self._suspects.get(service)
        if suspect is not None and suspect.primary == signal.previous.name:
            self._clear(service, "primary restarted")

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        service = signal.group.service
        suspect = self._suspects.get(service)
        if suspect is not None and signal.group.primary not in ("", suspect.primary):
            self._clear(service, f"{signal.group.primary} is primary")

    def _on_era_changed(self, signal: EraChanged) -> None:
        """Report again at the next poll: the store may have lost earlier reports."""
        for suspect in self._suspects.values():
            suspect.reported_at = float("-inf")

    def _is_watched_primary(self, endpoint: EndpointRow) -> bool:
        """Return whether an endpoint is a primary that this host connects to itself.

        To a host behind a holder, a fault of the holder looks like a fault of the
        endpoint.
        """
        if not self._holders.holds(endpoint.entry.service):
            return False
        group = self.tables.group(endpoint.entry.service)
        return group.primary == endpoint.name

    def _is_unresponsive(self, endpoint: EndpointRow) -> bool:
        return (
            endpoint.last_reply_at < self.now - UNRESPONSIVE_TIMEOUT
            or not endpoint.connections
        )

    # -- Reports -------------------------------------------------------------

    def _suspect(
        self, endpoint: EndpointRow, why: str, is_stalled: bool = False
    ) -> None:
        service = endpoint.entry.service
        suspect = self._suspects.get(service)
        if suspect is not None and suspect.primary == endpoint.name:
            suspect.is_stalled |= is_stalled
            return
        suspect = _Suspect(endpoint.name, why, self.now, is_stalled)
        self._suspects[service] = suspect
        self._node.log(
            "warning",
            "primary_suspected",
            service=service,
            primary=endpoint.name,
            why=why,
            heard_ago=round(self.now - endpoint.last_reply_at, 3),
        )
        group = self.tables.group(service)
        group.is_suspected = True
        self._node.publish(PrimarySuspected(group))
        self._poll_reports(service, suspect)

    def _clear(self, service: str, why: str) -> None:
        suspect = self._suspects.pop(service, None)
        if suspect is not None:
            self.tables.group(service).is_suspected = False
            self._node.log(
                "info",
                "primary_cleared",
                service=service,
                primary=suspect.primary,
                why=why,
                after=round(self.now - suspect.since, 3),
            )

    def _report(self, service: str, suspect: _Suspect) -> None:
        suspect.reported_at = self.now
        time = self._store.time or 0.0
        key = RowKey(Table.SUSPICIONS, service, self._node.identity.name)
        report = SuspicionReport(
            suspect.primary, time, self.tables.group(service).must_hold
        )
        call = ChangeRows(puts=((key, report.encode()),))

        def on_reply(reply: StoreReply) -> None:
            if self._suspects.get(service) is suspect:
                self._poll_reports(service, suspect)

        self._node.count("suspicions_reported", service=service)
        self._store.call(call, on_reply)

    def _poll_reports(self, service: str, suspect: _Suspect) -> None:
        """Read the other hosts' reports, until the suspicion ends.

        A host that finds enough reports writes none: when a primary crashes, all hosts
        of a large fleet read the reports within the same second.
        """
        if self._suspects.get(service) is not suspect:
            return

        def on_rows(reply: StoreReply) -> None:
            if self._suspects.get(service) is not suspect:
                return
            is_confirmed = False
            if reply.status is StoreStatus.DONE:
                is_confirmed = self._replace_if_confirmed(service, suspect, reply)
            if not is_confirmed and self.now - suspect.reported_at >= REPORT_INTERVAL:
                self._report(service, suspect)
                return
            pause = self._node.backoff(
                suspect.polls, POLL_INTERVAL_MIN, POLL_INTERVAL_MAX
            )
            suspect.polls += 1
            self.timers.after(pause, self._poll_reports, service, suspect)

        self._store.call(ListRows(Table.SUSPICIONS, service), on_rows)

    def _replace_if_confirmed(
        self, service: str, suspect: _Suspect, reply: StoreReply
    ) -> bool:
        """Replace the primary if enough hosts suspect it; return whether they do."""
        group = self.tables.group(service)
        hosts = {self._node.identity.name}
        for row in reply.rows:
            report = self._decode(row)
            if report is None:
                continue
            self._durability.raise_must_hold(group, report.must_hold)
            is_recent = reply.time - report.time < REPORT_LIFETIME
            if report.primary == suspect.primary and is_recent:
                hosts.add(row.key.key)
        if len(hosts) < self._quorum(service):
            return False
        why = f"{suspect.why}; seen by {','.join(sorted(hosts))}"
        reason = Reason.STALLED if suspect.is_stalled else Reason.UNAVAILABLE
        replace = self._promotion.replace
        self._node.guard(replace, group, suspect.primary, reason, why)
        return True

    def _decode(self, row: Row) -> SuspicionReport | None:
        try:
            return SuspicionReport.decode(str(row.value))
        except ValueError:
            self._node.log("error", "report_unreadable", host=row.key.key)
            return None

    def _quorum(self, service: str) -> int:
        hosts = self._holders.holder_count(service)
        if hosts == 1 and self.now >= self._started_at + ONLY_HOST_DELAY:
            return 1
        return max(QUORUM_MIN, math.ceil(QUORUM_SHARE * hosts))
