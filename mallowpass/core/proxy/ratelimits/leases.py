"""Leases of this host, and requests of other hosts for leases.

A host requests a lease for each customer of which it begins operations regularly, and
renews it often. It begins operations from its leases without asking a keeper, also
while it reaches none. At each renewal it asks the keepers in turn, the nearest first,
for what the ones before did not give.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.configuration import Customer
from mallowpass.core.proxy.effects import AnswerLease, AskLease
from mallowpass.core.proxy.events import LeaseAnswered, LeaseAsked
from mallowpass.core.proxy.ratelimits.buckets import BucketSize
from mallowpass.core.proxy.ratelimits.granting import Granting
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.leasing import HostLease, UseMeter
from mallowpass.core.proxy.signals import ConfigurationAccepted
from mallowpass.core.proxy.tables import HostRow, ProxySystem

__all__ = ["Leases"]

RENEWAL_INTERVAL = 2.0  # seconds
# How long a keeper has to answer, in seconds: a round trip between regions takes a
# sixth of it, and all keepers are asked within one interval.
REQUEST_TIMEOUT = 0.15
# How long no lease is requested from a keeper that closed the connection instead of
# answering, in seconds: it runs a version that does not know leases.
UNSUPPORTED_BACKOFF = 30.0
# Share of its time that a lease is used for at the host: the clocks of a host and a
# keeper may run at rates that differ by that much.
CLOCK_MARGIN = 0.01
# A lease that is needed to this share of its rate is kept as it is: a reduced lease
# can't grow again while no keeper answers.
KEPT_SHARE = 0.7
# Least rate for which a further keeper is asked, in operations per second: so small a
# lease mostly holds less than an operation, and costs a request at each renewal.
REQUESTED_RATE_MIN = 0.5
OWN_HOLDER = 0  # this host, as a holder of leases from itself


@dataclass(slots=True)
class _Round:
    """A renewal of a customer's leases: the rate that is not leased yet."""

    account: _LeaseAccount
    rate: float
    keepers: list[tuple[int, HostRow]]  # not asked yet


@dataclass(slots=True)
class _LeaseRequest:
    """A request to a keeper for a lease; `round` is None if the answer is not used."""

    round: _Round | None
    part: int
    host: str
    sent_at: float


@dataclass(slots=True)
class _LeaseAccount:
    """The leases of one customer at this host, and its measured use."""

    customer: Customer
    meter: UseMeter = field(default_factory=UseMeter)
    leases: dict[int, HostLease] = field(default_factory=dict)  # by part
    # By part: the newest request. The answer to an earlier one is not used, as this
    # host may have reduced the lease since.
    newest: dict[int, int] = field(default_factory=dict)


