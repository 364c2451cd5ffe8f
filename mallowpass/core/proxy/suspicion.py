"""Is a primary gone? What several hosts see decides, not what one does.

A host that can't reach a primary, or sees its writes stall, says so in the store. A
cut between one host and the primary is no reason to replace it; what a share of all
hosts sees at the same time is.
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
    PrimaryHeard,
    PrimaryReplicates,
    PrimaryStalled,
    PrimarySuspected,
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

# A primary that answered something within this time is not silent. A full queue takes
# less.
QUIET = 0.25  # seconds
# Share of the hosts that connect to it that must see it, and how many at the least.
QUORUM_SHARE = 0.25
QUORUM_MIN = 2
# A host that has just started may not know the others yet: it is not alone before.
ALONE_TIME = 10.0  # seconds
REPORT_TIME = 4.0  # seconds that a report in the store counts
REPORT_GAP = 1.5  # seconds between two reports of a host
# Seconds between looks at what others report: doubled with each, as what one waits for
# then is a promotion, of which the entries tell.
LOOK_GAP_MIN = 0.15
LOOK_GAP_MAX = 1.0


@record
class Report:
    """Say that a host suspects a primary; `time` is the store's clock in seconds."""

    primary: str
    time: float
    must_hold: LogPosition  # see durability

    def encode(self) -> str:
        """Return the text that the store keeps."""
        return f"{self.primary} {self.time:.3f} {self.must_hold.text}"

    @classmethod
    def decode(cls, text: str) -> Report:
        """Read what the store keeps; ValueError if it is no report."""
        primary, time, must_hold = text.split(" ")
        if not math.isfinite(float(time)):
            raise ValueError(f"no time: {time!r}")
        return cls(primary, float(time), LogPosition.parse(must_hold))


@dataclass(slots=True)
class _Suspect:
    """Hold what this host suspects of one group's primary."""

    primary: str
    why: str
    since: float
    stalls: bool  # it may well answer reads
    reported_at: float = float("-inf")
    looks: int = 0


