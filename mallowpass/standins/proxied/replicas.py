"""A stand-in for one service's group: a primary, its replicas, and their faults.

Commits are numbered within terms. A replica receives them some time after the primary
has sent them, and applies them later. A commit is acknowledged once the primary has
learnt that enough replicas have received it.

A primary that was replaced loses the lead at once, or, where `goes_on` is set, only
when it is demoted or has been able to reach its successor for a while. Until then it
runs statements as before, and replicas that are not paused receive its commits until
they have heard of its successor.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.assumptions import ALL_HOLD, Assumptions
from mallowpass.standins.proxied.orders import PendingOrder, PendingOrders

if TYPE_CHECKING:
    from mallowpass.core.proxy.statements import EndpointStatus
    from mallowpass.standins.proxied.connections import ReplicaConnection

__all__ = [
    "Group",
    "GroupTimes",
    "LogEntry",
    "Overtaken",
    "Replica",
    "Unguarded",
    "common_length",
]

STEP_DOWN_LOOK = 0.05  # seconds between looks of a replaced primary for its successor


# Unix time of the timers' zero, in milliseconds.
CLOCK_OFFSET = 1_764_720_000_000


@dataclass(slots=True)
class GroupTimes:
    """Hold the times of a group, in seconds."""

    work: float = 0.006  # of a statement, in a slot
    opening: float = 0.0  # of a new connection, in a slot
    network: float = 0.001  # one way between two members
    lag: float = 0.008  # from then until it has applied it
    # From then until a primary that has learnt of the receipts acknowledges a commit.
    acknowledgement: float = 0.0
    promotion: float = 0.3
    # For how long a replaced primary that goes on can reach its successor before it
    # gives up the lead, and how long a replica may not have heard of the latter.
    step_down: float = 1.0
    announcement: float = 0.3


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one commit: its place, its caller's request and what it wrote."""

    position: LogPosition
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Hold a commit that a member acknowledged after its successor led."""

    entry: LogEntry
    by: str  # the member that acknowledged it
    successor: str
    after: float  # seconds since that one began to lead
    kept: bool  # the successor's log held it at that time

    @property
    def text(self) -> str:
        """Return it in one line."""
        return (
            f"{self.entry.position.text} by {self.by} {1000 * self.after:.1f} ms "
            f"after {self.successor} led"
        )


@dataclass(frozen=True, slots=True)
class Unguarded:
    """Hold a commit that the target of a pending order had not received.

    Another primary acknowledged it: it is lost if the order is carried out then.
    """

    entry: LogEntry
    by: str  # the member that acknowledged it
    target: str
    after: float  # seconds since the order was sent

    @property
    def text(self) -> str:
        """Return it in one line."""
        return (
            f"{self.entry.position.text} by {self.by} {self.after:.2f} s after "
            f"{self.target} was ordered to lead, which lacks it"
        )


@dataclass(slots=True)
class Replica:
    """Hold one member of the group, primary or not."""

    name: str
    started_at: int  # Unix time in milliseconds
    is_primary: bool = False
    # It has stepped down, there is no successor yet, and its commits in progress go on.
    is_finishing: bool = False
    term: int = 1
    log: list[LogEntry] = field(default_factory=list)
    applied: int = 0  # entries of the log that reads see
    paused_for: int = 0  # the term that it was paused for; 0: not paused
    paused_at: float = 0.0
    deaf: bool = False  # it receives nothing
    lag: float | None = None  # seconds, of this one alone; None: the group's
    distance: float | None = None  # seconds to other members; None: the group's
    # Entries of the log that a replica has reported to have, to this primary.
    reported: dict[str, int] = field(default_factory=dict)
    slowness: float = 1.0  # times that its statements take longer
    up: bool = True
    busy: int = 0
    unanswered: float = 0.0  # share of statements that get no answer
    connections: set[ReplicaConnection] = field(default_factory=set)
    told_status: tuple[float, EndpointStatus] | None = None  # and when

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

    def holds(self, entry: LogEntry) -> bool:
        """Tell whether the log has a commit, at the place that its number gives."""
        index = entry.position.position - 1
        return index < len(self.log) and self.log[index] == entry

    def value(self, item: str) -> str:
        """Return what a read of an item gives."""
        for entry in reversed(self.log[: self.applied]):
            for key, data in reversed(entry.writes):
                if key == item:
                    return data
        return ""


def common_length(one: list[LogEntry], other: list[LogEntry]) -> int:
    """Return how many entries two logs have in common, from the first one on."""
    length = min(len(one), len(other))
    # Logs that have one commit in common have all before it in common.
    while length and one[length - 1] != other[length - 1]:
        length -= 1
    return length


class Group:
    """Hold a service's replicas, and carry out what is ordered of them."""

    __slots__ = (
        "_leader",
        "_lead_log",
        "_led_at",
        "_led_with",
        "_receivable",
        "acknowledged",
        "acknowledged_at",
        "assumptions",
        "cuts",
        "goes_on",
        "lost",
        "max_connections",
        "on_read",
        "on_role",
        "on_run",
        "orders",
        "overtaken",
        "promotions",
        "random",
        "replicas",
        "service",
        "slots",
        "synchronous",
        "timers",
        "times",
        "unguarded",
        "work_of",
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
        goes_on: bool = False,
        assumptions: Assumptions = ALL_HOLD,
    ) -> None:
        self.service = service
        self.assumptions = assumptions
        self.timers = timers
        self.times = times or GroupTimes()
        self.synchronous = synchronous
        self.slots = slots
        self.max_connections = max_connections
        self.replicas = {name: Replica(name, self._clock) for name in names}
        self.replicas[names[0]].is_primary = True
        self._leader = names[0]
        self._led_at = timers.now
        self._led_with: frozenset[LogEntry] = frozenset()  # the leader's log then
        # What it has held since, also if it has started again with nothing.
        self._lead_log = self.replicas[names[0]].log
        # Entries of that log that members could receive before they ended, and earlier
        # runs of such that have started again with nothing.
        self._receivable: dict[str, int] = {}
        self.goes_on = goes_on
        self.cuts: set[frozenset[str]] = set()  # pairs of members
        self.acknowledged: list[LogEntry] = []
        self.acknowledged_at: dict[LogEntry, float] = {}
        self.lost: list[LogEntry] = []  # acknowledged, and not in the leader's log
        # Acknowledged by a member after its successor led.
        self.overtaken: list[Overtaken] = []
        self.orders = PendingOrders()
        # Acknowledged while an order was pending whose target had not received it.
        self.unguarded: list[Unguarded] = []
        self.promotions = 0
        self.random = random.Random(service)
        # Called with a request; returns its work in a slot, in seconds.
        self.work_of: Callable[[str], float] = lambda request: self.times.work
        self.on_role: Callable[[Replica], None] = lambda replica: None
        # Called with the request and its connection's customer whenever one runs.
        self.on_run: Callable[[str, str | None], None] = lambda request, customer: None
        # Called with the replica and the request whenever a read runs.
        self.on_read: Callable[[Replica, str], None] = lambda replica, request: None

    @property
    def primary(self) -> Replica:
        """Return the member that was last made to lead, up or not."""
        return self.replicas[self._leader]

    def cut(self, name: str, others: Iterable[str]) -> None:
        """Cut a member from others; a pair that is cut receives nothing."""
        self.cuts |= {frozenset((name, other)) for other in others}

    def heal(self) -> None:
        """End all cuts between members."""
        self.cuts.clear()

    def _reach(self, one: Replica, other: Replica) -> bool:
        cut = frozenset((one.name, other.name)) in self.cuts
        return one.up and other.up and not cut

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

    def hand_over(self, name: str, successor: str) -> Replica:
        """Remove a member that is down, and start a new one with its log and role."""
        before = self.replicas.pop(name)
        replica = Replica(successor, self._clock, term=before.term)
        replica.distance = before.distance
        replica.log = list(before.log)
        replica.applied = len(replica.log)
        replica.is_primary = before.is_primary and self._leader == name
        self.replicas[successor] = replica
        self._receivable.pop(name, None)
        if self._leader == name:
            self._leader = successor
            self._lead_log = replica.log
        self.catch_up(replica)
        return replica

    def crash(self, name: str) -> None:
        """Stop a member; its log stays, its connections are the caller's to break."""
        replica = self.replicas[name]
        if replica.up:
            self._receivable[name] = len(self._lead_log)
        replica.up = replica.is_finishing = False
        for connection in list(replica.connections):
            connection.close()

    def start(self, name: str, empty: bool = False) -> None:
        """Start a member again, with its log; or as a replica that has nothing.

        One that was up was only out of reach: that is no new start.
        """
        replica = self.replicas[name]
        started_at = max(self._clock, replica.started_at + 1)
        received = self._receivable.pop(name, len(self._lead_log))
        if empty:
            if replica is not self.primary:
                self._receivable[f"{name} until {started_at}"] = received
            distance = replica.distance
            replica = self.replicas[name] = Replica(name, started_at, distance=distance)
            for other in self.replicas.values():
                other.reported.pop(name, None)
        elif not replica.up:
            replica.started_at = started_at
            if not replica.is_primary:
                self._lose_end(replica)
        replica.up = True
        replica.paused_for = 0
        replica.busy = 0
        replica.told_status = None
        replica.reported.clear()
        replica.is_primary = replica.is_primary and replica is self.primary
        self.catch_up(replica)

    def _lose_end(self, replica: Replica) -> None:
        kept = max(0, len(replica.log) - self.assumptions.restart_loss)
        self._truncate(replica, kept)

    @staticmethod
    def _truncate(replica: Replica, length: int) -> None:
        del replica.log[length:]
        replica.applied = min(replica.applied, length)

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
                self._send(replica, other)
        return entry

    @staticmethod
    def is_serving(replica: Replica) -> bool:
        """Tell whether a member sends its log, and acknowledges commits that wait."""
        return replica.is_primary or replica.is_finishing

    def begins_commits(self, replica: Replica) -> bool:
        """Tell whether a member accepts writes as a primary does."""
        goes_on = not self.assumptions.step_down_refuses_commits
        return replica.is_primary or (goes_on and replica.is_finishing)

    def shown(self, replica: Replica) -> LogPosition:
        """Return the place of the last entry that a member's status shows."""
        hides_rest = replica.reported and not replica.is_primary
        if hides_rest and not self.assumptions.step_down_shows_log:
            length = min(max(replica.reported.values()), len(replica.log))
            return replica.log[length - 1].position if length else ZERO_POSITION
        return replica.received

    def pause(self, replica: Replica, term: int) -> None:
        """Have a replica receive nothing, for the sake of a newer term."""
        is_newer = term > max(replica.term, replica.paused_for)
        if is_newer and not replica.is_primary:
            replica.paused_for = term
            replica.paused_at = self.timers.now
            if math.isfinite(self.assumptions.pause_time):
                duration = self.assumptions.pause_time
                self.timers.after(duration, self._end_pause, replica, term)

    def _end_pause(self, replica: Replica, term: int) -> None:
        if replica.paused_for == term:
            self.resume(replica)

    def resume(self, replica: Replica) -> None:
        """Have a replica receive what it lacks."""
        replica.paused_for = 0
        self.catch_up(replica)

    def reporters(self, entry: LogEntry, to: Replica) -> int:
        """Return how many members have reported to have received a commit."""
        needed = entry.position.position
        return sum(1 for length in to.reported.values() if length >= needed)

    def is_received(self, entry: LogEntry, by: Replica) -> bool:
        """Tell whether another member than `by` holds a commit, up or not."""
        others = (other for other in self.replicas.values() if other is not by)
        return any(other.holds(entry) for other in others)

    def lacking(self, target: Replica) -> list[LogEntry]:
        """Return acknowledged commits that a member lacks, and another one holds."""
        return [
            entry
            for entry in self.acknowledged
            if not target.holds(entry) and self.is_received(entry, target)
        ]

    def uncompared(self, target: Replica, compared: Collection[str]) -> list[str]:
        """Return members that could receive what a target lacks.

        The primary, and those that the target was compared with, are left out.
        """
        held = common_length(self._lead_log, target.log)
        running = {name for name, replica in self.replicas.items() if replica.up}
        could_receive = {name: len(self._lead_log) for name in running}
        could_receive |= self._receivable
        known = {target.name, self._leader, *compared}
        return sorted(
            name
            for name, length in could_receive.items()
            if length > held and name not in known
        )

    def acknowledge(self, entry: LogEntry, by: Replica) -> None:
        """Note that a member acknowledged a commit."""
        self.acknowledged.append(entry)
        self.acknowledged_at[entry] = self.timers.now
        self._note_unguarded(entry, by)
        if by is not self.primary:
            after = self.timers.now - self._led_at
            kept = entry in self._led_with
            self.overtaken.append(Overtaken(entry, by.name, self._leader, after, kept))
            if not self.primary.holds(entry):
                self.lost.append(entry)

    def _note_unguarded(self, entry: LogEntry, by: Replica) -> None:
        for order in self.orders.all:
            target = self.replicas.get(order.target)
            # An order for a member that leads does nothing.
            if target is None or target.is_primary or target.holds(entry):
                continue
            after = self.timers.now - order.sent_at
            self.unguarded.append(Unguarded(entry, by.name, target.name, after))

    def way(self, one: Replica, other: Replica) -> float:
        """Return the seconds that a message takes between two members."""
        network = self.times.network
        return max(
            network if member.distance is None else member.distance
            for member in (one, other)
        )

    def _send(self, source: Replica, replica: Replica, delay: float = 0.0) -> None:
        """Send a primary's log, as it is now, to a replica."""
        delay += self.way(source, replica)
        sent: tuple[float, ...] = (len(source.log),)
        if not self.assumptions.pause_covers_way:
            sent += (self.timers.now,)
        self.timers.after(delay, self._receive, replica, source, *sent)

    def _receive(
        self,
        replica: Replica,
        source: Replica,
        length: int,
        sent_at: float = math.inf,
    ) -> None:
        """Take a primary's log up to an entry, if the replica can receive it."""
        if replica is source or replica.is_primary or not self.is_serving(source):
            return
        if not self._reach(replica, source):
            return
        if replica.deaf or self._is_withheld(replica, sent_at):
            return
        if replica.term > source.term:
            return
        self._copy(source, replica, length)
        replica.reported.clear()
        lag = self.times.lag if replica.lag is None else replica.lag
        self.timers.after(lag, self._apply, replica, len(replica.log))
        way = self.way(source, replica)
        self.timers.after(way, self._report, source, replica, len(replica.log))

    def _is_withheld(self, replica: Replica, sent_at: float) -> bool:
        """Tell whether a pause keeps a replica from receiving what was sent."""
        return replica.paused_for > 0 and sent_at >= replica.paused_at

    def _report(self, primary: Replica, replica: Replica, length: int) -> None:
        """Have a primary learn what a replica has received, down by now or not."""
        is_cut = frozenset((primary.name, replica.name)) in self.cuts
        if self.is_serving(primary) and not is_cut:
            known = primary.reported.get(replica.name, 0)
            primary.reported[replica.name] = max(known, length)

    @staticmethod
    def _copy(primary: Replica, replica: Replica, length: int) -> None:
        common = common_length(replica.log, primary.log)
        del replica.log[common:]
        replica.log.extend(primary.log[common:length])
        replica.applied = min(replica.applied, common)
        replica.term = primary.term

    @staticmethod
    def _apply(replica: Replica, upto: int) -> None:
        replica.applied = max(replica.applied, min(upto, len(replica.log)))

    def catch_up(self, replica: Replica) -> None:
        """Have a replica receive what it lacks, after the time on the network.

        Of two that lead it hears of the newer one later: it has to be told.
        """
        sources = [other for other in self.replicas.values() if self.is_serving(other)]
        for source in sources:
            is_late = len(sources) > 1 and source is self.primary
            delay = self.times.announcement if is_late else 0.0
            self._send(source, replica, delay)

    def loses_reset(self) -> bool:
        """Tell by chance whether a reset on its way to a member gets lost."""
        share = self.assumptions.reset_loss
        return bool(share) and self.random.random() < share

    # -- Leading -------------------------------------------------------------

    def promote(self, name: str, token: int = 0) -> bool:
        """Have a member lead the next term soon; tell whether it is running."""
        order = self.orders.take(name, token, self.timers.now)
        replica = self.replicas.get(name)
        if replica is None or not replica.up:
            return False
        if replica.is_primary:
            return self._order_primary(replica)
        if replica is self.primary and not self.assumptions.step_down_is_known:
            return True
        self.orders.begin(order)
        length = len(replica.log)
        duration = self.times.promotion
        self.timers.after(duration, self._end_promotion, replica, order, length)
        if not self.assumptions.promotion_keeps_pauses:
            for other in self.replicas.values():
                if other is not replica:
                    self.resume(other)
        return True

    def _order_primary(self, primary: Replica) -> bool:
        """Take an order for a member that leads; tell whether it is running."""
        if not self.assumptions.refusal_means_ended:
            return False
        if not self.assumptions.order_for_primary_is_void:
            self.timers.after(self.times.promotion, self._lead_again, primary)
        return True

    def _lead_again(self, primary: Replica) -> None:
        if primary.is_primary and primary.up:
            primary.term = 1 + max(other.term for other in self.replicas.values())
            self._end_transactions(primary)
            for other in self.replicas.values():
                self.catch_up(other)

    def _end_promotion(
        self, replica: Replica, order: PendingOrder, length: int
    ) -> None:
        will_lead = replica.up and not replica.is_primary
        if will_lead and not self.assumptions.promotion_keeps_late_entries:
            self._truncate(replica, length)
        self._lead(replica)
        self.orders.end(order)

    def _lead(self, replica: Replica) -> None:
        if replica.is_primary or not replica.up:
            return
        leading = [other for other in self.replicas.values() if other.is_primary]
        if not self.assumptions.leads_with_received:
            self._truncate(replica, replica.applied)
        held = self._led_with = frozenset(replica.log)
        self._led_at = self.timers.now
        self.lost += [entry for entry in self.acknowledged if entry not in held]
        self.promotions += 1
        replica.term = 1 + max(other.term for other in self.replicas.values())
        replica.is_primary = True
        replica.paused_for = 0
        replica.reported.clear()
        replica.applied = len(replica.log)
        self._leader = replica.name
        self._begin_lead(replica.log)
        for other in self.replicas.values():
            if other.is_finishing:
                other.is_finishing = False
                self._end_transactions(other)
        goes_on = self.goes_on or not self.assumptions.successor_ends_lead
        for before in leading:
            if goes_on and before.up:
                self._go_on(before, None)
            else:
                self._step_down(before)
        # The others stay paused until they are told to resume, or start again.
        for other in self.replicas.values():
            self.catch_up(other)
        self.on_role(replica)

    def _begin_lead(self, log: list[LogEntry]) -> None:
        """Note what members could receive at most that are not running."""
        self._lead_log = log
        held = len(log)
        for name, received in self._receivable.items():
            self._receivable[name] = min(received, held)

    def _go_on(self, replica: Replica, since: float | None) -> None:
        """Have a replaced primary lead until it has reached its successor for long."""
        if not replica.is_primary or replica is self.primary:
            return
        now = self.timers.now
        if not self._reach(replica, self.primary):
            since = None
        elif since is None:
            since = now
        elif now - since >= self.times.step_down:
            self._step_down(replica)
            return
        self.timers.after(STEP_DOWN_LOOK, self._go_on, replica, since)

    def _step_down(self, replica: Replica) -> None:
        replica.is_primary = False
        self._end_transactions(replica)
        self.catch_up(replica)
        if replica.up:
            self.on_role(replica)

    @staticmethod
    def _end_transactions(replica: Replica) -> None:
        for connection in replica.connections:
            connection.lost_lead = True

    def demote(self, replica: Replica, term: int) -> None:
        """Make a primary of a lower term a replica; nobody leads then."""
        if replica.is_primary and replica.term < term:
            replica.is_finishing = not (
                self.assumptions.step_down_ends_commits
                and self.assumptions.step_down_refuses_commits
            )
            self._step_down(replica)
