"""Loans: slots of the connection limit that one host lends to another."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mallowpass.core.calls import (
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    KeepAliveCall,
)
from mallowpass.core.effects import CloseConnection, OpenConnection, SendEndpoint
from mallowpass.core.events import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    EndpointReplied,
)
from mallowpass.core.node import Tuning
from mallowpass.core.peering import LoanAnswer, LoanCall, LoanReturn, PeerMessage
from mallowpass.core.signals import DrainBegan
from mallowpass.core.systems.loans import LENDER_MARGIN
from mallowpass.core.tables import HostRow
from tests.fakes.poolpath import ADDRESS, DOMAINS, PoolHost

# Most draws of a fault affect no host: hosts that fail all the time lend nothing.
AFFECTED_HOSTS = st.sampled_from([0, 1, 2, 3, *[None] * 8])
TICK = 0.05  # seconds; also the duration of a statement
LIMIT = 16  # connections: four for each of the four seats, which may lend two each
SEATS = [(domain.name, seat) for domain in DOMAINS for seat in range(domain.hosts)]


def _host(own_seat: tuple[str, int] = SEATS[0], **options: object) -> PoolHost:
    host = PoolHost(limit=LIMIT, domain=own_seat[0], seat=own_seat[1], **options)
    for domain, seat in SEATS:
        if (domain, seat) != own_seat:
            name = f"{domain}-{seat}"
            host.node.tables.hosts[name] = HostRow(name, domain, seat, "")
    host.report(connections=0, limit=LIMIT)
    return host


def _sent(host: PoolHost, kind: type[PeerMessage]) -> list[tuple[str, PeerMessage]]:
    return [entry for entry in host.membership.sent if isinstance(entry[1], kind)]


def _deliver(host: PoolHost, name: str, message: PeerMessage) -> None:
    host.node.timers.advance(host.now)
    host.membership.handlers[type(message)](name, message)
    host.flush()


def _use_whole_share(host: PoolHost) -> tuple[str, LoanCall]:
    """Use the whole share of a host; return the host's first call for a loan."""
    while not _sent(host, LoanCall):
        host.request()
        host.open_all()
    host.membership.sent, calls = [], _sent(host, LoanCall)
    return calls[0]


def _ask_for_one(host: PoolHost, loan: str = "x") -> LoanAnswer:
    """Deliver another host's call for a loan of one slot; return the host's answer."""
    _deliver(host, "tanger-ksar-0", LoanCall(loan, ADDRESS, 1, 7))
    ((_, answer),) = _sent(host, LoanAnswer)
    host.membership.sent.clear()
    return answer


# -- Borrowing ---------------------------------------------------------------


def test_host_first_borrows_in_its_own_failure_domain():
    host = _host()
    name, call = _use_whole_share(host)
    assert host.pool.own_count == host.pool.own_share == 4
    assert name == "casa-ainsebaa-1"
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 0, 0.0, call.call))
    host.wait_until(lambda: _sent(host, LoanCall))
    assert _sent(host, LoanCall)[0][0].startswith("tanger-ksar")


def test_borrowed_connection_has_a_short_time_to_live_and_is_returned_unused():
    host = _host()
    name, call = _use_whole_share(host)
    host.effects.clear()
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    (opening,) = host.all(OpenConnection)
    assert opening.time_to_live < host.node.tuning.loan
    host.open_all()
    host.reply_all()
    host.wait_until(lambda: host.reply_all() or _sent(host, LoanReturn))
    assert opening.connection in host.closed()
    assert host.pool.share == 4


