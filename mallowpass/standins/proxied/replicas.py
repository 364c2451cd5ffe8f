"""A stand-in for one service's group: a primary, its replicas, and their faults.

Commits are numbered within terms. A replica receives them some time after the primary
has them, and applies them later. A commit is acknowledged once enough replicas have
received it.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.timers import TimerService

if TYPE_CHECKING:
    from mallowpass.standins.proxied.connections import ReplicaConnection

__all__ = ["Group", "GroupTimes", "LogEntry", "Replica"]


# Unix time of the timers' zero, in milliseconds.
CLOCK_OFFSET = 1_764_720_000_000


@dataclass(slots=True)
class GroupTimes:
    """Hold the times of a group, in seconds."""

    work: float = 0.006  # of a statement, in a slot
    network: float = 0.001  # until a replica has received a commit
    lag: float = 0.008  # from then until it has applied it
    promotion: float = 0.3


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one commit: its place, its caller's request and what it wrote."""

    position: LogPosition
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Replica:
    """Hold one member of the group, primary or not."""

    name: str
    started_at: int  # Unix time in milliseconds
    is_primary: bool = False
    term: int = 1
    log: list[LogEntry] = field(default_factory=list)
    applied: int = 0  # entries of the log that reads see
    paused_for: int = 0  # the term that it was paused for; 0: not paused
    deaf: bool = False  # it receives nothing
    lag: float | None = None  # seconds, of this one alone; None: the group's
    up: bool = True
    busy: int = 0
    connections: set[ReplicaConnection] = field(default_factory=set)

    @property
    def received(self) -> LogPosition:
        """Return the place of the last entry."""
        return self.log[-1].position if self.log else ZERO_POSITION

    @property
    def applied_position(self) -> LogPosition:
        """Return the place up to which reads see the log."""
        if self.applied:
            return self.log[self.applied - 1].position
        return LogPosition(1, 0)

    def value(self, item: str) -> str:
        """Return what a read of an item gives."""
        for entry in reversed(self.log[: self.applied]):
            for key, data in reversed(entry.writes):
                if key == item:
                    return data
        return ""


