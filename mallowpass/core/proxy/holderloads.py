"""Keep the loads that holders report, for the choice among them.

Holders add load reports to their replies; see `loadreporting`. A host that forwards
statements stores the newest report of each holder and endpoint. Reports are no longer
used a second after their arrival, so a holder that fell silent counts as unloaded.
"""

from __future__ import annotations

from dataclasses import replace

from mallowpass.core.proxy.policy.holderchoice import OPENING_TIME, wait_of_own
from mallowpass.core.proxy.policy.loadreports import REPORT_VALIDITY
from mallowpass.core.proxy.statements import Code, EndpointReply, LoadReport
from mallowpass.core.proxy.tables import ConnectionRow, EndpointRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["HolderLoads"]


@record
class _ReceivedReport:
    """A report of a holder, and when it arrived."""

    report: LoadReport
    at: float


class HolderLoads(ProxySystem):
    """Store the load reports of holders, and answer how long statements wait there."""

    __slots__ = ("_ignored_of", "_loaded_until", "_received")

    def start(self) -> None:
        """Start without reports."""
        # By names of the holder and the endpoint.
        self._received: dict[tuple[str, str], _ReceivedReport] = {}
        self._ignored_of: set[str] = set()  # holders of which a report was ignored
        # Time until which a report of a wait above `OPENING_TIME` counts.
        self._loaded_until = float("-inf")

    @property
    def is_in_force(self) -> bool:
        """Return whether settings or configuration ask for load reports."""
        configuration = self.tables.configuration
        has_customers = configuration is not None and bool(configuration.customers)
        return self.tables.overload_control or has_customers

    # -- Queries -------------------------------------------------------------

    @property
    def is_any_loaded(self) -> bool:
        """Return whether any holder lately reported a wait above `OPENING_TIME`."""
        return self.now < self._loaded_until

    def reported_wait(self, holder: str, endpoint: EndpointRow) -> float | None:
        """Return the wait at a holder that it reported, in seconds.

        Return None without a fresh report, or if the holder had no estimate.
        """
        report = self._fresh_report(holder, endpoint)
        return None if report is None else report.wait

    def expected_wait(self, holder: str, endpoint: EndpointRow) -> float | None:
        """Return the wait at a holder by its report, None without a fresh one.

        A holder that sends nothing, as its endpoint does not answer, has no estimate.
        The statements that wait there count then, and those in flight from this host.
        """
        report = self._fresh_report(holder, endpoint)
        if report is None or report.wait is not None:
            return None if report is None else report.wait
        queued = report.queued + self._in_flight(holder, endpoint)
        return wait_of_own(queued, endpoint.latency, endpoint.entry.slots)

    def has_reported(self, holder: str, endpoint: EndpointRow) -> bool:
        """Return whether a holder lately sent a report of an endpoint."""
        return self._fresh_report(holder, endpoint) is not None

    def assumed_wait(self, holder: str, endpoint: EndpointRow) -> float:
        """Return the wait by which a holder is chosen, with or without a report."""
        wait = self.expected_wait(holder, endpoint)
        if wait is not None:
            return wait
        in_flight = self._in_flight(holder, endpoint)
        return wait_of_own(in_flight, endpoint.latency, endpoint.entry.slots)

    def _fresh_report(self, holder: str, endpoint: EndpointRow) -> LoadReport | None:
        received = self._received.get((holder, endpoint.name))
        if received is None or not self._is_fresh(received):
            return None
        return received.report

    @staticmethod
    def _in_flight(holder: str, endpoint: EndpointRow) -> int:
        """Return how many connections by way of a holder have calls in flight."""
        connections = endpoint.connections.values()
        return sum(1 for c in connections if c.holder == holder and c.pending)

    # -- Reports of holders --------------------------------------------------

    def take_report(
        self, connection: ConnectionRow, reply: EndpointReply
    ) -> EndpointReply:
        """Store the load report of a reply; return the reply.

        The load stays in a refusal, for the time to retry. Only holders report loads.
        """
        if reply.load is None and not reply.load_error:
            return reply
        if connection.holder and self.is_in_force:
            self._take(connection, reply)
            if reply.code is Code.BUSY and not reply.load_error:
                return reply
        return replace(reply, load=None, load_error="")

    def _take(self, connection: ConnectionRow, reply: EndpointReply) -> None:
        if reply.load is None:
            self._ignore(connection, reply.load_error)
            return
        connection.accepts_time_left = True
        key = (connection.holder, connection.endpoint.name)
        if key not in self._received:
            self._forget_old()
        self._received[key] = _ReceivedReport(reply.load, self.now)
        if reply.load.wait is not None and reply.load.wait > OPENING_TIME:
            self._loaded_until = self.now + REPORT_VALIDITY

    def _ignore(self, connection: ConnectionRow, why: str) -> None:
        """Count a report that can't be read, and log the first one of each holder."""
        self._node.count("load_reports_ignored")
        holder = connection.holder
        if holder in self._ignored_of:
            return
        if len(self._ignored_of) > len(self.tables.hosts):
            # Holders that are not in the table yet or any more must not have each
            # other's reports logged again and again.
            self._ignored_of &= self.tables.hosts.keys()
        self._ignored_of.add(holder)
        self._node.log(
            "warning",
            "load_report_ignored",
            holder=holder,
            endpoint=connection.endpoint.name,
            why=why,
        )

    def _forget_old(self) -> None:
        """Forget old reports; called when a holder or an endpoint is new."""
        self._received = {
            key: received
            for key, received in self._received.items()
            if self._is_fresh(received)
        }

    def _is_fresh(self, received: _ReceivedReport) -> bool:
        return self.now < received.at + REPORT_VALIDITY
