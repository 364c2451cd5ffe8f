"""Which member of a database group serves a statement.

Reports and predictions choose the candidate. They never decide what is correct:
the floor travels with the call, and the answer's own position is checked.
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

# What a statement is expected to take (seconds) at a member that was not used lately.
LATENCY_SAME_DOMAIN = 0.002
LATENCY_SAME_REGION = 0.004
LATENCY_OTHER_REGION = 0.030
LATENCY_WEIGHT = 0.2  # of the newest sample in the moving average
MEASURED_FOR = 2.0  # seconds after which an unused member's average is forgotten
NO_SHARE_COST = 0.1  # seconds, of a member that this host has no connections for
NO_SHARE_ROOM = 0.1
UNHEARD_COST = 0.05  # seconds, of a member whose control stream is broken
WAIT_MIN = 0.003  # seconds between two looks at members that are behind
# Ejection.
EJECTION_ERRORS = 3  # in a row
EJECTION_MIN = 0.5  # seconds; doubles with each ejection in a row
EJECTION_MAX = 30.0
TRIAL = 1.0  # seconds after which a trial without a result counts no more
SLOW_FACTOR = 8.0  # times the best other member's average
SLOW_LATENCY_MIN = 0.1  # seconds; never ejected as slow below this


@dataclass(slots=True)
class _Health:
    """Hold what only routing knows of a member."""

    expected: float  # seconds; by place alone
    measured_at: float = float("-inf")
    ejections: int = 0
    trial_until: float = float("-inf")  # one request tries it after an ejection


class Routing(System):
    """Choose members by proof of position, latency, load and place."""

    __slots__ = ("_health", "_liveness", "_pooling")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._health: dict[str, _Health] = {}

    def start(self) -> None:
        """Find the systems that are asked."""
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
        """Return the best replica that has the floor, or will when asked."""
        best = None
        lowest = float("inf")
        for endpoint in database.endpoints.values():
            if not self._is_replica(endpoint, database):
                continue
            if not self._usable(endpoint, request):
                continue
            cost = self._cost(endpoint)
            if cost < lowest and self._has_floor(endpoint, request):
                best = endpoint
                lowest = cost
        if best is not None:
            self._note_trial(best)
        return best

    def choose_any_read(self, request: RequestRow) -> EndpointRow | None:
        """Return the best replica, or else the primary, without waiting for either."""
        database = self.tables.databases.get(request.database)
        if database is None:
            return None
        best = self.choose_read(request, database)
        return best or self.choose_fallback_read(request, database)

    def replica_wait(self, request: RequestRow, database: DatabaseRow) -> float:
        """Return how long to wait for a replica, 0 when that doesn't pay; seconds.

        A member that said it is behind counts too: it is asked again after the wait.
        """
        left = request.arrived_at + self._node.tuning.replica_wait - self.now
        if left <= 0:
            return 0.0
        shortest = float("inf")
        for endpoint in database.endpoints.values():
            if not self._is_replica(endpoint, database):
                continue
            if self._is_sound(endpoint) and not self._is_failed(endpoint, request):
                reach = self._liveness.predicted_replica_wait(endpoint, request.floor)
                if reach is not None and reach < shortest:
                    shortest = reach
        return max(shortest, WAIT_MIN) if shortest < left else 0.0

    def choose_fallback_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return the primary, or else an ejected replica that has the floor."""
        primary = database.primary_row
        if primary is not None and self._open_to(primary, request):
            return primary
        able = [
            endpoint
            for endpoint in database.endpoints.values()
            if self._open_to(endpoint, request)
            and self._liveness.has_reached(endpoint, request.floor)
        ]
        replicas = [row for row in able if self._is_replica(row, database)]
        return next(iter(replicas or able), None)

    # -- Writes --------------------------------------------------------------

    def choose_write(self, database: DatabaseRow) -> EndpointRow | None:
        """Return the primary, None while writes have to be held."""
        primary = database.primary_row
        if primary is None or primary.is_leaving:
            return None
        if database.state is GroupState.PROMOTING:
            return None
        return primary

    # -- What came of it -----------------------------------------------------

    def record(self, endpoint: EndpointRow, latency: float, ok: bool) -> None:
        """Take in one statement's latency in seconds, or its failure."""
        health = self._health_of(endpoint)
        health.trial_until = float("-inf")
        if ok:
            self._record_success(endpoint, health, latency)
        else:
            endpoint.consecutive_errors += 1
            if self._is_primary(endpoint):
                return  # whether it still leads is for the members to say
            if endpoint.consecutive_errors >= EJECTION_ERRORS or health.ejections:
                self._eject(
                    endpoint, health, f"{endpoint.consecutive_errors} errors in a row"
                )

    def _record_success(
        self, endpoint: EndpointRow, health: _Health, latency: float
    ) -> None:
        endpoint.consecutive_errors = 0
        if self.now - health.measured_at > MEASURED_FOR:
            endpoint.latency = latency
        else:
            endpoint.latency += LATENCY_WEIGHT * (latency - endpoint.latency)
        health.measured_at = self.now
        if endpoint.latency > SLOW_LATENCY_MIN and self._is_slow(endpoint, health):
            self._eject(endpoint, health, f"latency {endpoint.latency:.3f}s")
        else:
            health.ejections = 0

    def _is_slow(self, endpoint: EndpointRow, health: _Health) -> bool:
        database = self.tables.databases.get(endpoint.database)
        if database is None or self._is_primary(endpoint):
            return False
        # Only replicas that could take over: heavy statements make all of them slow,
        # and to eject the last would send its reads to the primary.
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
            best + health.expected
        )

    def _eject(self, endpoint: EndpointRow, health: _Health, why: str) -> None:
        # A member that fails keeps failing for a while: one would see a share of
        # all reads fail, again and again. Growing times keep that share small.
        pause = self._node.backoff(health.ejections, EJECTION_MIN, EJECTION_MAX)
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

    def takes_long(self, request: RequestRow, least: float, factor: float) -> bool:
        """Tell whether a statement takes `factor` times the usual, and `least` s."""
        endpoint = self.tables.endpoints.get(request.address)
        usual = endpoint.latency if endpoint is not None else 0.0
        return self.now - request.sent_at >= max(least, factor * usual)

    # -- Judging a member ----------------------------------------------------

    def _is_replica(self, endpoint: EndpointRow, database: DatabaseRow) -> bool:
        if endpoint.address == database.primary:
            return False
        # A primary that is suspected is none any more, and most likely silent: the
        # reads of a whole failover would be sent there first.
        report = endpoint.report
        return report is None or report.role is not Role.PRIMARY

    def _is_primary(self, endpoint: EndpointRow) -> bool:
        database = self.tables.databases.get(endpoint.database)
        return database is not None and database.primary == endpoint.address

    def _open_to(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        if endpoint.is_leaving:
            return False
        return (
            request.avoided_addresses is None
            or endpoint.address not in request.avoided_addresses
        )

    def _is_failed(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        return not request.behind_count and not self._open_to(endpoint, request)

    def _usable(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        return self._open_to(endpoint, request) and self._is_sound(endpoint)

    def _is_sound(self, endpoint: EndpointRow) -> bool:
        if endpoint.is_leaving:
            return False
        if endpoint.ejected_until > self.now:
            return False
        health = self._health_of(endpoint)
        # One trial request at a time: a flood would fail as a whole.
        return not health.ejections or health.trial_until <= self.now

    def _has_floor(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        if self._liveness.has_reached(endpoint, request.floor):
            return True
        reach = self._liveness.predicted_replica_wait(endpoint, request.floor)
        # It checks the floor when the call arrives, half a round trip from now.
        return reach is not None and reach <= self._latency(endpoint) / 2

    def _cost(self, endpoint: EndpointRow) -> float:
        latency = self._latency(endpoint)
        pool = self._pooling.find_pool(endpoint.address)
        if pool is None:
            return latency
        if not endpoint.is_control_open:
            latency += UNHEARD_COST
        load = pool.active_count + len(pool.queue)
        # Without a share it takes a loan first, and loans may not come.
        room = pool.share or NO_SHARE_ROOM
        return latency * (1.0 + load / room) + (0.0 if pool.share else NO_SHARE_COST)

    def _latency(self, endpoint: EndpointRow) -> float:
        health = self._health_of(endpoint)
        if self.now - health.measured_at > MEASURED_FOR:
            return health.expected
        return endpoint.latency

    def _is_measured(self, endpoint: EndpointRow) -> bool:
        return self.now - self._health_of(endpoint).measured_at <= MEASURED_FOR

    def _note_trial(self, endpoint: EndpointRow) -> None:
        health = self._health_of(endpoint)
        if health.ejections:
            health.trial_until = self.now + TRIAL

    def _health_of(self, endpoint: EndpointRow) -> _Health:
        health = self._health.get(endpoint.address)
        if health is None:
            health = _Health(self._expected(endpoint.member.failure_domain))
            self._health[endpoint.address] = health
        return health

    def _expected(self, failure_domain: str) -> float:
        identity = self._node.identity
        if failure_domain == identity.failure_domain:
            return LATENCY_SAME_DOMAIN
        if identity.region_of(failure_domain) == identity.region:
            return LATENCY_SAME_REGION
        return LATENCY_OTHER_REGION
