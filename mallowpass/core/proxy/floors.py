"""Floors: the least log positions that reads may see.

A position that the primary reports in its answer to a statement is at or above every
commit that was acknowledged before that statement was sent. A replica whose log has
reached that position therefore holds all of those commits.
"""

from __future__ import annotations

import math

from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.configuration import Consistency, Route
from mallowpass.core.proxy.leadership import Leadership, ProofHandler
from mallowpass.core.proxy.replicationproofs import ReplicationProofs
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

# All times are in seconds.

# Subtracted from the accepted age of a read, as the clocks of two machines differ in
# speed.
AGE_MARGIN = 0.05
SAMPLE_INTERVAL_MIN = 0.02  # samples that follow the newest one sooner are dropped
SAMPLES_MAX = 256
# Backoff of a replica that was behind a floor, doubled with each further refusal.
# Replication lag is usually far below the minimum. Without the doubling, each host
# would send each read to a replica that stays behind, and the refused calls would
# occupy the connections.
BEHIND_BACKOFF_MIN = 0.05
BEHIND_BACKOFF_MAX = 0.8
# A replica that has refused all reads for this long is reported as stuck: it may have
# stopped receiving the log. The time doubles with each report, as the replica may only
# be lagging.
STUCK_TIMEOUT = 9.0
# A group whose replicas have all refused all reads for this long is reported, as the
# primary has to serve these reads.
ALL_BEHIND_TIMEOUT = 1.2
SAMPLE_AGE_MAX = 60.0  # samples are kept this long, whatever ages routes accept
# A replica that is receiving the log has received what its primary had this long ago.
SETTLED_AGE = 0.5


