"""Statements that an endpoint must run: queued, sent, tried again, given up.

What a caller is told follows from what is known: a statement that was not sent, or
that its endpoint refused, did not run; a write that was sent and not answered may
have run, and is never sent again.
"""

from __future__ import annotations

from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import TRIES_MAX, Attempts
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.leadership import LEADERSHIP_UNPROVEN
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.pauses import Pauses
from mallowpass.core.proxy.policy.admission import held_until, is_turned_away
from mallowpass.core.proxy.policy.dispatch import DispatchPass, urgency
from mallowpass.core.proxy.ratelimits.allowances import Allowances
from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.sampling import Sampling
from mallowpass.core.proxy.signals import (
    AttemptAbandoned,
    AttemptLost,
    AttemptRefused,
    ConnectionFreed,
    EndpointChanged,
    FloorReceived,
    PrimaryChanged,
    PrimaryConfirmed,
    WriteAcknowledged,
)
from mallowpass.core.proxy.stalls import WRITES_STALLED_MESSAGE, Stalls
from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    EndpointCall,
    EndpointReply,
    LogPosition,
    Rollback,
    SessionState,
    Statement,
)
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    EndpointRow,
    GroupRow,
    PreparedStatement,
    ProxySystem,
    RequestRow,
    SessionRow,
)
from mallowpass.core.proxy.timeouts import Timeouts
from mallowpass.core.proxy.transactions import Transactions

__all__ = ["Requests"]

# A statement is answered this long before its timeout, so that the answer still
# arrives within it; callers are a few milliseconds away.
ANSWER_MARGIN = 0.02
# Statements in line for each of which a connection is asked for, before it is looked
# whether any is idle. No more than that are opened at once.
ASKED_MAX = 4

FULL = "its endpoint has too much to do; try again in a moment"


