"""Statements that an endpoint must run: queueing, sending, retries and final answers.

A statement that was not sent, or that its endpoint refused, did not run and may be
retried. A write that was sent and not answered may have run: it is never sent again,
and its caller is answered that the result is in doubt.
"""

from __future__ import annotations

import math

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import TRIES_MAX, Attempts
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.fairsharing import FairSharing
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.leadership import LEADERSHIP_UNPROVEN
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.pauses import Pauses
from mallowpass.core.proxy.policy.admission import (
    HOLD_SHARE,
    MOST_URGENT,
    held_until,
    is_turned_away,
)
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
    WritesReleased,
)
from mallowpass.core.proxy.stalls import WRITES_STALLED_MESSAGE, Stalls
from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
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
from mallowpass.core.proxy.writeholds import WRITES_HELD_MESSAGE, HoldReason, WriteHolds
from mallowpass.core.proxy.writeleases import WRITES_UNPROVEN_MESSAGE, WriteLeases
from mallowpass.core.proxy.writers import NOT_A_WRITER_MESSAGE, Writers

__all__ = ["Requests"]

# Seconds before its timeout at which a statement is answered, so that the answer still
# arrives in time; callers are a few milliseconds away.
ANSWER_MARGIN = 0.02
# Once this many statements of a customer have found no connection in one pass over the
# queue, further ones are tried only while a connection is idle. Each statement that
# finds none requests one, and no more connections than this are opened at once.
MISSES_MAX = 4

# Share of its timeout within which a write that waits for a new primary must be sent. A
# new primary gets all such writes at once: a late one would end in doubt.
SEND_SHARE = 0.7

# Seconds for which a host holds its writes once a holder has refused one. A write that
# is sent afterwards is refused again, if the holder still holds writes.
FORWARDED_HOLD_DURATION = 0.25

# Least time in seconds between checks of a queue that does not drain. A pass over 400
# waiting statements takes 2 ms.
CHECK_INTERVAL_MIN = 0.05

ENDPOINT_FULL_REASON = "its endpoint is overloaded"
ENDPOINT_FULL_MESSAGE = f"{ENDPOINT_FULL_REASON}; try again in a moment"