class Floors(ProxySystem):
    """Sample the log positions of primaries, and derive floors from the samples."""

    __slots__ = ("_leadership", "_proofs")

    def start(self) -> None:
        """Subscribe to the samples that other hosts send."""
        self._leadership = self._node.system(Leadership)
        self._proofs = self._node.system(ReplicationProofs)
        self._node.subscribe(FloorReceived, self._on_floor_received)

    def _on_floor_received(self, signal: FloorReceived) -> None:
        self._add_sample(signal.group, signal.position, signal.asked_at)

    def record_sample(
        self, group: GroupRow, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position in a primary's answer to a call sent at `asked_at`.

        If the primary was last proven to be the only one at an earlier time, the sample
        counts as taken at that time: the log of a replaced primary lacks the commits
        that its successor has acknowledged since.
        """
        if self._add_sample(
            group, position, self._leadership.sole_primary_until(group, asked_at)
        ):
            self._node.publish(PrimaryConfirmed(group))

    @staticmethod
    def _add_sample(group: GroupRow, position: LogPosition, asked_at: float) -> bool:
        """Add a sample unless it is too close to the newest; return whether added."""
        samples = group.samples
        if samples and math.isinf(samples[-1].asked_at):
            # Taken before the primary was ever proven to be the only one: of no use
            # once there is another sample.
            samples.pop()
        if samples and asked_at - samples[-1].asked_at < SAMPLE_INTERVAL_MIN:
            return False
        samples.append(FloorSample(asked_at, position))
        group.floor_cache.clear()
        if len(samples) > SAMPLES_MAX:
            samples.popleft()
        return True

    def record_commit(
        self, endpoint: EndpointRow, position: LogPosition | None, sent_at: float
    ) -> None:
        """Record that an endpoint acknowledged a commit sent at `sent_at`."""
        self._leadership.note_acknowledgement(endpoint, sent_at)
        self._proofs.note_commit(endpoint, sent_at)
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
        """Record a session's commit, for its endpoint and as the session's floor."""
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
        """Return the floor of a read; None if only the primary may serve it.

        Only the primary may serve reads with primary consistency, and other reads while
        no sample is recent enough.
        """
        route = request.route
        if route.consistency is Consistency.PRIMARY:
            return None
        floor = self._floor_at_age(group, route.accepted_age)
        own = self.session_floor(request.session, route)
        if floor is not None and own is not None and own > floor:
            return own
        return floor

    def settled_position(self, group: GroupRow) -> LogPosition:
        """Return the position that all replicas receiving the log have received."""
        settled_at = self.now - SETTLED_AGE
        known = [s.position for s in group.samples if s.asked_at < settled_at]
        return known[-1] if known else ZERO_POSITION

    def prove_freshness(
        self,
        endpoint: EndpointRow,
        route: Route,
        began_at: float,
        handler: ProofHandler,
    ) -> None:
        """Request proof that a primary's log holds all that a read must see.

        `began_at` is when the caller sent the read, or began its transaction. `handler`
        is called with the result, at once if it is known already.
        """
        since = began_at
        if route.consistency is not Consistency.PRIMARY:
            since = began_at - route.accepted_age + AGE_MARGIN
        self._leadership.confirm(endpoint, since, handler)

    def request_proof(
        self, endpoint: EndpointRow, route: Route, began_at: float
    ) -> None:
        """Request the proof of a read ahead, so that it arrives while the read runs."""
        self.prove_freshness(endpoint, route, began_at, lambda is_proven: None)

    def session_floor(self, session: SessionRow, route: Route) -> LogPosition | None:
        """Return the position of the session's commits that its reads must see."""
        if route.consistency is not Consistency.OWN_WRITES:
            return None
        return session.floors.get(route.service)

    def may_have(self, endpoint: EndpointRow, floor: LogPosition) -> bool:
        """Return whether an endpoint's log may have reached a floor.

        This only spares replicas that are far behind: the endpoint itself checks the
        floor of each read.
        """
        if endpoint.position is not None and endpoint.position >= floor:
            return True
        return endpoint.behind_backoff_until <= self.now

    def mark_behind(self, endpoint: EndpointRow) -> None:
        """Record that an endpoint refused a read, as its log was behind the floor."""
        if self.now < endpoint.behind_backoff_until:
            return  # the read was sent before the refusal that began the backoff
        backoff = min(BEHIND_BACKOFF_MAX, 2.0 * endpoint.behind_backoff)
        endpoint.behind_backoff = max(BEHIND_BACKOFF_MIN, backoff)
        endpoint.behind_backoff_until = self.now + endpoint.behind_backoff
        if endpoint.behind_since is None:
            endpoint.behind_since = self.now
            return
        stuck_timeout = STUCK_TIMEOUT * 2.0**endpoint.stuck_reports
        if self._is_behind(endpoint, stuck_timeout) and not endpoint.is_leaving:
            endpoint.stuck_reports += 1
            self._node.publish(ReplicaStuck(endpoint))
        group = self.tables.group(endpoint.entry.service)
        replicas = [
            replica
            for replica in group.endpoints.values()
            if replica.name != group.primary and not replica.is_leaving
        ]
        behind = [self._is_behind(replica, ALL_BEHIND_TIMEOUT) for replica in replicas]
        if behind and all(behind):
            self._node.publish(ReplicasBehind(group))

    def _is_behind(self, endpoint: EndpointRow, duration: float) -> bool:
        since = endpoint.behind_since
        return since is not None and self.now - since > duration

    def mark_caught_up(self, endpoint: EndpointRow) -> None:
        """Record that an endpoint's log had reached a floor."""
        endpoint.behind_backoff = 0.0
        endpoint.behind_since = None
        endpoint.stuck_reports = 0
        endpoint.behind_backoff_until = self.now

    def _floor_at_age(self, group: GroupRow, accepted_age: float) -> LogPosition | None:
        """Return the oldest position within an age; cached until the time changes."""
        cached = group.floor_cache.get(accepted_age)
        if cached is not None and cached[0] == self.now:
            return cached[1]
        floor = self._oldest_since(group, self.now - accepted_age + AGE_MARGIN)
        group.floor_cache[accepted_age] = (self.now, floor)
        return floor

    def _oldest_since(self, group: GroupRow, since: float) -> LogPosition | None:
        samples = group.samples
        # Older samples are of no use, whatever the accepted age.
        while len(samples) > 1 and samples[0].asked_at < self.now - SAMPLE_AGE_MAX:
            samples.popleft()
        for sample in samples:
            if sample.asked_at >= since:
                return sample.position
        return None
