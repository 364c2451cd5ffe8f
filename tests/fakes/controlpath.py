"""Hosts with the systems of the control path only, in virtual time.

Real nodes, a platform with faults, and links with delay, cuts and pauses. Every
message passes through the codec, so that what arrives is what a peer would read.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from mallowpass.core import effects as out
from mallowpass.core import events as inn
from mallowpass.core import platformcalls as calls
from mallowpass.core.codec import decode_message, encode_message
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.core.operations import (
    ChangeServiceRequest,
    OperatorAnswer,
    OperatorRequest,
)
from mallowpass.core.services import Database, Member, Service, ServiceVersion
from mallowpass.core.systems.configuration import Configuration
from mallowpass.core.systems.draining import Draining
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.operators import Operations
from mallowpass.core.systems.platformclient import PlatformClient

__all__ = ["FakePlatform", "Fleet", "Host", "make_service"]

SYSTEMS: tuple[type[System], ...] = (
    *(PlatformClient, Membership, Configuration, Draining, Operations),
)
DOMAINS = ("casa-ainsebaa", "tanger-ksar", "agadir-anza")
LINK_DELAY = 0.002
REGION_DELAY = 0.012
CONNECT_TIMEOUT = 2.0
PLATFORM_DELAY = 0.01
LATE_WRITE = 1.6  # seconds; after the read-back of a lost answer


def make_service(
    name: str = "claims-core", databases: int = 3, members: int = 3, age: float = 0.0
) -> Service:
    """Return a sound service; addresses derive from the names."""
    octet = sum(map(ord, name)) % 250
    made = tuple(
        Database(
            f"db-{d}",
            tuple(
                Member(
                    f"m{m}",
                    f"10.{octet}.{hash_of(name) % 250}.{10 * d + m}:5432",
                    DOMAINS[m % 3],
                )
                for m in range(members)
            ),
            connections=20,
            setup_time=age,
        )
        for d in range(databases)
    )
    return Service(name, made)


def hash_of(name: str) -> int:
    """Return a number that is the same in each run."""
    return int.from_bytes(name.encode()[-3:], "big")


@dataclass
class FakePlatform:
    """Hold rows and hosts; `mode` is up, down, slow or lossy."""

    mode: str = "up"
    rows: dict[tuple[str, str], calls.TableRow] = field(default_factory=dict)
    changed: dict[tuple[str, str], int] = field(default_factory=dict)
    change: int = 0
    hosts: dict[str, calls.ListedHost] = field(default_factory=dict)
    # What becomes of coming writes: their answer lost, or carried out late as well.
    faults: deque[str] = field(default_factory=deque)
    calls: Counter[str] = field(default_factory=Counter)
    writes: list[calls.TableRow] = field(default_factory=list)

    def handle(self, request: calls.PlatformCall) -> calls.PlatformReply | None:
        """Carry a call out and return its answer, None when it is lost."""
        self.calls[type(request).__name__] += 1
        if self.mode == "down":
            return None
        reply = getattr(self, f"_{type(request).__name__}")(request)
        is_write = isinstance(request, calls.WriteRow)
        return None if self.mode == "lossy" and is_write else reply

    def _ReadRow(self, request: calls.ReadRow) -> calls.PlatformReply:
        return calls.RowRead(self.rows.get((request.table, request.key)))

    def _ScanRows(self, request: calls.ScanRows) -> calls.PlatformReply:
        rows = [
            self.rows[key]
            for key, change in sorted(self.changed.items(), key=lambda item: item[1])
            if key[0] == request.table and change > request.after_change
        ]
        return calls.RowsScanned(tuple(rows), self.change)

    def _WriteRow(self, request: calls.WriteRow) -> calls.PlatformReply:
        key = (request.table, request.key)
        current = self.rows.get(key)
        if request.expected_version != (current.version if current else 0):
            return calls.RowWritten(False, current)
        row = calls.TableRow(*key, request.expected_version + 1, request.value)
        self.change += 1
        self.rows[key], self.changed[key] = row, self.change
        self.writes.append(row)
        return calls.RowWritten(True, row)

    def _ListHosts(self, request: calls.ListHosts) -> calls.PlatformReply:
        return calls.HostsListed(tuple(self.hosts.values()))

    def _RegisterHost(self, request: calls.RegisterHost) -> calls.PlatformReply:
        self.hosts[request.host.name] = request.host
        return calls.HostRegistered()


@dataclass(eq=False)
class Host:
    """Hold one host: its node, its answers to operators, its counters."""

    name: str
    node: Node
    alive: bool = True
    paused: bool = False
    wake_at: float = float("inf")
    backlog: deque[inn.Event] = field(default_factory=deque)
    answers: dict[int, OperatorAnswer] = field(default_factory=dict)
    effects: list[out.Effect] = field(default_factory=list)  # Exit, CloseCaller
    sent: Counter[str] = field(default_factory=Counter)
    bytes_sent: int = 0
    bytes_received: int = 0

    @property
    def address(self) -> str:
        """Return the address for peers."""
        return self.node.identity.peers_address

    @property
    def domain(self) -> str:
        """Return the failure domain."""
        return self.node.identity.failure_domain

    def version(self, service: str) -> int:
        """Return the version in force, 0 for none."""
        row = self.node.tables.services.get(service)
        return row.accepted.version if row else 0

    def accepted(self, service: str) -> ServiceVersion | None:
        """Return what is in force."""
        row = self.node.tables.services.get(service)
        return row.accepted if row else None


class Fleet:
    """Run hosts in virtual time."""

    def __init__(
        self,
        sizes: Iterable[int] = (3, 3, 2),
        seed: int = 1,
        tuning: Tuning | None = None,
        systems: tuple[type[System], ...] = SYSTEMS,
        per_region: int = 2,
    ) -> None:
        sizes = tuple(sizes)
        extra = (f"domain-{n}" for n in range(len(DOMAINS), len(sizes)))
        names = (*DOMAINS, *extra)[: len(sizes)]
        self.domains = tuple(
            FailureDomain(name, f"region-{n // per_region}", size)
            for n, (name, size) in enumerate(zip(names, sizes, strict=True))
        )
        self.now = 0.0
        self.platform = FakePlatform()
        self.hosts: dict[str, Host] = {}
        self.tuning = tuning or Tuning()
        self.random = random.Random(seed)
        self.cuts: set[frozenset[str]] = set()  # domains, or "platform"
        self.on_effect: Callable[[Host, out.Effect], None] = lambda host, effect: None
        self.on_accept: Callable[[Host, float], None] = lambda host, now: None
        self._systems = systems
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count(1)
        self._incarnations = itertools.count(1)
        self._links: dict[tuple[str, int], tuple[str, int]] = {}  # end -> other end
        self._by_address: dict[str, str] = {}
        self._lives: Counter[str] = Counter()

    # -- Hosts ---------------------------------------------------------------

    def start_all(self) -> None:
        """Start a host on each seat."""
        for domain in self.domains:
            for seat in range(domain.hosts):
                self.start(f"{domain.name}-{seat}", domain.name, seat)

    def start(self, name: str, domain: str, seat: int) -> Host:
        """Start a host, or a new life of it, which knows nothing."""
        number = [d.name for d in self.domains].index(domain)
        address = f"10.0.{number}.{seat + 1}:7000"
        if seat > 250:
            address = f"10.{1 + seat // 250}.{number}.{seat % 250 + 1}:7000"
        seeds = tuple(f"10.0.{n}.1:7000" for n in range(len(self.domains)))
        identity = HostIdentity(
            name,
            domain,
            seat,
            address,
            next(self._incarnations),
            self.domains,
            seeds,
        )
        node = Node(identity, self.tuning, self.random.getrandbits(32), self.now)
        host = Host(name, node)
        self.hosts[name] = host
        self._by_address[address] = name
        self._lives[name] += 1
        self._carry_out(host, node.start(self._systems))
        return host

    def kill(self, name: str, silent: bool = False) -> None:
        """End a host; with `silent`, its peers get no sign of it."""
        host = self.hosts[name]
        host.alive = False
        for end in [end for end in self._links if end[0] == name]:
            self._close(end, tell=not silent)

    def restart(self, name: str) -> Host:
        """Kill a host and start it anew."""
        identity = self.hosts[name].node.identity
        self.kill(name)
        return self.start(name, identity.failure_domain, identity.seat)

    def pause(self, name: str) -> None:
        """Stop a host's process; what comes for it waits."""
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        """Let a host go on: its timers first, then what waited."""
        host = self.hosts[name]
        host.paused = False
        self._carry_out(host, host.node.wake(self.now))
        while host.backlog:
            self._feed(host, host.backlog.popleft())

    @property
    def alive(self) -> list[Host]:
        """Return the hosts that run."""
        return [host for host in self.hosts.values() if host.alive]

    # -- Faults --------------------------------------------------------------

    def cut(self, *sides: str) -> None:
        """Cut two sides from each other: failure domains, hosts or "platform"."""
        self.cuts.add(frozenset(sides))

    def isolate(self, domain: str) -> None:
        """Cut a failure domain from all others and the platform."""
        for other in (*(d.name for d in self.domains), "platform"):
            if other != domain:
                self.cut(domain, other)

    def heal(self) -> None:
        """End all cuts and outages."""
        self.cuts.clear()
        self.platform.mode = "up"

    def is_cut(self, first: Host, second: Host) -> bool:
        """Tell whether two hosts can't reach each other."""
        return bool(self.cuts) and not self.cuts.isdisjoint(
            frozenset(pair)
            for pair in itertools.product(
                (first.name, first.domain), (second.name, second.domain)
            )
        )

    # -- Time ----------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self._step()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Let time pass until a condition holds; return the seconds it took."""
        start = self.now
        while not condition():
            assert self._queue and self._queue[0][0] <= start + limit, (
                f"not so within {limit}s: {condition}"
            )
            self._step()
        return self.now - start

    def _step(self) -> None:
        self.now, _, function, arguments = heapq.heappop(self._queue)
        function(*arguments)

    def at(self, when: float, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function at a time."""
        heapq.heappush(self._queue, (when, next(self._numbers), function, arguments))

    # -- Operators -----------------------------------------------------------

    def ask(self, host: str, request: OperatorRequest) -> int:
        """Hand an operator's request to a host; return the call's number."""
        call = next(self._numbers)
        self._feed(self.hosts[host], inn.OperatorRequested(call, request))
        return call

    def answer(self, host: str, call: int, limit: float = 30.0) -> Any:
        """Wait for an answer and return it."""
        answers = self.hosts[host].answers
        self.run_until(lambda: call in answers, limit)
        return answers[call]

    def change(
        self,
        host: str,
        service: Service | None,
        version: int,
        change_id: str,
        name: str = "claims-core",
    ) -> int:
        """Ask a host for a change."""
        request = ChangeServiceRequest(
            operator="amina",
            name=service.name if service else name,
            service=service,
            from_version=version,
            change_id=change_id,
        )
        return self.ask(host, request)

    def in_force(self, service: str, version: int) -> bool:
        """Tell whether a version is in force at all hosts that run."""
        return all(host.version(service) == version for host in self.alive)

    # -- Events and effects --------------------------------------------------

    def feed(self, host: str, event: inn.Event) -> None:
        """Hand an event to a host."""
        self._feed(self.hosts[host], event)

    def _feed(self, host: Host, event: inn.Event) -> None:
        if not host.alive or self.hosts.get(host.name) is not host:
            return
        if host.paused:
            host.backlog.append(event)
            return
        self._carry_out(host, host.node.handle(self.now, event))

    def _wake(self, host: Host, due: float) -> None:
        if host.wake_at == due:
            host.wake_at = float("inf")
        if host.alive and not host.paused and self.hosts[host.name] is host:
            self._carry_out(host, host.node.wake(self.now))

    def _carry_out(self, host: Host, effects: list[out.Effect]) -> None:
        for effect in effects:
            handler = _HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, host, effect)
            self.on_effect(host, effect)
        due = host.node.next_wake
        if host.alive and due is not None and due < host.wake_at:
            host.wake_at = due
            self.at(max(due, self.now), self._wake, host, due)

    def _connect(self, host: Host, effect: out.ConnectPeer) -> None:
        self.at(self.now + 2 * LINK_DELAY, self._connected, host, effect)

    def _connected(self, host: Host, effect: out.ConnectPeer) -> None:
        other = self.hosts.get(self._by_address.get(effect.address, ""))
        lost = inn.PeerLost(effect.link, effect.address)
        if other is not None and (self.is_cut(host, other) or other.paused):
            self.at(self.now + CONNECT_TIMEOUT, self._feed, host, lost)
        elif other is None or not other.alive or not host.alive:
            self._feed(host, lost)
        else:
            number = -next(self._numbers)
            self._links[host.name, effect.link] = (other.name, number)
            self._links[other.name, number] = (host.name, effect.link)
            self._feed(other, inn.PeerConnected(number, host.address))
            self._feed(host, inn.PeerConnected(effect.link, effect.address))

    def _send(self, host: Host, effect: out.SendPeer) -> None:
        end = self._links.get((host.name, effect.link))
        if end is None:
            return
        data = encode_message(effect.message)
        host.bytes_sent += len(data)
        host.sent[type(effect.message).__name__] += 1
        other = self.hosts[end[0]]
        if self.is_cut(host, other):
            return
        same = host.node.identity.region == other.node.identity.region
        delay = LINK_DELAY if same else REGION_DELAY
        self.at(self.now + delay, self._deliver, end, data)

    def _deliver(self, end: tuple[str, int], data: bytes) -> None:
        if end not in self._links:
            return
        host = self.hosts[end[0]]
        host.bytes_received += len(data)
        message = decode_message(data)
        assert message is not None
        self._feed(host, inn.PeerMessageReceived(end[1], message))

    def _close_peer(self, host: Host, effect: out.ClosePeer) -> None:
        self._close((host.name, effect.link), tell=True)

    def _close(self, end: tuple[str, int], tell: bool) -> None:
        other_end = self._links.pop(end, None)
        if other_end is None:
            return
        if not tell:
            return
        self._links.pop(other_end, None)
        host, other = self.hosts[end[0]], self.hosts[other_end[0]]
        if not self.is_cut(host, other):
            lost = inn.PeerLost(other_end[1], host.address)
            self.at(self.now + LINK_DELAY, self._feed, other, lost)

    def _call_platform(self, host: Host, effect: out.CallPlatform) -> None:
        reply: calls.PlatformReply | None = None
        fault = ""
        if isinstance(effect.request, calls.WriteRow) and self.platform.faults:
            fault = self.platform.faults.popleft()
        if frozenset({host.domain, "platform"}) not in self.cuts:
            if fault == "late":
                self.at(self.now + LATE_WRITE, self.platform.handle, effect.request)
            else:
                reply = self.platform.handle(effect.request)
        if fault:
            reply = None
        delay = PLATFORM_DELAY
        if reply is None or self.platform.mode == "slow":
            reply = calls.PlatformFailed("no answer")
            delay = effect.timeout
        replied = inn.PlatformReplied(effect.call, reply)
        self.at(self.now + delay, self._feed, host, replied)

    def _answer_operator(self, host: Host, effect: out.AnswerOperator) -> None:
        assert effect.call not in host.answers, "answered twice"
        host.answers[effect.call] = effect.answer

    def _keep(self, host: Host, effect: out.Effect) -> None:
        host.effects.append(effect)
        if isinstance(effect, out.Exit):
            self.kill(host.name)

    def _log(self, host: Host, effect: out.Log) -> None:
        if effect.event == "service_accepted":
            self.on_accept(host, self.now)


_HANDLERS: dict[type, Callable[[Fleet, Host, Any], None]] = {
    out.ConnectPeer: Fleet._connect,
    out.SendPeer: Fleet._send,
    out.ClosePeer: Fleet._close_peer,
    out.CallPlatform: Fleet._call_platform,
    out.AnswerOperator: Fleet._answer_operator,
    out.CloseCaller: Fleet._keep,
    out.Exit: Fleet._keep,
    out.Log: Fleet._log,
}