def test_a_long_statement_on_a_borrowed_connection_is_kept_alive():
    """Long statements on borrowed connections fail after a second or two.

    The statements take longer than a borrowed connection's time to live. Unless a
    keep-alive is sent on the connection in the meantime, the endpoint closes it.
    """
    host = _host()
    host.report(connections=0, limit=LIMIT, keep_alive_while_busy=True)
    name, call = _use_whole_share(host)
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    host.open_all()
    (loan,) = host.pool.borrowed.values()
    (number,) = loan.numbers
    sent_at = host.now
    while host.now < loan.close_at - 0.1:
        host.effects.clear()
        host.wait(0.1)
        for sent in host.calls(KeepAliveCall):
            host.reply(sent)
            if sent.connection == number:
                sent_at = host.now
        assert host.now - sent_at < host.loans.connection_timing(loan.loan)[0]
    assert sent_at > host.now - 1.0


def test_time_of_a_loan_counts_from_the_sending_of_its_call():
    """Borrower and lender use the same slots for a while.

    The answer to the call is late by most of the loan's time. The borrower must not
    count the time from the answer.
    """
    host = _host()
    name, call = _use_whole_share(host)
    host.wait(4.0)
    host.effects.clear()
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    assert host.all(OpenConnection) == []
    assert (name, LoanReturn(call.loan, ADDRESS)) in host.membership.sent


def test_answer_to_an_earlier_call_does_not_extend_a_loan():
    """A borrower uses slots after the loan has ended for the lender.

    The answer to the renewal is lost, and the answer to the first call arrives again.
    Answers must be matched by their call, not by their loan only.
    """
    host = _host()
    name, call = _use_whole_share(host)
    answer = LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call)
    _deliver(host, name, answer)
    host.open_all()
    (loan,) = host.pool.borrowed.values()
    ends_at = loan.ends_at
    host.wait_until(
        lambda: call.loan in [entry.loan for _, entry in _sent(host, LoanCall)]
    )
    _deliver(host, name, answer)
    assert loan.ends_at == ends_at
    renewal = _sent(host, LoanCall)[-1][1]
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, renewal.call))
    assert loan.ends_at > ends_at


def test_nothing_is_sent_on_a_borrowed_connection_after_a_pause():
    """A statement runs in a slot that the lender uses again.

    The borrower is paused until after the end of the loan. The end of the loan must be
    checked before each call, not by timers only.
    """
    host = _host()
    name, call = _use_whole_share(host)
    host.requests.hold = True
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    host.open_all()
    (number,) = next(iter(host.pool.borrowed.values())).numbers
    connection = host.node.tables.connections[number]
    host.pooling.pin(connection, "t1")
    host.effects.clear()
    host.now += 30.0
    host.node.timers.advance(host.now)
    host.pooling.send(connection, ExecuteCall(sql=""))
    host.wait(0.0)
    assert number not in {sent.connection for sent in host.calls(ExecuteCall)}
    assert [name for name, _ in host.transactions.lost] == ["t1"]


def test_loan_in_use_is_renewed_and_ends_without_an_answer():
    host = _host(tuning=Tuning(silence=30.0))
    name, call = _use_whole_share(host)
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    host.open_all()
    (loan,) = host.pool.borrowed.values()
    (number,) = loan.numbers
    host.wait(loan.ends_at - host.now)
    assert call.loan in [entry.loan for _, entry in _sent(host, LoanCall)]
    assert number in host.closed() and not host.pool.borrowed


