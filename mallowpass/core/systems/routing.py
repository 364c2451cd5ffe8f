"""The choice of the member of a database group that serves a statement.

The choice rests on reports and predictions of log positions, which may be out of date.
Correctness does not depend on them: the floor is sent with the call, and the position
of the answer is checked.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.calls import Role
from mallowpass.core.node import Node, System
from mallowpass.core.signals import DatabaseChanged
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState, RequestRow

__all__ = ["Routing"]

# Times in seconds.
# Expected latency of a statement at a member that was not used recently.
LATENCY_SAME_DOMAIN = 0.002
LATENCY_SAME_REGION = 0.004
LATENCY_OTHER_REGION = 0.030
LATENCY_WEIGHT = 0.2  # weight of the newest sample in the moving average
LATENCY_TIME_TO_LIVE = 2.0  # the average of a member not used for this time is ignored
# Cost, and capacity in connections, of a member that this host has no share of.
NO_SHARE_COST = 0.1
NO_SHARE_CAPACITY = 0.1
CONTROL_LOST_COST = 0.05  # cost of a member whose control stream is lost
REPLICA_WAIT_MIN = 0.003  # least wait for a replica that has not reached a floor
# Ejection of members that fail or are slow.
EJECTION_ERRORS = 3  # consecutive errors that eject a member
EJECTION_TIME_MIN = 0.5  # doubles with each consecutive ejection
EJECTION_TIME_MAX = 30.0
TRIAL_TIMEOUT = 1.0  # a trial without a result is ignored after this time
SLOW_FACTOR = 8.0  # multiple of the best other replica's latency that ejects a replica
SLOW_LATENCY_MIN = 0.1  # a member is not ejected as slow below this latency


@dataclass(slots=True)
class _MemberHealth:
    """The health of a member as routing measures it."""

    expected_latency: float  # seconds, by failure domain and region
    measured_at: float = float("-inf")  # time of the last latency sample
    ejections: int = 0  # consecutive ejections
    # After an ejection, one request tries the member; no other does until this time.
    trial_until: float = float("-inf")


class Routing(System):
    """Choose members by log position, latency, load and failure domain."""

    __slots__ = ("_health", "_liveness", "_pooling")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._health: dict[str, _MemberHealth] = {}

    def start(self) -> None:
        """Look up the systems that this one calls; subscribe to database changes."""
        self._liveness = self._node.system(liveness_module.Liveness)
        self._pooling = self._node.system(pooling_module.Pooling)
        self._node.subscribe(DatabaseChanged, self._on_database_changed)

    def _on_database_changed(self, signal: DatabaseChanged) -> None:
        for address in signal.removed:
            self._health.pop(address, None)

    # -- Reads ---------------------------------------------------------------

    def choose_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return the best replica that has the floor by the time the call arrives."""
        best = None
        lowest = float("inf")
        for endpoint in database.endpoints.values():
            if not self._is_replica(endpoint, database):
                continue
            if not self._is_usable(endpoint, request):
                continue
            cost = self._cost(endpoint)
            if cost < lowest and self._has_floor(endpoint, request):
                best = endpoint
                lowest = cost
        if best is not None:
            self._start_trial(best)
        return best

    def choose_any_read(self, request: RequestRow) -> EndpointRow | None:
        """Return the best replica or else a fallback, without waiting for a replica."""
        database = self.tables.databases.get(request.database)
        if database is None:
            return None
        best = self.choose_read(request, database)
        return best or self.choose_fallback_read(request, database)

    def replica_wait(self, request: RequestRow, database: DatabaseRow) -> float:
        """Return how many seconds to wait for a replica, 0 if no wait is worthwhile.

        A member that refused the read as behind counts too: the read is sent there
        again after the wait.
        """
        left = request.arrived_at + self._node.tuning.replica_wait - self.now
        if left <= 0:
            return 0.0
        shortest = float("inf")
        for endpoint in database.endpoints.values():
            if not self._is_replica(endpoint, database):
                continue
            if self._is_healthy(endpoint) and not self._has_failed(endpoint, request):
                reach = self._liveness.predicted_replica_wait(endpoint, request.floor)
                if reach is not None and reach < shortest:
                    shortest = reach
        return max(shortest, REPLICA_WAIT_MIN) if shortest < left else 0.0

    def choose_fallback_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return the primary, or else an ejected replica that has reached the floor."""
        primary = database.primary_row
        if primary is not None and self._is_open_to(primary, request):
            return primary
        usable = [
            endpoint
            for endpoint in database.endpoints.values()
            if self._is_open_to(endpoint, request)
            and self._liveness.has_reached(endpoint, request.floor)
        ]
        replicas = [row for row in usable if self._is_replica(row, database)]
        return next(iter(replicas or usable), None)

    # -- Writes --------------------------------------------------------------

    def choose_write(self, database: DatabaseRow) -> EndpointRow | None:
        """Return the primary, or None while writes have to be held."""
        primary = database.primary_row
        if primary is None or primary.is_leaving:
            return None
        if database.state is GroupState.PROMOTING:
            return None
        return primary

    # -- Results of statements -----------------------------------------------

    def record(self, endpoint: EndpointRow, latency: float, ok: bool) -> None:
        """Record the latency of a statement in seconds, or its failure."""
        health = self._health_of(endpoint)
        health.trial_until = float("-inf")
        if ok:
            self._record_success(endpoint, health, latency)
        else:
            endpoint.consecutive_errors += 1
            if self._is_primary(endpoint):
                return  # a primary is replaced by failover, never ejected
            if endpoint.consecutive_errors >= EJECTION_ERRORS or health.ejections:
                self._eject(
                    endpoint, health, f"{endpoint.consecutive_errors} errors in a row"
                )

    def _record_success(
        self, endpoint: EndpointRow, health: _MemberHealth, latency: float
    ) -> None:
        endpoint.consecutive_errors = 0
        if self.now - health.measured_at > LATENCY_TIME_TO_LIVE:
            endpoint.latency = latency
        else:
            endpoint.latency += LATENCY_WEIGHT * (latency - endpoint.latency)
        health.measured_at = self.now
        if endpoint.latency > SLOW_LATENCY_MIN and self._is_slow(endpoint, health):
            self._eject(endpoint, health, f"latency {endpoint.latency:.3f}s")
        else:
            health.ejections = 0

    def _is_slow(self, endpoint: EndpointRow, health: _MemberHealth) -> bool:
        database = self.tables.databases.get(endpoint.database)
        if database is None or self._is_primary(endpoint):
            return False
        # Compared with the replicas in use only. Heavy statements make all replicas
        # slow, and ejecting the last one would send its reads to the primary.
        others = [
            other.latency
            for other in database.endpoints.values()
            if other is not endpoint
            and other.address != database.primary
            and other.ejected_until <= self.now
            and self._is_measured(other)
        ]
        best = min(others, default=None)
        return best is not None and endpoint.latency > SLOW_FACTOR * (
            best + health.expected_latency
        )

    def _eject(self, endpoint: EndpointRow, health: _MemberHealth, why: str) -> None:
        # A member that fails usually keeps failing for a while. Without growing
        # ejection times, a share of all reads would fail repeatedly.
        pause = self._node.backoff(
            health.ejections, EJECTION_TIME_MIN, EJECTION_TIME_MAX
        )
        health.ejections = min(health.ejections + 1, 10)
        endpoint.ejected_until = self.now + pause
        text = f"ejected for {pause:.3f}s: {why}"
        self._node.record_decision("route", endpoint.address, text)
        self._node.log(
            "warning",
            "endpoint_ejected",
            address=endpoint.address,
            seconds=round(pause, 3),
            why=why,
        )

    def is_overdue(self, request: RequestRow, least: float, factor: float) -> bool:
        """Return whether a statement took `least` seconds and `factor` times the usual.

        The usual latency is the moving average of the statement's member.
        """
        endpoint = self.tables.endpoints.get(request.address)
        usual = endpoint.latency if endpoint is not None else 0.0
        return self.now - request.sent_at >= max(least, factor * usual)

    # -- Members -------------------------------------------------------------

    def _is_replica(self, endpoint: EndpointRow, database: DatabaseRow) -> bool:
        if endpoint.address == database.primary:
            return False
        # A suspected primary is no longer `database.primary`. It is most likely
        # unresponsive, and would otherwise be sent the reads of a whole failover.
        report = endpoint.report
        return report is None or report.role is not Role.PRIMARY

    def _is_primary(self, endpoint: EndpointRow) -> bool:
        database = self.tables.databases.get(endpoint.database)
        return database is not None and database.primary == endpoint.address

    def _is_open_to(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        if endpoint.is_leaving:
            return False
        return (
            request.avoided_addresses is None
            or endpoint.address not in request.avoided_addresses
        )

    def _has_failed(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        """Return whether a member failed to serve a request without being behind."""
        return not request.behind_count and not self._is_open_to(endpoint, request)

    def _is_usable(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        return self._is_open_to(endpoint, request) and self._is_healthy(endpoint)

    def _is_healthy(self, endpoint: EndpointRow) -> bool:
        if endpoint.is_leaving:
            return False
        if endpoint.ejected_until > self.now:
            return False
        health = self._health_of(endpoint)
        # One trial request at a time: if the member still fails, no other request does.
        return not health.ejections or health.trial_until <= self.now

    def _has_floor(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        if self._liveness.has_reached(endpoint, request.floor):
            return True
        reach = self._liveness.predicted_replica_wait(endpoint, request.floor)
        # The member checks the floor when the call arrives, half a round trip from now.
        return reach is not None and reach <= self._latency_estimate(endpoint) / 2

    def _cost(self, endpoint: EndpointRow) -> float:
        latency = self._latency_estimate(endpoint)
        pool = self._pooling.find_pool(endpoint.address)
        if pool is None:
            return latency
        if not endpoint.is_control_open:
            latency += CONTROL_LOST_COST
        load = pool.active_count + len(pool.queue)
        # Without a share, connections must be borrowed from other hosts first, which
        # may have none to lend.
        room = pool.share or NO_SHARE_CAPACITY
        return latency * (1.0 + load / room) + (0.0 if pool.share else NO_SHARE_COST)

    def _latency_estimate(self, endpoint: EndpointRow) -> float:
        health = self._health_of(endpoint)
        if self.now - health.measured_at > LATENCY_TIME_TO_LIVE:
            return health.expected_latency
        return endpoint.latency

    def _is_measured(self, endpoint: EndpointRow) -> bool:
        return self.now - self._health_of(endpoint).measured_at <= LATENCY_TIME_TO_LIVE

    def _start_trial(self, endpoint: EndpointRow) -> None:
        health = self._health_of(endpoint)
        if health.ejections:
            health.trial_until = self.now + TRIAL_TIMEOUT

    def _health_of(self, endpoint: EndpointRow) -> _MemberHealth:
        health = self._health.get(endpoint.address)
        if health is None:
            health = _MemberHealth(
                self._expected_latency(endpoint.member.failure_domain)
            )
            self._health[endpoint.address] = health
        return health

    def _expected_latency(self, failure_domain: str) -> float:
        identity = self._node.identity
        if failure_domain == identity.failure_domain:
            return LATENCY_SAME_DOMAIN
        if identity.region_of(failure_domain) == identity.region:
            return LATENCY_SAME_REGION
        return LATENCY_OTHER_REGION