class Requests(ProxySystem):
    """Run the statements of sessions at endpoints."""

    __slots__ = (
        "_allowances",
        "_answers",
        "_attempts",
        "_connections",
        "_durability",
        "_floors",
        "_load",
        "_members",
        "_timeouts",
        "_pauses",
        "_routing",
        "_sampling",
        "_stalls",
        "_transactions",
    )

    def start(self) -> None:
        """Subscribe to whatever may let waiting statements run."""
        node = self._node
        self._allowances = node.system(Allowances)
        self._answers = node.system(Answers)
        self._attempts = node.system(Attempts)
        self._connections = node.system(Connections)
        self._durability = node.system(Durability)
        self._floors = node.system(Floors)
        self._load = node.system(Load)
        self._members = node.system(Members)
        self._timeouts = node.system(Timeouts)
        self._pauses = node.system(Pauses)
        self._routing = node.system(Routing)
        self._sampling = node.system(Sampling)
        self._stalls = node.system(Stalls)
        self._transactions = node.system(Transactions)
        node.subscribe(AttemptLost, self._on_lost)
        node.subscribe(AttemptAbandoned, self._on_left)
        node.subscribe(AttemptRefused, self._on_attempt_refused)
        node.subscribe(ConnectionFreed, self._on_freed)
        node.subscribe(EndpointChanged, self._on_freed)
        node.subscribe(PrimaryChanged, self._on_group)
        node.subscribe(PrimaryConfirmed, self._on_group)
        node.subscribe(FloorReceived, self._on_group)

    # -- Arrival -------------------------------------------------------------

    def run(
        self,
        session: SessionRow,
        request_id: str,
        statement: Statement,
        access: Access,
        prepared: PreparedStatement | None = None,
    ) -> None:
        """Run a statement of a session, in its transaction if it has one."""
        transaction = session.transaction
        if transaction is not None:
            route = transaction.route
        else:
            route = self.tables.configuration.routes[session.database]
        expires = self.now + route.statement_timeout - ANSWER_MARGIN
        request = RequestRow(
            session=session,
            request_id=request_id,
            statement=statement,
            access=access,
            route=route,
            arrived_at=self.now,
            expires_at=expires,
            transaction=transaction,
            prepared=prepared,
        )
        session.request = request
        waited = self._pauses.max_input_delay
        if waited >= route.statement_timeout and _writes(request):
            why = f"this host was paused for {waited:.1f} s, and it may be as old"
            self._answers.refuse(request, Code.BUSY, why)
            return
        request.timers.append(self.timers.at(expires, self._timeouts.expire, request))
        if transaction is not None and transaction.connection is not None:
            self._transactions.send(request)
        else:
            self._begin(request)

    def _begin(self, request: RequestRow) -> None:
        """Have a statement wait for an endpoint once its customer's limit allows it."""

        def on_granted(until: float | None, why: str) -> None:
            if request.finished:
                if until is not None:
                    self._allowances.return_unused(request.customer, until)
            elif until is None:
                self._answers.refuse(request, Code.BUSY, why)
            else:
                request.granted_until = until
                self._wait(request)

        request.detail = "waits for its customer's limit"
        self._allowances.acquire(request.customer, on_granted)

    def abandon_session(self, session: SessionRow) -> None:
        """Forget a statement whose caller is gone; what was sent runs to its end."""
        request = session.request
        connection = request.connection
        self._answers.finish(request)
        if connection is None:
            if session.transaction is not None:
                self._answers.roll_back(session)
            return
        # Its replies find a finished request, and free the connection.
        self._attempts.detach(request)
        if session.transaction is not None:
            session.transaction.connection = None

    # -- Waiting -------------------------------------------------------------

    def _wait(self, request: RequestRow) -> None:
        group = self.tables.group(request.route.service)
        group.waiting.append(request)
        if len(group.waiting) > 1:
            group.waiting.sort(key=urgency)
        self._dispatch(group)
        until = held_until(request)
        waits = request.connection is None and not request.finished
        if waits and self.now < until:
            request.timers.append(self.timers.at(until, self._dispatch, group))

    def _dispatch(self, group: GroupRow) -> None:
        """Send what may be sent of the statements that wait, the most urgent first."""
        line = DispatchPass()
        any_full = self._routing.has_full_endpoint(group)
        for request in list(group.waiting):
            if request.finished or request.retry_at > self.now:
                continue
            # There is no connection for others of its customer, either.
            none = line.miss_count(request.customer) >= ASKED_MAX
            held = not any_full or self.now < held_until(request)
            if none and held and not self._routing.has_idle_connection(group):
                continue
            self._try(request, group, line)

    def _try(self, request: RequestRow, group: GroupRow, line: DispatchPass) -> None:
        if self._stalls.should_refuse(request, group):
            if self.now >= held_until(request):
                self._answers.refuse(request, Code.BUSY, WRITES_STALLED_MESSAGE)
            return
        floor = self._routing.required_floor(request, group)
        if self._waits_for_floor(request, group, floor):
            request.detail = "waits for a floor"
            return
        choice = line.lookup_miss(request.customer, floor)
        if choice is None:
            choice = self._routing.choose(request, group, floor)
            if choice.connection is None and not request.avoided_endpoints:
                line.record_miss(request.customer, floor, choice)
        request.detail = choice.why or request.detail
        if choice.connection is not None:
            group.waiting.remove(request)
            self._send(request, choice.connection, choice.floor)
        elif choice.full and is_turned_away(request, group.waiting, self.now):
            group.last_rejection_at = self.now
            self._answers.refuse(request, Code.BUSY, FULL)

    def _waits_for_floor(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> bool:
        """Tell whether a read should wait for a floor, to be served by a replica."""
        if request.primary_only:
            return False
        if floor is None:
            return self._sampling.is_coming(group)
        self._sampling.refresh(group, request.route.accepted_age)
        return False

    def _on_freed(self, signal: ConnectionFreed | EndpointChanged) -> None:
        self._dispatch(self.tables.group(signal.endpoint.entry.service))

    def _on_group(
        self, signal: PrimaryChanged | PrimaryConfirmed | FloorReceived
    ) -> None:
        if signal.group.waiting:
            self._dispatch(signal.group)

    # -- Sending -------------------------------------------------------------

    def _send(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        floor: LogPosition | None,
    ) -> None:
        request.floor = floor
        if request.transaction is not None:
            self._transactions.begin(request, connection, floor)
        else:
            self._send_single(request, connection, floor)

    def _send_single(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        floor: LogPosition | None,
    ) -> None:
        self._attempts.attach(request, connection)
        calls = self._attempts.setup_calls(request, connection)
        setup = len(calls)
        reads = request.access is Access.READ
        minimum = floor
        if reads and floor is None:
            minimum = self._floors.session_floor(request.session, request.route)
        calls.append(self._attempts.statement_call(request, minimum))
        group = self.tables.group(request.route.service)
        if reads and connection.endpoint.name == group.primary:
            # Was it still the primary? An old one answers reads like any replica,
            # from a log that lacks what its successor has committed.
            calls.append(EndpointCall(Begin()))
            calls.append(EndpointCall(Rollback()))
            if floor is None:
                # One that does not know of its successor accepts these as well. The
                # answers come while the read runs.
                self._floors.request_proof(
                    connection.endpoint, request.route, request.arrived_at
                )

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_single_replies(request, connection, replies, setup)

        self._connections.send(connection, calls, on_replies)

    # -- Replies -------------------------------------------------------------

    def _on_single_replies(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        replies: list[EndpointReply],
        setup: int,
    ) -> None:
        if any(reply.code is not Code.DONE for reply in replies[:setup]):
            connection.is_broken = True
        reply = replies[setup]
        guard = replies[setup + 1] if len(replies) > setup + 1 else None
        if request.connection is not connection:
            connection.endpoint.overdue = max(0, connection.endpoint.overdue - 1)
            self._connections.release(connection)
            return
        endpoint = connection.endpoint
        self._attempts.detach(request)
        if reply.code is Code.UNKNOWN_STATEMENT:
            connection.is_broken = True
        self._connections.release(connection)
        if guard is not None and guard.code is not Code.DONE:
            self._refused(request, endpoint, guard)
        elif reply.code is Code.DONE:
            self._load.record_latency(endpoint, self.now - request.sent_at)
            if request.access is Access.READ and request.floor is None:
                self._prove(request, endpoint, reply)
            else:
                self._on_done(request, endpoint, reply, guard is not None)
        else:
            self._on_failed(request, endpoint, reply)

    def _prove(
        self, request: RequestRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        """Answer a read at the primary once it is known that nobody else led."""

        def on_proof(sole: bool) -> None:
            if request.finished:
                return
            if sole:
                self._on_done(request, endpoint, reply, proves_primary=True)
            else:
                self._refused(request, endpoint, LEADERSHIP_UNPROVEN)

        self._floors.prove_freshness(
            endpoint, request.route, request.arrived_at, on_proof
        )

    def _on_done(
        self,
        request: RequestRow,
        endpoint: EndpointRow,
        reply: EndpointReply,
        proves_primary: bool,
    ) -> None:
        if request.floor is not None:
            self._floors.mark_caught_up(endpoint)
        group = self.tables.group(request.route.service)
        if request.access is Access.WRITE:
            self._durability.note_acknowledgement(endpoint, request.position_before)
            self._node.publish(WriteAcknowledged(group))
            self._floors.record_session_commit(
                request.session, endpoint, reply.position, request.sent_at
            )
        elif proves_primary and reply.position is not None:
            self._floors.record_sample(group, reply.position, request.sent_at)
        self._answers.forward_reply(request, reply, SessionState.IDLE)

    def _on_failed(
        self, request: RequestRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        if reply.code.is_not_run:
            self._refused(request, endpoint, reply)
        elif request.access is Access.READ and request.tries == 0:
            # It ran and failed; a read may well succeed elsewhere.
            self._refused(request, endpoint, reply)
        else:
            self._answers.forward_reply(request, reply, SessionState.IDLE)

    def _on_attempt_refused(self, signal: AttemptRefused) -> None:
        self._refused(signal.request, signal.endpoint, signal.reply)

    def _refused(
        self, request: RequestRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        """Try a statement again that did not run."""
        if reply.code is Code.UNAUTHENTICATED:
            # By a newer configuration than this host's: nobody will run it.
            self._answers.refuse(request, reply.code, reply.message)
            return
        if reply.code is not Code.UNREACHABLE:
            request.tries += 1
        request.detail = f"{endpoint.name}: {reply.code.value} {reply.message}".rstrip()
        self._node.count("requests_refused", code=reply.code.value)
        if reply.code is Code.NOT_PRIMARY:
            self._members.note_not_primary(endpoint)
        elif reply.code is Code.BEHIND and request.floor is not None:
            self._floors.mark_behind(endpoint)
            request.behind_count += 1
            request.avoided_endpoints.add(endpoint.name)
        elif reply.code is not Code.UNREACHABLE:  # else by another holder, at once
            request.avoided_endpoints.add(endpoint.name)
            request.retry_at = self.now + self._attempts.backoff(request)
        held = reply.code is Code.BUSY and self.now >= held_until(request)
        if held or request.tries >= TRIES_MAX:
            self._answers.refuse(request, Code.BUSY, request.detail)
            return
        if request.retry_at > self.now:
            group = self.tables.group(request.route.service)
            request.timers.append(
                self.timers.at(request.retry_at, self._dispatch, group)
            )
        if reply.code.is_not_run:
            self._wait(request)
        else:
            self._begin(request)  # it counts once more

    def _on_left(self, signal: AttemptAbandoned) -> None:
        self._begin(signal.request)

    # -- What goes wrong -----------------------------------------------------

    def _on_lost(self, signal: AttemptLost) -> None:
        """Act on the loss of the connection that a statement was sent on."""
        request, why = signal.request, signal.why
        endpoint = request.endpoint
        if request.connection is not None:
            request.endpoint.in_flight -= 1
            request.connection = None
        if request.finished:
            return
        transaction = request.transaction
        if transaction is not None:
            begun = transaction.connection is not None
            transaction.connection = None
            if begun:
                self._transactions.answer_lost(request, why)
                return
        elif request.access is Access.WRITE:
            self._answers.answer_in_doubt(request, why)
            return
        # A read, or a transaction that was not begun: nothing of it is kept.
        request.tries += 1
        request.avoided_endpoints.add(endpoint.name)
        request.detail = f"{endpoint.name}: {why}"
        if request.tries >= TRIES_MAX:
            self._answers.refuse(request, Code.ABORTED, request.detail)
        else:
            self._begin(request)


def _writes(request: RequestRow) -> bool:
    """Tell whether a statement has something kept that its caller may have given up."""
    if isinstance(request.statement, Commit):
        return request.transaction.has_written
    return request.access is Access.WRITE
