"""Drive the pooling systems of one host in virtual time, with the rest faked."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

from mallowpass.core.calls import (
    Access,
    EndpointCall,
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    ExecuteRequest,
    KeepAliveCall,
    Report,
    Role,
)
from mallowpass.core.effects import (
    CloseConnection,
    Effect,
    OpenConnection,
    SendEndpoint,
)
from mallowpass.core.events import ConnectionOpened, EndpointReplied, Event
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.core.peering import PeerMessage
from mallowpass.core.services import (
    Database,
    Member,
    RequestClass,
    Service,
    ServiceVersion,
)
from mallowpass.core.signals import Signal
from mallowpass.core.systems.admission import Admission
from mallowpass.core.systems.loans import Loans
from mallowpass.core.systems.pooling import Pooling
from mallowpass.core.tables import (
    ConnectionRow,
    DatabaseRow,
    EndpointRow,
    HostRow,
    RequestRow,
    ServiceRow,
    SessionRow,
)

ADDRESS = "127.0.0.1:7001"
DATABASE = "claims-core/claims"
DOMAINS = (
    FailureDomain("casa-ainsebaa", "casa", 2),
    FailureDomain("tanger-ksar", "tanger", 2),
)
CLASSES = (
    RequestClass("caseworker", weight=3),
    RequestClass("portal"),
    RequestClass("reconciliation", patient=True),
)
CALL = ExecuteCall(sql="select 1")


class FakeRequests(System):
    """Note what the request path is told; send at once unless told to hold."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.granted: list[tuple[int, int]] = []  # (request, connection)
        self.replies: list[tuple[int, EndpointReply]] = []
        self.lost: list[tuple[int, str]] = []
        self.refused: list[tuple[int, str, float]] = []
        self.hold = False

    def on_connection_granted(
        self, request: RequestRow, connection: ConnectionRow
    ) -> None:
        self.granted.append((request.number, connection.number))
        if not self.hold:
            self._node.system(Pooling).send(connection, CALL)

    def on_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        self.replies.append((request.number, reply))
        if reply.last and not connection.transaction and not self.hold:
            self._node.system(Pooling).release(connection)

    def on_connection_lost(
        self, request: RequestRow, connection: ConnectionRow, why: str
    ) -> None:
        self.lost.append((request.number, why))

    def on_refused(
        self, request: RequestRow, code: str, why: str, retry_after: float
    ) -> None:
        self.refused.append((request.number, code, retry_after))


