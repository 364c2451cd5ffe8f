"""Several proxying hosts, a row store and groups of replicas in one virtual time."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Mapping
from typing import Any

from mallowpass.core.node import FailureDomain
from mallowpass.core.proxy import effects
from mallowpass.core.proxy.configuration import (
    Configuration,
    Consistency,
    Customer,
    Route,
    ServiceLimits,
    index_credentials,
)
from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.effects import AnswerFeed
from mallowpass.core.proxy.events import (
    AllowanceAnswered,
    AllowanceAsked,
    ConnectionLost,
    ConnectionRefused,
    FeedAsked,
    LinkClosed,
    LinkOpened,
    StoreAnswered,
)
from mallowpass.core.proxy.statements import Code, EndpointReply
from mallowpass.core.proxy.storage import (
    EndpointEntry,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
)
from mallowpass.core.proxy.tables import HostRow
from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.connections import ReplicaConnection
from mallowpass.standins.proxied.orders import PendingOrder
from mallowpass.standins.proxied.replicas import Group, Replica
from mallowpass.standins.proxied.rows import RowStore, StoreCopy
from mallowpass.standins.proxied.virtual.customers import CustomerJudge
from mallowpass.standins.proxied.virtual.hosts import DOMAINS, LINK, Caller, Host, Link
from mallowpass.standins.proxied.virtual.oracle import Oracle
from mallowpass.standins.proxied.virtual.orderfaults import OrderFaults

__all__ = [
    "CONFIGURATION_KEY",
    "SERVICE",
    "ProxyWorld",
    "configuration",
    "customer",
    "identified",
    "route",
]

CONFIGURATION_KEY = RowKey(Table.CONFIGURATION, "", "config")
ENTRY_TIME = 0.2  # seconds until each host has learnt of a changed entry
START_GAP = 0.02  # seconds between starts of hosts that lost power together
SERVICE = "claims-core"
# Failure domains of members, by name.
MEMBERS = {"db-casa": "casa", "db-tanger": "tanger", "db-agadir": "agadir"}
NO_ANSWER = StoreReply(StoreStatus.REFUSED, message="no answer")
DATABASES = {
    "strict": Consistency.PRIMARY,
    "bounded": Consistency.BOUNDED,
    "own": Consistency.OWN_WRITES,
}


def route(database: str, consistency: Consistency, **changes: Any) -> Route:
    """Return a route like those in use."""
    fields = {
        "database": database,
        "service": SERVICE,
        "consistency": consistency,
        "statement_timeout": 0.8,
        "objective": 0.4,
        "priority": 1,
        "accepted_age": 1.5,
    }
    return Route(**(fields | changes))


def configuration(version: int = 1, **changes: Any) -> Configuration:
    """Return a configuration with a route of each kind."""
    routes = {name: route(name, kind) for name, kind in DATABASES.items()}
    fields = {
        "version": version,
        "routes": routes,
        "services": {SERVICE: ServiceLimits(SERVICE, 22, 1)},
    }
    return Configuration(**(fields | changes))


def customer(name: str, *keys: str, **limits: float) -> Customer:
    """Return a customer whose callers show one of some keys."""
    return Customer(name, frozenset(map(credential_of, keys)), **limits)


def identified(*customers: Customer, version: int = 2, **changes: Any) -> Configuration:
    """Return a configuration by which callers show keys."""
    return configuration(
        version,
        authenticates_callers=True,
        customers={customer.name: customer for customer in customers},
        credential_owners=index_credentials(customers),
        **changes,
    )


class ProxyWorld:
    """Hold everything, and run it."""

    def __init__(
        self,
        hosts: int = 3,
        seed: int = 1,
        first_start: bool = False,
        fences: bool = True,
        apply_time: float = 6.0,
        settle_time: float = 6.0,
        domains: tuple[FailureDomain, ...] = DOMAINS,
        members: Mapping[str, str] = MEMBERS,
        distance: float = LINK,
        key_lapse: float = math.inf,
        overload_control: bool = False,
        unseen_primary_wait: float = 0.0,
        missing_member_wait: float = math.inf,
        level_member_wait: float = 0.0,
        close_withdraws: bool = False,
        **group: Any,
    ) -> None:
        self.domains = domains
        self.distance = distance  # seconds one way between regions
        self._members = dict(members)  # failure domains, by member
        self._places: dict[str, str] = {}  # whose address members have taken over
        self._regions = {domain.name: domain.region for domain in domains}
        self.first_start = first_start
        self.key_lapse = key_lapse
        self.overload_control = overload_control
        self.unseen_primary_wait = unseen_primary_wait
        self.missing_member_wait = missing_member_wait
        self.level_member_wait = level_member_wait
        self.settle_time = settle_time
        self.apply_time = apply_time  # less than some seconds: there are no relays
        # A host's close ends a connection at the endpoint as well, also out of reach.
        self.close_withdraws = close_withdraws
        self.fences = fences  # orders of whoever was overtaken are refused
        self.timers = TimerService()
        self.random = random.Random(seed)
        self.handshake = 0.012
        self.dark: set[str] = set()  # members that answer nobody
        self.orders_lost = 0  # orders that are carried out and not answered
        self.orders_late = 0.0  # seconds after which those are carried out
        self.connections_opened = 0  # to members
        self.answers_to_lose = 0  # of statements, by the endpoint
        self.order_faults = OrderFaults(seed)
        self.tokens: dict[str, int] = {}
        self._tokens_of_hosts: set[tuple[str, int]] = set()
        self.orders: list[effects.OrderPromotion] = []
        self.questions: list[effects.AskPrimary] = []
        # Seconds until questions without an answer are carried out; None: all have one.
        self.questions_late: float | None = None
        # Called with the host and its order, once the platform has got it or not.
        self.on_order: Callable[[Host, effects.OrderPromotion], None] = (
            lambda host, order: None
        )
        self.calls: list[tuple[str, str, Any]] = []  # host, member, call
        self._numbers = 0
        self.links: dict[tuple[str, int], Link] = {}  # by host and connection
        self.all_links: dict[int, Link] = {}
        self._asks: dict[int, tuple[Host, int]] = {}  # who asked a keeper, and its call
        # Who asked a relay, its call, and the relay's name.
        self._feeds: dict[int, tuple[Host, int, str]] = {}
        self.store = RowStore(self.timers, seed)
        self.group = Group(SERVICE, list(members), self.timers, **group)
        self.group.on_role = self.enter
        self.store.faults.read_age = self.group.assumptions.store_read_age
        self.groups = {SERVICE: self.group}
        self.oracle = Oracle(self.group)
        self.judge = CustomerJudge(apply_time)
        self.group.on_run = self._on_run
        self.configure(configuration())
        for replica in self.group.replicas.values():
            self.enter(replica)
        places = itertools.cycle(domain.name for domain in domains)
        names = [(f"host-{i}", next(places)) for i in range(hosts)]
        if not first_start:
            for name, domain in names:
                entry = HostRow(name, domain, f"{name}:7440", 1.0).encode()
                self.store.put(RowKey(Table.HOSTS, "", name), entry)
        self.hosts = [
            Host(self, name, domain, 100 * seed + index)
            for index, (name, domain) in enumerate(names)
        ]
        self.run(0.5)

    def number(self) -> int:
        """Return a number that was not used before."""
        self._numbers += 1
        return self._numbers

    # -- Places --------------------------------------------------------------

    def domain_of(self, member: str) -> str:
        """Return the failure domain of a member, also of one that came later."""
        return self._members.get(member, member.removeprefix("db-"))

    def delay(self, one: str, other: str) -> float:
        """Return how long a message takes between two failure domains, in seconds."""
        near = self._regions.get(one) == self._regions.get(other)
        return LINK if near else self.distance

    def way(self, host: Host, effect: effects.OpenConnection) -> float:
        """Return how long it takes from a host to what it connects to, in seconds."""
        name = effect.address.partition(":")[0]
        holder = next((h for h in self.hosts if h.name == name), None)
        domain = self.domain_of(effect.endpoint) if holder is None else holder.domain
        return self.delay(host.domain, domain)

    # -- Hosts ---------------------------------------------------------------

    def open_link(self, host: Host, effect: effects.OpenConnection) -> None:
        """Open a link of one host to another."""
        name = effect.address.partition(":")[0]
        holder = next((h for h in self.hosts if h.name == name), None)
        refused = ConnectionRefused(effect.connection, Code.OTHER, "", True)
        gone = ConnectionRefused(effect.connection, Code.OTHER, "", True, True)
        if holder is not None and self.is_cut(host, holder):
            host.later(effect.timeout, refused)
            return
        if holder is None or holder.exited:
            host.later(self.way(host, effect), gone)
            return
        delay = self.delay(host.domain, holder.domain)
        link = Link(self.number(), host, holder, effect.connection, delay)
        self.all_links[link.number] = link
        opened = LinkOpened(
            link.number,
            host.name,
            effect.service,
            effect.endpoint,
            effect.carries_fences,
        )
        holder.deliver(opened)

    # -- Relays --------------------------------------------------------------

    def ask_relay(self, host: Host, effect: effects.CallStore) -> None:
        """Have a host wait for changes at another one."""
        name = effect.relay.partition(":")[0]
        relay = next((h for h in self.hosts if h.name == name), None)
        number = self.number()
        self._feeds[number] = (host, effect.call, name)
        self.timers.after(effect.timeout, self._end_feed, number)
        if relay is None or relay.exited:
            self.timers.after(2 * LINK, self._end_feed, number)
        elif not self.is_cut(host, relay):
            call = effect.request
            relay.later(LINK, FeedAsked(number, call.table, call.after, call.wait))

    def answer_feed(self, relay: Host, effect: AnswerFeed) -> None:
        """Pass on what a host answers another one that follows it."""
        host, _, _ = self._feeds.get(effect.feed, (relay, 0, ""))
        if not self.is_cut(host, relay):
            self._end_feed(effect.feed, effect.reply)

    def _end_feed(self, number: int, reply: StoreReply = NO_ANSWER) -> None:
        if number in self._feeds:
            host, call, _ = self._feeds.pop(number)
            host.later(LINK, StoreAnswered(call, reply))

    # -- Rate limits ---------------------------------------------------------

    def ask_keeper(self, host: Host, effect: effects.AskAllowance) -> None:
        """Have a host ask the keeper of a part of a limit."""
        name = effect.address.partition(":")[0]
        keeper = next((h for h in self.hosts if h.name == name), None)
        if keeper is None or keeper.exited or self.is_cut(host, keeper):
            return
        number = self.number()
        self._asks[number] = (host, effect.call)
        asked = AllowanceAsked(
            number, effect.part, effect.customer, effect.needed, effect.ahead
        )
        keeper.later(self.delay(host.domain, keeper.domain), asked)

    def answer_asker(self, keeper: Host, effect: effects.AnswerAllowance) -> None:
        """Pass on what a keeper answers."""
        host, call = self._asks.pop(effect.ask)
        if not self.is_cut(host, keeper):
            answered = AllowanceAnswered(call, effect.operations, effect.pause)
            host.later(self.delay(host.domain, keeper.domain), answered)

    @staticmethod
    def is_cut(one: Host, other: Host) -> bool:
        """Tell whether what two hosts send each other gets lost."""
        return other.name in one.cut_from or one.name in other.cut_from

    def link(self, number: int) -> Link:
        """Return a link by its number."""
        return self.all_links[number]

    def kill(self, index: int) -> Host:
        """End a host at once; its connections and links are reset."""
        host = self.hosts[index]
        self._end(host)
        host.reset_connections()
        for number, (_, _, relay) in list(self._feeds.items()):
            if relay == host.name:
                self._end_feed(number)
        for key, link in list(self.links.items()):
            if host in (link.host, link.holder):
                del self.links[key]
                lost = ConnectionLost(link.connection, "reset")
                link.host.later(link.delay, lost)
                link.holder.later(link.delay, LinkClosed(link.number))
        return host

    @staticmethod
    def _end(host: Host) -> None:
        host.exited = True
        for caller in host.callers.values():
            caller.lost()

    def lose_power(
        self, down: float, linger: float, started: Callable[[Host], None]
    ) -> None:
        """End all hosts at once, and start new ones in their places by turns.

        Members learn of it late: they keep the connections for a while. `started` is
        called with each new host.
        """
        self.power_off(linger)
        self.run(down)
        for index in range(len(self.hosts)):
            started(self.start_again(index))
            self.run(START_GAP)

    def power_off(self, linger: float) -> None:
        """End all hosts at once; members keep their connections for `linger` s."""
        self.links.clear()
        for host in self.hosts:
            self._end(host)
            for connection in host.connections.values():
                self.timers.after(linger, connection.close)

    def start_again(self, index: int) -> Host:
        """Start a new host in the place of one that ended."""
        before = self.hosts[index]
        host = Host(self, before.name, before.domain, self.number())
        self.hosts[index] = host
        return host

    def cut(self, index: int, *names: str) -> None:
        """Cut a host from members; what it sends there gets lost in silence."""
        self.hosts[index].cut_from.update(names)

    def configure(self, configuration: Configuration) -> None:
        """Have a configuration accepted."""
        self.judge.configured(configuration, self.timers.now)
        self.store.put(CONFIGURATION_KEY, configuration)

    def _on_run(self, request_id: str, customer: str | None) -> None:
        self.judge.ran(request_id, customer, self.timers.now)

    def route(self, database: str) -> Route | None:
        """Return a route of the newest configuration, if that can be read."""
        value = self.store.get(CONFIGURATION_KEY).value
        return value.routes.get(database) if isinstance(value, Configuration) else None

    def come_back(
        self, copy: StoreCopy, away: float = 0.3, written_again: float = 0.5
    ) -> None:
        """Make the store unreachable for a moment, and restore it from a backup."""
        self.store.refuse_all()
        self.run(away)
        self.store.faults.refusing = False
        self.store.come_back(copy, written_again)

    # -- Members -------------------------------------------------------------

    def enter(self, replica: Replica, draining: bool = False) -> None:
        """Write a member's entry, as it does itself."""
        entry = EndpointEntry(
            name=replica.name,
            service=SERVICE,
            address=f"{self._places.get(replica.name, replica.name)}:5432",
            failure_domain=self.domain_of(replica.name),
            slots=self.group.slots,
            draining=draining,
            is_primary=replica.is_primary,
            started_at=replica.started_at,
            heartbeats=self.number(),
        )
        self.store.put(self._entry_key(replica.name), entry)

    def entry(self, name: str) -> EndpointEntry:
        """Return a member's entry."""
        return self.store.get(self._entry_key(name)).value

    def put_entry(self, entry: EndpointEntry) -> None:
        """Write an entry, and have all hosts learn of it."""
        self.store.put(self._entry_key(entry.name), entry)
        self.run(ENTRY_TIME)

    def garble_entry(self, name: str, value: Unreadable) -> None:
        """Write what can't be read in an entry's place, and have all learn of it."""
        self.store.put(self._entry_key(name), value)
        self.run(ENTRY_TIME)

    def remove_entry(self, name: str) -> None:
        """Remove a member's entry."""
        self.store.delete(self._entry_key(name))

    @staticmethod
    def _entry_key(name: str) -> RowKey:
        return RowKey(Table.ENDPOINTS, "", name)

    def crash(self, name: str, dark: bool = False) -> None:
        """Stop a member, with resets or without any sign."""
        if dark:
            self.dark.add(name)
        for host in self.hosts:
            for number, connection in list(host.connections.items()):
                if connection.member == name and not dark:
                    host.lose(number, "reset")
        self.group.crash(name)

    def restart(self, name: str, empty: bool = False) -> None:
        """Start a member again, with its log; or anew, with nothing."""
        self.dark.discard(name)
        if empty and self.group.replicas[name].up:
            self.crash(name)
        self.group.start(name, empty)
        self.enter(self.group.replicas[name])

    def hand_over(self, name: str, successor: str) -> None:
        """Start a new member with the log and the role of one that is down."""
        replica = self.take_over(name, successor)
        self.remove_entry(name)
        self.enter(replica)

    def take_over(self, name: str, successor: str) -> Replica:
        """Start such a member at the same address; leave the entries as is."""
        self._members[successor] = self.domain_of(name)
        self._places[successor] = self._places.get(name, name)
        return self.group.hand_over(name, successor)

    def loses_answer(self, connection: ReplicaConnection, reply: EndpointReply) -> bool:
        """Tell whether the answer at hand is lost."""
        if self.answers_to_lose and reply.signature:
            self.answers_to_lose -= 1
            connection.silent = True
            return True
        return False

    def record(self, host: Host, connection: ReplicaConnection, call: Any) -> None:
        """Note a call that arrives at a member."""
        self.calls.append((host.name, connection.member, call))

    def order(
        self, host: Host, order: effects.OrderPromotion
    ) -> tuple[bool | None, bool]:
        """Take an order, as the platform does."""
        answer = self._take(host, order)
        self.on_order(host, order)
        return answer

    def _take(
        self, host: Host, order: effects.OrderPromotion
    ) -> tuple[bool | None, bool]:
        self.orders.append(order)
        self._tokens_of_hosts.add((host.name, order.fencing_token))
        if "orders" in host.cut_from:
            return None, False
        if self.fences and order.fencing_token < self.tokens.get(order.service, 0):
            return False, True
        self.groups[order.service].orders.expect(
            PendingOrder(order.endpoint, order.fencing_token, self.timers.now)
        )
        if self.orders_lost:
            self.orders_lost -= 1
            self.timers.after(self.orders_late, self._carry_out, order)
            return None, False
        taken = self._carry_out(order)
        return taken, not taken

    def ask_primary(self, host: Host, question: effects.AskPrimary) -> bool | None:
        """Take an order for a primary, and return whether it runs, if that is known."""
        order = effects.OrderPromotion(
            question.call,
            question.service,
            question.endpoint,
            question.fencing_token,
            question.timeout,
        )
        self.questions.append(question)
        if "orders" in host.cut_from:
            return None
        if self.questions_late is not None:
            self.timers.after(self.questions_late, self._carry_out, order)
            return None
        return self._carry_out(order)

    def _carry_out(self, order: effects.OrderPromotion) -> bool:
        group = self.groups[order.service]
        newest = self.tokens.get(order.service, 0)
        if self.fences and order.fencing_token < newest:
            return False
        self.tokens[order.service] = max(newest, order.fencing_token)
        if self.fences:
            group.orders.void(order.fencing_token)
        return group.promote(order.endpoint, order.fencing_token)

    # -- Running -------------------------------------------------------------

    def caller(self, host: int = 0, database: str = "own", key: str = "") -> Caller:
        """Open a session."""
        return Caller(self, self.hosts[host], database, key)

    def run(self, duration: float) -> None:
        """Run for some time."""
        self.run_until(lambda: False, duration)

    def run_until(self, done: Callable[[], bool], within: float) -> None:
        """Run until something holds, or the time is over."""
        end = self.timers.now + within
        while not done():
            due = self.timers.next_due
            if due is None or due > end:
                self.timers.advance(end)
                return
            self.timers.advance(due)
            self.timers.run_due()

    @property
    def tokens_of_hosts(self) -> set[tuple[str, int]]:
        """Return which hosts ordered a promotion by which fencing token."""
        return set(self._tokens_of_hosts)

    @property
    def primary(self) -> Replica:
        """Return the member that leads."""
        return self.group.primary
