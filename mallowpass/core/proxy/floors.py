"""Floors: the position that a read's log must have reached.

The primary's position, learnt from statements that it ran anyway, bounds what was
acknowledged before these were sent. A replica that has reached such a position holds
every commit that is older.
"""

from __future__ import annotations

import math

from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.configuration import Consistency, Route
from mallowpass.core.proxy.leadership import Leadership, ProofHandler
from mallowpass.core.proxy.signals import (
    FloorReceived,
    PrimaryConfirmed,
    ReplicasBehind,
    ReplicaStuck,
)
from mallowpass.core.proxy.statements import LogPosition
from mallowpass.core.proxy.tables import (
    EndpointRow,
    FloorSample,
    GroupRow,
    ProxySystem,
    RequestRow,
    SessionRow,
)

__all__ = ["Floors"]

# A floor is taken as if the accepted age were this much shorter: clocks of two
# machines do not run at quite the same speed.
AGE_MARGIN = 0.05  # seconds
SAMPLE_GAP = 0.02  # seconds; samples closer to each other than that are not kept
SAMPLES_MAX = 256
# A replica that lacked a floor is not asked for a newer one for so long, and for twice
# as long with each further refusal; in seconds. Its lag is usually far below the first;
# one that stays behind for long would be asked by each host with each read, and its
# refusals fill the connections.
BEHIND_PAUSE_MIN = 0.05
BEHIND_PAUSE_MAX = 0.8
# A replica that has refused all reads for so long may receive nothing at all; twice as
# long with each time that it was told, as it may be its lag.
STUCK_TIME = 9.0  # seconds
# All replicas of a group that refuse all reads for so long leave them to the primary.
BEHIND_TIME = 1.2  # seconds
AGE_MAX = 60.0  # seconds that samples are kept, whatever age a read accepts
# What a primary had so long ago, each replica that receives has received: in seconds.
SETTLED_TIME = 0.5