class FakeTransactions(System):
    """Note which transactions lost their connection."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.lost: list[tuple[str, str]] = []

    def on_connection_lost(self, connection: ConnectionRow, why: str) -> None:
        self.lost.append((connection.transaction, why))


class FakeMembership(System):
    """Know fixed hosts and collect what is sent to them."""

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self.handlers: dict[type[PeerMessage], Any] = {}
        self.sent: list[tuple[str, PeerMessage]] = []

    def live_hosts(self, failure_domain: str | None = None) -> list[HostRow]:
        hosts = self.tables.hosts.values()
        return [h for h in hosts if failure_domain in (None, h.failure_domain)]

    def send_or_dial(self, host_name: str, message: PeerMessage) -> bool:
        self.sent.append((host_name, message))
        return True

    def on_message(self, kind: type[PeerMessage], handler: Any) -> None:
        self.handlers[kind] = handler


class FakeNode(Node):
    """Find systems by name, so that fakes stand in for the real ones."""

    def system(self, kind: type[Any]) -> Any:
        systems = {cls.__name__.removeprefix("Fake"): s for cls, s in self._items()}
        return systems[kind.__name__.removeprefix("Fake")]

    def _items(self) -> Any:
        return self._systems.items()


SYSTEMS = (FakeMembership, Admission, Loans, Pooling, FakeRequests, FakeTransactions)


class PoolHost:
    """Run one host; answer its connections by hand."""

    def __init__(
        self,
        *,
        limit: int = 8,
        concurrent: int = 0,
        domain: str = "casa-ainsebaa",
        seat: int = 0,
        queue_length: int = 512,
        tuning: Tuning | None = None,
        now: float = 100.0,
        incarnation: int = 1,
        warmed: bool = True,
    ) -> None:
        self.now = now
        name = f"{domain}-{seat}"
        identity = HostIdentity(name, domain, seat, "", incarnation, DOMAINS)
        self.node = FakeNode(identity, tuning or Tuning(), seed=1, now=now)
        self.effects: list[Effect] = []
        self._numbers = itertools.count(1)
        self._add_service(limit, concurrent, queue_length)
        self.take(self.node.start(SYSTEMS))
        self.pooling = self.node.system(Pooling)
        self.loans = self.node.system(Loans)
        self.admission = self.node.system(Admission)
        self.requests: FakeRequests = self.node.system(FakeRequests)
        self.transactions: FakeTransactions = self.node.system(FakeTransactions)
        self.membership: FakeMembership = self.node.system(FakeMembership)
        if warmed:
            self.wait(self.node.tuning.loan + 2.0)

    @property
    def endpoint(self) -> EndpointRow:
        return self.node.tables.endpoints[ADDRESS]

    @property
    def pool(self) -> Any:
        return self.pooling.get_or_create_pool(ADDRESS)

    def _add_service(self, limit: int, concurrent: int, queue_length: int) -> None:
        member = Member("a", ADDRESS, "casa-ainsebaa")
        database = Database(
            "claims", (member,), limit, concurrent_statements=concurrent
        )
        service = Service(
            "claims-core", (database,), classes=CLASSES, queue_length=queue_length
        )
        tables = self.node.tables
        tables.services["claims-core"] = ServiceRow(
            ServiceVersion("claims-core", 1, service)
        )
        endpoint = EndpointRow(member, DATABASE)
        row = DatabaseRow(DATABASE, "claims-core", database, {ADDRESS: endpoint})
        row.primary = ADDRESS
        tables.databases[DATABASE] = row
        tables.endpoints[ADDRESS] = endpoint

    # -- Driving -------------------------------------------------------------

    def take(self, effects: list[Effect]) -> None:
        self.effects.extend(effects)

    def flush(self) -> None:
        """Collect the effects of calls made to systems directly."""
        self.take(self.node._take_effects())

    def handle(self, event: Event) -> None:
        self.flush()
        self.take(self.node.handle(self.now, event))

    def publish(self, signal: Signal) -> None:
        self.node.publish(signal)
        self.flush()

    def wait(self, seconds: float) -> None:
        """Let time pass and run each timer when it is due."""
        self.flush()
        end = self.now + seconds
        while (due := self.node.next_wake) is not None and due <= end:
            self.now = max(self.now, due)
            self.take(self.node.wake(self.now))
        self.now = end
        self.take(self.node.wake(end))

    def wait_until(self, condition: Callable[[], object], limit: float = 60.0) -> None:
        """Let time pass in small steps until a condition holds."""
        end = self.now + limit
        while not condition():
            assert self.now < end, "the condition did not come true in time"
            self.wait(0.1)

    def pause(self, seconds: float) -> None:
        """Let time pass with the host standing still, then wake it."""
        self.now += seconds
        self.take(self.node.wake(self.now))

    def request(
        self,
        class_name: str = "caseworker",
        caller: str = "one",
        deadline: float = 10.0,
        access: Access = Access.READ,
        kind: type[ExecuteRequest] = ExecuteRequest,
    ) -> RequestRow:
        """Make a request and acquire a connection for it."""
        number = next(self._numbers)
        stream = hash(caller) % 1000
        sessions = self.node.tables.sessions
        sessions.setdefault(stream, SessionRow(stream, "claims-core", caller))
        body = kind(request_id=str(number), database="claims", sql="", access=access)
        row = RequestRow(
            number,
            stream,
            body,
            DATABASE,
            access,
            self.now,
            self.now + deadline,
            request_class=class_name,
        )
        self.node.tables.requests[number] = row
        self.node.timers.advance(self.now)
        self.pooling.acquire(row, self.endpoint)
        self.flush()
        return row

    def report(self, connections: int, limit: int, **abilities: bool) -> None:
        """Have the endpoint report its connections and what it is able to do."""
        self.endpoint.report = Report(
            member="a",
            term=1,
            role=Role.PRIMARY,
            connections=connections,
            connection_limit=limit,
            **abilities,
        )
        self.endpoint.last_report_at = self.endpoint.last_reply_at = self.now

    # -- The endpoint's side -------------------------------------------------

    def all(self, kind: type[Effect]) -> list[Any]:
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def open_all(self) -> None:
        """Accept all openings that were not answered yet."""
        while self.node.tables.connections:
            opening = self.pool.opening.numbers()
            if not opening:
                return
            for number in opening:
                self.handle(ConnectionOpened(number))

    def closed(self) -> set[int]:
        return {effect.connection for effect in self.all(CloseConnection)}

    def opened(self) -> list[int]:
        return [effect.connection for effect in self.all(OpenConnection)]

    def calls(self, kind: type[EndpointCall] = EndpointCall) -> list[SendEndpoint]:
        return [s for s in self.all(SendEndpoint) if isinstance(s.call, kind)]

    def reply(
        self, sent: SendEndpoint, code: EndpointCode = EndpointCode.OK, **fields: Any
    ) -> None:
        answer = EndpointReply(sequence=sent.sequence, code=code, **fields)
        self.handle(EndpointReplied(sent.connection, answer))

    def wait_answering_keep_alives(self, seconds: float) -> None:
        """Let time pass at an endpoint whose statements run on meanwhile."""
        end = self.now + seconds
        while self.now < end:
            self.wait(0.1)
            asked = self.calls(KeepAliveCall)
            self.effects = [e for e in self.effects if e not in asked]
            for sent in asked:
                self.reply(sent)

    def reply_all(self) -> None:
        """Answer everything sent so far, and what that causes to be sent."""
        while sends := self.calls():
            self.effects = [e for e in self.effects if not isinstance(e, SendEndpoint)]
            for sent in sends:
                self.reply(sent)
