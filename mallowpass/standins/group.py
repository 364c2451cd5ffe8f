"""A database group in one process: its settings and the links between its members."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from mallowpass.standins.log import LogEntry, Position
from mallowpass.standins.member import Member, Role

__all__ = ["Group", "GroupSpec", "Shipment"]

HEARTBEAT_S = 0.05
LAG_HOLD_S = 1.0  # a replica keeps a lag for so long before the next is drawn
_Z_99 = 2.3263  # standard deviations between median and 99th percentile


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """Describe a database group; the first member starts as primary of term 1."""

    name: str
    members: tuple[str, ...]
    connection_limit: int = 20  # of each member
    setup_time_s: float = 0.0
    service_time_s: float = 0.0  # of each statement
    concurrent_statements: int = 0  # at one member; 0: no limit
    lag_median_s: float = 0.0  # between receiving and applying an entry
    lag_p99_s: float = 0.0
    transport_delay_s: float = 0.0  # one way, between members
    transport_delays_s: Mapping[tuple[str, str], float] = field(default_factory=dict)
    writer_wait_s: float = 1.0  # for another write transaction to end
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Shipment:
    """Carry log entries that follow `previous`; without entries it is a heartbeat."""

    sender: str
    term: int
    previous: Position
    entries: tuple[LogEntry, ...]


class Group:
    """Carry entries and heartbeats from the primary to its replicas."""

    __slots__ = ("_beating", "_flushes", "_members", "_shipped", "_spec")

    def __init__(self, spec: GroupSpec) -> None:
        self._spec = spec
        self._beating: asyncio.Task | None = None
        self._flushes: set[str] = set()
        self._shipped: dict[tuple[str, str], Position] = {}
        self._members: dict[str, Member] = {}
        for name in spec.members:
            self._members[name] = self._new_member(name)

    @property
    def members(self) -> dict[str, Member]:
        return self._members

    @property
    def spec(self) -> GroupSpec:
        return self._spec

    def start(self) -> None:
        first = self._spec.members[0]
        for member in self._members.values():
            member.start(first)
        self._beating = asyncio.get_running_loop().create_task(self._beat())

    def stop(self) -> None:
        if self._beating is not None:
            self._beating.cancel()

    def publish(self, sender: Member) -> None:
        """Ship what the sender appended, once for all entries of this loop turn."""
        if sender.name not in self._flushes:
            self._flushes.add(sender.name)
            asyncio.get_running_loop().call_soon(self._flush, sender)

    def ask(self, receiver: Member) -> None:
        """Ask the receiver's primary for what the receiver lacks."""
        sender = self._members.get(receiver.primary)
        if sender is not None and not self._cut(sender, receiver):
            self._later(self._synchronize, sender, receiver)

    def _new_member(self, name: str) -> Member:
        spec = self._spec
        random = Random(f"{spec.seed}/{spec.name}/{name}")
        lag = LagSampler(random, spec.lag_median_s, spec.lag_p99_s)
        return Member(name, self, lag, spec.writer_wait_s)

    async def _beat(self) -> None:
        while True:
            for sender in self._members.values():
                for receiver in self._others(sender):
                    self._synchronize(sender, receiver)
            await asyncio.sleep(HEARTBEAT_S)

    def _others(self, sender: Member) -> list[Member]:
        return [member for member in self._members.values() if member is not sender]

    def _flush(self, sender: Member) -> None:
        self._flushes.discard(sender.name)
        for receiver in self._others(sender):
            shipped = self._shipped.get((sender.name, receiver.name))
            if shipped is None or not sender.log.holds(shipped):
                shipped = sender.log.common_end(receiver.log)
            self._ship(sender, receiver, shipped)

    def _synchronize(self, sender: Member, receiver: Member) -> None:
        # Starts from what the receiver has, so that a shipment lost on a cut link
        # leaves a gap for one heartbeat and not for good.
        self._ship(sender, receiver, sender.log.common_end(receiver.log))

    def _ship(self, sender: Member, receiver: Member, previous: Position) -> None:
        # A member that only promised a term must not spread what it wrote before.
        if sender.role is not Role.PRIMARY or self._cut(sender, receiver):
            return
        entries = sender.log.after(previous.position)
        self._shipped[sender.name, receiver.name] = sender.log.end
        shipment = Shipment(sender.name, sender.term, previous, entries)
        self._later(self._deliver, sender, receiver, shipment)

    def _deliver(self, sender: Member, receiver: Member, shipment: Shipment) -> None:
        if not self._cut(sender, receiver, sent=True):
            receiver.hear(shipment)

    def _cut(self, sender: Member, receiver: Member, sent: bool = False) -> bool:
        return (
            not (sent or sender.running)
            or not receiver.running
            or receiver.name in sender.faults.cut_off_from
            or sender.name in receiver.faults.cut_off_from
        )

    def _later(
        self, act: Callable[..., None], sender: Member, receiver: Member, *more
    ) -> None:
        spec = self._spec
        pair = (sender.name, receiver.name)
        delay = spec.transport_delays_s.get(pair, spec.transport_delay_s)
        loop = asyncio.get_running_loop()
        if delay > 0:
            loop.call_later(delay, act, sender, receiver, *more)
        else:
            loop.call_soon(act, sender, receiver, *more)


class LagSampler:
    """Draw a replica's apply lag, in seconds, from a log-normal distribution.

    A lag stays for a while before the next is drawn. Entries are applied in order,
    so if each had a lag of its own, one slow entry would hold up all that follow,
    and the lag of a busy replica would sit in the distribution's tail.
    """

    __slots__ = ("_lag", "_median", "_random", "_sigma", "_until")

    def __init__(self, random: Random, median_s: float, p99_s: float) -> None:
        self._random = random
        self.set(median_s, p99_s)

    def set(self, median_s: float, p99_s: float) -> None:
        self._until = float("-inf")
        self._lag = 0.0
        self._median = median_s
        self._sigma = 0.0
        if p99_s > median_s > 0:
            self._sigma = math.log(p99_s / median_s) / _Z_99

    def at(self, now: float) -> float:
        """Return the lag of an entry received at `now`."""
        if self._median <= 0:
            return 0.0
        if now >= self._until:
            self._until = now + LAG_HOLD_S
            self._lag = self._median * math.exp(self._random.gauss(0.0, self._sigma))
        return self._lag
