"""Forward the statements of other hosts over the connections of this host.

A link is the holder's end of a forwarded connection. To the other host it behaves like
a connection to the endpoint. The holder keeps the link's values and prepared
statements, and pins one of its connections to the link while calls are in flight or a
transaction is open. Replies are forwarded unchanged but for an added sample of the
primary's log position: the other host draws its own conclusions from them.
"""

from __future__ import annotations

import math
from dataclasses import replace
from functools import singledispatchmethod

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.customers import ANONYMOUS
from mallowpass.core.proxy.effects import (
    AcceptLink,
    AnswerLink,
    CloseLink,
    RefuseLink,
)
from mallowpass.core.proxy.events import LinkCalled, LinkClosed, LinkOpened
from mallowpass.core.proxy.fairsharing import FairSharing
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.guardedwrites import GuardedWrites
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.pauses import Pauses
from mallowpass.core.proxy.policy.dispatch import link_urgency
from mallowpass.core.proxy.replicationproofs import ReplicationProofs
from mallowpass.core.proxy.sessionstate import make_setup_calls
from mallowpass.core.proxy.signals import (
    ConnectionFreed,
    EndpointExpired,
    EndpointRestarted,
    EndpointUnreachable,
    WriteAcknowledged,
    WritesHeld,
    WriteStalled,
)
from mallowpass.core.proxy.stalls import WRITES_STALLED_MESSAGE, Stalls
from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Deallocate,
    EndpointCall,
    EndpointReply,
    Execute,
    Fence,
    FloorHint,
    HoldWrites,
    LoadReport,
    OnBehalfOf,
    Prepare,
    Reset,
    SessionState,
    SetValue,
    Statement,
    Write,
)
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    GroupRow,
    LinkRow,
    PreparedStatement,
    ProxySystem,
)
from mallowpass.core.proxy.writeholds import WRITES_HELD_MESSAGE, HoldReason, WriteHolds
from mallowpass.core.proxy.writeleases import WRITES_UNPROVEN_MESSAGE, WriteLeases
from mallowpass.core.proxy.writers import NOT_A_WRITER_MESSAGE, Writers

__all__ = ["Links"]

# Seconds after which calls that wait for a connection are refused. The calls did not
# run, and the host that sent them has time left to try another holder, or to answer its
# caller.
WAIT_TIMEOUT = 0.2

ENDPOINT_UNREACHABLE = "the endpoint can't be reached"