class Requests(ProxySystem):
    """Run the statements of sessions at endpoints."""

    __slots__ = (
        "_admission",
        "_allowances",
        "_answers",
        "_attempts",
        "_check_times",
        "_connections",
        "_dispatch_again",
        "_dispatching",
        "_durability",
        "_fair_sharing",
        "_floors",
        "_load",
        "_members",
        "_lead_members",
        "_timeouts",
        "_pauses",
        "_routing",
        "_sampling",
        "_stalls",
        "_transactions",
        "_write_holds",
        "_write_leases",
        "_writers",
    )

    def start(self) -> None:
        """Subscribe to the signals upon which waiting statements may be sent."""
        node = self._node
        # By service: when its queue is checked next while statements wait.
        self._check_times: dict[str, float] = {}
        # Services whose queue is being dispatched, and those to dispatch once more.
        self._dispatching: set[str] = set()
        self._dispatch_again: set[str] = set()
        self._admission = node.system(AdmissionControl)
        self._allowances = node.system(Allowances)
        self._answers = node.system(Answers)
        self._attempts = node.system(Attempts)
        self._connections = node.system(Connections)
        self._durability = node.system(Durability)
        self._fair_sharing = node.system(FairSharing)
        self._floors = node.system(Floors)
        self._load = node.system(Load)
        self._members = node.system(Members)
        self._lead_members = node.system(LeadMembers)
        self._timeouts = node.system(Timeouts)
        self._pauses = node.system(Pauses)
        self._routing = node.system(Routing)
        self._sampling = node.system(Sampling)
        self._stalls = node.system(Stalls)
        self._transactions = node.system(Transactions)
        self._write_holds = node.system(WriteHolds)
        self._write_leases = node.system(WriteLeases)
        self._writers = node.system(Writers)
        node.subscribe(AttemptLost, self._on_attempt_lost)
        node.subscribe(AttemptAbandoned, self._on_attempt_abandoned)
        node.subscribe(AttemptRefused, self._on_attempt_refused)
        node.subscribe(ConnectionFreed, self._on_endpoint_signal)
        node.subscribe(EndpointChanged, self._on_endpoint_signal)
        node.subscribe(PrimaryChanged, self._on_group_signal)
        node.subscribe(PrimaryConfirmed, self._on_group_signal)
        node.subscribe(FloorReceived, self._on_group_signal)
        node.subscribe(WritesReleased, self._on_group_signal)

    # -- Arrival -------------------------------------------------------------

    def run(
        self,
        session: SessionRow,
        request_id: str,
        statement: Statement,
        access: Access,
        prepared: PreparedStatement | None = None,
    ) -> None:
        """Run a statement of a session, in the session's transaction if one is open."""
        transaction = session.transaction
        if transaction is not None:
            route = transaction.route
        else:
            route = self.tables.configuration.routes[session.database]
        expires_at = self.now + route.statement_timeout - ANSWER_MARGIN
        request = RequestRow(
            session=session,
            request_id=request_id,
            statement=statement,
            access=access,
            route=route,
            arrived_at=self.now,
            expires_at=expires_at,
            transaction=transaction,
            prepared=prepared,
        )
        session.request = request
        waited = self._pauses.max_input_delay
        if waited >= route.statement_timeout and request.commits_writes:
            why = (
                f"this host was paused for {waited:.1f} s, and the statement may have"
                " waited as long"
            )
            self._answers.refuse(request, Code.BUSY, why)
            return
        request.timers.append(
            self.timers.at(expires_at, self._timeouts.expire, request)
        )
        if transaction is None or transaction.connection is None:
            self._admit(request)
        else:
            self._fair_sharing.charge_request(request)
            self._transactions.send(request)

    def _is_held(self, request: RequestRow) -> bool:
        primary = self.tables.group(request.route.service).primary_row
        if primary is None or not request.needs_primary:
            return False
        return self._write_holds.is_held(primary)

    def _must_await_permission(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether a commit waits for a proof that it can be acknowledged."""
        if self._stalls.must_wait(request, group):
            return True
        commits = request.access is Access.WRITE and request.transaction is None
        if not commits or self._writers.must_forward(group):
            return False
        return self._write_leases.must_wait(group)

    def _admit(self, request: RequestRow) -> None:
        """Queue a statement once its customer's rate limit allows it."""
        # A read that was sent and lost may run: a refusal would say that it did not.
        if not request.tries and self._is_refused_on_arrival(request):
            return
        self._acquire_grant(request)

    def _acquire_grant(self, request: RequestRow) -> None:
        def on_granted(until: float | None, why: str) -> None:
            if request.finished:
                if until is not None:
                    self._allowances.return_unused(request.customer, until)
            elif until is None:
                self._answers.refuse(request, Code.BUSY, why)
            else:
                request.granted_until = request.start_until = until
                self._enqueue(request)

        # Each run counts: a statement that ran before is tagged and charged once more.
        self._fair_sharing.leave(request)
        request.detail = "waits for its customer's rate limit"
        self._allowances.acquire(request.customer, on_granted)

    def _is_refused_on_arrival(self, request: RequestRow) -> bool:
        """Refuse a statement that would be refused as similar ones were just now."""
        group = self.tables.group(request.route.service)
        why = self._lead_members.refusal_on_arrival(request, group)
        if why:
            self._answers.refuse(request, Code.BUSY, why)
            return True
        if not self._admission.is_active or not group.waiting:
            return False
        if not self._waits_for_load(request, group):
            return False
        if self._routing.has_free_connection(request, group):
            return False
        customer = request.customer
        if customer is not None and all(r.customer != customer for r in group.waiting):
            # Queued, it has a connection opened for its customer, if there is room.
            return False
        why = self._admission.refusal_on_arrival(request, group)
        if why:
            self._answers.refuse(request, Code.BUSY, why)
        return bool(why)

    def abandon_session(self, session: SessionRow) -> None:
        """Abandon the statement of a closed session; if it was sent, it runs on."""
        request = session.request
        connection = request.connection
        self._answers.finish(request)
        if connection is None:
            if session.transaction is not None:
                self._answers.roll_back(session)
            return
        # As the request is finished, its replies only release the connection.
        self._attempts.detach(request)
        if session.transaction is not None:
            session.transaction.connection = None

    # -- Waiting -------------------------------------------------------------

    def _enqueue(self, request: RequestRow) -> None:
        group = self.tables.group(request.route.service)
        self._fair_sharing.enter_request(request)
        request.queued_at = self.now
        group.waiting.append(request)
        if len(group.waiting) > 1:
            group.waiting.sort(key=urgency)
        request.waits_for_load = False
        self._dispatch(group)
        self._plan_check(group)
        until = held_until(request)
        is_waiting = request.connection is None and not request.finished
        if is_waiting and self.now < until:
            request.timers.append(self.timers.at(until, self._dispatch, group))
        if is_waiting:
            self._admission.observe_wait(request, group)

    def _plan_check(self, group: GroupRow) -> None:
        """Dispatch a queue again in a while, also if it stops draining.

        A queue that doesn't drain causes no event upon which its expected waits would
        be compared with what its statements can use.
        """
        service = group.service
        if not group.waiting or not self._admission.is_active:
            return
        if self._check_times.get(service, 0.0) > self.now:
            return
        interval = min(r.route.objective for r in group.waiting) * HOLD_SHARE
        at = self.now + max(CHECK_INTERVAL_MIN, interval)
        self._check_times[service] = at
        self.timers.at(at, self._check_queue, group)

    def _check_queue(self, group: GroupRow) -> None:
        self._dispatch(group)
        self._plan_check(group)

    def _dispatch(self, group: GroupRow) -> None:
        """Send the waiting statements that can be sent, the most urgent first.

        A refusal lets its session run its next statement, which dispatches the queue
        again. With admission control this follows the pass, as a nested pass for each
        refusal would exceed the recursion limit.
        """
        if not self._admission.is_active:
            self._dispatch_once(group)
            return
        service = group.service
        self._dispatch_again.add(service)
        if service in self._dispatching:
            return
        self._dispatching.add(service)
        try:
            while service in self._dispatch_again:
                self._dispatch_again.remove(service)
                self._dispatch_once(group)
        finally:
            self._dispatching.remove(service)

    def _dispatch_once(self, group: GroupRow) -> None:
        dispatch_pass = DispatchPass()
        any_full = self._routing.has_full_endpoint(group)
        order = self._fair_sharing.request_order(
            group, lambda request: self._can_be_sent(request, group)
        )
        for request in order:
            if request.finished or request.connection is not None:
                continue
            if request.start_until == -math.inf:
                continue  # it left the queue in a nested pass
            if request.retry_at > self.now:
                request.waits_for_load = False
                continue
            # Further statements of the customer would find no connection either. A
            # statement that may have to be refused is tried nevertheless.
            is_missed = dispatch_pass.miss_count(request.customer) >= MISSES_MAX
            may_refuse = any_full or self._admission.is_active
            may_wait = not may_refuse or self.now < held_until(request)
            if is_missed and may_wait and not self._routing.has_idle_connection(group):
                request.waits_for_load = True
                continue
            self._try_to_send(request, group, dispatch_pass)
        for request, why in self._admission.turned_away(group, self._waits_for_load):
            group.last_rejection_at = self.now
            self._answers.refuse(request, Code.BUSY, why)
        self._admission.note_queue(group)

    def _waits_for_load(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether a statement needs nothing but a connection to be sent.

        Statements that wait for a floor, for a primary or for its writes to go on are
        not refused for the load.
        """
        if request.was_held or request.retry_at > self.now or self._is_held(request):
            return False
        primary = group.primary_row
        if request.primary_only and (
            primary is None
            or group.is_suspected
            or self._stalls.is_stalled(group)
            or not self._connections.can_reach(primary)
        ):
            return False
        if self._must_await_permission(request, group):
            return False
        floor = self._routing.required_floor(request, group)
        if floor is None and not request.primary_only:
            return False
        return self._routing.has_candidates(request, group, floor)

    def _can_be_sent(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether a waiting statement needs only a connection."""
        if request.retry_at > self.now or self._is_held(request):
            return False
        if self._must_await_permission(request, group):
            return False
        floor = self._routing.required_floor(request, group)
        return not self._waits_for_floor(request, group, floor)

    def _try_to_send(
        self, request: RequestRow, group: GroupRow, dispatch_pass: DispatchPass
    ) -> None:
        request.waits_for_load = False
        if self._is_held(request):
            request.detail = WRITES_HELD_MESSAGE
            request.was_held = True
            return
        if self._must_await_permission(request, group):
            request.was_held = True
            if self._writers.is_refused(group):
                self._answers.refuse(request, Code.BUSY, NOT_A_WRITER_MESSAGE)
                return
            if self._write_leases.is_denied(group) and self.now >= held_until(request):
                self._answers.refuse(request, Code.BUSY, WRITES_UNPROVEN_MESSAGE)
            return
        if self._stalls.should_refuse(request, group):
            if self.now >= held_until(request):
                self._answers.refuse(request, Code.BUSY, WRITES_STALLED_MESSAGE)
            return
        floor = self._routing.required_floor(request, group)
        if self._waits_for_floor(request, group, floor):
            request.detail = "waits for a floor"
            if self._is_cut_off(request, group, floor):
                self._refuse_for_load(request, group, request.detail)
            return
        is_guarded = self._routing.is_guarded(request, group)
        choice = None
        if not is_guarded:
            choice = dispatch_pass.lookup_miss(request.customer, floor)
        if choice is None:
            choice = self._routing.choose(request, group, floor)
            is_same_for_all = not (request.avoided_endpoints or is_guarded)
            if choice.connection is None and is_same_for_all:
                dispatch_pass.record_miss(request.customer, floor, choice)
        request.detail = choice.why or request.detail
        request.waits_for_load = choice.connection is None
        if choice.connection is not None and (
            _is_too_late(request, self.now)
            or self._admission.is_too_late(request, group)
        ):
            self._answers.refuse(request, Code.BUSY, request.detail)
        elif choice.connection is not None and self._has_lapsed(request):
            group.waiting.remove(request)
            request.granted_until = None
            request.start_until = -math.inf
            # After this pass over the queue: a grant may arrive at once.
            request.timers.append(self.timers.after(0.0, self._acquire_grant, request))
        elif choice.connection is not None:
            group.waiting.remove(request)
            self._admission.note_sent(request, group)
            self._fair_sharing.note_sent(request, choice.connection)
            self._stalls.note_sent(request, group)
            self._send(request, choice.connection, choice.floor)
        elif (
            choice.full
            and is_turned_away(request, group.waiting, self.now)
            and not (
                self._admission.decides(request, group)
                and self._waits_for_load(request, group)
            )
        ):
            group.last_rejection_at = self.now
            why = ENDPOINT_FULL_MESSAGE
            if self._admission.is_active:
                why = self._admission.with_retry_time(request, ENDPOINT_FULL_REASON)
            self._answers.refuse(request, Code.BUSY, why)
        elif self._is_cut_off(request, group, floor):
            self._refuse_for_load(request, group, request.detail)

    def _refuse_for_load(self, request: RequestRow, group: GroupRow, why: str) -> None:
        text = self._admission.with_retry_time(request, why)
        self._answers.refuse(request, Code.BUSY, text)

    def _has_lapsed(self, request: RequestRow) -> bool:
        """Return whether the grant of a statement has ended before it could start.

        The limit of a customer holds in every window only if operations start within
        `GRANT_VALIDITY` of their grant, and statements may wait for longer.
        """
        return self.now > request.start_until

    def _is_cut_off(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> bool:
        """Return whether a statement has waited too long without any connection.

        A host that is no holder never counts an endpoint as full, so that without this
        check its statements would wait until their timeout while it reaches no holder.
        """
        if not self._admission.is_active or request.route.priority == MOST_URGENT:
            return False
        if request.was_held or group.primary_row is None:
            return False
        if request.primary_only and group.is_suspected:
            return False
        if not is_turned_away(request, group.waiting, self.now):
            return False
        if self._admission.decides(request, group):
            return False
        return not self._routing.is_connected(request, group, floor)

    def _waits_for_floor(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> bool:
        """Return whether a read should wait for a floor, to be served by a replica."""
        if request.primary_only:
            return False
        if floor is None:
            return self._sampling.is_coming(group)
        self._sampling.refresh(group, request.route.accepted_age)
        return False

    def _on_endpoint_signal(self, signal: ConnectionFreed | EndpointChanged) -> None:
        self._dispatch(self.tables.group(signal.endpoint.entry.service))

    def _on_group_signal(
        self,
        signal: PrimaryChanged | PrimaryConfirmed | FloorReceived | WritesReleased,
    ) -> None:
        group = signal.group
        is_released = isinstance(signal, PrimaryChanged | WritesReleased)
        if is_released and group.primary and not self.tables.promotion_fences_primary:
            for request in group.waiting:
                request.was_held |= request.primary_only
        if group.waiting:
            self._dispatch(group)

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
        setup_count = len(calls)
        is_read = request.access is Access.READ
        minimum = floor
        if is_read and floor is None:
            minimum = self._floors.session_floor(request.session, request.route)
        calls.append(self._attempts.statement_call(request, minimum))
        group = self.tables.group(request.route.service)
        if is_read and connection.endpoint.name == group.primary:
            # An empty transaction checks that the endpoint is still the primary: a
            # replaced primary answers reads like any replica, from a log that lacks the
            # commits of its successor.
            calls.append(EndpointCall(Begin()))
            calls.append(EndpointCall(Rollback()))
            if floor is None:
                # A replaced primary that does not know of its successor accepts the
                # transaction as well, so the other members are asked. Their answers
                # come while the read runs.
                self._floors.request_proof(
                    connection.endpoint, request.route, request.arrived_at
                )

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_single_replies(request, connection, replies, setup_count)

        commits = request.access is Access.WRITE
        self._connections.send(connection, calls, on_replies, commits)

    # -- Replies -------------------------------------------------------------

    def _on_single_replies(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        replies: list[EndpointReply],
        setup_count: int,
    ) -> None:
        if any(reply.code is not Code.DONE for reply in replies[:setup_count]):
            connection.is_broken = True
        reply = replies[setup_count]
        primary_check = (
            replies[setup_count + 1] if len(replies) > setup_count + 1 else None
        )
        if request.connection is not connection:
            connection.endpoint.overdue = max(0, connection.endpoint.overdue - 1)
            self._connections.release(connection)
            return
        endpoint = connection.endpoint
        self._attempts.detach(request)
        if reply.code is Code.UNKNOWN_STATEMENT:
            connection.is_broken = True
        self._connections.release(connection)
        if primary_check is not None and primary_check.code is not Code.DONE:
            self._on_refused(request, endpoint, primary_check)
        elif reply.code is Code.DONE:
            self._load.record_latency(endpoint, self.now - request.sent_at)
            if request.access is Access.READ and request.floor is None:
                self._answer_if_proven(request, endpoint, reply)
            else:
                self._on_done(request, endpoint, reply, primary_check is not None)
        else:
            self._on_failed(request, endpoint, reply)

    def _answer_if_proven(
        self, request: RequestRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        """Answer a read at the primary once it is proven to be the only primary."""

        def on_proof(is_proven: bool) -> None:
            if request.finished:
                return
            if is_proven:
                self._on_done(request, endpoint, reply, proves_primary=True)
            else:
                self._on_refused(request, endpoint, LEADERSHIP_UNPROVEN)

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
            self._node.publish(WriteAcknowledged(group, endpoint, reply.position))
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
            self._on_refused(request, endpoint, reply)
        elif request.access is Access.READ and request.tries == 0:
            # The read ran and failed; it may succeed at another endpoint.
            self._on_refused(request, endpoint, reply)
        else:
            self._answers.forward_reply(request, reply, SessionState.IDLE)

    def _on_attempt_refused(self, signal: AttemptRefused) -> None:
        self._on_refused(signal.request, signal.endpoint, signal.reply)

    def _on_refused(
        self, request: RequestRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        """Retry a statement that an endpoint refused, or give it up."""
        if reply.code is Code.UNAUTHENTICATED:
            # The configuration at the holder is newer than this host's, and no holder
            # will run the statement.
            self._answers.refuse(request, reply.code, reply.message)
            return
        if reply.code is Code.UNSENDABLE:
            self._answers.refuse(request, reply.code, reply.message)
            return
        if reply.code is Code.HELD:
            self._write_holds.hold(endpoint, FORWARDED_HOLD_DURATION, HoldReason.HOLDER)
            self._enqueue(request)
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
        elif reply.code is not Code.UNREACHABLE:
            # An unreachable endpoint is retried at once, by way of another holder.
            request.avoided_endpoints.add(endpoint.name)
            request.retry_at = self.now + self._attempts.backoff(request)
        is_held_too_long = reply.code is Code.BUSY and self.now >= held_until(request)
        if reply.code is Code.BUSY:
            group = self.tables.group(request.route.service)
            keeps_trying = self._admission.keeps_trying(request, group, reply)
            if keeps_trying is not None:
                is_held_too_long = not keeps_trying
        if is_held_too_long or request.tries >= TRIES_MAX:
            why = request.detail
            why = self._admission.with_retry_time(request, why, reply.load)
            self._answers.refuse(request, Code.BUSY, why)
            return
        if request.retry_at > self.now:
            group = self.tables.group(request.route.service)
            request.timers.append(
                self.timers.at(request.retry_at, self._dispatch, group)
            )
        if reply.code.is_not_run:
            self._enqueue(request)
        else:
            # The statement ran, so it counts against the rate limit once more.
            self._admit(request)

    def _on_attempt_abandoned(self, signal: AttemptAbandoned) -> None:
        self._admit(signal.request)

    # -- Lost connections ----------------------------------------------------

    def _on_attempt_lost(self, signal: AttemptLost) -> None:
        """Retry or answer a statement whose connection was lost."""
        request, why = signal.request, signal.why
        endpoint = request.endpoint
        # Without a connection it was held back, or refused, and waits to be sent.
        was_sent = request.connection is not None
        if was_sent:
            endpoint.in_flight -= 1
            request.connection = None
        if request.finished:
            return
        transaction = request.transaction
        if transaction is not None:
            has_begun = transaction.connection is not None
            transaction.connection = None
            if has_begun:
                self._transactions.answer_lost(request, why, was_sent)
                return
        elif request.access is Access.WRITE:
            self._answers.answer_in_doubt(request, why)
            return
        # The statement is a read, or its transaction has not begun: nothing was
        # committed.
        request.tries += 1
        request.avoided_endpoints.add(endpoint.name)
        request.detail = f"{endpoint.name}: {why}"
        if request.tries >= TRIES_MAX:
            self._answers.refuse(request, Code.ABORTED, request.detail)
        else:
            self._admit(request)


def _is_too_late(request: RequestRow, now: float) -> bool:
    """Return whether a write has waited so long that it would end in doubt."""
    is_single_write = request.access is Access.WRITE and request.transaction is None
    send_until = request.arrived_at + SEND_SHARE * request.route.statement_timeout
    return is_single_write and request.was_held and now > send_until
