"""Which member of a database group serves a statement.

Reports and predictions choose the candidate. They never decide what is correct:
the floor travels with the call, and the answer's own position is checked.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node, System
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.tables import DatabaseRow, EndpointRow, GroupState, RequestRow

__all__ = ["Routing"]

# What a statement is expected to take (seconds) at a member not measured lately.
LATENCY_SAME_DOMAIN = 0.002
LATENCY_SAME_REGION = 0.004
LATENCY_OTHER_REGION = 0.030
LATENCY_WEIGHT = 0.2  # of the newest sample in the moving average
MEASURED_FOR = 2.0  # seconds after which an unused member's average is forgotten
NO_SHARE_COST = 0.1  # seconds, of a member that this host has no connections for
NO_SHARE_ROOM = 0.1
# Ejection.
ERRORS_MAX = 3  # in a row
EJECTION_MIN = 0.5  # seconds; doubles with each ejection in a row
EJECTION_MAX = 30.0
SLOW_FACTOR = 8.0  # times the best other member's average
SLOW_MIN = 0.1  # seconds; never ejected as slow below this


@dataclass(slots=True)
class _Health:
    """Hold what only routing knows of a member."""

    expected: float  # seconds; by place alone
    measured_at: float = float("-inf")
    ejections: int = 0
    trial: int = 0  # request that tries the member after an ejection; 0: none


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

    # -- Reads ---------------------------------------------------------------

    def choose_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return the best replica that has the floor, or will when asked."""
        best = None
        lowest = float("inf")
        for endpoint in database.endpoints.values():
            if endpoint.address == database.primary:
                continue
            if not self._usable(endpoint, request):
                continue
            cost = self._cost(endpoint)
            if cost < lowest and self._has_floor(endpoint, request):
                best = endpoint
                lowest = cost
        if best is not None:
            self._note_trial(best, request)
        return best

    def replica_wait(self, request: RequestRow, database: DatabaseRow) -> float:
        """Return how long to wait for a replica, 0 when that doesn't pay; seconds."""
        shortest = float("inf")
        for endpoint in database.endpoints.values():
            if endpoint.address == database.primary:
                continue
            if self._usable(endpoint, request):
                reach = self._liveness.predicted_reach(endpoint, request.floor)
                if reach is not None and reach < shortest:
                    shortest = reach
        longest = min(self._node.tuning.replica_wait, request.expires - self.now)
        return shortest if shortest < longest else 0.0

    def choose_primary_read(
        self, request: RequestRow, database: DatabaseRow
    ) -> EndpointRow | None:
        """Return the primary for a read that no replica can serve."""
        primary = database.primary_row
        if primary is None or primary.leaving or self._avoids(request, primary):
            return None
        return primary

    # -- Writes --------------------------------------------------------------

    def choose_write(self, database: DatabaseRow) -> EndpointRow | None:
        """Return the primary, None while writes have to be held."""
        primary = database.primary_row
        if primary is None or primary.leaving:
            return None
        if database.state is GroupState.PROMOTING:
            return None
        return primary

    # -- What came of it -----------------------------------------------------

    def record(self, endpoint: EndpointRow, latency: float, ok: bool) -> None:
        """Take in one statement's latency in seconds, or its failure."""
        health = self._health_of(endpoint)
        health.trial = 0
        if ok:
            self._record_success(endpoint, health, latency)
        else:
            endpoint.errors += 1
            if endpoint.errors >= ERRORS_MAX or health.ejections:
                self._eject(endpoint, health, f"{endpoint.errors} errors in a row")

    def forget_trial(self, request: RequestRow) -> None:
        """Let another request try a member whose trial request was given up."""
        health = self._health.get(request.address)
        if health is not None and health.trial == request.number:
            health.trial = 0

    def _record_success(
        self, endpoint: EndpointRow, health: _Health, latency: float
    ) -> None:
        endpoint.errors = 0
        if self.now - health.measured_at > MEASURED_FOR:
            endpoint.latency = latency
        else:
            endpoint.latency += LATENCY_WEIGHT * (latency - endpoint.latency)
        health.measured_at = self.now
        if endpoint.latency <= SLOW_MIN:
            health.ejections = 0
        elif self._is_slow(endpoint, health):
            self._eject(endpoint, health, f"latency {endpoint.latency:.3f}s")

    def _is_slow(self, endpoint: EndpointRow, health: _Health) -> bool:
        database = self.tables.databases.get(endpoint.database)
        if database is None or database.primary == endpoint.address:
            return False
        others = [
            other.latency
            for other in database.endpoints.values()
            if other is not endpoint and self._is_measured(other)
        ]
        best = min(others, default=None)
        return best is not None and endpoint.latency > SLOW_FACTOR * (
            best + health.expected
        )

    def _eject(self, endpoint: EndpointRow, health: _Health, why: str) -> None:
        # A member that fails keeps failing for a while: one would see a share of
        # all reads fail, again and again. Growing times keep that share small.
        longest = min(EJECTION_MAX, EJECTION_MIN * 2.0**health.ejections)
        health.ejections = min(health.ejections + 1, 10)
        pause = self._node.random.uniform(longest / 2, longest)
        endpoint.ejected_until = self.now + pause
        text = f"ejected for {pause:.3f}s: {why}"
        self._node.decide("route", endpoint.address, text)
        self._node.log(
            "WARNING",
            "endpoint_ejected",
            address=endpoint.address,
            seconds=round(pause, 3),
            why=why,
        )

    # -- Judging a member ----------------------------------------------------

    def _usable(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        if endpoint.leaving or self._avoids(request, endpoint):
            return False
        if endpoint.ejected_until > self.now:
            return False
        health = self._health_of(endpoint)
        # One trial request at a time: a flood would fail as a whole.
        return not health.ejections or health.trial in (0, request.number)

    def _avoids(self, request: RequestRow, endpoint: EndpointRow) -> bool:
        return request.avoided is not None and endpoint.address in request.avoided

    def _has_floor(self, endpoint: EndpointRow, request: RequestRow) -> bool:
        if self._liveness.reached(endpoint, request.floor):
            return True
        reach = self._liveness.predicted_reach(endpoint, request.floor)
        # It checks the floor when the call arrives, half a round trip from now.
        return reach is not None and reach <= self._latency(endpoint) / 2

    def _cost(self, endpoint: EndpointRow) -> float:
        latency = self._latency(endpoint)
        pool = self._pooling.known_pool(endpoint.address)
        if pool is None:
            return latency
        load = pool.active + len(pool.queue)
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

    def _note_trial(self, endpoint: EndpointRow, request: RequestRow) -> None:
        health = self._health_of(endpoint)
        if health.ejections:
            health.trial = request.number

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