class Floors(ProxySystem):
    """Keep samples of primaries' positions, and derive floors from them."""

    __slots__ = ("_leadership",)

    def start(self) -> None:
        """Subscribe to samples of other hosts."""
        self._leadership = self._node.system(Leadership)
        self._node.subscribe(FloorReceived, self._on_learnt)

    def _on_learnt(self, signal: FloorReceived) -> None:
        self._keep(signal.group, signal.position, signal.asked_at)

    def record_sample(
        self, group: GroupRow, position: LogPosition, asked_at: float
    ) -> None:
        """Record what a primary answered to a question that was sent at `asked_at`.

        It counts as asked when the primary was last known to lead alone: the log of one
        that was replaced lacks what its successor has acknowledged since.
        """
        if self._keep(
            group, position, self._leadership.sole_primary_until(group, asked_at)
        ):
            self._node.publish(PrimaryConfirmed(group))

    @staticmethod
    def _keep(group: GroupRow, position: LogPosition, asked_at: float) -> bool:
        """Keep a sample that is newer than the others; tell whether it is."""
        samples = group.samples
        if samples and math.isinf(samples[-1].asked_at):
            samples.pop()  # it was never proven, and any other one tells as much
        if samples and asked_at - samples[-1].asked_at < SAMPLE_GAP:
            return False
        samples.append(FloorSample(asked_at, position))
        group.floor_cache.clear()
        if len(samples) > SAMPLES_MAX:
            samples.popleft()
        return True

    def record_commit(
        self, endpoint: EndpointRow, position: LogPosition | None, sent_at: float
    ) -> None:
        """Record that an endpoint acknowledged a commit that was sent at `sent_at`."""
        self._leadership.note_acknowledgement(endpoint, sent_at)
        if position is not None:
            group = self.tables.group(endpoint.entry.service)
            self.record_sample(group, position, sent_at)

    def record_session_commit(
        self,
        session: SessionRow,
        endpoint: EndpointRow,
        position: LogPosition | None,
        sent_at: float,
    ) -> None:
        """Record a session's own commit, and what it tells of its endpoint."""
        self.record_commit(endpoint, position, sent_at)
        if position is None:
            return
        service = endpoint.entry.service
        known = session.floors.get(service)
        if known is None or known < position:
            session.floors[service] = position

    def required_floor(
        self, request: RequestRow, group: GroupRow
    ) -> LogPosition | None:
        """Return the position that a replica must prove, None if none is known.

        None means that only a primary can serve the read.
        """
        route = request.route
        if route.consistency is Consistency.PRIMARY:
            return None
        floor = self._at_age(group, route.accepted_age)
        own = self.session_floor(request.session, route)
        if floor is not None and own is not None and own > floor:
            return own
        return floor

    def settled_position(self, group: GroupRow) -> LogPosition:
        """Return what each replica that receives has received by now."""
        settled_at = self.now - SETTLED_TIME
        known = [s.position for s in group.samples if s.asked_at < settled_at]
        return known[-1] if known else ZERO_POSITION

    def prove_freshness(
        self,
        endpoint: EndpointRow,
        route: Route,
        began_at: float,
        handler: ProofHandler,
    ) -> None:
        """Have it proven that a primary has all that a read of a route must see.

        `began_at` is when its caller sent it, or began its transaction.
        """
        since = began_at
        if route.consistency is not Consistency.PRIMARY:
            since = began_at - route.accepted_age + AGE_MARGIN
        self._leadership.confirm(endpoint, since, handler)

    def request_proof(
        self, endpoint: EndpointRow, route: Route, began_at: float
    ) -> None:
        """Ask for a proof that will be needed: the answers come while a read runs."""
        self.prove_freshness(endpoint, route, began_at, lambda sole: None)

    def session_floor(self, session: SessionRow, route: Route) -> LogPosition | None:
        """Return the newest commit of a session that its reads must see, if any."""
        if route.consistency is not Consistency.OWN_WRITES:
            return None
        return session.floors.get(route.service)

    def may_have(self, endpoint: EndpointRow, floor: LogPosition) -> bool:
        """Tell whether an endpoint's log may have reached a floor by now.

        It proves that itself; this only keeps reads from one that is far behind.
        """
        if endpoint.position is not None and endpoint.position >= floor:
            return True
        return endpoint.behind_backoff_until <= self.now

    def mark_behind(self, endpoint: EndpointRow) -> None:
        """Note that an endpoint's log had not reached a floor."""
        if self.now < endpoint.behind_backoff_until:
            return  # it was asked before that was known
        pause = min(BEHIND_PAUSE_MAX, 2.0 * endpoint.behind_backoff)
        endpoint.behind_backoff = max(BEHIND_PAUSE_MIN, pause)
        endpoint.behind_backoff_until = self.now + endpoint.behind_backoff
        if endpoint.behind_since is None:
            endpoint.behind_since = self.now
            return
        stuck_time = STUCK_TIME * 2.0**endpoint.stuck_reports
        if self._is_behind(endpoint, stuck_time) and not endpoint.is_leaving:
            endpoint.stuck_reports += 1
            self._node.publish(ReplicaStuck(endpoint))
        group = self.tables.group(endpoint.entry.service)
        replicas = [
            replica
            for replica in group.endpoints.values()
            if replica.name != group.primary and not replica.is_leaving
        ]
        behind = [self._is_behind(replica, BEHIND_TIME) for replica in replicas]
        if behind and all(behind):
            self._node.publish(ReplicasBehind(group))

    def _is_behind(self, endpoint: EndpointRow, duration: float) -> bool:
        since = endpoint.behind_since
        return since is not None and self.now - since > duration

    def mark_caught_up(self, endpoint: EndpointRow) -> None:
        """Note that an endpoint's log had reached a floor."""
        endpoint.behind_backoff = 0.0
        endpoint.behind_since = None
        endpoint.stuck_reports = 0
        endpoint.behind_backoff_until = self.now

    def _at_age(self, group: GroupRow, accepted_age: float) -> LogPosition | None:
        """Return the oldest position that is young enough; once for each moment."""
        known = group.floor_cache.get(accepted_age)
        if known is not None and known[0] == self.now:
            return known[1]
        floor = self._look_up(group, self.now - accepted_age + AGE_MARGIN)
        group.floor_cache[accepted_age] = (self.now, floor)
        return floor

    def _look_up(self, group: GroupRow, oldest: float) -> LogPosition | None:
        samples = group.samples
        # Those too old for the longest accepted age are of no more use.
        while len(samples) > 1 and samples[0].asked_at < self.now - AGE_MAX:
            samples.popleft()
        for sample in samples:
            if sample.asked_at >= oldest:
                return sample.position
        return None
