"""Tests of mallowpass.core.systems.loans."""

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
from mallowpass.core.systems.loans import MARGIN
from mallowpass.core.tables import HostRow
from tests.fakes.poolpath import ADDRESS, DOMAINS, PoolHost

# Most draws of a fault hit nobody: hosts that fail all the time lend nothing.
VICTIMS = st.sampled_from([0, 1, 2, 3, *[None] * 8])
TICK = 0.05  # seconds; also what a statement takes
LIMIT = 16  # four for each of four seats; two of them can be lent
SEATS = [(domain.name, seat) for domain in DOMAINS for seat in range(domain.hosts)]


def _host(place: tuple[str, int] = SEATS[0], **options: object) -> PoolHost:
    host = PoolHost(limit=LIMIT, domain=place[0], seat=place[1], **options)
    for domain, seat in SEATS:
        if (domain, seat) != place:
            name = f"{domain}-{seat}"
            host.node.tables.hosts[name] = HostRow(name, domain, seat, "")
    host.report(connections=0, limit=LIMIT)
    return host


def _sent(host: PoolHost, kind: type[PeerMessage]) -> list[tuple[str, PeerMessage]]:
    return [entry for entry in host.membership.sent if isinstance(entry[1], kind)]


def _tell(host: PoolHost, name: str, message: PeerMessage) -> None:
    host.node.timers.advance(host.now)
    host.membership.handlers[type(message)](name, message)
    host.flush()


def _use_up(host: PoolHost) -> tuple[str, LoanCall]:
    """Have a host use its whole share; return its first call for more."""
    while not _sent(host, LoanCall):
        host.request()
        host.open_all()
    host.membership.sent, calls = [], _sent(host, LoanCall)
    return calls[0]


def _lend_one(host: PoolHost, loan: str = "x") -> LoanAnswer:
    _tell(host, "tanger-ksar-0", LoanCall(loan, ADDRESS, 1, 7))
    ((_, answer),) = _sent(host, LoanAnswer)
    host.membership.sent.clear()
    return answer


# -- Borrowing ---------------------------------------------------------------


def test_a_host_asks_its_own_failure_domain_once_its_share_is_in_use():
    host = _host()
    name, call = _use_up(host)
    assert host.pool.own_count == host.pool.own_share == 4
    assert name == "casa-ainsebaa-1"
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 0, 0.0, call.call))
    host.wait_until(lambda: _sent(host, LoanCall))
    assert _sent(host, LoanCall)[0][0].startswith("tanger-ksar")


def test_a_borrowed_place_is_opened_with_a_short_life_and_given_back_unused():
    host = _host()
    name, call = _use_up(host)
    host.effects.clear()
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    (opening,) = host.all(OpenConnection)
    assert opening.time_to_live < host.node.tuning.loan
    host.open_all()
    host.reply_all()
    host.wait_until(lambda: host.reply_all() or _sent(host, LoanReturn))
    assert opening.connection in host.closed()
    assert host.pool.share == 4


def test_a_long_statement_on_a_borrowed_connection_is_kept_alive():
    """
    Symptom: reports on borrowed connections break off after a second or two.
    Sequence: the statement takes longer than a borrowed connection's time to live.
    Cause: nothing was sent on it meanwhile, so the endpoint closed it.
    """
    host = _host()
    host.report(connections=0, limit=LIMIT, keep_alive_while_busy=True)
    name, call = _use_up(host)
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
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


def test_a_loan_counts_from_when_its_call_was_sent():
    """
    Symptom: borrower and lender use the same places for a while.
    Sequence: the answer to the call is late by most of the loan's time.
    Cause: the loan counted from when the answer came.
    """
    host = _host()
    name, call = _use_up(host)
    host.wait(4.0)
    host.effects.clear()
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    assert host.all(OpenConnection) == []
    assert (name, LoanReturn(call.loan, ADDRESS)) in host.membership.sent


def test_an_answer_to_an_earlier_call_does_not_stretch_a_loan():
    """
    Symptom: a borrower goes on after the lender counts the loan as over.
    Sequence: the renewal's answer is lost; the first call's answer comes again.
    Cause: an answer matched by its loan alone.
    """
    host = _host()
    name, call = _use_up(host)
    answer = LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call)
    _tell(host, name, answer)
    host.open_all()
    (loan,) = host.pool.borrowed.values()
    ends_at = loan.ends_at
    host.wait_until(
        lambda: call.loan in [entry.loan for _, entry in _sent(host, LoanCall)]
    )
    _tell(host, name, answer)
    assert loan.ends_at == ends_at
    renewal = _sent(host, LoanCall)[-1][1]
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, renewal.call))
    assert loan.ends_at > ends_at


