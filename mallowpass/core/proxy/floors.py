"""Floors: the position that a read's log must have reached.

The primary's position, learnt from statements that it ran anyway, bounds what was
acknowledged before these were sent. A replica that has reached such a position holds
every commit that is older.
"""

from __future__ import annotations

from bisect import bisect_right

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.signals import FloorLearnt, PrimaryHeard
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
# A replica that lacked a floor is not asked again for so long, and for as long again
# with each time that the same read was refused. A refusal costs a round trip, no slot.
BEHIND_PAUSE = 0.05
# For how long a replica's last known position tells its lag. After that a read asks
# anew: one that nobody asks would be taken for behind for ever.
LAG_TRUST = 0.5  # seconds
AGE_MAX = 60.0  # seconds; no accepted age that is in use is longer


class Floors(ProxySystem):
    """Keep samples of primaries' positions, and derive floors from them."""

    __slots__ = ()

    def start(self) -> None:
        """Subscribe to samples of other hosts."""
        self._node.subscribe(FloorLearnt, self._on_learnt)

    def _on_learnt(self, signal: FloorLearnt) -> None:
        sample = FloorSample(signal.asked_at, signal.position, self.now)
        self._keep(signal.group, sample)

    def sample(self, group: GroupRow, position: LogPosition, asked_at: float) -> None:
        """Record what a primary answered that proved that it led after `asked_at`."""
        if self._keep(group, FloorSample(asked_at, position, self.now)):
            self._node.publish(PrimaryHeard(group))

    @staticmethod
    def _keep(group: GroupRow, sample: FloorSample) -> bool:
        """Keep a sample that is newer than the others; tell whether it is."""
        samples = group.samples
        if samples and sample.asked_at - samples[-1].asked_at < SAMPLE_GAP:
            return False
        samples.append(sample)
        if len(samples) > SAMPLES_MAX:
            samples.popleft()
        return True

    def committed(
        self, session: SessionRow, service: str, position: LogPosition | None
    ) -> None:
        """Record a session's own commit."""
        if position is None:
            return
        known = session.floors.get(service)
        if known is None or known.position < position:
            session.floors[service] = FloorSample(self.now, position, self.now)

    def floor(self, request: RequestRow, group: GroupRow) -> FloorSample | None:
        """Return the sample whose position a replica must prove, None if there is none.

        None means that only a primary can serve the read.
        """
        route = request.route
        if route.consistency is Consistency.PRIMARY:
            return None
        # What is acknowledged while the read waits, it need not see. Counted from now
        # instead, the floor would rise as fast as a replica that is behind.
        oldest = request.arrived - route.accepted_age + AGE_MARGIN
        floor = self._first_since(group, oldest)
        if floor is not None and route.consistency is Consistency.OWN_WRITES:
            own = request.session.floors.get(group.service)
            if own is not None and own.position > floor.position:
                return own
        return floor

    def ready_in(
        self, endpoint: EndpointRow, floor: FloorSample, refusals: int
    ) -> float:
        """Return in how many seconds an endpoint should have reached a floor.

        It proves that itself; this only keeps reads from one that is behind for longer
        than they can wait. `refusals` is how often it was asked in vain.
        """
        position = endpoint.position
        if position is not None and position >= floor.position:
            return 0.0
        pause = BEHIND_PAUSE * (1 + refusals)
        wait = max(0.0, endpoint.behind_at + pause - self.now)
        if position is None or endpoint.position_at < self.now - LAG_TRUST:
            return wait
        group = self.tables.group(endpoint.entry.service)
        lag = endpoint.position_at - _passed_at(group, position, endpoint.position_at)
        return max(wait, floor.seen_at + lag - self.now)

    def _first_since(self, group: GroupRow, oldest: float) -> FloorSample | None:
        samples = group.samples
        # Those too old for the longest accepted age are of no more use.
        while len(samples) > 1 and samples[0].asked_at < self.now - AGE_MAX:
            samples.popleft()
        for sample in samples:
            if sample.asked_at >= oldest:
                return sample
        return None


def _passed_at(group: GroupRow, position: LogPosition, otherwise: float) -> float:
    """Return when the primary is first known to have been beyond a position."""
    samples = group.samples
    first = bisect_right(samples, position, key=lambda sample: sample.position)
    return samples[first].seen_at if first < len(samples) else otherwise
