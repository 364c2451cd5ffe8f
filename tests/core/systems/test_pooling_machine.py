"""Fuzz the pool of one host: recipients of replies, and counts of connections."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mallowpass.core.calls import ExecuteCall
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.events import ConnectionLost, ConnectionRefused
from mallowpass.core.tables import ConnectionState, RequestRow
from tests.fakes.poolpath import CALL, FakeRequests, PoolHost

PICK = st.integers(0, 1_000)
CLASSES = st.sampled_from(["caseworker", "portal", "reconciliation"])


class PoolMachine(RuleBasedStateMachine):
    """A pool whose replies arrive late, twice or on other connections, with faults."""

    def __init__(self) -> None:
        super().__init__()
        self.host = PoolHost(limit=12, queue_length=40)
        self.rows: dict[int, RequestRow] = {}
        self.sends: list[tuple[SendEndpoint, int]] = []  # with the request, or 0
        self.answered: list[SendEndpoint] = []

    def take_sends(self) -> None:
        """Record the calls that were sent, with the requests of statements."""
        host = self.host
        host.flush()
        for sent in host.calls():
            row = host.node.tables.connections.get(sent.connection)
            is_statement = isinstance(sent.call, ExecuteCall) and row is not None
            self.sends.append((sent, row.request if is_statement else 0))
        host.effects.clear()

    @initialize()
    def warm_up(self) -> None:
        """Start with open connections, all in use; keep-alives work during calls."""
        self.host.report(connections=0, limit=12, keep_alive_while_busy=True)
        for _ in range(2):
            self.request("caseworker", "a", 3)
            self.open_connections()

    @rule(class_name=CLASSES, caller=st.sampled_from("abc"), count=st.integers(1, 5))
    def request(self, class_name: str, caller: str, count: int) -> None:
        for _ in range(count):
            row = self.host.request(class_name, caller, deadline=20.0)
            self.rows[row.number] = row
        self.take_sends()

    @precondition(lambda self: self.host.pool.opening.entries)
    @rule()
    def open_connections(self) -> None:
        self.host.open_all()
        self.take_sends()

    @precondition(lambda self: self.host.pool.opening.entries)
    @rule(full=st.booleans())
    def refuse_connections(self, full: bool) -> None:
        for number in self.host.pool.opening.numbers():
            self.host.handle(ConnectionRefused(number, "no", limit_reached=full))
        self.take_sends()

    @precondition(lambda self: self.sends)
    @rule(pick=PICK, last=st.booleans(), again=st.booleans())
    def reply(self, pick: int, last: bool, again: bool) -> None:
        sent, request = self.sends[pick % len(self.sends)]
        requests: FakeRequests = self.host.requests
        before = len(requests.replies)
        for _ in range(1 + again):
            self.host.reply(sent, last=last)
        recipients = {number for number, _ in requests.replies[before:]}
        assert recipients <= {request}, "a reply was forwarded to another request"
        if last:
            self.sends.remove((sent, request))
        self.take_sends()

    @precondition(lambda self: self.rows)
    @rule(pick=PICK)
    def cancel(self, pick: int) -> None:
        row = list(self.rows.values())[pick % len(self.rows)]
        self.host.pooling.cancel(row)
        self.take_sends()

    @precondition(lambda self: self.host.pool.connections)
    @rule(pick=PICK, action=st.sampled_from(["pin", "send", "end", "reset", "discard"]))
    def use_transaction(self, pick: int, action: str) -> None:
        pooling, pool = self.host.pooling, self.host.pool
        pinned = list(pool.pinned.values())
        if action == "pin":
            self.host.requests.hold = not self.host.requests.hold
            for connection in list(pool.connections.values()):
                is_busy = connection.state is ConnectionState.BUSY
                has_no_call = connection.number not in pool.in_flight
                if is_busy and connection.request and has_no_call:
                    pooling.pin(connection, f"t{connection.number}")
        elif pinned:
            connection = pinned[pick % len(pinned)]
            if action == "send":
                pooling.send(connection, CALL, self.statement())
            elif action == "discard":
                pooling.discard(connection, "test")
            else:
                pooling.release(connection, reset=action == "reset")
        self.take_sends()

    def statement(self) -> RequestRow:
        """Return a request that is sent on a connection without being queued."""
        row = self.host.request()
        self.host.pooling.cancel(row)
        row.connection = 0
        return row

    @rule(pick=PICK)
    def lose_connection(self, pick: int) -> None:
        numbers = list(self.host.node.tables.connections)
        if numbers and pick % 3 == 0:
            self.host.handle(ConnectionLost(numbers[pick % len(numbers)], "lost"))
        self.take_sends()

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.4, 2.0]), pause=st.booleans())
    def pass_time(self, seconds: float, pause: bool) -> None:
        (self.host.pause if pause else self.host.wait)(seconds)
        self.take_sends()

    @precondition(lambda self: self.host.pool.in_flight.entries)
    @rule(pick=PICK)
    def check_connection(self, pick: int) -> None:
        """Check a connection with a call in flight, as for an overdue request."""
        numbers = self.host.pool.in_flight.numbers()
        connection = self.host.node.tables.connections[numbers[pick % len(numbers)]]
        self.host.node.timers.advance(self.host.now)
        self.host.pooling.is_responsive(connection, 0.1)
        self.take_sends()

    @invariant()
    def only_calls_in_flight_are_overdue(self) -> None:
        pool = self.host.pool
        assert set(pool.busy_keep_alives) <= set(pool.in_flight.entries)
        assert set(pool.overdue.entries) <= set(pool.in_flight.entries)

    @invariant()
    def each_connection_is_in_one_state(self) -> None:
        pool = self.host.pool
        counted = [row for row in pool.connections.values() if pool.is_active(row)]
        assert pool.active_count == len(counted)
        for number, row in pool.connections.items():
            states = [
                number in pool.idle,
                number in pool.pinned,
                number in pool.opening,
                row.state is ConnectionState.BUSY,
            ]
            assert sum(states) == 1, (row, states)
        users = [row.request for row in pool.connections.values() if row.request]
        queued = list(pool.queue.entries)
        assert not set(users) & set(queued)
        assert pool.own_count <= pool.own_share


TestPool = PoolMachine.TestCase
TestPool.settings = settings(stateful_step_count=60)