class Links(ProxySystem):
    """Serve the links of other hosts."""

    __slots__ = (
        "_admission",
        "_connections",
        "_fair_sharing",
        "_fencing",
        "_floors",
        "_guarded_writes",
        "_holders",
        "_load",
        "_pauses",
        "_stalls",
        "_waiting",
        "_proofs",
        "_write_holds",
        "_write_leases",
        "_writers",
    )

    def start(self) -> None:
        """Subscribe to the events of links, connections and endpoints."""
        node = self._node
        self._admission = node.system(AdmissionControl)
        self._connections = node.system(Connections)
        self._fair_sharing = node.system(FairSharing)
        self._fencing = node.system(Fencing)
        self._floors = node.system(Floors)
        self._guarded_writes = node.system(GuardedWrites)
        self._holders = node.system(Holders)
        self._load = node.system(Load)
        self._pauses = node.system(Pauses)
        self._stalls = node.system(Stalls)
        self._write_holds = node.system(WriteHolds)
        self._proofs = node.system(ReplicationProofs)
        self._write_leases = node.system(WriteLeases)
        self._writers = node.system(Writers)
        self._waiting: list[LinkRow] = []  # by `link_urgency`
        node.subscribe(LinkOpened, self._on_opened)
        node.subscribe(LinkCalled, self._on_called)
        node.subscribe(LinkClosed, self._on_closed)
        node.subscribe(ConnectionFreed, self._on_freed)
        node.subscribe(EndpointExpired, self._on_expired)
        node.subscribe(EndpointRestarted, self._on_restarted)
        node.subscribe(EndpointUnreachable, self._on_unreachable)
        node.subscribe(WritesHeld, self._on_writes_held)

    # -- Opening and closing -------------------------------------------------

    def _on_opened(self, event: LinkOpened) -> None:
        endpoint = self.tables.endpoints.get(event.endpoint)
        is_unknown = endpoint is None or endpoint.entry.service != event.service
        if is_unknown and self._is_connected_to(event.endpoint):
            message = f"{event.endpoint!r} was removed, and connections are open"
            self._node.emit(RefuseLink(event.link, Code.BUSY, message))
        elif is_unknown and event.carries_fences and self._any_member(event.service):
            # This host may write to an endpoint that the other host does not know.
            self._accept_link(event, self._any_member(event.service))
        elif is_unknown:
            message = f"this host knows no endpoint {event.endpoint!r}"
            self._node.emit(RefuseLink(event.link, Code.WRONG_ENDPOINT, message))
        elif event.carries_fences:
            self._accept_link(event, endpoint)
        elif not self._holders.holds(event.service):
            # Two hosts with different views of the fleet could otherwise forward calls
            # to each other.
            message = f"this host is not a holder of service {event.service!r}"
            self._node.emit(RefuseLink(event.link, Code.BUSY, message))
        elif not self._connections.can_reach(endpoint):
            message = f"{self._node.identity.name} can't reach {event.endpoint!r}"
            self._node.emit(RefuseLink(event.link, Code.UNREACHABLE, message))
        else:
            self._accept_link(event, endpoint)

    def _any_member(self, service: str) -> EndpointRow | None:
        """Return an endpoint of a service, None if this host knows none."""
        group = self.tables.groups.get(service)
        endpoints = () if group is None else group.endpoints.values()
        return next(iter(endpoints), None)

    def _accept_link(self, event: LinkOpened, endpoint: EndpointRow) -> None:
        is_from_holder = self._holders.is_holder(event.service, event.host)
        link = LinkRow(event.link, endpoint, is_from_holder, event.carries_fences)
        self.tables.links[event.link] = link
        if not event.carries_fences:
            self._write_leases.prepare(endpoint)
        floor = self._floor_hint(event.service, self.now)
        self._node.emit(AcceptLink(event.link, endpoint.position, floor))

    def _is_connected_to(self, name: str) -> bool:
        """Return whether connections to an endpoint that was removed are open."""
        connections = self.tables.connections.values()
        return any(c.endpoint.name == name and not c.holder for c in connections)

    def _on_closed(self, event: LinkClosed) -> None:
        link = self.tables.links.pop(event.link, None)
        if link is None:
            return
        link.closed = True
        link.waiting.clear()
        self._fair_sharing.leave(link)
        if link in self._waiting:
            self._leave_queue(link)
        if link.connection is not None and not link.in_flight:
            self._roll_back(link)

    def _on_expired(self, signal: EndpointExpired) -> None:
        for link in list(self.tables.links.values()):
            if link.endpoint is signal.endpoint and not link.in_flight:
                self._refuse_and_close(link, "the endpoint was removed")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Close all links to an endpoint's previous run.

        Links with calls in flight were closed when their connections were closed.
        """
        for link in list(self.tables.links.values()):
            if link.endpoint is signal.previous:
                self._refuse_and_close(link, "the endpoint restarted")

    def _refuse_and_close(self, link: LinkRow, why: str) -> None:
        """Refuse the waiting calls of a link, then close the link.

        The other host treats calls without a reply as sent to the endpoint. Without a
        refusal it would answer that the outcome of waiting writes is in doubt.
        """
        if link.waiting:
            self._refuse(link, Code.BUSY, why)
        self._close(link)

    def _close(self, link: LinkRow) -> None:
        """Close a link from this end; calls in flight on it get no reply."""
        self._node.emit(CloseLink(link.number))
        self._on_closed(LinkClosed(link.number))

    def close_idle(self) -> None:
        """Close all links that have nothing in flight and no transaction open."""
        for link in list(self.tables.links.values()):
            if link.connection is None and not link.waiting:
                self._close(link)

    def close_all(self, why: str) -> None:
        """Refuse the calls that wait, and close all links."""
        for link in list(self.tables.links.values()):
            self._refuse_and_close(link, why)

    # -- Calls ---------------------------------------------------------------

    def _on_called(self, event: LinkCalled) -> None:
        link = self.tables.links.get(event.link)
        if link is None:
            return
        link.last_call_at = self.now
        if any(_is_shifted(call.statement) for call in event.calls):
            link.waiting.extend(event.calls)
            self._refuse_and_close(link, "a prepared statement has a name of another")
            return
        priorities = [c.priority for c in event.calls if c.priority is not None]
        if link not in self._waiting:
            # Calls without a priority may be the rest of a batch that arrived in
            # several parts. A waiting link is queued and tagged by its priority.
            link.priority = min(priorities, default=0)
        times = [c.time_left for c in event.calls if c.time_left is not None]
        if times:
            link.useful_until = self.now + min(times)
        elif link not in self._waiting:
            link.useful_until = None
        for call in event.calls:
            # The endpoint does not know these fields, and would parse them as a
            # statement.
            plain = replace(call, priority=None, on_behalf_of=None, time_left=None)
            self._accept(call.statement, plain, link)
        if not link.waiting:
            return
        if link.carries_fences:
            self._refuse(link, Code.BUSY, "the link carries fences alone")
            return
        if any(_is_unknown_name(link, call.statement) for call in link.waiting):
            self._refuse_unknown_name(link)
            return
        if self._is_outdated(link):
            self._refuse_outdated(link)
            return
        if self._must_hold(link):
            self._refuse_held(link)
            return
        if link.connection is not None:
            self._send_pinned(link)
            return
        named = [c.on_behalf_of for c in event.calls if c.on_behalf_of is not None]
        if named:
            link.on_behalf_of = named[0]
        elif link not in self._waiting:
            # If the link is waiting, these calls are the rest of a batch that arrived
            # in several parts, and the customer named in its first part applies.
            link.on_behalf_of = None
        if any(map(self._is_unknown, named)):
            self._refuse(link, Code.UNAUTHENTICATED, "no such customer")
        elif link not in self._waiting:
            if self._should_refuse_write(link):
                self._refuse(link, Code.BUSY, WRITES_STALLED_MESSAGE)
                return
            if not _is_connected(link.endpoint) and self._is_replaced(link):
                self._refuse(link, Code.NOT_PRIMARY, "another endpoint is primary")
                return
            if not self._connections.can_reach(link.endpoint):
                self._refuse(link, Code.UNREACHABLE, ENDPOINT_UNREACHABLE)
                return
            if self._is_refused_on_arrival(link):
                return
            link.waiting_since = self.now
            self._fair_sharing.enter_link(link)
            self._waiting.append(link)
            self._waiting.sort(key=link_urgency)
            self.timers.after(WAIT_TIMEOUT, self._check_wait, link, self.now)
            if self._fair_sharing.is_in_force:
                # An idle connection of its own customer does not let it pass others
                # by more than the quantum.
                self._serve(link.endpoint)
            elif not self._try_to_send(link):
                self._turn_away(link.endpoint)

    def _send_pinned(self, link: LinkRow) -> None:
        """Send waiting calls on the connection of their transaction.

        A commit may have to wait for the lease on writing to the primary.
        """

        def on_lease(is_granted: bool) -> None:
            if link.closed or link.connection is None or not link.waiting:
                return
            if is_granted and not self._must_hold(link):
                self._fair_sharing.charge_link(link)
                self._send(link, link.connection, _commits(link))
            else:
                self._refuse_held(link)

        if self._needs_lease(link):
            self._write_leases.acquire(self._group(link), on_lease)
        else:
            on_lease(True)

    def _needs_lease(self, link: LinkRow) -> bool:
        """Return whether waiting calls have commits acknowledged by the primary."""
        if link.endpoint.name != self._group(link).primary:
            return False
        if link.connection is not None and link.connection.holder:
            return False
        return _commits(link)

    def _awaits_lease(self, link: LinkRow) -> bool:
        """Return whether calls wait for the lease; refuse them if there is none."""
        if not self._must_await_lease(link):
            return False
        self._acquire(link)  # opens a connection meanwhile if there is none
        if self._writers.is_refused(self._group(link)):
            self._leave_queue(link)
            self._refuse(link, Code.BUSY, NOT_A_WRITER_MESSAGE)
        elif self._write_leases.is_denied(self._group(link)):
            self._leave_queue(link)
            self._refuse(link, Code.BUSY, WRITES_UNPROVEN_MESSAGE)
        return True

    def _must_await_lease(self, link: LinkRow) -> bool:
        """Return whether waiting calls wait for the lease on writing to the primary."""
        return self._needs_lease(link) and self._write_leases.must_wait(
            self._group(link)
        )

    def _is_outdated(self, link: LinkRow) -> bool:
        """Return whether waiting writes may have outlived their timeout in a pause."""
        delay = self._pauses.max_input_delay
        timeout = self._stalls.shortest_statement_timeout(link.endpoint.entry.service)
        if delay < timeout:
            return False
        return any(_is_write(link, call.statement) for call in link.waiting)

    def _refuse_outdated(self, link: LinkRow) -> None:
        if link.connection is None:
            why = f"this host was paused for {self._pauses.max_input_delay:.1f} s"
            self._refuse(link, Code.BUSY, why)
        else:
            self._close(link)  # this rolls the transaction back

    def _refuse_unknown_name(self, link: LinkRow) -> None:
        """Refuse waiting calls that run a statement which is not prepared on the link.

        On a connection, the name may stand for a statement of another link.
        """
        if link in self._waiting:
            self._leave_queue(link)
        is_open = link.connection is not None
        state = SessionState.FAILED if is_open else SessionState.IDLE
        why = "no such prepared statement"
        self._refuse(link, Code.UNKNOWN_STATEMENT, why, state)

    # -- Held writes ---------------------------------------------------------

    def _must_hold(self, link: LinkRow) -> bool:
        """Return whether waiting calls commit at a primary whose writes are held.

        Beside a pending order, they are held for links that can't lead to its guard.
        """
        if not self._may_commit(link):
            return False
        if self._write_holds.is_held_here(link.endpoint):
            return True
        if link.connection is not None:
            return not self._guarded_writes.may_commit_on(link.connection)
        # A guard that this host knows, and not the other one, is not passed on to.
        is_elsewhere = self._guarded_writes.are_guarded_elsewhere(link.endpoint)
        return link.is_from_holder and is_elsewhere

    @staticmethod
    def _may_commit(link: LinkRow) -> bool:
        """Return whether waiting calls commit, or begin what may commit.

        A transaction that is begun and rolled back at once only probes the primary.
        """
        if len(link.waiting) == 1 and _begins_writes(link.waiting[0].statement):
            return True
        return any(_commits_writes(link, call.statement) for call in link.waiting)

    def _refuse_held(self, link: LinkRow) -> None:
        """Refuse waiting calls whose writes are held; they did not run.

        The other host then holds its writes as well. In a transaction it is told that
        the transaction failed, and rolls it back: a transaction can't be committed at
        the successor.
        """
        if link.connection is None:
            self._refuse(link, Code.HELD, WRITES_HELD_MESSAGE)
        else:
            state = SessionState.FAILED
            self._refuse(link, Code.ABORTED, WRITES_HELD_MESSAGE, state)

    def _on_writes_held(self, signal: WritesHeld) -> None:
        for link in list(self._waiting):
            if link.endpoint is signal.endpoint and self._must_hold(link):
                self._leave_queue(link)
                self._refuse_held(link)

    def _is_unknown(self, on_behalf_of: OnBehalfOf) -> bool:
        """Return whether a customer is missing from this host's configuration.

        A configuration that is not newer than the other host's proves nothing.
        """
        configuration = self.tables.configuration
        if configuration is None or configuration.version <= on_behalf_of.version:
            return False
        name = on_behalf_of.customer
        return name not in configuration.customers and name != ANONYMOUS

    def _should_refuse_write(self, link: LinkRow) -> bool:
        """Return whether a waiting write would hang at a primary whose writes stall."""
        if not any(_is_write(link, call.statement) for call in link.waiting):
            return False
        return self._stalls.should_refuse_write(self._group(link))

    def _group(self, link: LinkRow) -> GroupRow:
        return self.tables.group(link.endpoint.entry.service)

    @singledispatchmethod
    def _accept(self, statement: Statement, call: EndpointCall, link: LinkRow) -> None:
        """Queue a call, or answer it at once if it sets session state."""
        link.waiting.append(call)

    @_accept.register
    def _(self, statement: SetValue, call: EndpointCall, link: LinkRow) -> None:
        link.values[statement.name] = statement.value
        self._answer_done(link)

    @_accept.register
    def _(self, statement: Prepare, call: EndpointCall, link: LinkRow) -> None:
        prepared = PreparedStatement(statement.access, statement.shape)
        link.prepared[statement.name] = prepared
        self._answer_done(link)

    @_accept.register
    def _(self, statement: Deallocate, call: EndpointCall, link: LinkRow) -> None:
        link.prepared.pop(statement.name, None)
        self._answer_done(link)

    @_accept.register
    def _(self, statement: Reset, call: EndpointCall, link: LinkRow) -> None:
        link.values.clear()
        link.prepared.clear()
        self._answer_done(link)

    @_accept.register
    def _(self, statement: HoldWrites, call: EndpointCall, link: LinkRow) -> None:
        def on_drained() -> None:
            if not link.closed:
                self._answer_done(link)

        reason = HoldReason.SWITCHOVER
        if statement.duration:
            self._write_holds.hold(
                link.endpoint, statement.duration, reason, on_drained
            )
        else:
            self._write_holds.release(link.endpoint, reason)
            self._answer_done(link)

    @_accept.register
    def _(self, statement: Fence, call: EndpointCall, link: LinkRow) -> None:
        group = self._group(link)

        def on_drained() -> None:
            if not link.closed:
                evidence = self._fencing.evidence(group, statement)
                self._answer_done(link, evidence.encode())

        if statement.is_relaxed:
            self._fencing.relax_service(group, statement)
            self._answer_done(link)
        elif statement.duration:
            self._fencing.fence_service(group, statement, on_drained)
        else:
            self._fencing.lift_service(group, statement.owner, statement.token)
            self._answer_done(link)

    def _answer_done(self, link: LinkRow, rows: tuple[bytes, ...] = ()) -> None:
        # Hosts send such calls ahead of a statement, with no call in flight: replies
        # stay in the order of calls.
        state = SessionState.IDLE
        if link.connection is not None:
            state = SessionState.IN_TRANSACTION
        reply = EndpointReply(Code.DONE, rows=rows, state=state)
        self._node.emit(AnswerLink(link.number, reply))

    def _on_freed(self, signal: ConnectionFreed) -> None:
        self._serve(signal.endpoint)

    def _serve(self, endpoint: EndpointRow, after_own: bool = False) -> None:
        """Send the calls that wait for an endpoint on its available connections.

        `after_own`: the statements of this host's callers had their turn already.
        """
        blocked: set[str | None] = set()  # customers without an available connection
        own = None if after_own else self._admission.first_own(endpoint)
        for link in self._fair_sharing.link_order(self._waiting, endpoint):
            if link.customer in blocked or self._awaits_lease(link):
                continue
            if own is not None and own < (link.priority, link.waiting_since):
                # This signal reaches `requests` later. Without a turn of their own,
                # urgent statements of this host's callers waited until their timeout.
                self.timers.after(0.0, self._serve, endpoint, True)
                break
            if not self._try_to_send(link):
                blocked.add(link.customer)
        self._turn_away(endpoint)

    # -- Admission control ----------------------------------------------------

    def _queue_of(self, endpoint: EndpointRow) -> list[LinkRow]:
        return [link for link in self._waiting if link.endpoint is endpoint]

    def _leave_queue(self, link: LinkRow) -> None:
        self._waiting.remove(link)
        if self._admission.is_active:
            is_waiting = bool(self._queue_of(link.endpoint))
            self._admission.note_link_queue(link.endpoint, is_waiting)

    def _turn_away(self, endpoint: EndpointRow) -> None:
        """Refuse the calls that would wait for longer than their replies are of use."""
        if not self._admission.is_active:
            return
        queue = self._queue_of(endpoint)
        for link, why, load in self._admission.links_turned_away(endpoint, queue):
            self._waiting.remove(link)
            self._refuse(link, Code.BUSY, why, load=load)
        self._admission.note_link_queue(endpoint, bool(self._queue_of(endpoint)))

    def _is_refused_on_arrival(self, link: LinkRow) -> bool:
        """Refuse calls that would be refused as similar ones were just now."""
        endpoint = link.endpoint
        if not self._admission.is_active or _is_idle_for(endpoint, link.customer):
            return False
        queue = self._queue_of(endpoint)
        refusal = self._admission.link_refusal_on_arrival(link, queue)
        if refusal is not None:
            why, load = refusal
            self._refuse(link, Code.BUSY, why, load=load)
        return refusal is not None

    # -- Waiting --------------------------------------------------------------

    def _try_to_send(self, link: LinkRow) -> bool:
        """Send a link's waiting calls if a connection is available; return success."""
        if not self._load.has_room(link.endpoint):
            return False
        if self._must_await_lease(link):
            self._acquire(link)  # opens a connection meanwhile if there is none
            return False
        connection = self._acquire(link)
        if connection is None:
            return False
        self._admission.note_link_sent(link.endpoint)
        self._leave_queue(link)
        self._fair_sharing.note_sent(link, connection)
        commits = _commits(link)
        link.connection = connection
        link.has_written = False
        connection.state = ConnectionState.PINNED
        connection.on_lost = lambda _, why: self._on_lost(link, why)
        self._send(link, connection, commits)
        return True

    def _acquire(self, link: LinkRow) -> ConnectionRow | None:
        """Return a connection for a link's calls; request one if there is none."""
        endpoint, customer = link.endpoint, link.customer
        if self._guarded_writes.are_guarded(endpoint) and self._may_commit(link):
            if self._must_hold(link):
                return None
            return self._guarded_writes.acquire(endpoint, link.values, customer)
        # Calls of a holder are not forwarded to a third host: two holders without
        # connections would wait for each other.
        connection = self._connections.acquire(
            endpoint, link.values, customer, own_only=link.is_from_holder
        )
        if connection is None:
            borrow = not link.is_from_holder
            self._connections.grow(endpoint, customer, borrow=borrow)
        return connection

    def _check_wait(self, link: LinkRow, since: float) -> None:
        if link not in self._waiting or link.waiting_since != since:
            return
        can_reach = self._connections.can_reach(link.endpoint)
        if can_reach and not self._is_replaced(link):
            may_wait = self._admission.link_may_wait(link)
            if may_wait is not None:
                delay = min(WAIT_TIMEOUT, may_wait)
                self.timers.after(delay, self._check_wait, link, since)
                return
        self._leave_queue(link)
        if self._is_replaced(link):
            self._refuse(link, Code.NOT_PRIMARY, "another endpoint is primary")
        elif not can_reach:
            self._refuse(link, Code.UNREACHABLE, ENDPOINT_UNREACHABLE)
        else:
            load = None
            if self._admission.is_active:
                # It shows the other host that the load is the reason.
                load = LoadReport(len(self._queue_of(link.endpoint)) + 1, None)
            self._refuse(link, Code.BUSY, "no connection is free", load=load)

    def _on_unreachable(self, signal: EndpointUnreachable) -> None:
        """Refuse the calls that wait for an endpoint that this host can't reach.

        After the code UNREACHABLE the other host tries another holder, which may reach
        the endpoint. After the code BUSY, or without a reply, it would wait for an
        endpoint that this host can't reach.
        """
        endpoint = signal.endpoint
        if self._connections.can_reach(endpoint):
            return
        for link in list(self._waiting):
            if link.endpoint is endpoint and not self._is_replaced(link):
                self._leave_queue(link)
                self._refuse(link, Code.UNREACHABLE, ENDPOINT_UNREACHABLE)

    def _is_replaced(self, link: LinkRow) -> bool:
        """Return whether calls wait for a primary that was replaced.

        A host that can't read the store learns that a primary was replaced when that
        endpoint refuses a write. If the endpoint does not respond, only the refusal of
        a holder shows it.
        """
        group = self._group(link)
        if group.primary in ("", link.endpoint.name):
            return False
        return any(_proves_primary(link, call.statement) for call in link.waiting)

    def _refuse(
        self,
        link: LinkRow,
        code: Code,
        message: str,
        state: SessionState = SessionState.IDLE,
        load: LoadReport | None = None,
    ) -> None:
        """Refuse the waiting calls of a link, which did not run.

        `load` is the load for which they are refused.
        """
        self._fair_sharing.leave(link)
        self._node.count("links_refused", endpoint=link.endpoint.name, code=code.value)
        group = self._group(link)
        if code is Code.BUSY and link.endpoint.name == group.primary:
            group.last_rejection_at = self.now
        # A host without a floor sends its reads to the primary, where most calls wait
        # after all hosts have started. With a floor, the host can send its reads to
        # replicas.
        text = f"{self._node.identity.name}: {message}"
        reply = EndpointReply(code, message=text, state=state, load=load)
        reply = self._with_floor(link, reply)
        while link.waiting:
            link.waiting.popleft()
            self._node.emit(AnswerLink(link.number, reply))

    def _send(self, link: LinkRow, connection: ConnectionRow, commits: bool) -> None:
        calls = list(link.waiting)
        link.waiting.clear()
        executed = [c.statement for c in calls if isinstance(c.statement, Execute)]
        prepared = [link.prepared[statement.name] for statement in executed]
        setup = make_setup_calls(connection, link.values, prepared)
        forwarded = [_forwarded(link, connection, call) for call in calls]
        link.in_flight += len(calls)
        setup_count = len(setup)
        sent_at = self.now

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._record_replies(link, calls, replies[setup_count:], sent_at)
            self._on_replies(link, connection, replies, setup_count)

        self._connections.send(
            connection, setup + forwarded, on_replies, commits, for_other_host=True
        )
        if any(_is_write(link, call.statement) for call in calls):
            link.has_written = True
            overdue = self._stalls.overdue_time(link.endpoint.entry.service)
            self.timers.after(overdue, self._check_write, connection, sent_at)

    def _check_write(self, connection: ConnectionRow, sent_at: float) -> None:
        """Publish that a write of another host got no reply in time.

        The holders of a service decide whether its primary has failed, and writes of
        their own callers are few.
        """
        if connection.number not in self.tables.connections or not connection.pending:
            return
        if connection.pending[0].sent_at <= sent_at:
            self._node.publish(WriteStalled(connection.endpoint))

    # -- Replies -------------------------------------------------------------

    def _record_replies(
        self,
        link: LinkRow,
        calls: list[EndpointCall],
        replies: list[EndpointReply],
        sent_at: float,
    ) -> None:
        """Record what replies to other hosts show about an endpoint."""
        group = self._group(link)
        if any(
            reply.code is Code.DONE and call.statement.takes_slot
            for call, reply in zip(calls, replies, strict=True)
        ):
            self._load.record_latency(link.endpoint, self.now - sent_at)
        for call, reply in zip(calls, replies, strict=True):
            if call.minimum is not None:
                self._record_freshness(link.endpoint, reply)
            if reply.code is not Code.DONE or reply.position is None:
                continue
            if isinstance(call.statement, Commit) and link.has_written:
                self._proofs.note_commit(link.endpoint, sent_at)
            if not _proves_primary(link, call.statement):
                continue
            if reply.state is SessionState.IDLE:  # a write outside a transaction
                self._node.publish(WriteAcknowledged(group))
                self._floors.record_commit(link.endpoint, reply.position, sent_at)
            else:
                self._floors.record_sample(group, reply.position, sent_at)

    def _record_freshness(self, endpoint: EndpointRow, reply: EndpointReply) -> None:
        """Record whether an endpoint had reached the floor of another host's call.

        A holder has few callers of its own, and it is holders that have an overloaded
        primary replaced when all its replicas are behind.
        """
        if reply.code is Code.BEHIND:
            self._floors.mark_behind(endpoint)
        elif reply.code is Code.DONE:
            self._floors.mark_caught_up(endpoint)

    def _with_floor(self, link: LinkRow, reply: EndpointReply) -> EndpointReply:
        """Return a reply with the newest sample of the primary's log position.

        A host of a large fleet runs few statements of a service. Without samples from
        the statements of other hosts it would have no floor, and would send its reads
        to the primary.
        """
        floor = self._floor_hint(link.endpoint.entry.service, link.last_call_at)
        return reply if floor is None else replace(reply, floor=floor)

    def _floor_hint(self, service: str, at: float) -> FloorHint | None:
        """Return the newest sample of a service with its age at a given time.

        Return None if there is no sample, or if the primary has not yet been proven to
        be the only one at any time: the age of the sample is infinite then, and its
        position is no floor for any read.
        """
        samples = self.tables.group(service).samples
        if not samples or math.isinf(samples[-1].asked_at):
            return None
        age = max(0.0, at - samples[-1].asked_at)
        return FloorHint(samples[-1].position, age)

    def _on_replies(
        self,
        link: LinkRow,
        connection: ConnectionRow,
        replies: list[EndpointReply],
        setup_count: int,
    ) -> None:
        """Forward replies, without those to the `setup_count` calls sent ahead."""
        if any(reply.code is not Code.DONE for reply in replies[:setup_count]):
            connection.is_broken = True
        answers = replies[setup_count:]
        link.in_flight -= len(answers)
        if not link.closed:
            answers[-1] = self._with_floor(link, answers[-1])
            for reply in answers:
                self._node.emit(AnswerLink(link.number, reply))
        if link.in_flight or link.connection is not connection:
            return
        if answers[-1].state is SessionState.IDLE:
            link.connection = None
            self._connections.release(connection)
        elif link.closed:
            self._roll_back(link)

    def _roll_back(self, link: LinkRow) -> None:
        connection, link.connection = link.connection, None
        self._connections.roll_back(connection)

    def _on_lost(self, link: LinkRow, why: str) -> None:
        link.connection = None
        link.in_flight = 0
        if not link.closed:
            self._node.log("info", "link_lost", endpoint=link.endpoint.name, why=why)
            self._close(link)


