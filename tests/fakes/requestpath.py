"""A node with the request path alone: what is around it is played by the test.

Time is virtual. Grants, replies, reports and promotions come when the test says so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from mallowpass.core.calls import (
    Access,
    BeginRequest,
    CallerAnswer,
    CallerRequest,
    CommitRequest,
    ControlCall,
    ControlReply,
    EndpointCall,
    EndpointCode,
    EndpointReply,
    ExecuteRequest,
    LogPosition,
    OpenRequest,
    OutcomeState,
    Report,
    Role,
)
from mallowpass.core.effects import AnswerCaller, Effect
from mallowpass.core.events import (
    CallerConnected,
    CallerDisconnected,
    CallerRequested,
)
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.core.services import Database, Member, Service, ServiceVersion
from mallowpass.core.signals import EndpointReported, PrimaryChanged
from mallowpass.core.systems.draining import Draining
from mallowpass.core.systems.failover import Failover
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.pooling import Pooling
from mallowpass.core.systems.requests import Requests
from mallowpass.core.systems.retries import Retries
from mallowpass.core.systems.routing import Routing
from mallowpass.core.systems.sessions import Sessions
from mallowpass.core.systems.transactions import Transactions
from mallowpass.core.tables import (
    ConnectionRow,
    ConnectionState,
    DatabaseRow,
    EndpointRow,
    GroupState,
    RequestRow,
    ServiceRow,
)
from mallowpass.errors import ErrorCode

SERVICE = "claims-core"
DATABASE = "claims"
KEY = f"{SERVICE}/{DATABASE}"
TOKEN_KEY = b"a key of the fleet for its tokens"
DOMAINS = (
    FailureDomain("casa-ainsebaa", "west", 2),
    FailureDomain("tanger-ksar", "west", 2),
    FailureDomain("agadir-anza", "south", 2),
)


@dataclass(slots=True)
class Sent:
    """Hold one call that went out on a connection."""

    connection: ConnectionRow
    call: EndpointCall
    request: RequestRow


@dataclass(slots=True)
class Control:
    """Hold one control call that waits for the test's reply."""

    address: str
    call: ControlCall
    callback: Callable[[ControlReply | None], None]


@dataclass(slots=True)
class Waiter:
    """Hold who waits for a position to be held."""

    position: LogPosition
    callback: Callable[[bool], None] | None

    def cancel(self) -> None:
        self.callback = None

    def resolve(self, held: bool) -> None:
        callback, self.callback = self.callback, None
        if callback is not None:
            callback(held)


