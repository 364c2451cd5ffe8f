"""Lend unused slots of this host's share temporarily to hosts that need them.

A slot is the right to one of the connections that an endpoint accepts. A loan is a
lease of slots: it ends for the borrower before it ends for the lender, even if messages
are lost or late, or a host is paused:

- the borrower counts the loan's time from sending its call, the lender from receiving
  that call, and the lender adds a margin;
- borrowed connections have a short time to live at the endpoint, and no call is sent
  on them for that time before the loan ends, so the endpoint closes the connections of
  a paused borrower in time;
- a restarted lender does not know its loans, and at first leaves all slots unused that
  it may have lent.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node, System
from mallowpass.core.peering import LoanAnswer, LoanCall, LoanReturn
from mallowpass.core.systems import membership as membership_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems.connections import (
    LIFETIME_MARGIN,
    BorrowedLoan,
    EndpointPool,
)
from mallowpass.core.tables import HostRow
from mallowpass.core.timers import Timer

__all__ = ["Loans"]

# Times in seconds; parts as fractions.
LENDER_MARGIN = 1.0  # time for which a lender reserves the slots after the loan's end
# Part of a loan's time: the time to live of borrowed connections, and the longest
# timeout of opening them.
LIFETIME_PART = 0.25
RENEWAL_PART = 0.4  # part of a loan's time after which the loan is renewed
# Part of that time to live for which a connection may be used after a call on it.
USABLE_PART = 0.8
MAINTENANCE_INTERVAL = 0.2
OUTSTANDING_MAX = 2  # unanswered calls for one endpoint
CALL_TIMEOUT = 0.5
CALL_INTERVAL = 0.05  # time between calls for one endpoint, before jitter
# Time without calls to a host that refused slots of an endpoint, before jitter.
REFUSAL_BACKOFF = 1.0
CONNECTIONS_PER_CALL_MAX = 4


@dataclass(slots=True)
class _LentLoan:
    """A loan that this host has made to another host."""

    host: str
    loan: str
    address: str
    connections: int
    reserved_until: float
    timer: Timer | None = None


@dataclass(slots=True)
class _PendingCall:
    """A call for a loan that may still be answered."""

    number: int
    loan: str
    host: str
    address: str
    sent_at: float
    renewal: bool
    answered: bool = False


class _BorrowState:
    """The state of the calls for loans of slots at one endpoint."""

    __slots__ = ("next_at", "outstanding", "refused", "timer")

    def __init__(self) -> None:
        self.next_at = float("-inf")
        self.outstanding = 0
        self.refused: dict[str, float] = {}  # host -> end of the backoff
        self.timer: Timer | None = None


class Loans(System):
    """Own the loans that this host has made or taken."""

    __slots__ = (
        "_borrow_states",
        "_calls",
        "_lenders",
        "_lent",
        "_lifetime",
        "_loan_seconds",
        "_membership",
        "_pooling",
        "_withheld",
        "_withhold_until",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._loan_seconds = node.tuning.loan
        self._lifetime = node.tuning.loan * LIFETIME_PART
        self._withhold_until = node.timers.now + node.tuning.loan + LENDER_MARGIN
        self._lent: dict[tuple[str, str], _LentLoan] = {}  # by borrower and loan
        self._lenders: dict[str, str] = {}  # loan -> host
        self._calls: dict[int, _PendingCall] = {}
        self._borrow_states: dict[str, _BorrowState] = {}  # by address
        self._withheld: dict[str, EndpointPool] = {}

    def start(self) -> None:
        """Look up the other systems, and subscribe to messages about loans."""
        node = self._node
        self._membership = node.system(membership_module.Membership)
        self._pooling = node.system(pooling_module.Pooling)
        self._membership.on_message(LoanCall, self._on_call)
        self._membership.on_message(LoanAnswer, self._on_answer)
        self._membership.on_message(LoanReturn, self._on_return)
        self.timers.at(self._withhold_until, self._end_withholding)

    def stop(self) -> None:
        """Return all borrowed slots."""
        for loan in list(self._lenders):
            self._return(loan)

    # -- For pooling ---------------------------------------------------------

    def connection_timing(self, loan: str) -> tuple[float, float]:
        """Return the time to live and the opening timeout of a new connection.

        `loan` is empty for a connection of the own share.
        """
        tuning = self._node.tuning
        if not loan:
            return tuning.connection_time_to_live, tuning.connect_timeout
        return self._lifetime, min(tuning.connect_timeout, self._lifetime)

    def usable_time(self, loan: str) -> float:
        """Return how many seconds after a call a connection may be used."""
        if loan:
            return self._lifetime * USABLE_PART
        return self._node.tuning.connection_time_to_live - LIFETIME_MARGIN

    def expiry(self, loan: BorrowedLoan | None, sent_at: float) -> float:
        """Return when a borrowed connection expires after a call at `sent_at`.

        If its loan has ended, the connection expires at once.
        """
        if loan is None:
            return sent_at
        return min(loan.close_at, sent_at + self._lifetime * USABLE_PART)

    def withhold(self, pool: EndpointPool, slots: int) -> None:
        """Keep slots unused that a previous run of this host may have lent."""
        if self.now < self._withhold_until:
            pool.withheld_count = slots
            self._withheld[pool.address] = pool

    def _end_withholding(self) -> None:
        for pool in self._withheld.values():
            pool.withheld_count = 0
            self._pooling.dispatch(pool)
        self._withheld.clear()

    # -- Borrowing -----------------------------------------------------------

    def request_loan(self, pool: EndpointPool) -> None:
        """Request a loan from another host, as the own share is in use."""
        # If the endpoint had no time to live for connections, a paused borrower would
        # keep its connections open while the lender opens its own again.
        report = pool.endpoint.report
        if report is None or not report.time_to_live or pool.open_limit is not None:
            return
        state = self._borrow_states.get(pool.address)
        if state is None:
            state = self._borrow_states[pool.address] = _BorrowState()
        if state.outstanding >= OUTSTANDING_MAX:
            return
        if self.now < state.next_at:
            self._schedule_call(pool, state)
            return
        host = self._choose_lender(state)
        state.next_at = self.now + CALL_INTERVAL * self._jitter()
        if host is not None:
            number = self._node.next_number()
            identity = self._node.identity
            loan = f"{identity.name}/{identity.incarnation}/{number}"
            wanted = min(CONNECTIONS_PER_CALL_MAX, len(pool.queue))
            state.outstanding += 1
            self._send_call(number, loan, host.name, pool.address, wanted)
        self._schedule_call(pool, state)

    def _schedule_call(self, pool: EndpointPool, state: _BorrowState) -> None:
        if state.timer is None:
            delay = max(0.0, state.next_at - self.now)
            state.timer = self.timers.after(delay, self._on_call_due, pool, state)

    def _on_call_due(self, pool: EndpointPool, state: _BorrowState) -> None:
        state.timer = None
        if pool.queue:
            self._pooling.dispatch(pool)

    def _choose_lender(self, state: _BorrowState) -> HostRow | None:
        """Choose a host that has not refused recently, first in this failure domain."""
        domain = self._node.identity.failure_domain
        for hosts in (
            self._membership.live_hosts(domain),
            self._membership.live_hosts(),
        ):
            host = self._choose_from(hosts, state)
            if host is not None:
                return host
        return None

    def _choose_from(self, hosts: list[HostRow], state: _BorrowState) -> HostRow | None:
        # Start at a random host. Otherwise all borrowers would call the same one.
        count = len(hosts)
        if not count:
            return None
        first = self._node.random.randrange(count)
        for offset in range(min(count, 2 * len(state.refused) + 1)):
            host = hosts[(first + offset) % count]
            if state.refused.get(host.name, float("-inf")) <= self.now:
                state.refused.pop(host.name, None)
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
        self._calls[number] = _PendingCall(
            number, loan, host, address, self.now, renewal
        )
        # The call is kept for as long as a late answer could still be used.
        self.timers.after(CALL_TIMEOUT, self._on_call_timeout, number)
        self.timers.after(self._loan_seconds, self._calls.pop, number, None)
        message = LoanCall(loan, address, connections, number)
        if not self._membership.send_or_dial(host, message):
            self._on_call_timeout(number)

    def _on_call_timeout(self, number: int) -> None:
        call = self._calls.get(number)
        if call is None or call.answered:
            return
        self._mark_answered(call)
        self._back_off_from_host(call)

    def _mark_answered(self, call: _PendingCall) -> None:
        if not call.answered:
            call.answered = True
            if not call.renewal:
                self._borrow_states[call.address].outstanding -= 1

    def _back_off_from_host(self, call: _PendingCall) -> None:
        if not call.renewal:
            retry_at = self.now + REFUSAL_BACKOFF * self._jitter()
            self._borrow_states[call.address].refused[call.host] = retry_at

    def _on_answer(self, host: str, answer: LoanAnswer) -> None:
        call = self._calls.pop(answer.call, None)
        pool = self._pooling.find_pool(answer.address)
        if call is None or call.loan != answer.loan or pool is None:
            self._discard_answer(host, answer)
            return
        self._mark_answered(call)
        if answer.connections <= 0:
            self._back_off_from_host(call)
            self._pooling.dispatch(pool)
            return
        ends_at = call.sent_at + min(answer.seconds, self._loan_seconds)
        if call.renewal:
            self._extend(pool, answer.loan, ends_at)
        else:
            self._start_loan(pool, host, answer, ends_at)

    def _discard_answer(self, host: str, answer: LoanAnswer) -> None:
        # The call was dropped. Return the slots, so that the lender can use them early.
        if answer.connections and answer.loan not in self._lenders:
            self._membership.send_or_dial(host, LoanReturn(answer.loan, answer.address))

    def _start_loan(
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
            "loan", pool.address, f"{loan.connections} slots borrowed from {host}"
        )
        self.timers.after(MAINTENANCE_INTERVAL, self._maintain, pool, loan)
        self._pooling.dispatch(pool)

    def _extend(self, pool: EndpointPool, name: str, ends_at: float) -> None:
        loan = pool.borrowed.get(name)
        if loan is not None and ends_at > loan.ends_at:
            self._set_times(loan, ends_at)

    def _set_times(self, loan: BorrowedLoan, ends_at: float) -> None:
        loan.ends_at = ends_at
        loan.close_at = ends_at - self._lifetime
        loan.open_until = loan.close_at - self.connection_timing(loan.loan)[1]
        loan.renew_at = ends_at - self._loan_seconds * (1 - RENEWAL_PART)

    def _maintain(self, pool: EndpointPool, loan: BorrowedLoan) -> None:
        """Renew a loan that is in use, return an unused one, and end one in time."""
        if loan.loan not in self._lenders:
            return  # returned in the meantime, as in a drain
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
        self.timers.at(self._next_maintenance_at(loan), self._maintain, pool, loan)

    def _next_maintenance_at(self, loan: BorrowedLoan) -> float:
        now = self.now
        ends = (loan.close_at, loan.ends_at)
        return min(
            [
                now + MAINTENANCE_INTERVAL,
                *(end for end in ends if end > now),
            ]
        )

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
        """Return the loans without connections."""
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
            connections = self._extend_lent(pool, lent)
        else:
            connections = self._lend(pool, host, call)
        answer = LoanAnswer(
            call.loan, call.address, connections, self._loan_seconds, call.call
        )
        self._membership.send_or_dial(host, answer)

    def _lend(self, pool: EndpointPool, host: str, call: LoanCall) -> int:
        slots = min(call.connections, self._spare_count(pool, call.connections))
        if slots <= 0:
            return 0
        lent = _LentLoan(host, call.loan, call.address, slots, 0.0)
        self._lent[host, call.loan] = lent
        pool.lent_count += slots
        self._reserve_until(lent, self.now + self._loan_seconds + LENDER_MARGIN)
        self._node.count("loans", direction="lent")
        self._node.record_decision(
            "loan", pool.address, f"{slots} slots lent to {host}"
        )
        return slots

    def _extend_lent(self, pool: EndpointPool, lent: _LentLoan) -> int:
        """Extend a loan, unless requests of this host wait for its slots."""
        if pool.queue:
            return 0
        reserved_until = self.now + self._loan_seconds + LENDER_MARGIN
        self._reserve_until(lent, max(lent.reserved_until, reserved_until))
        return lent.connections

    def _spare_count(self, pool: EndpointPool, wanted: int) -> int:
        """Return how many slots of the own share can be lent now."""
        # Until this time, loans that a previous run of this host made may be in force.
        if self.now < self._withhold_until or pool.queue or pool.open_limit is not None:
            return 0
        limit = pool.lendable_share - pool.lent_count
        if limit <= 0:
            return 0
        pool.drop_expired_slots(self.now)
        needed = max(pool.peak_in_use, pool.previous_peak_in_use)
        free = pool.own_share - pool.lent_count - needed
        surplus = pool.own_count - needed
        if surplus > 0:
            # These slots are lent at a later call: the endpoint has to see the close
            # first.
            self._pooling.close_idle(pool, min(wanted, surplus))
        taken = pool.own_count + len(pool.unresponsive_slots) + len(pool.closing_slots)
        return min(limit, free, pool.own_share - pool.lent_count - taken)

    def _reserve_until(self, lent: _LentLoan, reserved_until: float) -> None:
        lent.reserved_until = reserved_until
        if lent.timer is not None:
            lent.timer.cancel()
        lent.timer = self.timers.at(reserved_until, self._end_lent, lent)

    def _end_lent(self, lent: _LentLoan) -> None:
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
        # The borrower's close may not have reached the endpoint. There the connections
        # end when their time to live is over.
        reserved_until = self.now + self._lifetime + LENDER_MARGIN
        self._reserve_until(lent, min(lent.reserved_until, reserved_until))

    def _jitter(self) -> float:
        return 0.5 + self._node.random.random()