def _is_shifted(statement: Statement) -> bool:
    """Return whether a name and a shape were not sent as those of one statement.

    Earlier versions made lines in which a shape with spaces shifts the fields. What
    follows on the link may be shifted as well.
    """
    if not isinstance(statement, Prepare):
        return False
    prepared = PreparedStatement(statement.access, statement.shape)
    return not prepared.may_have_name(statement.name)


def _is_unknown_name(link: LinkRow, statement: Statement) -> bool:
    """Return whether a statement runs a prepared one that its link doesn't have."""
    return isinstance(statement, Execute) and statement.name not in link.prepared


def _forwarded(
    link: LinkRow, connection: ConnectionRow, call: EndpointCall
) -> EndpointCall:
    """Return a call of a link as it is sent on a connection.

    The names of prepared statements are those of the connection: two hosts, which may
    run different versions, need not name statements alike.
    """
    if connection.holder:
        # The host that forwards it has to know for which customer it runs.
        call = replace(call, on_behalf_of=link.on_behalf_of)
    statement = call.statement
    if isinstance(statement, Execute):
        name = connection.prepared[link.prepared[statement.name]]
        call = replace(call, statement=Execute(name, statement.text))
    return call


def _is_connected(endpoint: EndpointRow) -> bool:
    """Return whether there is an open connection to an endpoint, busy or not."""
    return any(
        connection.state is not ConnectionState.OPENING
        for connection in endpoint.connections.values()
    )