def test_nothing_is_sent_on_a_borrowed_connection_after_a_pause():
    """
    Symptom: a statement runs on a place that its owner has filled again.
    Sequence: the borrower stands still past the loan's end and wakes.
    Cause: the loan's end looked at by timers only.
    """
    host = _host()
    name, call = _use_up(host)
    host.requests.hold = True
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
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


def test_a_loan_in_use_is_asked_for_again_and_ends_without_an_answer():
    host = _host(tuning=Tuning(silence=30.0))
    name, call = _use_up(host)
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    host.open_all()
    (loan,) = host.pool.borrowed.values()
    (number,) = loan.numbers
    host.wait(loan.ends_at - host.now)
    assert call.loan in [entry.loan for _, entry in _sent(host, LoanCall)]
    assert number in host.closed() and not host.pool.borrowed


def test_a_loan_that_a_drain_gave_back_is_not_prolonged():
    """
    Symptom: KeyError from a timer of a host that drains.
    Sequence: a borrowed place can't be opened; the drain gives it back, and requests
    still wait when the loan would be prolonged.
    Cause: a loan's looks went on after its end, and took waiting requests for use.
    """
    host = _host()
    name, call = _use_up(host)
    host.effects.clear()
    _tell(host, name, LoanAnswer(call.loan, ADDRESS, 1, 5.0, call.call))
    (opening,) = host.all(OpenConnection)
    host.handle(ConnectionRefused(opening.connection, "refused"))
    host.publish(DrainBegan(host.now + 9.0))
    assert [message.loan for _, message in _sent(host, LoanReturn)] == [call.loan]
    host.membership.sent.clear()
    host.wait(host.node.tuning.loan)
    assert len(host.pool.queue) > 0
    assert call.loan not in [message.loan for _, message in _sent(host, LoanCall)]


def test_nothing_is_borrowed_where_connections_have_no_time_to_live():
    host = _host()
    host.report(connections=0, limit=LIMIT, time_to_live=False)
    for _ in range(12):
        host.request()
        host.open_all()
    assert _sent(host, LoanCall) == []


# -- Lending -----------------------------------------------------------------


def test_a_lender_waits_longer_than_the_loan_lasts():
    host = _host()
    answer = _lend_one(host)
    assert (answer.connections, answer.call) == (1, 7)
    assert host.pooling.share(host.endpoint) == 3
    host.wait(host.node.tuning.loan + MARGIN - 0.1)
    assert host.pooling.share(host.endpoint) == 3
    host.wait(0.2)
    assert host.pooling.share(host.endpoint) == 4


def test_a_returned_place_waits_for_the_borrowers_connections_to_die():
    """
    Symptom: the lender is refused within its share.
    Sequence: the borrower, cut off from the endpoint, gives its loan back.
    Cause: the place used at once; the closing never reached the endpoint.
    """
    host = _host()
    _lend_one(host)
    _tell(host, "tanger-ksar-0", LoanReturn("x", ADDRESS))
    host.wait(host.node.tuning.loan / 4)
    assert host.pooling.share(host.endpoint) == 3
    host.wait(host.node.tuning.loan / 2)
    assert host.pooling.share(host.endpoint) == 4


def test_a_lender_keeps_what_it_needs_itself():
    host = _host()
    for _ in range(3):
        host.request()
        host.open_all()
    host.reply_all()
    assert [_lend_one(host, name).connections for name in "ab"] == [1, 0]


def test_a_lender_keeps_what_it_needed_a_moment_ago():
    """
    Symptom: a busy host borrows back what it has just lent.
    Sequence: three connections are in use at once, then closed for a while.
    Cause: places taken for spare because they are not open right now.
    """
    host = _host()
    for _ in range(3):
        host.request()
        host.open_all()
    host.reply_all()
    host.pooling.close_idle(host.pool, 3)
    host.wait(1.0)
    host.report(connections=0, limit=LIMIT)
    assert [_lend_one(host, name).connections for name in "ab"] == [1, 0]


def test_a_host_never_lends_more_than_its_successor_would_withhold():
    host = _host()
    _tell(host, "tanger-ksar-0", LoanCall("x", ADDRESS, 4, 7))
    ((_, answer),) = _sent(host, LoanAnswer)
    assert answer.connections == host.pool.lendable_share == 2


def test_idle_connections_are_closed_first_and_lent_when_the_endpoint_saw_it():
    host = _host()
    for _ in range(4):
        host.request()
        host.open_all()
    host.reply_all()
    for _ in range(100):
        host.wait(0.1)
        host.reply_all()
    assert _lend_one(host, "a").connections == 0
    host.wait(1.0)
    assert _lend_one(host, "b").connections == 0
    host.report(connections=0, limit=LIMIT)
    assert _lend_one(host, "c").connections == 1