class FakePooling(System):
    """Grant at once, or when the test says so."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.granting = True
        self.connected = True
        self.full: dict[str, float] = {}  # address -> after which time to come back
        self.answering = False  # beside the calls in flight
        self.patient = False
        self.queue: list[tuple[RequestRow, str]] = []
        self.sent: list[Sent] = []
        self.released: list[tuple[int, bool]] = []
        self.discarded: list[int] = []
        self.suspected: list[int] = []

    def acquire(self, request: RequestRow, endpoint: EndpointRow) -> None:
        if endpoint.address in self.full:
            code = ErrorCode.QUEUE_FULL.code
            retry_after = self.full[endpoint.address]
            requests = self._node.system(Requests)
            requests.on_refused(request, code, "a long line", retry_after)
            return
        self.queue.append((request, endpoint.address))
        if self.granting:
            self.grant()

    def grant(self) -> None:
        while self.queue:
            request, address = self.queue.pop(0)
            number = self._node.next_number()
            connection = ConnectionRow(
                number, address, ConnectionState.BUSY, self.now, self.now
            )
            connection.request = request.number
            self.tables.connections[number] = connection
            request.connection = number
            self._node.system(Requests).on_connection_granted(request, connection)

    def cancel(self, request: RequestRow) -> None:
        self.queue = [entry for entry in self.queue if entry[0] is not request]

    def send(
        self,
        connection: ConnectionRow,
        call: EndpointCall,
        request: RequestRow | None = None,
    ) -> int:
        if request is not None:
            connection.request = request.number
        connection.sequence += 1
        row = self.tables.requests[connection.request]
        self.sent.append(Sent(connection, call, row))
        return connection.sequence

    def release(self, connection: ConnectionRow, reset: bool = False) -> None:
        self.released.append((connection.number, reset))
        self.tables.connections.pop(connection.number, None)

    def pin(self, connection: ConnectionRow, transaction: str) -> None:
        connection.transaction = transaction
        connection.state = ConnectionState.PINNED

    def discard(self, connection: ConnectionRow, why: str) -> None:
        self.discarded.append(connection.number)
        self.tables.connections.pop(connection.number, None)

    def is_responsive(self, connection: ConnectionRow, within: float) -> bool:
        return self.answering

    def check_older_idle(self, connection: ConnectionRow) -> None:
        self.suspected.append(connection.number)

    def close_unresponsive(self, connection: ConnectionRow) -> None:
        self.discard(connection, "silent")

    def is_patient(self, request: RequestRow) -> bool:
        return self.patient

    def find_pool(self, address: str) -> SimpleNamespace:
        return SimpleNamespace(
            active_count=0, queue=(), share=8, connections=self.connected
        )


class FakeLiveness(System):
    """Tell what the test's reports prove."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.controls: list[Control] = []
        self.learning: list[Callable[[LogPosition | None], None]] = []
        self.waiters: list[Waiter] = []
        self.term_starts: dict[int, int] = {}
        self.reach: dict[str, float] = {}
        self.aged: LogPosition | None = None

    def control_call(
        self,
        address: str,
        call: ControlCall,
        callback: Callable[[ControlReply | None], None],
        timeout: float,
    ) -> None:
        self.controls.append(Control(address, call, callback))

    def look_up_floor(
        self, database: DatabaseRow, callback: Callable[[LogPosition | None], None]
    ) -> None:
        self.learning.append(callback)

    def age_floor(self, database: DatabaseRow, age: float) -> LogPosition | None:
        return self.aged

    def wait_for_majority(
        self,
        database: DatabaseRow,
        position: LogPosition,
        callback: Callable[[bool], None],
    ) -> Waiter:
        waiter = Waiter(position, callback)
        self.waiters.append(waiter)
        self.settle(database)
        return waiter

    def settle(self, database: DatabaseRow) -> None:
        for waiter in list(self.waiters):
            if waiter.position.term < database.term:
                waiter.resolve(False)
            elif waiter.position <= database.majority_position:
                waiter.resolve(True)
        self.waiters = [entry for entry in self.waiters if entry.callback is not None]

    def has_reached(self, endpoint: EndpointRow, position: LogPosition) -> bool:
        return endpoint.report is not None and endpoint.report.applied >= position

    def predicted_replica_wait(
        self, endpoint: EndpointRow, position: LogPosition
    ) -> float | None:
        if self.has_reached(endpoint, position):
            return 0.0
        return self.reach.get(endpoint.name)

    def is_floor_lost(self, database: DatabaseRow, position: LogPosition) -> bool:
        return self._is_dropped(database.term, position)

    def contains(
        self, database: DatabaseRow, end: LogPosition, position: LogPosition
    ) -> bool:
        known = end.term in self.term_starts
        return known and end >= position and not self._is_dropped(end.term, position)

    def _is_dropped(self, end_term: int, position: LogPosition) -> bool:
        return any(
            position.term < term <= end_term and start <= position.position
            for term, start in self.term_starts.items()
        )


class FakeFailover(System):
    """Note the suspicions."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.suspected: list[str] = []

    def probe_primary(self, address: str, why: str) -> None:
        self.suspected.append(address)


class FakeDraining(System):
    """Drain when the test says so."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.is_draining = False
        self.is_closing = False


