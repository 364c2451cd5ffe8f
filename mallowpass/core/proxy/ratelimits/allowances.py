"""Which operations of customers with a limit this host may begin.

Keepers are asked, the nearest first, for as many as wait, and some ahead for those that
will come in a moment. A customer that no keeper has room for is refused at once, and
told when to come back.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import AskAllowance
from mallowpass.core.proxy.events import AllowanceAnswered
from mallowpass.core.proxy.ratelimits.buckets import VALIDITY
from mallowpass.core.proxy.ratelimits.granting import Granting
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.signals import ConfigurationAccepted, KeepersChanged
from mallowpass.core.proxy.tables import HostRow, ProxySystem
from mallowpass.core.timers import Timer

__all__ = ["Allowances"]

# How long one keeper has for its answer, in seconds: a round trip between regions takes
# a sixth.
ASK_TIME = 0.15
# How long until keepers are asked again of which none answered, in seconds.
ASK_AGAIN = 0.1
# How long an operation waits for keepers at the most, in seconds.
WAIT_MAX = 0.45
# Operations that are asked for ahead: as many as were begun of late, and no more.
AHEAD_MAX = 8
RECENT = 1.0  # seconds
PROBE_GAP = 1.0  # seconds between questions whether a keeper answers
# How long a keeper that has no room is not asked again, in seconds: a limit that is
# raised meanwhile helps.
EMPTY_MAX = 0.5
# Customers that metrics name, the largest by their limits, and what they call others.
NAMED_MAX = 20
OTHER_CUSTOMERS = "other"
# When to come back if no keeper answers, in seconds: they are replaced meanwhile.
NO_KEEPER_PAUSE = 1.0

# Called with until when an operation may begin; None: it may not, and why not.
Handler = Callable[[float | None, str], None]


@dataclass(slots=True, eq=False)
class _Waiting:
    """Hold an operation that waits for a grant."""

    handler: Handler
    timer: Timer | None = None


@dataclass(slots=True)
class _Account:
    """Hold what this host may begin of one customer, and who waits for it."""

    name: str
    granted: deque[tuple[float, int]] = field(default_factory=deque)  # until when
    waiting: deque[_Waiting] = field(default_factory=deque)
    asked: int = 0  # operations that keepers were asked for and have not answered
    begun: deque[float] = field(default_factory=lambda: deque(maxlen=AHEAD_MAX))
    # By part, until when its keeper is not asked, and when it will have room.
    empty_until: dict[int, float] = field(default_factory=dict)
    room_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Question:
    """Hold one question to a keeper."""

    account: _Account | None  # None: whether it answers
    part: int
    host: str
    needed: int
    asked_at: float


class Allowances(ProxySystem):
    """Let operations begin within their customers' limits."""

    __slots__ = ("_accounts", "_granting", "_keepers", "_largest", "_questions")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._accounts: dict[str, _Account] = {}
        self._largest: set[str] = set()  # customers that metrics name
        self._questions: dict[int, _Question] = {}

    def start(self) -> None:
        """Subscribe to keepers' answers."""
        self._granting = self._node.system(Granting)
        self._keepers = self._node.system(Keepers)
        self._node.subscribe(AllowanceAnswered, self._on_answered)
        self._node.subscribe(KeepersChanged, self._on_keepers)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)
        self.timers.every(PROBE_GAP, self._probe)

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        customers = signal.configuration.customers
        by_rate = sorted(customers.values(), key=lambda c: (-c.rate, c.name))
        self._largest = {customer.name for customer in by_rate[:NAMED_MAX]}
        for name in [name for name in self._accounts if name not in customers]:
            if not self._accounts[name].waiting:
                del self._accounts[name]

    # -- Operations ----------------------------------------------------------

    def begin(self, customer: str | None, handler: Handler) -> None:
        """Have a handler called once an operation may begin, or may not."""
        if not self._is_limited(customer):
            handler(math.inf, "")
            return
        account = self._account(customer)
        until = None if account.waiting else self._use(account)
        if until is not None:
            handler(until, "")
            return
        waiting = _Waiting(handler)
        waiting.timer = self.timers.after(WAIT_MAX, self._give_up, account, waiting)
        account.waiting.append(waiting)
        self._ask(account)

    def give_back(self, customer: str | None, until: float) -> None:
        """Take back what an operation was granted that was not sent after all."""
        if self._is_limited(customer) and until > self.now:
            self._account(customer).granted.appendleft((until, 1))

    def _is_limited(self, customer: str | None) -> bool:
        known = self.tables.configuration.customers.get(customer)
        return known is not None and known.is_limited

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(name)
        return account

    def _use(self, account: _Account) -> float | None:
        """Use one operation of what was granted; return until when it may begin."""
        while account.granted and account.granted[0][0] <= self.now:
            account.granted.popleft()
        if not account.granted:
            return None
        until, operations = account.granted.popleft()
        if operations > 1:
            account.granted.appendleft((until, operations - 1))
        account.begun.append(self.now)
        return until

    def _give_up(self, account: _Account, waiting: _Waiting) -> None:
        if waiting in account.waiting:
            account.waiting.remove(waiting)
            self._refuse(waiting, account, NO_KEEPER_PAUSE, "no answer in time")

    def _refuse(
        self, waiting: _Waiting, account: _Account, pause: float, why: str
    ) -> None:
        waiting.timer.cancel()
        label = account.name if account.name in self._largest else OTHER_CUSTOMERS
        self._node.count("operations_limited", customer=label, why=why)
        text = f"{account.name} is at its limit ({why}); come back in {pause:.1f} s"
        waiting.handler(None, text)

    # -- Keepers -------------------------------------------------------------

    def _ask(self, account: _Account) -> None:
        """Ask the nearest keeper that may have room for what waits."""
        missing = len(account.waiting) - account.asked
        if missing <= 0 or not self._keepers.are_known:
            return
        places = self._keepers.nearest()
        for part, host in places:
            if account.empty_until.get(part, 0.0) <= self.now:
                question = _Question(account, part, host.name, missing, self.now)
                ahead = sum(1 for at in account.begun if at > self.now - RECENT)
                self._send(question, host, ahead)
                return
        if not places and self._keepers.may_answer_soon:
            self.timers.after(ASK_AGAIN, self._ask, account)
            return
        pause, why = NO_KEEPER_PAUSE, "no keeper answers"
        if places:
            room_at = min(account.room_at[part] for part, _ in places)
            pause, why = max(0.0, room_at - self.now), "all parts are used up"
        for _ in range(missing):
            self._refuse(account.waiting.pop(), account, pause, why)

    def _send(self, question: _Question, host: HostRow, ahead: int) -> None:
        number = self._node.next_number()
        self._questions[number] = question
        account = question.account
        name = "" if account is None else account.name
        if account is not None:
            account.asked += question.needed
        if host.name == self._node.identity.name:
            granted = self._granting.grant(question.part, name, question.needed, ahead)
            given = None if granted is None else granted.operations
            pause = 0.0 if granted is None else granted.pause
            self._on_answered(AllowanceAnswered(number, given, pause))
            return
        self._node.count("allowances_asked")
        self._node.emit(
            AskAllowance(
                number, host.address, question.part, name, question.needed, ahead
            )
        )
        self.timers.after(ASK_TIME, self._on_answered, AllowanceAnswered(number, None))

    def _on_answered(self, event: AllowanceAnswered) -> None:
        question = self._questions.pop(event.call, None)
        if question is None:
            return
        if event.operations is None:
            self._keepers.failed(question.host)
        else:
            self._keepers.answered(question.host)
        account = question.account
        if account is None:
            return
        account.asked -= question.needed
        if event.operations is not None:
            self._take(account, question, event)
        while account.waiting and (until := self._use(account)) is not None:
            waiting = account.waiting.popleft()
            waiting.timer.cancel()
            waiting.handler(until, "")
        self._ask(account)

    def _take(
        self, account: _Account, question: _Question, event: AllowanceAnswered
    ) -> None:
        if event.operations:
            # Counted from the question, it lapses here before it does at the keeper.
            account.granted.append((question.asked_at + VALIDITY, event.operations))
        if event.operations < question.needed:
            pause = min(event.pause, EMPTY_MAX)
            account.empty_until[question.part] = self.now + pause
            account.room_at[question.part] = self.now + event.pause

    def _on_keepers(self, signal: KeepersChanged) -> None:
        for account in self._accounts.values():
            self._ask(account)

    def _probe(self) -> None:
        """Ask keepers that this host would replace whether they answer."""
        for part, host in self._keepers.nearest():
            is_own = host.name == self._node.identity.name
            if not is_own and self._keepers.is_candidate(part):
                question = _Question(None, part, host.name, 0, self.now)
                self._send(question, host, 0)