class Suspicion(ProxySystem):
    """Watch primaries, report what is wrong, and have them replaced."""

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
        """Subscribe to what tells of primaries."""
        node = self._node
        self._durability = node.system(Durability)
        self._holders = node.system(Holders)
        self._promotion = node.system(Promotion)
        self._store = node.system(Store)
        node.subscribe(EndpointUnreachable, self._on_unreachable)
        node.subscribe(PrimaryStalled, self._on_stalled)
        node.subscribe(PrimaryHeard, self._on_heard)
        node.subscribe(PrimaryReplicates, self._on_acknowledged)
        node.subscribe(WriteAcknowledged, self._on_acknowledged)
        node.subscribe(EndpointRestarted, self._on_restarted)
        node.subscribe(PrimaryChanged, self._on_changed)
        node.subscribe(EraChanged, self._on_era)

    # -- Evidence ------------------------------------------------------------

    def _on_unreachable(self, signal: EndpointUnreachable) -> None:
        endpoint = signal.endpoint
        if self._leads(endpoint) and self._is_silent(endpoint):
            self._suspect(endpoint, f"unreachable: {signal.why}")

    def _on_stalled(self, signal: PrimaryStalled) -> None:
        if self._leads(signal.endpoint):
            self._suspect(signal.endpoint, "writes get no answer", stalls=True)

    def _on_heard(self, signal: PrimaryHeard) -> None:
        # One that can't commit may well answer reads.
        suspect = self._suspects.get(signal.group.service)
        if suspect is not None and not suspect.stalls:
            self._clear(signal.group.service, "it answers")

    def _on_acknowledged(self, signal: WriteAcknowledged | PrimaryReplicates) -> None:
        self._clear(signal.group.service, "it acknowledges writes")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        service = signal.before.entry.service
        suspect = self._suspects.get(service)
        if suspect is not None and suspect.primary == signal.before.name:
            self._clear(service, "it started again")

    def _on_changed(self, signal: PrimaryChanged) -> None:
        service = signal.group.service
        suspect = self._suspects.get(service)
        if suspect is not None and signal.group.primary not in ("", suspect.primary):
            self._clear(service, f"{signal.group.primary} leads")

    def _on_era(self, signal: EraChanged) -> None:
        """Have this host's reports made again: the store may have lost them."""
        for suspect in self._suspects.values():
            suspect.reported_at = float("-inf")

    def _leads(self, endpoint: EndpointRow) -> bool:
        if not self._holders.holds(endpoint.entry.service):
            return False  # what a holder does may look like what the endpoint does
        group = self.tables.group(endpoint.entry.service)
        return group.primary == endpoint.name

    def _is_silent(self, endpoint: EndpointRow) -> bool:
        return endpoint.heard_at < self.now - QUIET or not endpoint.connections

    # -- Reports -------------------------------------------------------------

    def _suspect(self, endpoint: EndpointRow, why: str, stalls: bool = False) -> None:
        service = endpoint.entry.service
        suspect = self._suspects.get(service)
        if suspect is not None and suspect.primary == endpoint.name:
            suspect.stalls |= stalls
            return
        suspect = _Suspect(endpoint.name, why, self.now, stalls)
        self._suspects[service] = suspect
        self._node.log(
            "warning",
            "primary_suspected",
            service=service,
            primary=endpoint.name,
            why=why,
            heard_ago=round(self.now - endpoint.heard_at, 3),
        )
        group = self.tables.group(service)
        group.suspected = True
        self._node.publish(PrimarySuspected(group))
        self._look(service, suspect)

    def _clear(self, service: str, why: str) -> None:
        suspect = self._suspects.pop(service, None)
        if suspect is not None:
            self.tables.group(service).suspected = False
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
        report = Report(suspect.primary, time, self.tables.group(service).must_hold)
        call = ChangeRows(puts=((key, report.encode()),))

        def on_reply(reply: StoreReply) -> None:
            if self._suspects.get(service) is suspect:
                self._look(service, suspect)

        self._node.count("suspicions_reported", service=service)
        self._store.call(call, on_reply)

    def _look(self, service: str, suspect: _Suspect) -> None:
        """Look at what other hosts report, until the matter is settled.

        Whoever finds reports enough makes none: at a crash all hosts of a large fleet
        look within the same second.
        """
        if self._suspects.get(service) is not suspect:
            return

        def on_rows(reply: StoreReply) -> None:
            if self._suspects.get(service) is not suspect:
                return
            enough = False
            if reply.status is StoreStatus.DONE:
                enough = self._judge(service, suspect, reply)
            if not enough and self.now - suspect.reported_at >= REPORT_GAP:
                self._report(service, suspect)
                return
            pause = self._node.backoff(suspect.looks, LOOK_GAP_MIN, LOOK_GAP_MAX)
            suspect.looks += 1
            self.timers.after(pause, self._look, service, suspect)

        self._store.call(ListRows(Table.SUSPICIONS, service), on_rows)

    def _judge(self, service: str, suspect: _Suspect, reply: StoreReply) -> bool:
        """Have the primary replaced if enough hosts suspect it; tell whether."""
        group = self.tables.group(service)
        hosts = {self._node.identity.name}
        for row in reply.rows:
            report = self._read(row)
            if report is None:
                continue
            self._durability.raise_must_hold(group, report.must_hold)
            young = reply.time - report.time < REPORT_TIME
            if report.primary == suspect.primary and young:
                hosts.add(row.key.key)
        if len(hosts) < self._quorum(service):
            return False
        why = f"{suspect.why}; seen by {','.join(sorted(hosts))}"
        reason = Reason.STALLED if suspect.stalls else Reason.SILENT
        self._promotion.replace(group, suspect.primary, reason, why)
        return True

    def _read(self, row: Row) -> Report | None:
        try:
            return Report.decode(str(row.value))
        except ValueError:
            self._node.log("error", "report_unreadable", host=row.key.key)
            return None

    def _quorum(self, service: str) -> int:
        hosts = self._holders.holding_hosts(service)
        if hosts == 1 and self.now >= self._started_at + ALONE_TIME:
            return 1
        return max(QUORUM_MIN, math.ceil(QUORUM_SHARE * hosts))