@dataclass
class RequestPath:
    """Drive the request path of one host."""

    tuning: Tuning = field(default_factory=Tuning)
    name: str = "casa-1"
    now: float = 100.0
    answers: list[tuple[int, CallerAnswer]] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)

    def __post_init__(self) -> None:
        identity = HostIdentity(
            self.name,
            "casa-ainsebaa",
            0,
            "127.0.0.1:1",
            1,
            DOMAINS,
            token_key=TOKEN_KEY,
        )
        self.node = Node(identity, self.tuning, seed=7, now=self.now)
        self.pooling = FakePooling(self.node)
        self.liveness = FakeLiveness(self.node)
        self.failover = FakeFailover(self.node)
        self.draining = FakeDraining(self.node)
        self.node._systems.update(
            {
                Pooling: self.pooling,
                Liveness: self.liveness,
                Failover: self.failover,
                Draining: self.draining,
            }
        )
        self._make_rows()
        self.node.start([Routing, Retries, Requests, Transactions, Sessions])
        self.requests = self.node.system(Requests)
        self.retries = self.node.system(Retries)
        self.routing = self.node.system(Routing)
        self.report("m1", (1, 1), role=Role.PRIMARY)
        self.report("m2", (1, 1))
        self.report("m3", (1, 1))

    def _make_rows(self) -> None:
        members = tuple(
            Member(f"m{number}", f"127.0.0.1:{number}", domain.name)
            for number, domain in enumerate(DOMAINS, 1)
        )
        database = Database(DATABASE, members, 20)
        service = Service(SERVICE, (database,))
        tables = self.node.tables
        tables.services[SERVICE] = ServiceRow(ServiceVersion(SERVICE, 1, service))
        self.database = DatabaseRow(KEY, SERVICE, database)
        for member in members:
            row = EndpointRow(member, KEY)
            tables.endpoints[member.address] = row
            self.database.endpoints[member.address] = row
        self.database.term = 1
        self.database.majority_position = LogPosition(1, 1)
        self.database.primary = "127.0.0.1:1"
        self.database.state = GroupState.SERVING
        tables.databases[KEY] = self.database

    def endpoint(self, name: str) -> EndpointRow:
        return next(row for row in self.database.endpoints.values() if row.name == name)

    # -- Callers -------------------------------------------------------------

    def open(self, stream: int = 1, caller: str = "hind", token: bytes = b"") -> None:
        self._handle(CallerConnected(stream))
        self.ask(
            stream,
            OpenRequest(
                request_id=f"open-{stream}",
                service=SERVICE,
                caller=caller,
                token=token,
            ),
        )

    def open_known(self, stream: int = 1, floor: tuple[int, int] = (1, 1)) -> None:
        """Open a session whose floor is known."""
        self.open(stream, caller=f"caller-{stream}")
        session = self.node.tables.sessions[stream]
        sessions = self.node.system(Sessions)
        sessions.raise_floor(session, KEY, LogPosition(*floor))

    def leave(self, stream: int) -> None:
        self._handle(CallerDisconnected(stream))

    def ask(self, stream: int, request: CallerRequest) -> None:
        self._handle(CallerRequested(stream, request))

    def read(self, stream: int, name: str, **fields: object) -> None:
        self._execute(stream, name, Access.READ, **fields)

    def write(self, stream: int, name: str, **fields: object) -> None:
        fields.setdefault("unrepeatable", True)
        self._execute(stream, name, Access.WRITE, **fields)

    def _execute(
        self, stream: int, name: str, access: Access, **fields: object
    ) -> None:
        fields.setdefault("database", DATABASE)
        fields.setdefault("sql", "statement")
        self.ask(stream, ExecuteRequest(request_id=name, access=access, **fields))

    def begin(self, stream: int, name: str, access: Access = Access.WRITE) -> str:
        """Open a transaction on the primary, and return its name."""
        self.ask(
            stream, BeginRequest(request_id=name, database=DATABASE, access=access)
        )
        self.reply(applied=(1, 1))
        return self.answer(stream).transaction

    def commit(
        self, stream: int, name: str, transaction: str, deadline: float | None = None
    ) -> None:
        self.ask(
            stream,
            CommitRequest(request_id=name, transaction=transaction, deadline=deadline),
        )

    def answer(self, stream: int = 1) -> CallerAnswer:
        """Return the newest answer on a stream."""
        return [answer for number, answer in self.answers if number == stream][-1]

    def answered(self, name: str) -> list[CallerAnswer]:
        return [answer for _, answer in self.answers if answer.request_id == name]

    # -- Endpoints -----------------------------------------------------------

    @property
    def sent(self) -> Sent:
        """Return the newest call that went out."""
        return self.pooling.sent[-1]

    def reply(
        self,
        code: EndpointCode = EndpointCode.OK,
        applied: tuple[int, int] = (1, 1),
        sent: Sent | None = None,
        **fields: object,
    ) -> None:
        sent = sent or self.sent
        reply = EndpointReply(
            sequence=sent.connection.sequence,
            code=code,
            applied=LogPosition(*applied),
            **fields,
        )
        self.node.system(Requests).on_reply(sent.request, sent.connection, reply)
        self._collect()

    def lose(self, sent: Sent | None = None) -> None:
        sent = sent or self.sent
        self.node.tables.connections.pop(sent.connection.number, None)
        requests = self.node.system(Requests)
        requests.on_connection_lost(sent.request, sent.connection, "broken")
        self._collect()

    def grant(self) -> None:
        self.pooling.granting = True
        self.pooling.grant()
        self._collect()

    def report(
        self, name: str, applied: tuple[int, int], role: Role = Role.REPLICA, **more
    ) -> None:
        endpoint = self.endpoint(name)
        place = LogPosition(*applied)
        endpoint.report = Report(
            member=name,
            term=place.term,
            role=role,
            received=place,
            applied=place,
            **more,
        )
        endpoint.last_report_at = self.now
        self.node.publish(EndpointReported(endpoint.address))
        self._collect()

    def hold(self, term: int, position: int) -> None:
        """Have a majority hold the log up to a place."""
        self.database.majority_position = LogPosition(term, position)
        self.liveness.settle(self.database)
        self._collect()

    def lose_primary(self) -> None:
        self.database.primary = ""
        self.database.state = GroupState.SUSPECTED
        self.node.publish(PrimaryChanged(KEY))
        self._collect()

    def promote(self, name: str, term: int, start: int) -> None:
        self.database.primary = self.endpoint(name).address
        self.database.term = term
        self.database.state = GroupState.SERVING
        self.database.majority_position = max(
            self.database.majority_position, LogPosition(term, 0)
        )
        self.liveness.term_starts[term] = start
        self.report(name, (term, start), Role.PRIMARY)
        self.node.publish(PrimaryChanged(KEY))
        self.liveness.settle(self.database)
        self._collect()

    def learn(self, floor: tuple[int, int] | None) -> None:
        """Answer all who learn a floor."""
        waiting, self.liveness.learning = self.liveness.learning, []
        for callback in waiting:
            callback(None if floor is None else LogPosition(*floor))
        self._collect()

    def look_up(
        self,
        state: OutcomeState | None,
        position: tuple[int, int] = (0, 0),
        rows: object = None,
    ) -> ControlCall:
        """Answer the oldest look-up; with no state the answer is lost."""
        control = self.liveness.controls.pop(0)
        reply = None
        if state is not None:
            reply = ControlReply(
                sequence=1,
                code=EndpointCode.OK,
                outcome=state,
                outcome_position=LogPosition(*position),
                outcome_rows=rows,
            )
        control.callback(reply)
        self._collect()
        return control.call

    # -- Time ----------------------------------------------------------------

    def advance(self, seconds: float) -> None:
        """Move the time on, waking the node whenever it asks for it."""
        end = self.now + seconds
        while (due := self.node.next_wake) is not None and due <= end:
            self.now = max(self.now, due)
            self._take(self.node.wake(self.now))
        self.now = end
        self._take(self.node.wake(end))

    def _handle(self, event: object) -> None:
        self._take(self.node.handle(self.now, event))

    def _collect(self) -> None:
        self._take(self.node.wake(self.now))

    def _take(self, effects: list[Effect]) -> None:
        self.effects += effects
        for effect in effects:
            if isinstance(effect, AnswerCaller):
                self.answers.append((effect.stream, effect.answer))