class Group:
    """Hold a service's replicas, and carry out what is ordered of them."""

    __slots__ = (
        "_numbers",
        "acknowledged",
        "lost",
        "max_connections",
        "promotions",
        "replicas",
        "service",
        "slots",
        "synchronous",
        "timers",
        "times",
        "on_role",
    )

    def __init__(
        self,
        service: str,
        names: list[str],
        timers: TimerService,
        *,
        times: GroupTimes | None = None,
        synchronous: int = 1,
        slots: int = 3,
        max_connections: int = 22,
    ) -> None:
        self.service = service
        self.timers = timers
        self.times = times or GroupTimes()
        self.synchronous = synchronous
        self.slots = slots
        self.max_connections = max_connections
        self.replicas = {name: Replica(name, self._clock) for name in names}
        self.replicas[names[0]].is_primary = True
        self.acknowledged: list[LogEntry] = []
        self.lost: list[LogEntry] = []  # acknowledged, and dropped by a promotion
        self.promotions = 0
        self.on_role: Callable[[Replica], None] = lambda replica: None
        self._numbers = itertools.count(1)

    @property
    def primary(self) -> Replica:
        """Return the member that leads; whether it is up is another matter."""
        return next(r for r in self.replicas.values() if r.is_primary)

    @property
    def has_primary(self) -> bool:
        """Tell whether a member leads; none does after it has started again empty."""
        return any(replica.is_primary for replica in self.replicas.values())

    @property
    def _clock(self) -> int:
        return CLOCK_OFFSET + int(1000 * self.timers.now)

    def add(self, name: str) -> Replica:
        """Add a replica with the primary's log."""
        primary = self.primary
        replica = Replica(name, self._clock, term=primary.term, log=list(primary.log))
        replica.applied = len(replica.log)
        self.replicas[name] = replica
        return replica

    def crash(self, name: str) -> None:
        """Stop a member; its log stays, its connections are the caller's to break."""
        replica = self.replicas[name]
        replica.up = False
        for connection in list(replica.connections):
            connection.close()

    def start(self, name: str, empty: bool = False) -> None:
        """Start a member again, with its log; or as a replica that has nothing.

        One that was up was only out of reach: that is no new start.
        """
        replica = self.replicas[name]
        started_at = max(self._clock, replica.started_at + 1)
        if empty:
            replica = self.replicas[name] = Replica(name, started_at)
        elif not replica.up:
            replica.started_at = started_at
        replica.up = True
        replica.paused_for = 0
        replica.busy = 0
        self.catch_up(replica)

    # -- Replication ---------------------------------------------------------

    def commit(
        self, replica: Replica, writes: list[tuple[str, str]], request_id: str
    ) -> LogEntry:
        """Append a commit to the primary's log, and send it to the replicas."""
        last = replica.received
        number = last.position + 1
        entry = LogEntry(LogPosition(replica.term, number), request_id, tuple(writes))
        replica.log.append(entry)
        replica.applied = len(replica.log)
        for other in self.replicas.values():
            if other is not replica:
                self.timers.after(self.times.network, self._receive, other)
        return entry

    def holders(self, entry: LogEntry) -> int:
        """Return how many replicas have received a commit."""
        return sum(
            1
            for replica in self.replicas.values()
            if not replica.is_primary and replica.up and entry in replica.log
        )

    def _receive(self, replica: Replica) -> None:
        """Copy the primary's log to a replica that can receive it."""
        if not self.has_primary:
            return
        primary = self.primary
        if replica is primary or not replica.up or not primary.up:
            return
        if replica.deaf or replica.paused_for:
            return
        if replica.term > primary.term:
            return
        self._copy(primary, replica)
        lag = self.times.lag if replica.lag is None else replica.lag
        self.timers.after(lag, self._apply, replica, len(replica.log))

    @staticmethod
    def _copy(primary: Replica, replica: Replica) -> None:
        common = 0
        for mine, theirs in zip(replica.log, primary.log, strict=False):
            if mine != theirs:
                break
            common += 1
        del replica.log[common:]
        replica.log.extend(primary.log[common:])
        replica.applied = min(replica.applied, common)
        replica.term = primary.term

    @staticmethod
    def _apply(replica: Replica, upto: int) -> None:
        replica.applied = max(replica.applied, min(upto, len(replica.log)))

    def catch_up(self, replica: Replica) -> None:
        """Have a replica receive what it lacks, after the time on the network."""
        self.timers.after(self.times.network, self._receive, replica)

    # -- Leading -------------------------------------------------------------

    def promote(self, name: str) -> bool:
        """Have a member lead the next term soon; tell whether it is running."""
        replica = self.replicas.get(name)
        if replica is None or not replica.up:
            return False
        if not replica.is_primary:
            self.timers.after(self.times.promotion, self._lead, replica)
        return True

    def _lead(self, replica: Replica) -> None:
        if replica.is_primary or not replica.up:
            return
        before = self.primary if self.has_primary else None
        held = set(replica.log)
        self.lost += [entry for entry in self.acknowledged if entry not in held]
        self.promotions += 1
        term = 1 + max(other.term for other in self.replicas.values())
        if before is not None:
            before.is_primary = False
        replica.is_primary = True
        replica.term = term
        replica.paused_for = 0
        replica.applied = len(replica.log)
        # The others stay paused until they are told to resume, or start again.
        for other in self.replicas.values():
            for connection in other.connections:
                connection.lost_lead |= other is before
            self.catch_up(other)
        if before is not None and before.up:
            self.on_role(before)
        self.on_role(replica)

    def demote(self, replica: Replica, term: int) -> None:
        """Make a primary of a lower term a replica; nobody leads then."""
        if replica.is_primary and replica.term < term:
            replica.paused_for = term