def _is_idle_for(endpoint: EndpointRow, customer: str | None) -> bool:
    """Return whether a connection that may run a customer's statements is idle."""
    return any(
        connection.state is ConnectionState.IDLE and connection.can_serve(customer)
        for connection in endpoint.connections.values()
    )


def _is_write(link: LinkRow, statement: Statement) -> bool:
    """Return whether a statement, or the transaction that it commits, may write."""
    if isinstance(statement, Execute):
        prepared = link.prepared.get(statement.name)
        return prepared is not None and prepared.access is Access.WRITE
    return isinstance(statement, Write | Commit)


def _commits_writes(link: LinkRow, statement: Statement) -> bool:
    """Return whether a statement writes, or commits writes of its transaction."""
    if isinstance(statement, Commit):
        return link.connection is not None and link.has_written
    return _is_write(link, statement)


def _commits(link: LinkRow) -> bool:
    """Return whether waiting calls commit writes, also those of their transaction."""
    statements = [call.statement for call in link.waiting]
    if link.connection is not None:
        statements = [s for s in statements if isinstance(s, Commit)]
    return any(_commits_writes(link, statement) for statement in statements)


def _begins_writes(statement: Statement) -> bool:
    """Return whether a statement begins a transaction that may write."""
    return isinstance(statement, Begin) and not statement.read_only


def _proves_primary(link: LinkRow, statement: Statement) -> bool:
    """Return whether DONE in reply to a statement proves its endpoint primary."""
    if isinstance(statement, Begin):
        return _begins_writes(statement)
    return _is_write(link, statement) and not isinstance(statement, Commit)
