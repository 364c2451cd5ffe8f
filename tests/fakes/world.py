"""Several nodes and fakes in one virtual time: one heap, one seed, links between."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from mallowpass.core.effects import (
    CallPlatform,
    ClosePeer,
    ConnectPeer,
    Count,
    Effect,
    Observe,
    SendPeer,
)
from mallowpass.core.events import (
    Event,
    PeerConnected,
    PeerLost,
    PeerMessageReceived,
    PlatformReplied,
)
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.core.platformcalls import PlatformFailed
from tests.fakes.groups import Delayed, FakeGroup

PLATFORM = "platform"


class Links:
    """Delays between places with jitter, stalls, loss and cuts; order is kept."""

    def __init__(self, seed: int, *, within: float = 0.0002) -> None:
        self.random = random.Random(seed)
        self.places: dict[str, str] = {}  # of hosts and members: failure domain
        self.between: dict[frozenset[str], float] = {}  # domains: one way, seconds
        self.within = within
        self.default = 0.001
        self.jitter = 0.1  # share of the delay
        self.loss = 0.0  # share of messages that are lost
        self.now: Callable[[], float] = lambda: 0.0
        self._cuts: set[frozenset[str]] = set()
        self._stalls: dict[frozenset[str], float] = {}  # names: held until
        self._last: dict[tuple[str, str], float] = {}

    def cut(self, first: str, second: str) -> None:
        """Cut two names, or two failure domains, off from each other."""
        self._cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        self._cuts.clear()

    def isolate(self, place: str, others: Iterable[str]) -> None:
        for other in others:
            if other != place:
                self.cut(place, other)

    def stall(self, first: str, second: str, until: float) -> None:
        """Hold all messages between two names until a time: a lag spike."""
        self._stalls[frozenset((first, second))] = until

    def is_cut(self, source: str, target: str) -> bool:
        there, here = self.places.get(source, ""), self.places.get(target, "")
        names = [(source, target), (there, here), (source, here), (there, target)]
        return any(frozenset(pair) in self._cuts for pair in names)

    def delay(self, source: str, target: str) -> float | None:
        if self.is_cut(source, target) or self.random.random() < self.loss:
            return None
        now = self.now()
        base = self._base(source, target)
        at = now + base * (1 + self.jitter * self.random.random())
        at = max(at, self._stalls.get(frozenset((source, target)), 0.0))
        at = max(at, self._last.get((source, target), 0.0))
        self._last[source, target] = at
        return at - now

    def _base(self, source: str, target: str) -> float:
        there, here = self.places.get(source, ""), self.places.get(target, "")
        if there == here:
            return self.within
        return self.between.get(frozenset((there, here)), self.default)


class FakeHost:
    """One node with what it put out that no fake carries out."""

    def __init__(self, world: World, node: Node) -> None:
        self.world = world
        self.node = node
        self.paused_until = 0.0
        self.effects: list[tuple[float, Effect]] = []  # answers, logs, ...
        self.counts: Counter[str] = Counter()
        self.observed: list[tuple[str, float]] = []
        self._backlog: list[Event] = []
        self._woken_for: float | None = None

    @property
    def name(self) -> str:
        return self.node.identity.name

    def system(self, kind: type[System]) -> Any:
        return self.node.system(kind)

    def do(self, act: Callable[..., Any], *arguments: Any) -> None:
        """Run a function inside the node, as if an event had called it."""
        self.node.timers.advance(self.world.now)
        self.node.timers.after(0.0, act, *arguments)
        self.take(self.node.wake(self.world.now))

    def handle(self, event: Event) -> None:
        """Hand an event to the node; a paused host gets it when it goes on."""
        if self.world.now < self.paused_until:
            self._backlog.append(event)
            return
        self.take(self.node.handle(self.world.now, event))

    def wake(self) -> None:
        self._woken_for = None
        if self.world.now < self.paused_until:
            return
        due = self.node.next_wake
        if due is not None and due <= self.world.now:
            self.take(self.node.wake(self.world.now))
        else:
            self.plan_wake()

    def pause(self, seconds: float) -> None:
        self.paused_until = self.world.now + seconds
        self.world.at(self.paused_until, self._go_on)

    def _go_on(self) -> None:
        if self.world.now < self.paused_until:
            return
        self._woken_for = None
        self.take(self.node.wake(self.world.now))
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            self.take(self.node.handle(self.world.now, event))

    def take(self, effects: list[Effect]) -> None:
        for effect in effects:
            self.world.carry_out(self, effect)
        self.plan_wake()

    def plan_wake(self) -> None:
        due = self.node.next_wake
        if due is None:
            return
        due = max(due, self.world.now)
        if self._woken_for is None or due < self._woken_for:
            self._woken_for = due
            self.world.at(due, self.wake)


class World:
    """Run hosts, groups and functions in the order of their times."""

    def __init__(self, seed: int = 1, links: Links | None = None) -> None:
        self.now = 0.0
        self.seed = seed
        self.random = random.Random(seed)
        self.links = links if links is not None else Links(seed)
        self.links.now = lambda: self.now
        self.hosts: dict[str, FakeHost] = {}
        self.groups: list[FakeGroup] = []
        # Answers platform calls; None stands for an outage.
        self.platform: Callable[[str, Any], Any] | None = None
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._counter = itertools.count()
        self._group_wakes: dict[int, float] = {}
        self._peer_links: dict[tuple[str, int], tuple[str, int]] = {}
        self._peer_numbers = itertools.count(-1, -1)

    # -- Setting up ----------------------------------------------------------

    def add_host(
        self,
        name: str,
        domain: str,
        systems: Iterable[type[System]],
        *,
        domains: tuple[FailureDomain, ...] = (),
        tuning: Tuning | None = None,
        seat: int = 0,
        prepare: Callable[[FakeHost], None] | None = None,
    ) -> FakeHost:
        identity = HostIdentity(name, domain, seat, f"{name}:1", 1, domains)
        seed = self.random.randrange(2**32)
        node = Node(identity, tuning or Tuning(), seed, self.now)
        host = FakeHost(self, node)
        self.hosts[name] = host
        self.links.places[name] = domain
        effects = node.start(systems)
        if prepare is not None:
            host.do(prepare, host)
        host.take(effects)
        return host

    def add_group(self, group: FakeGroup) -> FakeGroup:
        self.groups.append(group)
        for member in group.members.values():
            self.links.places[member.name] = member.member.failure_domain
        self._plan_group(group)
        return group

    # -- Running -------------------------------------------------------------

    def at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._queue, (when, next(self._counter), act, arguments))

    def run_until(self, when: float) -> None:
        while self._queue and self._queue[0][0] <= when:
            self._step()
        self.now = max(self.now, when)

    def run(self, seconds: float) -> None:
        self.run_until(self.now + seconds)

    def run_till(self, condition: Callable[[], bool], limit: float = 30.0) -> float:
        """Run until a condition holds; return how long it took, in seconds."""
        start = self.now
        while not condition():
            if not self._queue or self._queue[0][0] > start + limit:
                raise AssertionError(f"condition does not hold after {limit}s")
            self._step()
        return self.now - start

    def _step(self) -> None:
        when, _, act, arguments = heapq.heappop(self._queue)
        self.now = max(self.now, when)
        act(*arguments)

    # -- Effects -------------------------------------------------------------

    def carry_out(self, host: FakeHost, effect: Effect) -> None:
        address = getattr(effect, "address", None)
        match effect:
            case ConnectPeer():
                self._connect_peer(host, effect)
            case SendPeer():
                self._send_peer(host, effect)
            case ClosePeer():
                self._close_peer(host, effect.link)
            case CallPlatform():
                self._call_platform(host, effect)
            case Count():
                host.counts[effect.name] += effect.value
            case Observe():
                host.observed.append((effect.name, effect.value))
            case _ if address is not None or hasattr(effect, "connection"):
                self._to_groups(host, effect, address)
            case _:
                host.effects.append((self.now, effect))

    def _to_groups(self, host: FakeHost, effect: Effect, address: str | None) -> None:
        for group in self.groups:
            if address is None or group.has(address):
                self._deliver(group.carry_out(self.now, host.name, effect))
                self._plan_group(group)

    def _plan_group(self, group: FakeGroup) -> None:
        due = group.next_wake
        known = self._group_wakes.get(id(group))
        if due is not None and (known is None or due < known):
            self._group_wakes[id(group)] = due
            self.at(due, self._wake_group, group, due)

    def _wake_group(self, group: FakeGroup, due: float) -> None:
        if self._group_wakes.get(id(group)) == due:
            del self._group_wakes[id(group)]
        self._deliver(group.wake(self.now))
        self._plan_group(group)

    def poke(self, group: FakeGroup) -> None:
        """Take along what a fault, set from outside, caused in a group."""
        self._deliver(group.wake(self.now))
        self._plan_group(group)

    def _deliver(self, events: list[Delayed]) -> None:
        for delayed in events:
            self.at(delayed.at, self._hand_over, delayed.host, delayed.event)

    def _hand_over(self, name: str, event: Event) -> None:
        host = self.hosts.get(name)
        if host is not None:
            host.handle(event)

    # -- Peers ---------------------------------------------------------------

    def _connect_peer(self, host: FakeHost, effect: ConnectPeer) -> None:
        other = next(
            (
                h
                for h in self.hosts.values()
                if h.node.identity.peers_address == effect.address
            ),
            None,
        )
        delay = None if other is None else self.links.delay(host.name, other.name)
        if other is None or delay is None:
            lost = PeerLost(effect.link, effect.address)
            self.at(self.now + 1.0, self._hand_over, host.name, lost)
            return
        theirs = next(self._peer_numbers)
        self._peer_links[host.name, effect.link] = (other.name, theirs)
        self._peer_links[other.name, theirs] = (host.name, effect.link)
        mine = PeerConnected(effect.link, effect.address)
        back = PeerConnected(theirs, host.node.identity.peers_address)
        self.at(self.now + 2 * delay, self._hand_over, host.name, mine)
        self.at(self.now + delay, self._hand_over, other.name, back)

    def _send_peer(self, host: FakeHost, effect: SendPeer) -> None:
        end = self._peer_links.get((host.name, effect.link))
        delay = None if end is None else self.links.delay(host.name, end[0])
        if delay is not None:
            event = PeerMessageReceived(end[1], effect.message)
            self.at(self.now + delay, self._hand_over, end[0], event)

    def _close_peer(self, host: FakeHost, link: int) -> None:
        end = self._peer_links.pop((host.name, link), None)
        if end is None:
            return
        self._peer_links.pop(end, None)
        delay = self.links.delay(host.name, end[0])
        if delay is not None:
            lost = PeerLost(end[1], host.node.identity.peers_address)
            self.at(self.now + delay, self._hand_over, end[0], lost)

    # -- Platform ------------------------------------------------------------

    def _call_platform(self, host: FakeHost, effect: CallPlatform) -> None:
        if self.platform is None:
            reply, delay = PlatformFailed("outage"), effect.timeout
        else:
            reply = self.platform(host.name, effect.request)
            there = self.links.delay(host.name, PLATFORM)
            delay = effect.timeout if there is None else 2 * there
            reply = PlatformFailed("timeout") if there is None else reply
        event = PlatformReplied(effect.call, reply)
        self.at(self.now + delay, self._hand_over, host.name, event)
