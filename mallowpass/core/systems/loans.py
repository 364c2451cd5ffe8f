"""Lend idle connections of this host's share to hosts that need them for a while.

A loan is over by the borrower's clock before it is over by the lender's, whatever
is lost, late or paused:

- the borrower counts from when it sent its call, the lender from when it got it,
  and the lender adds a margin;
- connections under a loan live so shortly at the endpoint, and are sent nothing so
  long before the loan's end, that a borrower that stands still loses them in time;
- a lender that forgot its loans leaves what it may have lent unused at first.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node, System
from mallowpass.core.peering import LoanAnswer, LoanCall, LoanReturn
from mallowpass.core.systems import membership as membership_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems.connections import LIFE_MARGIN, BorrowedLoan, EndpointPool
from mallowpass.core.tables import HostRow
from mallowpass.core.timers import Timer

__all__ = ["Loans"]

MARGIN = 1.0  # seconds that a lender waits longer than the loan lasts
LIFE_PART = 0.25  # of a loan: time to live of its connections, and their timeout
RENEWAL_PART = 0.4  # of a loan: when it is asked for again
LIFE_USED = 0.8  # of that time to live: after this without a call it isn't used
TICK = 0.2  # seconds between looks at a loan in use
OUTSTANDING_MAX = 2  # calls without an answer, for each endpoint
CALL_TIMEOUT = 0.5
ASK_INTERVAL = 0.05  # seconds between calls for one endpoint, before jitter
REFUSED_FOR = 1.0  # seconds before the same host is asked for the same endpoint again
ASKED_MAX = 4  # connections in one call


@dataclass(slots=True)
class _Lent:
    """Hold what was lent under one loan."""

    host: str
    loan: str
    address: str
    connections: int
    until: float
    timer: Timer | None = None


@dataclass(slots=True)
class _Call:
    """Hold a call that may still be answered."""

    number: int
    loan: str
    host: str
    address: str
    sent_at: float
    renewal: bool
    answered: bool = False


class _Asking:
    """Hold how an endpoint's loans are being asked for."""

    __slots__ = ("next_at", "outstanding", "refused", "timer")

    def __init__(self) -> None:
        self.next_at = float("-inf")
        self.outstanding = 0
        self.refused: dict[str, float] = {}  # host -> until when it isn't asked
        self.timer: Timer | None = None