class Leases(ProxySystem):
    """Request and renew leases, begin operations from them, and lease to others."""

    __slots__ = (
        "_accounts",
        "_granting",
        "_is_renewing",
        "_keepers",
        "_requests",
        "_supporting",
        "_unsupported_until",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._accounts: dict[str, _LeaseAccount] = {}
        self._requests: dict[int, _LeaseRequest] = {}
        self._is_renewing = False
        self._supporting: set[str] = set()  # keepers that answered such a request
        self._unsupported_until: dict[str, float] = {}  # by keeper

    def start(self) -> None:
        """Subscribe to requests and answers; the first limits start the renewals."""
        self._granting = self._node.system(Granting)
        self._keepers = self._node.system(Keepers)
        self._node.subscribe(LeaseAsked, self._on_asked)
        self._node.subscribe(LeaseAnswered, self._on_answered)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        """Scale leases of customers whose limit is lowered."""
        customers = signal.configuration.customers
        for name, account in list(self._accounts.items()):
            customer = customers.get(name)
            if customer is None or not customer.is_limited:
                del self._accounts[name]
                continue
            before, account.customer = account.customer, customer
            for lease in account.leases.values():
                lease.shrink(
                    _ratio(customer.rate, before.rate),
                    _ratio(customer.burst, before.burst),
                    self.now,
                )
        if not self._is_renewing and any(c.is_limited for c in customers.values()):
            self._is_renewing = True
            self.timers.every(RENEWAL_INTERVAL, self._renew_all)

    # -- Use -----------------------------------------------------------------

    def note_begun(self, customer: Customer) -> None:
        """Count an operation that was granted, for the measured use."""
        account = self._accounts.get(customer.name)
        if account is None:
            account = self._accounts[customer.name] = _LeaseAccount(customer)
        account.meter.note_begun()

    def holds(self, name: str) -> bool:
        """Return whether this host has a lease of a customer."""
        account = self._accounts.get(name)
        return account is not None and bool(account.leases)

    def take(self, name: str) -> HostLease | None:
        """Take an operation from a lease, and return the lease; None without one."""
        account = self._accounts.get(name)
        if account is not None:
            for lease in account.leases.values():
                if lease.take(self.now):
                    return lease
        return None

    def time_until(self, name: str, operations: int) -> float:
        """Return the seconds until a lease allows a number of operations."""
        account = self._accounts.get(name)
        if account is None:
            return math.inf
        waits = (
            lease.time_until(operations, self.now) for lease in account.leases.values()
        )
        return min(waits, default=math.inf)

    # -- Renewals ------------------------------------------------------------

    def _renew_all(self) -> None:
        keepers = self._keepers.nearest_keepers()
        for account in list(self._accounts.values()):
            self._drop_ended(account)
            rate = account.meter.requested_rate(RENEWAL_INTERVAL)
            if rate > 0.0 or account.leases:
                self._continue(_Round(account, rate, list(keepers)))
            elif account.meter.is_idle:
                del self._accounts[account.customer.name]

    def _drop_ended(self, account: _LeaseAccount) -> None:
        for part, lease in list(account.leases.items()):
            if lease.until <= self.now:
                del account.leases[part]
                name = account.customer.name
                self._node.log("info", "lease_lapsed", customer=name, part=part)

    def _continue(self, round_: _Round) -> None:
        """Ask the next keeper that has to give a lease, or to take one back."""
        while round_.keepers:
            part, host = round_.keepers.pop(0)
            lease = round_.account.leases.get(part)
            rate = round(max(0.0, round_.rate), 3)
            if lease is None and rate < REQUESTED_RATE_MIN:
                continue
            if self._unsupported_until.get(host.name, 0.0) > self.now:
                continue
            held = 0.0 if lease is None else lease.size.rate
            is_failing = self._keepers.is_failing(host.name)
            if held > rate and (is_failing or rate >= KEPT_SHARE * held):
                rate = held
            elif held > rate:
                # Reduced before the keeper reduces it: it may use the rest at once.
                lease.shrink(rate / held, rate / held, self.now)
            self._send_request(round_, part, host, rate)
            return

    def _send_request(
        self, round_: _Round | None, part: int, host: HostRow, rate: float, name=""
    ) -> None:
        number = self._node.next_number()
        self._requests[number] = _LeaseRequest(round_, part, host.name, self.now)
        if round_ is not None:
            name = round_.account.customer.name
            round_.account.newest[part] = number
        if host.name == self._node.identity.name:
            lease = self._granting.lease(part, name, OWN_HOLDER, rate)
            answer = LeaseAnswered(number, None)
            if lease is not None:
                size, validity = lease.size, lease.until - self.now
                answer = LeaseAnswered(number, size.rate, size.burst, validity)
            self._on_answered(answer)
            return
        self._node.emit(AskLease(number, host.address, part, name, rate))
        self.timers.after(REQUEST_TIMEOUT, self._on_timeout, number)

    def _on_timeout(self, number: int) -> None:
        request = self._requests.get(number)
        if request is not None:
            self._keepers.record_failure(request.host)
            self._on_answered(LeaseAnswered(number, None))

    def _on_answered(self, event: LeaseAnswered) -> None:
        """Handle a keeper's answer, its timeout, or this host's own lease."""
        request = self._requests.pop(event.call, None)
        if request is None:
            return
        if event.is_unsupported:
            self._supporting.discard(request.host)
            self._unsupported_until[request.host] = self.now + UNSUPPORTED_BACKOFF
        if event.rate is not None:
            self._supporting.add(request.host)
            self._keepers.record_answer(request.host)
        round_ = request.round
        if round_ is None:
            return
        account = round_.account
        is_newest = account.newest.get(request.part) == event.call
        if event.rate is not None and is_newest:
            self._store(account, request, event)
            round_.rate -= event.rate
        self._continue(round_)

    def _store(
        self, account: _LeaseAccount, request: _LeaseRequest, event: LeaseAnswered
    ) -> None:
        lease = account.leases.get(request.part)
        if event.rate <= 0.0:
            if lease is not None:
                lease.until = min(lease.until, self.now)
                del account.leases[request.part]
            return
        if lease is None:
            lease = account.leases[request.part] = HostLease(self.now)
        # Counted from when the request was sent, so that it ends at the keeper later.
        until = request.sent_at + (1.0 - CLOCK_MARGIN) * event.validity
        lease.resize(BucketSize(event.rate, event.burst), until, self.now)

    # -- Returned grants -----------------------------------------------------

    def may_return(self, part: int, host: HostRow, customer: str) -> bool:
        """Return whether a keeper takes grants back.

        A keeper of which this is not known yet is asked for a lease of nothing: one
        of an earlier version would close the connection.
        """
        is_asked = any(r.host == host.name for r in self._requests.values())
        backoff_until = self._unsupported_until.get(host.name, 0.0)
        if host.name in self._supporting:
            return True
        if not is_asked and backoff_until <= self.now:
            self._send_request(None, part, host, 0.0, customer)
        return False

    # -- Requests of other hosts ---------------------------------------------

    def _on_asked(self, event: LeaseAsked) -> None:
        lease = self._granting.lease(
            event.part, event.customer, event.holder, event.rate
        )
        if lease is None:
            self._node.emit(AnswerLease(event.ask, None))
            return
        size, validity = lease.size, lease.until - self.now
        self._node.emit(AnswerLease(event.ask, size.rate, size.burst, validity))


def _ratio(after: float, before: float) -> float:
    if before <= 0.0 or math.isinf(before):
        return 1.0
    return after / before
