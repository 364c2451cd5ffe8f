"""Many real nodes in one process and in virtual time, with all they send counted.

Nodes are those that `mallowpass serve` runs, with all their systems. Messages between
hosts pass through the codec, calls and reports of members through the translation to
and from the wire. Only sockets are missing: their cost is measured elsewhere.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from mallowpass.adapters.endpoint_messages import (
    control_call_to_wire,
    control_reply_from_wire,
)
from mallowpass.adapters.runtime import tuning_of
from mallowpass.core import calls, effects, events, peering
from mallowpass.core import platformcalls as platform
from mallowpass.core.codec import decode_message, encode_message, encode_service
from mallowpass.core.node import FailureDomain, HostIdentity, Node, Tuning
from mallowpass.core.services import Database, ServiceVersion
from mallowpass.core.systems.registry import ALL_SYSTEMS
from mallowpass.measure.virtualgroups import (
    Stream,
    VirtualMember,
    made_service,
    report_of,
)
from mallowpass.measure.virtualplatform import VirtualPlatform
from mallowpass.schema import endpoint_pb2
from mallowpass.settings import HostSettings

__all__ = [
    "Spent",
    "VirtualFleet",
    "VirtualHost",
    "served_tuning",
]

PEER_FRAME = 32  # bytes: websocket header, counter and MAC
GRPC_FRAME = 14  # bytes: HTTP/2 frame header and gRPC's prefix
WITHIN_REGION = 0.001
BETWEEN_REGIONS = 0.012
CONNECT_TIMEOUT = 2.0
PLATFORM_DELAY = 0.01
DATABASES_PER_SERVICE = 3
MEMBER_HEARTBEAT = 0.05
DRIFT = 0.05  # of a watch's interval: members do not report in step


@dataclass(slots=True)
class Spent:
    """Add up what one host spent; bytes as on the wire without TCP and IP."""

    seconds: float = 0.0  # processor time of the core, codec and translation
    peer_messages: int = 0  # sent and received
    peer_bytes: int = 0
    control_messages: int = 0
    control_bytes: int = 0
    platform_reads: int = 0
    platform_writes: int = 0

    def copy(self) -> Spent:
        """Return the sums so far."""
        return Spent(*(getattr(self, name) for name in Spent.__slots__))

    def since(self, before: Spent) -> Spent:
        """Return what was added to earlier sums."""
        names = Spent.__slots__
        return Spent(*(getattr(self, name) - getattr(before, name) for name in names))


@dataclass(slots=True, eq=False)
class VirtualHost:
    """Hold one host."""

    name: str
    node: Node
    alive: bool = True
    wake_at: float = float("inf")
    spent: Spent = field(default_factory=Spent)

    @property
    def domain(self) -> str:
        """Return the failure domain."""
        return self.node.identity.failure_domain


class VirtualFleet:
    """Run hosts over databases from one heap of times.

    `echoes` are hosts of which only the links exist: they greet, and answer each
    heartbeat with one that agrees. So one real node can be measured among thousands.
    """

    def __init__(
        self,
        hosts: int,
        databases: int = 0,
        *,
        seed: int = 1,
        members: int = 3,
        domains: int = 8,
        regions: int = 3,
        seats: int = 0,
        echoes: int = 0,
        tuning: Tuning | None = None,
    ) -> None:
        seats = max(seats, hosts)
        parts = min(domains, seats)
        self.now = 0.0
        self.random = random.Random(seed)
        self.tuning = tuning or served_tuning()
        self.domains = tuple(
            FailureDomain(
                f"domain-{n}", f"region-{n % regions}", _part(seats, n, parts)
            )
            for n in range(parts)
        )
        self.hosts: dict[str, VirtualHost] = {}
        self.members: dict[str, VirtualMember] = {}
        self.cuts: set[frozenset[str]] = set()
        self.platform = VirtualPlatform()
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count(1)
        self._links: dict[tuple[str, int], tuple[str, int]] = {}  # end -> other end
        self._by_address: dict[str, str] = {}
        self._overhead = _clock_cost()
        self._echoes: dict[str, platform.ListedHost] = {}  # by address
        self._echo_links: dict[tuple[str, int], platform.ListedHost] = {}
        self._add_services(databases, members)
        self._add_echoes(echoes)
        for n, domain in enumerate(self.domains):
            for seat in range(_part(hosts, n, parts)):
                self.start_host(domain.name, seat)

    # -- Properties ----------------------------------------------------------

    @property
    def alive(self) -> list[VirtualHost]:
        """Return the hosts that run."""
        return [host for host in self.hosts.values() if host.alive]

    @property
    def databases(self) -> list[str]:
        """Return the keys of all databases."""
        return [
            f"{service.name}/{database.name}"
            for service in self.services
            for database in service.databases
        ]

    # -- Hosts ---------------------------------------------------------------

    def start_host(self, domain: str, seat: int, name: str = "") -> VirtualHost:
        """Start a host on a seat; it knows nothing but its seeds."""
        name = name or f"{domain}-host-{seat}"
        number = next(self._numbers)
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000"
        seeds = tuple(
            next(h.node.identity.peers_address for h in self.alive if h.domain == name)
            for name in dict.fromkeys(h.domain for h in self.alive)
        )
        identity = HostIdentity(
            name, domain, seat, address, number, self.domains, seeds, b"k" * 32
        )
        node = Node(identity, self.tuning, self.random.getrandbits(32), self.now)
        host = VirtualHost(name, node)
        self.hosts[name] = host
        self._by_address[address] = name
        self._carry_out(host, node.start(ALL_SYSTEMS))
        return host

    def kill(self, host: VirtualHost, *, tell: bool) -> None:
        """End a host; `tell`: its links are closed rather than silent."""
        host.alive = False
        for end in [end for end in self._links if end[0] == host.name]:
            self._close(end, tell)

    def cut(self, first: Iterable[str], second: Iterable[str]) -> None:
        """Cut failure domains off from others; members are cut off too."""
        pairs = itertools.product(first, second)
        self.cuts.update(frozenset(pair) for pair in pairs if pair[0] != pair[1])

    def crash(self, member: VirtualMember) -> None:
        """Stop a member without a sign; others report it once asked to, in time."""
        member.crashed_at = self.now
        for other in member.group:
            for stream in other.streams.values():
                silence = stream.watch.silence if stream.watch else 0.0
                if other is not member and silence:
                    self.at(self.now + silence, self._push, stream)

    def write(self, member: VirtualMember, count: int = 1) -> None:
        """Have a group's log grow, as other hosts' writes would."""
        for each in member.group:
            each.position += count
            self._tell_news(each)

    def do(self, host: VirtualHost, act: Callable[..., None], *arguments: Any) -> None:
        """Call a function inside a node, as if an event had called it."""
        host.node.timers.advance(self.now)
        host.node.timers.after(0.0, act, *arguments)
        self.feed(host, _WOKEN)

    # -- Time ----------------------------------------------------------------

    def at(self, when: float, act: Callable[..., None], *arguments: Any) -> None:
        """Call a function at a time."""
        heapq.heappush(self._queue, (when, next(self._numbers), act, arguments))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self._step()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float | None:
        """Let time pass until a condition holds; return how long it took or None."""
        start = self.now
        while not condition():
            if not self._queue or self._queue[0][0] > start + limit:
                return None
            self._step()
        return self.now - start

    def _step(self) -> None:
        when, _, act, arguments = heapq.heappop(self._queue)
        self.now = max(self.now, when)
        act(*arguments)

    # -- Events and effects --------------------------------------------------

    def feed(self, host: VirtualHost, event: events.Event) -> None:
        """Hand an event to a host."""
        if not host.alive:
            return
        began = time.thread_time()
        found = host.node.handle(self.now, event)
        host.spent.seconds += time.thread_time() - began - self._overhead
        self._carry_out(host, found)

    def _wake(self, host: VirtualHost, due: float) -> None:
        if host.wake_at == due:
            host.wake_at = float("inf")
            self.feed(host, _WOKEN)

    def _carry_out(self, host: VirtualHost, found: list[effects.Effect]) -> None:
        for effect in found:
            handler = _HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, host, effect)
        due = host.node.next_wake
        if host.alive and due is not None and due < host.wake_at:
            host.wake_at = due
            self.at(max(due, self.now), self._wake, host, due)

    def _delay(self, first: str, second: str) -> float | None:
        if first != second and frozenset((first, second)) in self.cuts:
            return None
        same = _region(self.domains, first) == _region(self.domains, second)
        return WITHIN_REGION if same else BETWEEN_REGIONS

    # -- Peers ---------------------------------------------------------------

    def _connect(self, host: VirtualHost, effect: effects.ConnectPeer) -> None:
        echo = self._echoes.get(effect.address)
        if echo is not None:
            self.at(self.now + WITHIN_REGION, self._greet, host, effect, echo)
            return
        other = self.hosts.get(self._by_address.get(effect.address, ""))
        delay = None if other is None else self._delay(host.domain, other.domain)
        lost = events.PeerLost(effect.link, effect.address)
        if delay is None or other is None:
            self.at(self.now + CONNECT_TIMEOUT, self.feed, host, lost)
        elif not other.alive:
            self.at(self.now + 2 * delay, self.feed, host, lost)
        else:
            self.at(self.now + 2 * delay, self._connected, host, other, effect)

    def _connected(
        self, host: VirtualHost, other: VirtualHost, effect: effects.ConnectPeer
    ) -> None:
        if not other.alive or not host.alive:
            self.feed(host, events.PeerLost(effect.link, effect.address))
            return
        theirs = -next(self._numbers)
        self._links[host.name, effect.link] = (other.name, theirs)
        self._links[other.name, theirs] = (host.name, effect.link)
        address = host.node.identity.peers_address
        self.feed(other, events.PeerConnected(theirs, address))
        self.feed(host, events.PeerConnected(effect.link, effect.address))

    def _send(self, host: VirtualHost, effect: effects.SendPeer) -> None:
        end = self._links.get((host.name, effect.link))
        echo = self._echo_links.get((host.name, effect.link))
        if end is None and echo is None:
            return
        began = time.thread_time()
        data = encode_message(effect.message)
        host.spent.seconds += time.thread_time() - began - self._overhead
        _count_peer(host, data)
        if end is None:
            self._echo(host, effect, echo)
            return
        delay = self._delay(host.domain, self.hosts[end[0]].domain)
        if delay is not None:
            self.at(self.now + delay, self._deliver, end, data)

    def _deliver(self, end: tuple[str, int], data: bytes) -> None:
        host = self.hosts[end[0]]
        if not host.alive or (end not in self._links and end not in self._echo_links):
            return
        began = time.thread_time()
        message = decode_message(data)
        host.spent.seconds += time.thread_time() - began - self._overhead
        _count_peer(host, data)
        if message is not None:
            self.feed(host, events.PeerMessageReceived(end[1], message))

    def _close_peer(self, host: VirtualHost, effect: effects.ClosePeer) -> None:
        self._close((host.name, effect.link), True)

    def _close(self, end: tuple[str, int], tell: bool) -> None:
        self._echo_links.pop(end, None)
        other_end = self._links.pop(end, None)
        if other_end is None or not tell:
            return
        self._links.pop(other_end, None)
        host, other = self.hosts[end[0]], self.hosts[other_end[0]]
        delay = self._delay(host.domain, other.domain)
        if delay is not None:
            lost = events.PeerLost(other_end[1], host.node.identity.peers_address)
            self.at(self.now + delay, self.feed, other, lost)

    # -- Echoes --------------------------------------------------------------

    def _add_echoes(self, count: int) -> None:
        for number in range(count):
            domain = self.domains[number % len(self.domains)].name
            address = f"11.0.{number >> 8}.{number & 255}:7000"
            host = platform.ListedHost(f"{domain}-echo-{number}", domain, address)
            self._echoes[address] = host
            self.platform.hosts[host.name] = host

    def _greet(
        self,
        host: VirtualHost,
        effect: effects.ConnectPeer,
        echo: platform.ListedHost,
    ) -> None:
        self._echo_links[host.name, effect.link] = echo
        self.feed(host, events.PeerConnected(effect.link, effect.address))
        seat = int(echo.name.rpartition("-")[2])
        greeting = peering.Greeting(
            echo.name, echo.failure_domain, seat, echo.peers_address, 1
        )
        self._send_back(host, effect.link, greeting)

    def _echo(
        self,
        host: VirtualHost,
        effect: effects.SendPeer,
        echo: platform.ListedHost | None,
    ) -> None:
        if isinstance(effect.message, peering.Heartbeat) and echo is not None:
            beat = replace(effect.message, host=echo.name, incarnation=1)
            self._send_back(host, effect.link, beat)

    def tell(self, host: VirtualHost, message: peering.PeerMessage) -> None:
        """Send a host a message over one of its links to echoes."""
        link = next(number for name, number in self._echo_links if name == host.name)
        self._send_back(host, link, message)

    def _send_back(
        self, host: VirtualHost, link: int, message: peering.PeerMessage
    ) -> None:
        if (host.name, link) in self._echo_links:
            end, data = (host.name, link), encode_message(message)
            self.at(self.now + WITHIN_REGION, self._deliver, end, data)

    # -- Platform ------------------------------------------------------------

    def _call_platform(self, host: VirtualHost, effect: effects.CallPlatform) -> None:
        request = effect.request
        is_write = isinstance(request, platform.WriteRow | platform.RegisterHost)
        host.spent.platform_writes += is_write
        host.spent.platform_reads += not is_write
        replied = events.PlatformReplied(effect.call, self.platform.reply(request))
        self.at(self.now + PLATFORM_DELAY, self.feed, host, replied)

    # -- Members -------------------------------------------------------------

    def _open_control(self, host: VirtualHost, effect: effects.OpenControl) -> None:
        member = self.members[effect.address]
        delay = self._delay(host.domain, member.member.failure_domain)
        lost = events.ControlLost(effect.address, effect.stream, "cannot be opened")
        if delay is None or member.crashed_at is not None:
            self.at(self.now + effect.timeout, self.feed, host, lost)
            return
        stream = Stream(host.name, effect.stream, member)
        member.streams[host.name, effect.stream] = stream
        opened = events.ControlOpened(effect.address, effect.stream)
        self.at(self.now + 2 * delay, self.feed, host, opened)

    def _close_control(self, host: VirtualHost, effect: effects.CloseControl) -> None:
        self.members[effect.address].streams.pop((host.name, effect.stream), None)

    def _send_control(self, host: VirtualHost, effect: effects.SendControl) -> None:
        member = self.members[effect.address]
        stream = member.streams.get((host.name, effect.stream))
        if stream is None:
            return
        began = time.thread_time()
        data = control_call_to_wire(effect.call, effect.sequence).SerializeToString()
        host.spent.seconds += time.thread_time() - began - self._overhead
        _count_control(host, len(data))
        delay = self._delay(host.domain, member.member.failure_domain)
        if delay is not None:
            arrive = self.now + delay
            self.at(arrive, self._control, stream, effect.sequence, effect.call)

    def _control(self, stream: Stream, sequence: int, call: calls.ControlCall) -> None:
        member = stream.member
        if member.crashed_at is not None:
            return
        if isinstance(call, calls.WatchCall):
            stream.sequence, stream.watch = sequence, call
            self._push(stream)
            return
        before = (member.term, member.role, member.primary)
        granted = self._carry_out_call(member, call)
        self._reply(stream, sequence, granted)
        if before != (member.term, member.role, member.primary):
            self._tell_news(member)

    @staticmethod
    def _carry_out_call(member: VirtualMember, call: calls.ControlCall) -> bool:
        match call:
            case calls.PromiseCall():
                return member.promise(call)
            case calls.PromoteCall():
                return member.promote(call)
            case calls.FollowCall():
                return member.follow(call)
        return True

    def _tell_news(self, member: VirtualMember) -> None:
        for stream in member.streams.values():
            if stream.watch is not None:
                due = max(self.now, stream.sent_at + stream.watch.minimum_gap)
                self.at(due, self._push_beat, stream, stream.beat)

    def _push(self, stream: Stream) -> None:
        if stream.member.crashed_at is not None or stream.watch is None:
            return
        stream.beat += 1
        stream.sent_at = self.now
        self._reply(stream, stream.sequence, True)
        # A watch bounds the interval from above; members need not keep time together.
        share = 1 - DRIFT * self.random.random()
        due = self.now + stream.watch.interval * share
        self.at(due, self._push_beat, stream, stream.beat)

    def _push_beat(self, stream: Stream, beat: int) -> None:
        is_open = (stream.host, stream.number) in stream.member.streams
        if beat == stream.beat and is_open:
            self._push(stream)

    def _reply(self, stream: Stream, sequence: int, granted: bool) -> None:
        member, host = stream.member, self.hosts[stream.host]
        delay = self._delay(host.domain, member.member.failure_domain)
        if delay is not None:
            data = report_of(member, sequence, granted, self.now).SerializeToString()
            self.at(self.now + delay, self._replied, host, stream, data)

    def _replied(self, host: VirtualHost, stream: Stream, data: bytes) -> None:
        if not host.alive:
            return
        began = time.thread_time()
        reply = control_reply_from_wire(endpoint_pb2.ControlReply.FromString(data))
        host.spent.seconds += time.thread_time() - began - self._overhead
        _count_control(host, len(data))
        address = stream.member.member.address
        self.feed(host, events.ControlReplied(address, stream.number, reply))

    # -- Configuration -------------------------------------------------------

    def _add_services(self, databases: int, members: int) -> None:
        self.services = [
            made_service(
                number,
                min(DATABASES_PER_SERVICE, databases - first),
                members,
                [domain.name for domain in self.domains],
            )
            for number, first in enumerate(range(0, databases, DATABASES_PER_SERVICE))
        ]
        for service in self.services:
            value = encode_service(ServiceVersion(service.name, 1, service, "made"))
            write = platform.WriteRow("services", service.name, 0, value)
            self.platform.reply(write)
            for database in service.databases:
                self._add_group(database)

    def _add_group(self, database: Database) -> None:
        group: list[VirtualMember] = []
        primary = database.members[0].name
        for member in database.members:
            is_primary = member.name == primary
            role = calls.Role.PRIMARY if is_primary else calls.Role.REPLICA
            made = VirtualMember(member, group, role, primary)
            group.append(made)
            self.members[member.address] = made


def served_tuning() -> Tuning:
    """Return the times of a host whose settings leave them out.

    The core's own defaults differ: a heartbeat in half a second in place of a quarter
    would halve what the relay costs.
    """
    return tuning_of(HostSettings.from_text(_SETTINGS, "measured"))


def _part(total: int, index: int, parts: int) -> int:
    return total // parts + (index < total % parts)


def _region(domains: tuple[FailureDomain, ...], name: str) -> str:
    return next(domain.region for domain in domains if domain.name == name)


def _count_peer(host: VirtualHost, data: bytes) -> None:
    host.spent.peer_messages += 1
    host.spent.peer_bytes += len(data) + PEER_FRAME


def _count_control(host: VirtualHost, size: int) -> None:
    host.spent.control_messages += 1
    host.spent.control_bytes += size + GRPC_FRAME


def _clock_cost(rounds: int = 20_000) -> float:
    """Return what reading the processor time costs, seconds for a pair of reads."""
    began = time.thread_time()
    for _ in range(rounds):
        time.thread_time()
    return (time.thread_time() - began) / rounds


_SETTINGS = """
[host]
name = "measured"
failure_domain = "domain-0"
seat = 0
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
[fleet]
key_environment = "UNUSED"
[[fleet.failure_domains]]
name = "domain-0"
region = "region-0"
hosts = 1
"""
_WOKEN = events.Woken()
_HANDLERS: dict[type, Callable[[VirtualFleet, VirtualHost, Any], None]] = {
    effects.ConnectPeer: VirtualFleet._connect,
    effects.SendPeer: VirtualFleet._send,
    effects.ClosePeer: VirtualFleet._close_peer,
    effects.CallPlatform: VirtualFleet._call_platform,
    effects.OpenControl: VirtualFleet._open_control,
    effects.CloseControl: VirtualFleet._close_control,
    effects.SendControl: VirtualFleet._send_control,
}
