"""Hosts in virtual time, their callers, and the links between them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any

from mallowpass.core.messages import Effect, Event, ShutdownRequested
from mallowpass.core.node import FailureDomain, HostIdentity, Node, Tuning
from mallowpass.core.proxy import effects
from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.events import (
    ConnectionLost,
    ConnectionReady,
    ConnectionRefused,
    EndpointAnswered,
    LinkCalled,
    LinkClosed,
    PrimaryAnswered,
    PromotionAnswered,
    ProxyEvent,
    SessionClosed,
    SessionOpened,
    StatementReceived,
    StoreAnswered,
)
from mallowpass.core.proxy.registry import SYSTEMS
from mallowpass.core.proxy.statements import (
    Answer,
    Code,
    Deallocate,
    EndpointCall,
    EndpointReply,
    Execute,
    FloorHint,
    Prepare,
    Read,
    SetValue,
    Statement,
    Write,
)
from mallowpass.core.proxy.storage import StoreReply, StoreStatus
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.platform import wire
from mallowpass.standins.proxied.connections import (
    ReplicaConnection,
    connect,
    open_in_slot,
)
from mallowpass.standins.proxied.replicas import Group, Replica
from mallowpass.standins.proxied.virtual.oracle import Session
from mallowpass.standins.proxied.virtual.transports import Transport

if TYPE_CHECKING:
    from mallowpass.standins.proxied.virtual.world import ProxyWorld

__all__ = ["DOMAINS", "LINK", "VERSION", "Caller", "Host", "Link"]

LINK = 0.0005  # seconds one way between any two of a region
_STATEMENTS_WITH_TEXT = (Read, Write, SetValue, Prepare, Execute, Deallocate)
VERSION = "0.1.0+0a1b2c3d"
DOMAINS = tuple(FailureDomain(name, name, 0) for name in ("casa", "tanger", "agadir"))


def _as_received(call: EndpointCall) -> EndpointCall:
    """Return a call with its statement as the receiver of its line parses it."""
    if not isinstance(call.statement, _STATEMENTS_WITH_TEXT):
        return call
    line = wire.decode(wire.render_call(call).removesuffix(b"\r\n"))
    _, request_id, text = line.split(" ", 2)
    return replace(call, statement=wire.parse_call(request_id, text).statement)


def _has_line(call: EndpointCall) -> bool:
    try:
        wire.render_call(call)
    except wire.UnsendableError:
        return False
    return True


class Caller:
    """Hold one session of a caller, and what it was told."""

    def __init__(
        self, world: ProxyWorld, host: Host, database: str, key: str = ""
    ) -> None:
        self._world = world
        self._host = host
        self.stream = world.number()
        self.opened = False
        self.closed = False
        self.refusal: Code | None = None
        self.answers: list[Answer] = []
        self.answered_at: list[float] = []
        self._session = Session(world.route(database))
        host.callers[self.stream] = self
        self._credential = credential_of(key)
        self._operation_id = ""
        host.deliver(SessionOpened(self.stream, database, self._credential))

    def send(self, statement: Statement | None, request_id: str = "") -> None:
        """Send a statement, without waiting for its answer."""
        request_id = request_id or f"r{self._world.number()}"
        if not self._session.in_transaction or not self._operation_id:
            self._operation_id = request_id
        route = self._session.route
        public = route is not None and route.public
        self._world.judge.sent(
            request_id,
            self._operation_id,
            self._credential,
            public,
            self._world.timers.now,
        )
        self._world.oracle.sent(self._session, request_id)
        event = StatementReceived(self.stream, request_id, statement)
        self._host.deliver(event)

    def run(self, statement: Statement, within: float = 3.0) -> Answer:
        """Send a statement and return its answer."""
        before = len(self.answers)
        self.send(statement)
        self._world.run_until(lambda: len(self.answers) > before, within)
        if len(self.answers) == before:
            raise TimeoutError(f"no answer to {statement} within {within} s")
        return self.answers[-1]

    def answer(self, answer: Answer) -> None:
        """Take an answer."""
        self.answers.append(answer)
        self.answered_at.append(self._world.timers.now)
        self._world.oracle.answered(self._session, answer)

    def lost(self) -> None:
        """Take it that the host is gone, and the connection with it."""
        self.closed = True

    def leave(self) -> None:
        """Close the connection."""
        self._host.deliver(SessionClosed(self.stream))


class Host:
    """Hold one host's node, and carry out its effects."""

    def __init__(self, world: ProxyWorld, name: str, domain: str, seed: int) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self.callers: dict[int, Caller] = {}
        self.connections: dict[int, ReplicaConnection] = {}
        # Of these, by number, and of those that this host has closed.
        self._transports: dict[int, Transport] = {}
        self.given_up: set[int] = set()  # closed while they were being opened
        self.ready = False
        self.exited = False
        self.frozen = False  # it runs nothing
        self.accepting = True
        # As a holder; False: it runs an earlier version, which announces none of this.
        self.translates_names = True
        self.event_time = 0.0  # seconds that each event takes, one after the other
        self.lateness = 0.0  # seconds that each event arrives later
        self._busy_until = 0.0
        self._stalled_until = 0.0
        self.cut_from: set[str] = set()  # members, the store and the orders
        self.logs: list[effects.Log] = []
        self.counts: list[effects.Count] = []
        self.floors_given: list[FloorHint] = []  # to other hosts
        address = f"{name}:7440"
        identity = HostIdentity(name, domain, 0, address, seed, world.domains)
        now = world.timers.now
        promotion_fences_primary = world.fences and not world.group.goes_on
        tables = ProxyTables(
            world.first_start,
            promotion_fences_primary=promotion_fences_primary,
            settle_time=world.settle_time,
            apply_time=world.apply_time,
            key_lapse=world.key_lapse,
            overload_control=world.overload_control,
            unseen_primary_wait=world.unseen_primary_wait,
            missing_member_wait=world.missing_member_wait,
            level_member_wait=world.level_member_wait,
            version=VERSION,
        )
        self.node = Node(identity, Tuning(), seed, now, tables)
        self._wake_at: float | None = None
        self.carry_out(self.node.start(SYSTEMS))

    @property
    def tables(self) -> ProxyTables:
        """Return the node's tables."""
        return self.node.tables

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of all log lines of one event."""
        return [dict(log.fields) for log in self.logs if log.event == event]

    def deliver(self, event: Event | ProxyEvent) -> None:
        """Deliver an event now, or once a slow host is done with what came before."""
        now = self.world.timers.now
        if self.event_time or self.lateness or self._busy_until > now:
            arrival = now + self.lateness
            self._busy_until = max(arrival, self._busy_until) + self.event_time
            self.world.timers.at(self._busy_until, self._handle, event)
        else:
            self._handle(event)

    def _handle(self, event: Event | ProxyEvent) -> None:
        if not self.exited and not self.frozen:
            self.carry_out(self.node.handle(self.world.timers.now, event))

    def reset_connections(self) -> None:
        """Reset the connections to endpoints; those out of reach learn of it late."""
        for transport in self._transports.values():
            self._close_transport(transport, withdraws_calls=True)

    def _close_transport(self, transport: Transport, withdraws_calls: bool) -> None:
        if self.world.close_withdraws:
            transport.drop()
        elif withdraws_calls:
            transport.abort()
        else:
            transport.close()

    def stall(self, duration: float) -> None:
        """Run nothing for a while, and handle afterwards what arrives meanwhile."""
        self._stalled_until = self.world.timers.now + duration
        self._busy_until = max(self._busy_until, self._stalled_until)

    def later(self, delay: float, event: Event | ProxyEvent) -> None:
        """Deliver an event after a delay."""
        self.world.timers.after(delay, self.deliver, event)

    def stop(self, limit: float = 6.0) -> None:
        """Tell the host to stop."""
        self.deliver(ShutdownRequested(limit))

    def _wake(self, due: float) -> None:
        if self.world.timers.now < self._stalled_until:
            self.world.timers.at(self._stalled_until, self._wake, due)
        elif self._wake_at == due:
            self._wake_at = None
            if not self.exited and not self.frozen:
                self.carry_out(self.node.wake(self.world.timers.now))

    def carry_out(self, todo: list[Effect | effects.ProxyEffect]) -> None:
        """Carry out effects, and wake the node when it is due."""
        for effect in todo:
            self._apply(effect)
        due = self.node.next_wake
        if due is not None and due != self._wake_at:
            self._wake_at = due
            self.world.timers.at(due, self._wake, due)

    @singledispatchmethod
    def _apply(self, effect: Effect | effects.ProxyEffect) -> None:
        raise TypeError(f"not handled: {type(effect).__name__}")

    @_apply.register
    def _(self, effect: effects.AcceptSession) -> None:
        self.callers[effect.stream].opened = True

    @_apply.register
    def _(self, effect: effects.RefuseSession) -> None:
        self.callers[effect.stream].refusal = effect.code

    @_apply.register
    def _(self, effect: effects.AnswerStatement) -> None:
        self.callers[effect.stream].answer(effect.answer)

    @_apply.register
    def _(self, effect: effects.CloseSession) -> None:
        self.callers[effect.stream].closed = True

    def _delay(self, connection: ReplicaConnection) -> float:
        return self.world.delay(self.domain, self.world.domain_of(connection.member))

    @_apply.register
    def _(self, effect: effects.OpenConnection) -> None:
        self.world.timers.after(self.world.way(self, effect), self._open, effect)

    def _open(self, effect: effects.OpenConnection) -> None:
        number = effect.connection
        if number in self.given_up:
            return
        if effect.address.endswith(":7440"):
            self.world.open_link(self, effect)
            return
        group = self.world.groups[effect.service]
        replica = group.replicas.get(effect.endpoint)
        if effect.endpoint in self.cut_from or effect.endpoint in self.world.dark:
            if group.assumptions.refused_means_ended:
                refusal = ConnectionRefused(number, Code.OTHER, "no answer", True)
                self.later(effect.timeout, refusal)
            else:
                refusal = ConnectionRefused(number, Code.OTHER, "reset", True, True)
                self.later(self.world.way(self, effect), refusal)
        elif replica is None or not replica.up:
            is_gone = replica is not None
            refusal = ConnectionRefused(number, Code.OTHER, "reset", True, is_gone)
            self.later(self.world.way(self, effect), refusal)
        elif group.times.opening:
            opened = partial(self._opened_in_slot, group, effect, replica)
            open_in_slot(group, effect.endpoint, opened)
        else:
            self.world.timers.after(
                self.world.handshake, self._opened, group, effect, replica
            )

    def _opened_in_slot(
        self, group: Group, effect: effects.OpenConnection, replica: Replica
    ) -> None:
        if replica.up:
            self._opened(group, effect, replica)
        else:
            self._open(effect)

    def _opened(
        self, group: Group, effect: effects.OpenConnection, replica: Replica
    ) -> None:
        if effect.connection in self.given_up:
            return
        if effect.endpoint not in group.replicas:
            self._open(effect)  # it ended for good meanwhile
            return
        connection = connect(group, effect.endpoint, effect.customer)
        if isinstance(connection, Code):
            refusal = ConnectionRefused(effect.connection, connection, "full")
            self.later(self.world.way(self, effect), refusal)
            return
        number = effect.connection
        self.connections[number] = connection
        delay = self._delay(connection)
        is_cut = partial(self._is_cut, connection.member)
        self._transports[number] = Transport(
            group.timers, connection, delay, is_cut, group.loses_reset
        )
        self.world.connections_opened += 1
        self.later(delay, ConnectionReady(number, replica.applied_position))

    def _is_cut(self, member: str) -> bool:
        return member in self.cut_from or member in self.world.dark

    @_apply.register
    def _(self, effect: effects.SendCalls) -> None:
        if not _has_line(effect.calls[0]):
            refusal = EndpointReply(Code.UNSENDABLE, message="no line")
            for _ in effect.calls:
                self.later(0.0, EndpointAnswered(effect.connection, refusal))
            return
        transport = self._transports.get(effect.connection)
        if transport is not None:
            transport.send(partial(self._send, effect))
            return
        link = self.world.links.get((self.name, effect.connection))
        delay = LINK if link is None else link.delay
        self.world.timers.after(delay, self._send, effect)

    def _send(self, effect: effects.SendCalls) -> None:
        link = self.world.links.get((self.name, effect.connection))
        transport = self._transports.get(effect.connection)
        if transport is not None:
            self._call(effect, transport.connection)
        elif link is not None and not self.world.is_cut(self, link.holder):
            calls = tuple(map(_as_received, effect.calls))
            link.holder.deliver(LinkCalled(link.number, calls))

    def _call(self, effect: effects.SendCalls, connection: ReplicaConnection) -> None:
        for call in map(_as_received, effect.calls):
            self.world.record(self, connection, call)
            if not self.world.order_faults.strike(connection, call):
                connection.send(call, partial(self._replied, effect.connection))

    def _replied(self, number: int, reply: EndpointReply) -> None:
        connection = self.connections.get(number)
        if connection is None or self.world.loses_answer(connection, reply):
            return
        take = partial(self._take_reply, number)
        self._transports[number].reply(take, reply)

    def _take_reply(self, number: int, reply: EndpointReply) -> None:
        if number in self.connections:
            self.deliver(EndpointAnswered(number, reply))

    @_apply.register
    def _(self, effect: effects.CloseConnection) -> None:
        self.given_up.add(effect.connection)
        if self.connections.pop(effect.connection, None) is not None:
            transport = self._transports[effect.connection]
            self._close_transport(transport, effect.withdraws_calls)
        link = self.world.links.pop((self.name, effect.connection), None)
        if link is not None:
            link.holder.later(link.delay, LinkClosed(link.number))

    @_apply.register
    def _(self, effect: effects.AcceptLink) -> None:
        wire.render_link_accepted(effect.position, effect.floor)
        self._note_floor(effect.floor)
        link = self.world.link(effect.link)
        self.world.links[(link.host.name, link.connection)] = link
        ready = ConnectionReady(
            link.connection, effect.position, effect.floor, self.translates_names
        )
        link.host.later(link.delay, ready)

    def _note_floor(self, floor: FloorHint | None) -> None:
        if floor is not None:
            self.floors_given.append(floor)

    @_apply.register
    def _(self, effect: effects.RefuseLink) -> None:
        link = self.world.link(effect.link)
        refused = ConnectionRefused(link.connection, effect.code, effect.message)
        link.host.later(link.delay, refused)

    @_apply.register
    def _(self, effect: effects.AnswerLink) -> None:
        wire.render_reply(effect.reply)  # as it leaves a host: it must have a form
        self._note_floor(effect.reply.floor)
        link = self.world.link(effect.link)
        if not self.world.is_cut(link.host, self):
            answered = EndpointAnswered(link.connection, effect.reply)
            link.host.later(link.delay, answered)

    @_apply.register
    def _(self, effect: effects.CloseLink) -> None:
        link = self.world.link(effect.link)
        if self.world.links.pop((link.host.name, link.connection), None):
            link.host.later(link.delay, ConnectionLost(link.connection, "closed"))

    def lose(self, number: int, why: str) -> None:
        """Break a connection from outside."""
        if self.connections.pop(number, None) is not None:
            del self._transports[number]
            self.later(LINK, ConnectionLost(number, why))

    @_apply.register
    def _(self, effect: effects.CallStore) -> None:
        answered = False

        def answer(reply: StoreReply) -> None:
            nonlocal answered
            if not answered and "store" not in self.cut_from:
                answered = True
                self.later(LINK, StoreAnswered(effect.call, reply))

        def time_out() -> None:
            nonlocal answered
            if not answered:
                answered = True
                reply = StoreReply(StoreStatus.UNKNOWN, message="no answer")
                self.deliver(StoreAnswered(effect.call, reply))

        if effect.relay:
            self.world.ask_relay(self, effect)
            return
        if "store" not in self.cut_from:
            self.world.store.call(self.name, effect.request, answer)
        self.world.timers.after(effect.timeout, time_out)

    @_apply.register
    def _(self, effect: effects.AnswerFeed) -> None:
        self.world.answer_feed(self, effect)

    @_apply.register
    def _(self, effect: effects.AskAllowance) -> None:
        self.world.ask_keeper(self, effect)

    @_apply.register
    def _(self, effect: effects.AnswerAllowance) -> None:
        self.world.answer_asker(self, effect)

    @_apply.register
    def _(self, effect: effects.OrderPromotion) -> None:
        accepted, outdated = self.world.order(self, effect)
        answered = PromotionAnswered(effect.call, accepted, outdated)
        self.later(2 * LINK if accepted is not None else effect.timeout, answered)

    @_apply.register
    def _(self, effect: effects.AskPrimary) -> None:
        is_running = self.world.ask_primary(self, effect)
        answered = PrimaryAnswered(effect.call, is_running)
        self.later(2 * LINK if is_running is not None else effect.timeout, answered)

    @_apply.register
    def _(self, effect: effects.SetReady) -> None:
        self.ready = effect.ready

    @_apply.register
    def _(self, effect: effects.StopAccepting) -> None:
        self.accepting = False

    @_apply.register
    def _(self, effect: effects.Exit) -> None:
        self.exited = True

    @_apply.register
    def _(self, effect: effects.Log) -> None:
        self.logs.append(effect)

    @_apply.register
    def _(self, effect: effects.Count) -> None:
        self.counts.append(effect)

    @_apply.register
    def _(self, effect: effects.Observe) -> None:
        pass


@dataclass(frozen=True, slots=True)
class Link:
    """Hold a link of a host to a holder."""

    number: int
    host: Host
    holder: Host
    connection: int  # the host's number for it
    delay: float  # seconds one way
