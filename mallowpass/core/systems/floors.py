"""Session floors and age floors, from the positions of a majority of the members.

A floor is the least log position that a read may see. Why a majority's replies suffice:
a write W at (T, p) is acknowledged only after a majority of the n members hold it in
its own term T. Take r replies to probes that are sent afterwards. At least
k = r + majority - n of the members that replied still hold W. They keep it through
every later promotion, because each promotion gets promises from a majority, which
includes a holder of W, and chooses the furthest log. So at least k replies are at or
above (T, p), and the k-th highest reply is too. A log that reaches a position (T', p')
at or above (T, p), in a term T' that a majority elected, contains W.

With replies from a bare majority k is 1, so the floor is the highest reply. With
replies from all members k is the majority, so an entry that only one member has does
not delay reads.
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

ROUND_TIMEOUT = 0.5  # seconds
RECORDS_MAX = 256
# Interval of rounds as a share of the accepted age. A floor may be newer than necessary
# by this share, which makes reads that much stricter than declared.
INTERVAL_SHARE = 0.2
INTERVAL_MAX = 1.0  # seconds
# Rounds continue for this number of intervals after the last read that needed them.
INTERVALS_AFTER_USE = 3

FloorCallback = Callable[[LogPosition | None], None]


def acknowledged_floor(
    replies: list[LogPosition], members: int, majority: int
) -> LogPosition:
    """Return a position at or above all writes acknowledged before the probes."""
    holders = len(replies) + majority - members
    return sorted(replies, reverse=True)[holders - 1]


@dataclass(slots=True)
class _Round:
    """Hold the state of one round of probes."""

    sent_at: float
    members: int
    majority: int
    callbacks: list[FloorCallback]
    replies: dict[str, LogPosition] = field(default_factory=dict)
    failed: int = 0  # members without a usable reply
    is_resolved: bool = False


class FloorRounds:
    """Probe all members of one group for their positions, one round at a time."""

    __slots__ = (
        "_accepted_max",
        "_accepted_min",
        "_control",
        "_needed_until",
        "_next_callbacks",
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
        self._next_callbacks: list[FloorCallback] = []  # of the next round
        self._needed_until = float("-inf")
        self._accepted_min = float("inf")
        self._accepted_max = 0.0
        self._timer: Timer | None = None

    # -- Floors of sessions --------------------------------------------------

    def request(self, callback: FloorCallback) -> None:
        """Determine a floor from probes that are sent from now on.

        The callback gets None if no majority answers. If a round is in flight, the
        callback waits for the next one: members may have answered the probes in flight
        before this call.
        """
        if self._round is None:
            self._begin([callback])
        else:
            self._next_callbacks.append(callback)

    def stop(self) -> None:
        """Call all waiting callbacks with None: the database was removed."""
        if self._timer is not None:
            self._timer.cancel()
        callbacks, self._next_callbacks = self._next_callbacks, []
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
        def on_reply(reply: ControlReply | None) -> None:
            self._on_reply(current, address, reply)

        self._control.call(address, ProbeCall(), on_reply, ROUND_TIMEOUT)

    def _on_reply(
        self, current: _Round, address: str, reply: ControlReply | None
    ) -> None:
        if reply is None or reply.report is None or reply.code is not EndpointCode.OK:
            current.failed += 1
        else:
            current.replies[address] = reply.report.received
        if len(current.replies) >= current.majority:
            self._record(current)
        if current.is_resolved:
            return
        if len(current.replies) >= current.majority:
            self._resolve(current, self._floor_of(current))
        elif current.members - current.failed < current.majority:
            self._resolve(current, None)

    def _resolve(self, current: _Round, floor: LogPosition | None) -> None:
        current.is_resolved = True
        if self._round is current:
            self._round = None
        callbacks, current.callbacks = current.callbacks, []
        waiting, self._next_callbacks = self._next_callbacks, []
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
        self._note_use(accepted_age)
        oldest = self._node.timers.now - accepted_age
        # Search from the newest: for short ages the record is near the end, and for
        # long ages there are few records.
        found = None
        for record in reversed(self._row.floors):
            if record.at < oldest:
                break
            found = record
        return None if found is None else found.position

    def _record(self, current: _Round) -> None:
        """Record a round's floor, which further replies of the round may lower."""
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
        if len(floors) > RECORDS_MAX:
            # Drop every second record of the older half. A gap makes a floor stricter
            # but never wrong, because the next newer record is used.
            kept = list(floors)
            half = len(kept) // 2
            floors.clear()
            floors.extend(kept[:half:2] + kept[half:])

    def _note_use(self, accepted_age: float) -> None:
        if self._node.timers.now > self._needed_until:
            self._accepted_min = float("inf")
            self._accepted_max = 0.0
        self._accepted_min = min(self._accepted_min, accepted_age)
        self._accepted_max = max(self._accepted_max, accepted_age)
        interval = self._interval
        self._needed_until = self._node.timers.now + INTERVALS_AFTER_USE * interval
        if self._timer is None:
            self._refresh()

    @property
    def _interval(self) -> float:
        wanted = self._accepted_min * INTERVAL_SHARE
        return min(max(wanted, self._node.tuning.probe_interval), INTERVAL_MAX)

    def _refresh(self) -> None:
        self._timer = None
        if self._node.timers.now > self._needed_until:
            return
        if self._round is None:
            self._begin([])
        self._timer = self._node.timers.after(self._interval, self._refresh)