def test_a_restarted_lender_leaves_unused_what_it_may_have_lent():
    """
    Symptom: an endpoint's limit is passed after a host was restarted.
    Sequence: a host lends, dies, and its successor starts within the loan's time.
    Cause: loans are kept in memory only; the successor takes its whole share.
    """
    host = _host(warmed=False)
    assert host.pooling.share(host.endpoint) == 2
    assert _lend_one(host).connections == 0
    host.wait(host.node.tuning.loan + MARGIN + 0.1)
    assert host.pooling.share(host.endpoint) == 4


# -- Several hosts, one endpoint ---------------------------------------------


class Fleet(RuleBasedStateMachine):
    """Lose, delay and repeat messages; pause, cut off and restart hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.hosts = [_host(place) for place in SEATS]
        self.now = self.hosts[0].now
        self.open: dict[tuple[int, int], tuple[float, float]] = {}  # last call, life
        self.opening: list[tuple[int, OpenConnection, float]] = []
        self.owners: dict[tuple[int, int], int] = {}  # whose place it takes
        self.closing: list[tuple[int, int]] = []  # not seen by the endpoint yet
        self.statements: list[tuple[int, SendEndpoint]] = []
        self.messages: list[tuple[int, int, PeerMessage]] = []
        self.paused: set[int] = set()
        self.cut: set[int] = set()
        self.busy: set[int] = set()
        self.slow_opening = False
        self.slow_messages = False

    # -- What hosts do -------------------------------------------------------

    def carry(self) -> None:
        """Carry out the hosts' effects until there are none."""
        again = True
        while again:
            again = False
            for index, host in enumerate(self.hosts):
                host.flush()
                effects, host.effects = host.effects, []
                for effect in effects:
                    again = self.carry_one(index, effect) or again
                names = [f"{domain}-{seat}" for domain, seat in SEATS]
                for name, message in host.membership.sent:
                    self.messages.append((index, names.index(name), message))
                host.membership.sent = []

    def carry_one(self, index: int, effect: object) -> bool:
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
        """Return the seat on whose share a connection is opened."""
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
        """Run what is due now, at the endpoint and at hosts that are awake."""
        self.serve()
        for key, (called_at, life) in list(self.open.items()):
            if called_at + life <= self.now:
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
        self.carry()
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
        """Begin with one host that borrows all it can."""
        self.load({index})

    # -- Load ----------------------------------------------------------------

    @rule(busy=st.sets(st.integers(0, 3)))
    def load(self, busy: set[int]) -> None:
        """Have these hosts always have requests waiting, and the others none."""
        self.busy = busy
        self.wait(0.6)

    def serve(self) -> None:
        """Answer all statements, and have busy hosts ask again."""
        statements, self.statements = self.statements, []
        for index, sent in statements:
            self.answer(index, sent)
        for index in self.busy - self.paused:
            host = self.hosts[index]
            host.now = self.now
            for _ in range(8 - len(host.pool.queue)):
                host.request(deadline=60.0)
        self.carry()

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
            # It arrives whatever became of a paused host; the host hears later.
            self.open[index, effect.connection] = (self.now, effect.time_to_live)
            if index not in self.paused:
                host.now = self.now
                host.handle(ConnectionOpened(effect.connection))
        self.carry()

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
        _tell(self.hosts[target], f"{domain}-{seat}", message)
        self.carry()

    @precondition(lambda self: self.messages)
    @rule()
    def lose_messages(self) -> None:
        self.messages = self.messages[len(self.messages) // 2 :]

    @rule()
    def slow_down(self) -> None:
        """Have messages and openings wait for their rules, or end that."""
        self.slow_messages = not self.slow_messages
        self.slow_opening = self.slow_messages

    # -- Faults --------------------------------------------------------------

    @rule(index=VICTIMS)
    def pause(self, index: int | None) -> None:
        if index is not None:
            self.paused ^= {index}

    @rule(index=VICTIMS)
    def cut_off(self, index: int | None) -> None:
        """Cut a host off from the endpoint, or end that; closings arrive then."""
        if index is None:
            return
        self.cut ^= {index}
        if index not in self.cut:
            for key in [key for key in self.closing if key[0] == index]:
                self.closing.remove(key)
                self.open.pop(key, None)

    @rule(index=VICTIMS)
    @precondition(lambda self: not self.cut)
    def restart(self, index: int | None) -> None:
        """Replace a host; its sockets close with its process."""
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
    def the_limit_holds(self) -> None:
        """
        Symptom: the endpoint refuses connections, also to hosts within their share.
        Sequence: whatever the rules do.
        Cause: a place counted as free by one host and as its own by another.
        """
        assert len(self.open) <= LIMIT
        taken = Counter(self.owners[key] for key in self.open)
        assert max(taken.values(), default=0) <= LIMIT // len(SEATS), taken


TestFleet = Fleet.TestCase
TestFleet.settings = settings(stateful_step_count=30)