class Loans(System):
    """Own what is lent and what is borrowed."""

    __slots__ = (
        "_asking",
        "_calls",
        "_fresh_until",
        "_lent",
        "_lenders",
        "_life",
        "_loan_seconds",
        "_membership",
        "_pooling",
        "_withheld",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._loan_seconds = node.tuning.loan
        self._life = node.tuning.loan * LIFE_PART
        self._fresh_until = node.timers.now + node.tuning.loan + MARGIN
        self._lent: dict[tuple[str, str], _Lent] = {}  # by host and loan
        self._lenders: dict[str, str] = {}  # loan -> host
        self._calls: dict[int, _Call] = {}
        self._asking: dict[str, _Asking] = {}  # by address
        self._withheld: dict[str, EndpointPool] = {}

    def start(self) -> None:
        """Subscribe to other hosts' messages."""
        node = self._node
        self._membership = node.system(membership_module.Membership)
        self._pooling = node.system(pooling_module.Pooling)
        self._membership.on_message(LoanCall, self._on_call)
        self._membership.on_message(LoanAnswer, self._on_answer)
        self._membership.on_message(LoanReturn, self._on_return)
        self.timers.at(self._fresh_until, self._end_withholding)

    def stop(self) -> None:
        """Give all loans back."""
        for loan in list(self._lenders):
            self._return(loan)

    # -- For pooling ---------------------------------------------------------

    def connection_timing(self, loan: str) -> tuple[float, float]:
        """Return time to live and timeout of a connection opened under a loan."""
        tuning = self._node.tuning
        if not loan:
            return tuning.connection_time_to_live, tuning.connect_timeout
        return self._life, min(tuning.connect_timeout, self._life)

    def usable_time(self, loan: str) -> float:
        """Return for how long a connection may be used after a call on it."""
        if loan:
            return self._life * LIFE_USED
        return self._node.tuning.connection_time_to_live - LIFE_MARGIN

    def expiry(self, loan: BorrowedLoan | None, sent_at: float) -> float:
        """Return until when a loan's connection may be used after a call on it."""
        if loan is None:
            return sent_at
        return min(loan.close_at, sent_at + self._life * LIFE_USED)

    def withhold(self, pool: EndpointPool, places: int) -> None:
        """Keep places unused that an earlier life of this host may have lent."""
        if self.now < self._fresh_until:
            pool.withheld_count = places
            self._withheld[pool.address] = pool

    def _end_withholding(self) -> None:
        for pool in self._withheld.values():
            pool.withheld_count = 0
            self._pooling.dispatch(pool)
        self._withheld.clear()

    # -- Borrowing -----------------------------------------------------------

    def request_loan(self, pool: EndpointPool) -> None:
        """Ask another host for connections; the own share is in use."""
        # Without a time to live, a borrower that stands still would keep the
        # connections while the lender opens its own again.
        report = pool.endpoint.report
        if report is None or not report.time_to_live or pool.open_limit is not None:
            return
        asking = self._asking.get(pool.address)
        if asking is None:
            asking = self._asking[pool.address] = _Asking()
        if asking.outstanding >= OUTSTANDING_MAX:
            return
        if self.now < asking.next_at:
            self._ask_later(pool, asking)
            return
        host = self._choose_lender(asking)
        asking.next_at = self.now + ASK_INTERVAL * self._jitter()
        if host is not None:
            number = self._node.next_number()
            identity = self._node.identity
            loan = f"{identity.name}/{identity.incarnation}/{number}"
            wanted = min(ASKED_MAX, len(pool.queue))
            asking.outstanding += 1
            self._send_call(number, loan, host.name, pool.address, wanted)
        self._ask_later(pool, asking)

    def _ask_later(self, pool: EndpointPool, asking: _Asking) -> None:
        if asking.timer is None:
            delay = max(0.0, asking.next_at - self.now)
            asking.timer = self.timers.after(delay, self._ask_again, pool, asking)

    def _ask_again(self, pool: EndpointPool, asking: _Asking) -> None:
        asking.timer = None
        if pool.queue:
            self._pooling.dispatch(pool)

    def _choose_lender(self, asking: _Asking) -> HostRow | None:
        """Choose a host of this failure domain, or else any, not refused lately."""
        domain = self._node.identity.failure_domain
        for hosts in (
            self._membership.live_hosts(domain),
            self._membership.live_hosts(),
        ):
            found = self._pick(hosts, asking)
            if found is not None:
                return found
        return None

    def _pick(self, hosts: list[HostRow], asking: _Asking) -> HostRow | None:
        # Tried from a random place: hosts in need would else all ask the same one.
        count = len(hosts)
        if not count:
            return None
        first = self._node.random.randrange(count)
        for offset in range(min(count, 2 * len(asking.refused) + 1)):
            host = hosts[(first + offset) % count]
            if asking.refused.get(host.name, float("-inf")) <= self.now:
                asking.refused.pop(host.name, None)
                return host
        return None

    def _send_call(
        self,
        number: int,
        loan: str,
        host: str,
        address: str,
        connections: int,
        renewal: bool = False,
    ) -> None:
        self._calls[number] = _Call(number, loan, host, address, self.now, renewal)
        # Kept as long as its answer could still be of use.
        self.timers.after(CALL_TIMEOUT, self._call_timed_out, number)
        self.timers.after(self._loan_seconds, self._calls.pop, number, None)
        message = LoanCall(loan, address, connections, number)
        if not self._membership.send_or_dial(host, message):
            self._call_timed_out(number)

    def _call_timed_out(self, number: int) -> None:
        call = self._calls.get(number)
        if call is None or call.answered:
            return
        self._settle_call(call)
        self._refused_by(call)

    def _settle_call(self, call: _Call) -> None:
        if not call.answered:
            call.answered = True
            if not call.renewal:
                self._asking[call.address].outstanding -= 1

    def _refused_by(self, call: _Call) -> None:
        if not call.renewal:
            until = self.now + REFUSED_FOR * self._jitter()
            self._asking[call.address].refused[call.host] = until

    def _on_answer(self, host: str, answer: LoanAnswer) -> None:
        call = self._calls.pop(answer.call, None)
        pool = self._pooling.find_pool(answer.address)
        if call is None or call.loan != answer.loan or pool is None:
            self._drop_answer(host, answer)
            return
        self._settle_call(call)
        if answer.connections <= 0:
            self._refused_by(call)
            self._pooling.dispatch(pool)
            return
        ends_at = call.sent_at + min(answer.seconds, self._loan_seconds)
        if call.renewal:
            self._prolong(pool, answer.loan, ends_at)
        else:
            self._begin(pool, host, answer, ends_at)

    def _drop_answer(self, host: str, answer: LoanAnswer) -> None:
        # Lent, but the call was given up: the lender gets its places back early.
        if answer.connections and answer.loan not in self._lenders:
            self._membership.send_or_dial(host, LoanReturn(answer.loan, answer.address))

    def _begin(
        self, pool: EndpointPool, host: str, answer: LoanAnswer, ends_at: float
    ) -> None:
        loan = BorrowedLoan(answer.loan, answer.connections)
        self._set_times(loan, ends_at)
        if self.now >= loan.open_until or not pool.queue:
            self._membership.send_or_dial(host, LoanReturn(answer.loan, answer.address))
            return
        self._lenders[loan.loan] = host
        pool.borrowed[loan.loan] = loan
        self._node.count("loans", direction="borrowed")
        self._node.record_decision(
            "loan", pool.address, f"{loan.connections} borrowed from {host}"
        )
        self.timers.after(TICK, self._tend, pool, loan)
        self._pooling.dispatch(pool)

    def _prolong(self, pool: EndpointPool, name: str, ends_at: float) -> None:
        loan = pool.borrowed.get(name)
        if loan is not None and ends_at > loan.ends_at:
            self._set_times(loan, ends_at)

    def _set_times(self, loan: BorrowedLoan, ends_at: float) -> None:
        loan.ends_at = ends_at
        loan.close_at = ends_at - self._life
        loan.open_until = loan.close_at - self.connection_timing(loan.loan)[1]
        loan.renew_at = ends_at - self._loan_seconds * (1 - RENEWAL_PART)

    def _tend(self, pool: EndpointPool, loan: BorrowedLoan) -> None:
        """Prolong a loan that is in use, give back one that isn't, end one in time."""
        if loan.loan not in self._lenders:
            return  # given back since the last look, as a drain does
        now = self.now
        self._pooling.maintain_borrowed(pool)
        unused = not loan.numbers and not pool.queue
        if now >= loan.close_at:
            for number in list(loan.numbers):
                force = now >= loan.ends_at
                self._pooling.close_borrowed(pool, number, force=force)
        if unused or (now >= loan.close_at and not loan.numbers):
            self._return(loan.loan)
            return
        if loan.renew_at <= now < loan.close_at:
            loan.renew_at = now + CALL_TIMEOUT
            self._renew(pool, loan)
        self.timers.at(self._next_look(loan), self._tend, pool, loan)

    def _next_look(self, loan: BorrowedLoan) -> float:
        now = self.now
        moments = (loan.close_at, loan.ends_at)
        return min([now + TICK, *(moment for moment in moments if moment > now)])

    def _renew(self, pool: EndpointPool, loan: BorrowedLoan) -> None:
        self._send_call(
            self._node.next_number(),
            loan.loan,
            self._lenders[loan.loan],
            pool.address,
            loan.connections,
            renewal=True,
        )

    def return_unused(self, pool: EndpointPool) -> None:
        """Give back loans of which nothing is in use."""
        for loan in list(pool.borrowed.values()):
            if not loan.numbers:
                self._return(loan.loan)

    def _return(self, name: str) -> None:
        host = self._lenders.pop(name, None)
        if host is None:
            return
        for pool in self._pooling.pools():
            loan = pool.borrowed.pop(name, None)
            if loan is not None:
                for number in list(loan.numbers):
                    self._pooling.close_borrowed(pool, number, force=True)
                self._membership.send_or_dial(host, LoanReturn(name, pool.address))

    # -- Lending -------------------------------------------------------------

    def _on_call(self, host: str, call: LoanCall) -> None:
        pool = self._pooling.get_or_create_pool(call.address)
        lent = self._lent.get((host, call.loan))
        if pool is None:
            connections = 0
        elif lent is not None:
            connections = self._lend_on(pool, lent)
        else:
            connections = self._lend(pool, host, call)
        answer = LoanAnswer(
            call.loan, call.address, connections, self._loan_seconds, call.call
        )
        self._membership.send_or_dial(host, answer)

    def _lend(self, pool: EndpointPool, host: str, call: LoanCall) -> int:
        places = min(call.connections, self._spare(pool, call.connections))
        if places <= 0:
            return 0
        lent = _Lent(host, call.loan, call.address, places, 0.0)
        self._lent[host, call.loan] = lent
        pool.lent_count += places
        self._keep_until(lent, self.now + self._loan_seconds + MARGIN)
        self._node.count("loans", direction="lent")
        self._node.record_decision("loan", pool.address, f"{places} lent to {host}")
        return places

    def _lend_on(self, pool: EndpointPool, lent: _Lent) -> int:
        """Prolong a loan, unless requests wait here for its places."""
        if pool.queue:
            return 0
        until = self.now + self._loan_seconds + MARGIN
        self._keep_until(lent, max(lent.until, until))
        return lent.connections

    def _spare(self, pool: EndpointPool, wanted: int) -> int:
        """Return how many places of the own share can be lent right now."""
        # Before its first loan period is over, a host can't know what it has lent.
        if self.now < self._fresh_until or pool.queue or pool.open_limit is not None:
            return 0
        most = pool.lendable_share - pool.lent_count
        if most <= 0:
            return 0
        pool.drop_expired_slots(self.now)
        needed = max(pool.peak_in_use, pool.previous_peak_in_use)
        free = pool.own_share - pool.lent_count - needed
        surplus = pool.own_count - needed
        if surplus > 0:
            # Closed now, lent at the next call: the endpoint is to have seen it.
            self._pooling.close_idle(pool, min(wanted, surplus))
        taken = pool.own_count + len(pool.silent_slots) + len(pool.closing_slots)
        return min(most, free, pool.own_share - pool.lent_count - taken)

    def _keep_until(self, lent: _Lent, until: float) -> None:
        lent.until = until
        if lent.timer is not None:
            lent.timer.cancel()
        lent.timer = self.timers.at(until, self._end, lent)

    def _end(self, lent: _Lent) -> None:
        if self._lent.pop((lent.host, lent.loan), None) is None:
            return
        pool = self._pooling.find_pool(lent.address)
        if pool is not None:
            pool.lent_count -= lent.connections
            self._pooling.dispatch(pool)

    def _on_return(self, host: str, message: LoanReturn) -> None:
        lent = self._lent.get((host, message.loan))
        if lent is None:
            return
        # The borrower's closing may not have reached the endpoint; what it left
        # there dies by itself within its time to live.
        until = self.now + self._life + MARGIN
        self._keep_until(lent, min(lent.until, until))

    def _jitter(self) -> float:
        return 0.5 + self._node.random.random()
