"""Session floors and age floors: what was acknowledged, learnt from a majority.

Why a majority's answers suffice. A write W at (T, p) was acknowledged because a
majority of the n members said that they hold it in its own term T. Take r replies
to probes sent afterwards. At least k = r + majority - n of the repliers hold W
still: whoever held it keeps it through every later promotion, since each promotion
asked a majority, met one holder, and chose the furthest log. So at least k replies
are at or above (T, p), and the k-th highest is too. A log that reaches a place
(T', p') at or above (T, p), in a term T' that a majority elected, contains W. With a
bare majority of replies k is 1: the highest. With all replies k is the majority,
and an entry that only one member has does not hold reads up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.calls import (
    ControlReply,
    EndpointCode,
    LogPosition,
    ProbeCall,
)
from mallowpass.core.node import Node
from mallowpass.core.systems.controlstreams import ControlStreams
from mallowpass.core.tables import DatabaseRow, FloorRecord
from mallowpass.core.timers import Timer

__all__ = ["FloorRounds", "acknowledged_floor"]

ROUND_TIMEOUT = 0.5
RECORDS_KEPT = 256
# A record may be this share of the accepted age newer than it need be, which
# makes reads that much stricter than they were declared.
AGE_SHARE = 0.2
INTERVAL_MAX = 1.0
# Rounds go on for so many intervals after the last read that needed them.
INTERVALS_KEPT = 3

FloorCallback = Callable[[LogPosition | None], None]


def acknowledged_floor(
    replies: list[LogPosition], members: int, majority: int
) -> LogPosition:
    """Return a place at or above all writes acknowledged before the probes."""
    holders = len(replies) + majority - members
    return sorted(replies, reverse=True)[holders - 1]


@dataclass(slots=True)
class _Round:
    """Hold one round of probes; it was sent at `sent_at`."""

    sent_at: float
    members: int
    majority: int
    callbacks: list[FloorCallback]
    replies: dict[str, LogPosition] = field(default_factory=dict)
    missing: int = 0
    resolved: bool = False


class FloorRounds:
    """Ask all members of one group for their positions, one round at a time."""

    __slots__ = (
        "_accepted_max",
        "_accepted_min",
        "_control",
        "_needed_until",
        "_next",
        "_node",
        "_round",
        "_row",
        "_timer",
    )

    def __init__(self, node: Node, control: ControlStreams, row: DatabaseRow) -> None:
        self._node = node
        self._control = control
        self._row = row
        self._round: _Round | None = None
        self._next: list[FloorCallback] = []
        self._needed_until = float("-inf")
        self._accepted_min = float("inf")
        self._accepted_max = 0.0
        self._timer: Timer | None = None

    # -- Floors of sessions --------------------------------------------------

    def learn(self, callback: FloorCallback) -> None:
        """Learn a floor from probes sent from now on; None when no majority answers.

        Whoever comes while a round is in flight waits for the next one: the
        probes in flight may have been answered before its call.
        """
        if self._round is None:
            self._begin([callback])
        else:
            self._next.append(callback)

    def stop(self) -> None:
        """Fail those who wait; the database is not served any more."""
        if self._timer is not None:
            self._timer.cancel()
        callbacks, self._next = self._next, []
        if self._round is not None:
            callbacks = self._round.callbacks + callbacks
            self._round.callbacks = []
        for callback in callbacks:
            callback(None)

    def _begin(self, callbacks: list[FloorCallback]) -> None:
        definition = self._row.definition
        current = _Round(
            self._node.timers.now,
            len(definition.members),
            definition.majority,
            callbacks,
        )
        self._round = current
        for address in self._row.endpoints:
            self._probe(current, address)

    def _probe(self, current: _Round, address: str) -> None:
        def replied(reply: ControlReply | None) -> None:
            self._replied(current, address, reply)

        self._control.call(address, ProbeCall(), replied, ROUND_TIMEOUT)

    def _replied(
        self, current: _Round, address: str, reply: ControlReply | None
    ) -> None:
        if reply is None or reply.report is None or reply.code is not EndpointCode.OK:
            current.missing += 1
        else:
            current.replies[address] = reply.report.received
        if len(current.replies) >= current.majority:
            self._record(current)
        if current.resolved:
            return
        if len(current.replies) >= current.majority:
            self._resolve(current, self._floor_of(current))
        elif current.members - current.missing < current.majority:
            self._resolve(current, None)

    def _resolve(self, current: _Round, floor: LogPosition | None) -> None:
        current.resolved = True
        if self._round is current:
            self._round = None
        callbacks, current.callbacks = current.callbacks, []
        waiting, self._next = self._next, []
        if waiting:
            self._begin(waiting)
        for callback in callbacks:
            callback(floor)

    @staticmethod
    def _floor_of(current: _Round) -> LogPosition:
        replies = list(current.replies.values())
        return acknowledged_floor(replies, current.members, current.majority)

    # -- Records for accepted ages -------------------------------------------

    def at_age(self, accepted_age: float) -> LogPosition | None:
        """Return the oldest recorded floor that is not older than an age."""
        self._need(accepted_age)
        oldest = self._node.timers.now - accepted_age
        # Newest first: with a steady rate of rounds the answer stands near the
        # end for short ages, and the records are few for long ones.
        found = None
        for record in reversed(self._row.floors):
            if record.at < oldest:
                break
            found = record
        return None if found is None else found.position

    def _record(self, current: _Round) -> None:
        """Keep what a round proves; more replies of the same round sharpen it."""
        floors = self._row.floors
        record = FloorRecord(current.sent_at, self._floor_of(current))
        if floors and floors[-1].at > record.at:
            return
        if floors and floors[-1].at == record.at:
            floors.pop()
        floors.append(record)
        self._prune()

    def _prune(self) -> None:
        floors = self._row.floors
        oldest = self._node.timers.now - self._accepted_max
        while len(floors) > 1 and floors[0].at < oldest:
            floors.popleft()
        if len(floors) > RECORDS_KEPT:
            # Every second one of the older half: a gap makes a floor stricter,
            # never wrong, because the next newer record is used.
            kept = list(floors)
            half = len(kept) // 2
            floors.clear()
            floors.extend(kept[:half:2] + kept[half:])

    def _need(self, accepted_age: float) -> None:
        if self._node.timers.now > self._needed_until:
            self._accepted_min = float("inf")
            self._accepted_max = 0.0
        self._accepted_min = min(self._accepted_min, accepted_age)
        self._accepted_max = max(self._accepted_max, accepted_age)
        interval = self._interval
        self._needed_until = self._node.timers.now + INTERVALS_KEPT * interval
        if self._timer is None:
            self._refresh()

    @property
    def _interval(self) -> float:
        wanted = self._accepted_min * AGE_SHARE
        return min(max(wanted, self._node.tuning.probe_interval), INTERVAL_MAX)

    def _refresh(self) -> None:
        self._timer = None
        if self._node.timers.now > self._needed_until:
            return
        if self._round is None:
            self._begin([])
        self._timer = self._node.timers.after(self._interval, self._refresh)