def test_loan_that_was_returned_in_a_drain_is_not_renewed():
    """A timer raises KeyError at a draining host.

    A borrowed connection can't be opened, and the drain returns its loan. The
    maintenance of the loan must not continue and renew it for queued requests.
    """
    host = _host()
    name, call = _use_whole_share(host)
    host.effects.clear()
    _deliver(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    (opening,) = host.all(OpenConnection)
    host.handle(ConnectionRefused(opening.connection, "refused"))
    host.publish(DrainBegan(host.now + 9.0))
    assert [message.loan for _, message in _sent(host, LoanReturn)] == [call.loan]
    host.membership.sent.clear()
    host.wait(host.node.tuning.loan)
    assert len(host.pool.queue) > 0
    assert call.loan not in [message.loan for _, message in _sent(host, LoanCall)]


def test_nothing_is_borrowed_at_an_endpoint_without_time_to_live():
    host = _host()
    host.report(connections=0, limit=LIMIT, time_to_live=False)
    for _ in range(12):
        host.request()
        host.open_all()
    assert _sent(host, LoanCall) == []


# -- Lending -----------------------------------------------------------------


def test_lender_reserves_the_slots_for_longer_than_the_loan_lasts():
    host = _host()
    answer = _ask_for_one(host)
    assert (answer.connections, answer.call) == (1, 7)
    assert host.pooling.share(host.endpoint) == 3
    host.wait(host.node.tuning.loan + LENDER_MARGIN - 0.1)
    assert host.pooling.share(host.endpoint) == 3
    host.wait(0.2)
    assert host.pooling.share(host.endpoint) == 4


def test_returned_slot_is_not_used_until_borrowed_connections_have_expired():
    """An endpoint refuses a connection to the lender within its share.

    The borrower is cut off from the endpoint when it returns its loan, so the close
    does not reach the endpoint. The lender must not use the slot at once.
    """
    host = _host()
    _ask_for_one(host)
    _deliver(host, "tanger-ksar-0", LoanReturn("x", ADDRESS))
    host.wait(host.node.tuning.loan / 4)
    assert host.pooling.share(host.endpoint) == 3
    host.wait(host.node.tuning.loan / 2)
    assert host.pooling.share(host.endpoint) == 4


def test_lender_keeps_the_slots_that_it_needs():
    host = _host()
    for _ in range(3):
        host.request()
        host.open_all()
    host.reply_all()
    assert [_ask_for_one(host, name).connections for name in "ab"] == [1, 0]


def test_lender_keeps_the_slots_that_it_needed_recently():
    """A busy host borrows slots right after it has lent some.

    Three connections were in use at the same time and are then closed for a while. The
    slots of these connections must not be lent only because they are not in use at that
    moment.
    """
    host = _host()
    for _ in range(3):
        host.request()
        host.open_all()
    host.reply_all()
    host.pooling.close_idle(host.pool, 3)
    host.wait(1.0)
    host.report(connections=0, limit=LIMIT)
    assert [_ask_for_one(host, name).connections for name in "ab"] == [1, 0]


def test_host_lends_at_most_what_it_withholds_after_a_restart():
    host = _host()
    _deliver(host, "tanger-ksar-0", LoanCall("x", ADDRESS, 4, 7))
    ((_, answer),) = _sent(host, LoanAnswer)
    assert answer.connections == host.pool.lendable_share == 2


def test_slots_of_idle_connections_are_lent_once_the_endpoint_saw_the_close():
    host = _host()
    for _ in range(4):
        host.request()
        host.open_all()
    host.reply_all()
    for _ in range(100):
        host.wait(0.1)
        host.reply_all()
    assert _ask_for_one(host, "a").connections == 0
    host.wait(1.0)
    assert _ask_for_one(host, "b").connections == 0
    host.report(connections=0, limit=LIMIT)
    assert _ask_for_one(host, "c").connections == 1


def test_restarted_lender_withholds_the_slots_that_it_may_have_lent():
    """The connections to an endpoint exceed its limit after a restart of a host.

    The host makes a loan, and restarts within the loan's time. Loans are kept in memory
    only, so the restarted host must not use its whole share.
    """
    host = _host(warmed=False)
    assert host.pooling.share(host.endpoint) == 2
    assert _ask_for_one(host).connections == 0
    host.wait(host.node.tuning.loan + LENDER_MARGIN + 0.1)
    assert host.pooling.share(host.endpoint) == 4


# -- Several hosts, one endpoint ---------------------------------------------


class LoanMachine(RuleBasedStateMachine):
    """Hosts that share an endpoint, with faults of messages, hosts and network."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.hosts = [_host(own_seat) for own_seat in SEATS]
        self.now = self.hosts[0].now
        # Connections by host and number: the time of the last call, and the time to
        # live.
        self.open: dict[tuple[int, int], tuple[float, float]] = {}
        self.opening: list[tuple[int, OpenConnection, float]] = []
        self.owners: dict[tuple[int, int], int] = {}  # host whose slot is used
        self.closing: list[tuple[int, int]] = []  # not yet seen by the endpoint
        self.statements: list[tuple[int, SendEndpoint]] = []
        self.messages: list[tuple[int, int, PeerMessage]] = []
        self.paused: set[int] = set()
        self.cut: set[int] = set()
        self.busy: set[int] = set()
        self.slow_opening = False
        self.slow_messages = False

    # -- Effects of hosts ----------------------------------------------------

    def apply_effects(self) -> None:
        """Apply the effects of the hosts until there are none."""
        again = True
        while again:
            again = False
            for index, host in enumerate(self.hosts):
                host.flush()
                effects, host.effects = host.effects, []
                for effect in effects:
                    again = self.apply_effect(index, effect) or again
                names = [f"{domain}-{seat}" for domain, seat in SEATS]
                for name, message in host.membership.sent:
                    self.messages.append((index, names.index(name), message))
                host.membership.sent = []

    def apply_effect(self, index: int, effect: object) -> bool:
        if isinstance(effect, OpenConnection):
            self.opening.append((index, effect, self.now))
            self.owners[index, effect.connection] = self.owner(index, effect.connection)
        elif isinstance(effect, CloseConnection):
            self.opening = [
                entry
                for entry in self.opening
                if (entry[0], entry[1].connection) != (index, effect.connection)
            ]
            if index in self.cut:
                self.closing.append((index, effect.connection))
            else:
                self.open.pop((index, effect.connection), None)
        elif isinstance(effect, SendEndpoint) and index not in self.cut:
            key = (index, effect.connection)
            if key in self.open:
                self.open[key] = (self.now, self.open[key][1])
                if isinstance(effect.call, ExecuteCall):
                    self.statements.append((index, effect))
                else:
                    self.answer(index, effect)
                    return True
        return False

    def owner(self, index: int, number: int) -> int:
        """Return the host in whose share a connection is opened."""
        host = self.hosts[index]
        row = host.node.tables.connections.get(number)
        if row is None or not row.loan:
            return index
        domain, seat = host.loans._lenders[row.loan].rsplit("-", 1)
        return SEATS.index((domain, int(seat)))

    def answer(self, index: int, sent: SendEndpoint) -> None:
        reply = EndpointReply(sequence=sent.sequence, code=EndpointCode.OK)
        if index not in self.paused and index not in self.cut:
            self.hosts[index].now = self.now
            self.hosts[index].handle(EndpointReplied(sent.connection, reply))

    # -- Time ----------------------------------------------------------------

    def step(self) -> None:
        """Run what is due now, at the endpoint and at hosts that are not paused."""
        self.serve()
        for key, (last_call_at, time_to_live) in list(self.open.items()):
            if last_call_at + time_to_live <= self.now:
                del self.open[key]
                if key[0] not in self.paused | self.cut:
                    self.hosts[key[0]].now = self.now
                    self.hosts[key[0]].handle(ConnectionLost(key[1], "expired"))
        for index, host in enumerate(self.hosts):
            if index in self.paused:
                continue
            host.now = self.now
            if index not in self.cut:
                host.report(connections=len(self.open), limit=LIMIT)
            host.take(host.node.wake(self.now))
        self.apply_effects()
        if not self.slow_opening:
            self.open_connections()
        for _ in range(0 if self.slow_messages else len(self.messages)):
            if self.messages:
                self.deliver(0, again=False)

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0, 6.5]))
    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - TICK / 2:
            self.now = min(end, self.now + TICK)
            self.step()

    @initialize(index=st.integers(0, 3))
    def load_one_host(self, index: int) -> None:
        """Start with one host that borrows as much as it can."""
        self.load({index})

    # -- Load ----------------------------------------------------------------

    @rule(busy=st.sets(st.integers(0, 3)))
    def load(self, busy: set[int]) -> None:
        """Keep requests queued at these hosts, and none at the others."""
        self.busy = busy
        self.wait(0.6)

    def serve(self) -> None:
        """Reply to all statements, and queue more requests at busy hosts."""
        statements, self.statements = self.statements, []
        for index, sent in statements:
            self.answer(index, sent)
        for index in self.busy - self.paused:
            host = self.hosts[index]
            host.now = self.now
            for _ in range(8 - len(host.pool.queue)):
                host.request(deadline=60.0)
        self.apply_effects()

    @precondition(lambda self: self.opening)
    @rule()
    def open_connections(self) -> None:
        opening, self.opening = self.opening, []
        for index, effect, since in opening:
            host = self.hosts[index]
            if index in self.cut or self.now > since + effect.timeout:
                continue
            if effect.host != host.node.identity.name:
                continue
            # The endpoint accepts the connection even if the host is paused.
            self.open[index, effect.connection] = (self.now, effect.time_to_live)
            if index not in self.paused:
                host.now = self.now
                host.handle(ConnectionOpened(effect.connection))
        self.apply_effects()

    # -- Messages ------------------------------------------------------------

    @precondition(lambda self: self.messages)
    @rule(index=st.integers(0, 50), again=st.booleans())
    def deliver(self, index: int, again: bool) -> None:
        index %= len(self.messages)
        source, target, message = self.messages[index]
        if target in self.paused:
            return
        if not again:
            del self.messages[index]
        self.hosts[target].now = self.now
        domain, seat = SEATS[source]
        _deliver(self.hosts[target], f"{domain}-{seat}", message)
        self.apply_effects()

    @precondition(lambda self: self.messages)
    @rule()
    def lose_messages(self) -> None:
        self.messages = self.messages[len(self.messages) // 2 :]

    @rule()
    def slow_down(self) -> None:
        """Toggle the delay of messages and openings until the rules for them run."""
        self.slow_messages = not self.slow_messages
        self.slow_opening = self.slow_messages

    # -- Faults --------------------------------------------------------------

    @rule(index=AFFECTED_HOSTS)
    def pause(self, index: int | None) -> None:
        if index is not None:
            self.paused ^= {index}

    @rule(index=AFFECTED_HOSTS)
    def cut_off(self, index: int | None) -> None:
        """Toggle the partition of a host from the endpoint; then deliver its closes."""
        if index is None:
            return
        self.cut ^= {index}
        if index not in self.cut:
            for key in [key for key in self.closing if key[0] == index]:
                self.closing.remove(key)
                self.open.pop(key, None)

    @rule(index=AFFECTED_HOSTS)
    @precondition(lambda self: not self.cut)
    def restart(self, index: int | None) -> None:
        """Restart a host; its sockets close with its process."""
        if index is None:
            return
        self.open = {key: at for key, at in self.open.items() if key[0] != index}
        self.opening = [entry for entry in self.opening if entry[0] != index]
        self.statements = [entry for entry in self.statements if entry[0] != index]
        self.paused.discard(index)
        self.hosts[index] = _host(
            SEATS[index], now=self.now, incarnation=2, warmed=False
        )

    @invariant()
    def no_limit_or_share_is_exceeded(self) -> None:
        """An endpoint refuses connections to hosts within their shares.

        Two hosts use the same slot.
        """
        assert len(self.open) <= LIMIT
        taken = Counter(self.owners[key] for key in self.open)
        assert max(taken.values(), default=0) <= LIMIT // len(SEATS), taken


TestLoans = LoanMachine.TestCase
TestLoans.settings = settings(stateful_step_count=30)
