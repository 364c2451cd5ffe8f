"""Grants that this host acquires for operations of customers with a limit.

Keepers, the nearest first, are asked for as many operations as wait, and for some ahead
of need. If no keeper has tokens left for a customer, the customer's operations are
refused at once, with the delay after which its callers may try again.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import AskAllowance
from mallowpass.core.proxy.events import AllowanceAnswered
from mallowpass.core.proxy.ratelimits.buckets import GRANT_VALIDITY
from mallowpass.core.proxy.ratelimits.granting import Granting
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.signals import ConfigurationAccepted, KeepersChanged
from mallowpass.core.proxy.tables import HostRow, ProxySystem
from mallowpass.core.timers import Timer

__all__ = ["Allowances"]

# How long one keeper has to answer a request, in seconds: a round trip between regions
# takes a sixth of it.
REQUEST_TIMEOUT = 0.15
# Delay before keepers are asked again after none of them answered, in seconds.
RETRY_DELAY = 0.1
# How long an operation waits for grants at most, in seconds.
WAIT_TIMEOUT = 0.45
# Operations requested ahead of need: as many as began within the last AHEAD_WINDOW
# seconds, and at most AHEAD_MAX.
AHEAD_MAX = 8
AHEAD_WINDOW = 1.0
PROBE_INTERVAL = 1.0  # seconds between probes of a keeper
# Longest time for which a keeper without tokens is not asked again, in seconds: short,
# so that a raised limit takes effect soon.
EMPTY_BACKOFF_MAX = 0.5
# Number of customers that have a metric label of their own, namely those with the
# highest rates, and the label of all others.
LABELLED_CUSTOMERS_MAX = 20
OTHER_CUSTOMERS = "other"
# Delay after which a caller may try again if no keeper answers, in seconds: failed
# keepers are replaced meanwhile.
NO_KEEPER_RETRY_AFTER = 1.0

# Called with the time until which an operation may begin, or with None and the reason
# why it may not.
GrantHandler = Callable[[float | None, str], None]


@dataclass(slots=True, eq=False)
class _Waiter:
    """An operation that waits for a grant."""

    handler: GrantHandler
    timer: Timer | None = None


@dataclass(slots=True)
class _Account:
    """The grants and the waiting operations of one customer at this host."""

    name: str
    # When each grant expires, and how many operations it allows, in order of use.
    grants: deque[tuple[float, int]] = field(default_factory=deque)
    waiting: deque[_Waiter] = field(default_factory=deque)
    requested: int = 0  # operations in requests that are not answered yet
    # When the last operations began.
    begun_at: deque[float] = field(default_factory=lambda: deque(maxlen=AHEAD_MAX))
    # By part: until when its keeper is not asked, and when it will have tokens again.
    empty_until: dict[int, float] = field(default_factory=dict)
    available_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class _GrantRequest:
    """A request to a keeper for operations of one customer."""

    account: _Account | None  # None: a probe, which only asks for an answer
    part: int
    host: str
    needed: int
    sent_at: float


class Allowances(ProxySystem):
    """Acquire grants for operations, and refuse operations beyond a limit."""

    __slots__ = ("_accounts", "_granting", "_keepers", "_labelled", "_requests")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._accounts: dict[str, _Account] = {}
        self._labelled: set[str] = set()  # customers with a metric label of their own
        self._requests: dict[int, _GrantRequest] = {}

    def start(self) -> None:
        """Subscribe to keepers' answers, and begin to probe keepers."""
        self._granting = self._node.system(Granting)
        self._keepers = self._node.system(Keepers)
        self._node.subscribe(AllowanceAnswered, self._on_answered)
        self._node.subscribe(KeepersChanged, self._on_keepers_changed)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)
        self.timers.every(PROBE_INTERVAL, self._probe)

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        customers = signal.configuration.customers
        by_rate = sorted(customers.values(), key=lambda c: (-c.rate, c.name))
        self._labelled = {
            customer.name for customer in by_rate[:LABELLED_CUSTOMERS_MAX]
        }
        for name in [name for name in self._accounts if name not in customers]:
            if not self._accounts[name].waiting:
                del self._accounts[name]

    # -- Operations ----------------------------------------------------------

    def acquire(self, customer: str | None, handler: GrantHandler) -> None:
        """Call a handler once an operation is granted or refused, maybe at once."""
        if not self._is_limited(customer):
            handler(math.inf, "")
            return
        account = self._account(customer)
        until = None if account.waiting else self._use_grant(account)
        if until is not None:
            handler(until, "")
            return
        waiter = _Waiter(handler)
        waiter.timer = self.timers.after(
            WAIT_TIMEOUT, self._on_wait_timeout, account, waiter
        )
        account.waiting.append(waiter)
        self._request_grants(account)

    def return_unused(self, customer: str | None, until: float) -> None:
        """Return the grant of an operation that did not begin, for the next one."""
        if self._is_limited(customer) and until > self.now:
            self._account(customer).grants.appendleft((until, 1))

    def _is_limited(self, customer: str | None) -> bool:
        known = self.tables.configuration.customers.get(customer)
        return known is not None and known.is_limited

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(name)
        return account

    def _use_grant(self, account: _Account) -> float | None:
        """Use up one granted operation, and return the time until which it may begin.

        Return None if no unexpired grant is left.
        """
        while account.grants and account.grants[0][0] <= self.now:
            account.grants.popleft()
        if not account.grants:
            return None
        until, operations = account.grants.popleft()
        if operations > 1:
            account.grants.appendleft((until, operations - 1))
        account.begun_at.append(self.now)
        return until

    def _on_wait_timeout(self, account: _Account, waiter: _Waiter) -> None:
        if waiter in account.waiting:
            account.waiting.remove(waiter)
            self._refuse(waiter, account, NO_KEEPER_RETRY_AFTER, "no answer in time")

    def _refuse(
        self, waiter: _Waiter, account: _Account, pause: float, why: str
    ) -> None:
        waiter.timer.cancel()
        label = account.name if account.name in self._labelled else OTHER_CUSTOMERS
        self._node.count("operations_limited", customer=label, why=why)
        text = f"{account.name} is at its limit ({why}); try again in {pause:.1f} s"
        waiter.handler(None, text)

    # -- Requests to keepers -------------------------------------------------

    def _request_grants(self, account: _Account) -> None:
        """Ask the nearest keeper that may have tokens for the waiting operations."""
        missing = len(account.waiting) - account.requested
        if missing <= 0 or not self._keepers.are_known:
            return
        usable = self._keepers.nearest_keepers()
        for part, host in usable:
            if account.empty_until.get(part, 0.0) <= self.now:
                request = _GrantRequest(account, part, host.name, missing, self.now)
                ahead = sum(
                    1 for at in account.begun_at if at > self.now - AHEAD_WINDOW
                )
                self._send_request(request, host, ahead)
                return
        if not usable and self._keepers.may_recover_soon:
            self.timers.after(RETRY_DELAY, self._request_grants, account)
            return
        pause, why = NO_KEEPER_RETRY_AFTER, "no keeper answers"
        if usable:
            available_at = min(account.available_at[part] for part, _ in usable)
            pause, why = max(0.0, available_at - self.now), "all parts are used up"
        for _ in range(missing):
            self._refuse(account.waiting.pop(), account, pause, why)

    def _send_request(self, request: _GrantRequest, host: HostRow, ahead: int) -> None:
        number = self._node.next_number()
        self._requests[number] = request
        account = request.account
        name = "" if account is None else account.name
        if account is not None:
            account.requested += request.needed
        if host.name == self._node.identity.name:
            grant = self._granting.grant(request.part, name, request.needed, ahead)
            given = None if grant is None else grant.operations
            pause = 0.0 if grant is None else grant.pause
            self._on_answered(AllowanceAnswered(number, given, pause))
            return
        self._node.count("allowances_asked")
        self._node.emit(
            AskAllowance(
                number, host.address, request.part, name, request.needed, ahead
            )
        )
        self.timers.after(
            REQUEST_TIMEOUT, self._on_answered, AllowanceAnswered(number, None)
        )

    def _on_answered(self, event: AllowanceAnswered) -> None:
        """Handle a keeper's answer, its timeout, or this host's own grant."""
        request = self._requests.pop(event.call, None)
        if request is None:
            return
        if event.operations is None:
            self._keepers.record_failure(request.host)
        else:
            self._keepers.record_answer(request.host)
        account = request.account
        if account is None:
            return
        account.requested -= request.needed
        if event.operations is not None:
            self._store_answer(account, request, event)
        while account.waiting and (until := self._use_grant(account)) is not None:
            waiter = account.waiting.popleft()
            waiter.timer.cancel()
            waiter.handler(until, "")
        self._request_grants(account)

    def _store_answer(
        self, account: _Account, request: _GrantRequest, event: AllowanceAnswered
    ) -> None:
        """Store the grant of an answer, and when its keeper will have more tokens."""
        if event.operations:
            # Counted from when the request was sent, so that the grant expires here no
            # later than GRANT_VALIDITY after the keeper issued it.
            account.grants.append((request.sent_at + GRANT_VALIDITY, event.operations))
        if event.operations < request.needed:
            pause = min(event.pause, EMPTY_BACKOFF_MAX)
            account.empty_until[request.part] = self.now + pause
            account.available_at[request.part] = self.now + event.pause

    def _on_keepers_changed(self, signal: KeepersChanged) -> None:
        for account in self._accounts.values():
            self._request_grants(account)

    def _probe(self) -> None:
        """Probe the keepers that this host may replace, and all while one fails here.

        The answers of the others show whether this host is cut off, or a keeper failed.
        """
        is_any_failing = self._keepers.is_any_failing
        for part, host in self._keepers.nearest_keepers():
            is_own = host.name == self._node.identity.name
            if is_own:
                continue
            if is_any_failing or self._keepers.is_probing_candidate(part):
                request = _GrantRequest(None, part, host.name, 0, self.now)
                self._send_request(request, host, 0)
