"""The connection pool: connections to endpoints, opened on demand and reused.

The number of connections is limited by this host's share. A connection goes to the
endpoint directly, or is forwarded by a holder. It keeps the state of the session that
used it last; the state of the next session is sent ahead of that session's statement,
in the same write.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from mallowpass.core.messages import ConnectionLost
from mallowpass.core.proxy.customerholders import LINK_WAIT, CustomerHolders
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.effects import CloseConnection, OpenConnection, SendCalls
from mallowpass.core.proxy.events import (
    ConnectionReady,
    ConnectionRefused,
    EndpointAnswered,
)
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.nearmisses import NearMisses
from mallowpass.core.proxy.policy.eviction import choose_eviction, eviction_time
from mallowpass.core.proxy.replicationproofs import ReplicationProofs
from mallowpass.core.proxy.shares import FORWARDED_MAX, Shares
from mallowpass.core.proxy.signals import (
    CallsSent,
    CommitsAbandoned,
    CommitsUnanswered,
    ConnectionFreed,
    EndpointDisconnected,
    EndpointExpired,
    EndpointRestarted,
    EndpointUnreachable,
    FloorReceived,
    ForwardedConnectionRefused,
    HoldersBypassed,
)
from mallowpass.core.proxy.statements import (
    Code,
    EndpointCall,
    EndpointReply,
    FloorHint,
    Rollback,
    SessionState,
    Write,
)
from mallowpass.core.proxy.tables import (
    Batch,
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
    SentCommit,
)
from mallowpass.core.proxy.unansweredcommits import UnansweredCommits

__all__ = ["RESPONSE_TIMEOUT", "Connections"]

# Times in seconds.
# An attempt to connect is given up after this time. A round trip between regions and
# the handshake of an endpoint take a tenth of it.
CONNECT_TIMEOUT = 0.45
BACKOFF_MIN = 0.05  # between attempts to connect to an endpoint
BACKOFF_MAX = 1.0
FULL_BACKOFF = 0.25  # after an endpoint refused a connection because it has too many
# Connections that this host may open to an endpoint at once. Each handshake occupies a
# slot of the endpoint for as long as a statement does: opening many at once would delay
# the statements that they are opened for.
OPENING_MAX = 2
# The same for connections that serve one customer each. At most one of them is opened
# for each customer.
OPENING_FOR_CUSTOMERS_MAX = 4
# Another connection is tried if an endpoint has sent no reply for this time with calls
# in flight. Statements in a full queue wait for less.
RESPONSE_TIMEOUT = 0.25


class Connections(ProxySystem):
    """Maintain the connections of this host."""

    __slots__ = (
        "_customer_holders",
        "_durability",
        "_lead_members",
        "_holders",
        "_near_misses",
        "_proofs",
        "_room_checks",
        "_shares",
        "_unanswered_commits",
    )

    def start(self) -> None:
        """Subscribe to the events of connections and endpoints."""
        node = self._node
        self._customer_holders = node.system(CustomerHolders)
        self._durability = node.system(Durability)
        self._lead_members = node.system(LeadMembers)
        self._holders = node.system(Holders)
        self._near_misses = node.system(NearMisses)
        self._proofs = node.system(ReplicationProofs)
        self._unanswered_commits = node.system(UnansweredCommits)
        self._shares = node.system(Shares)
        # Times at which waiting statements are tried again, by endpoint.
        self._room_checks: dict[str, float] = {}
        node.subscribe(ConnectionReady, self._on_ready)
        node.subscribe(ConnectionRefused, self._on_refused)
        node.subscribe(ConnectionLost, self._on_lost)
        node.subscribe(EndpointAnswered, self._on_answered)
        node.subscribe(EndpointExpired, self._on_expired)
        node.subscribe(EndpointRestarted, self._on_restarted)

    # -- Acquiring and releasing ---------------------------------------------

    def acquire(
        self,
        endpoint: EndpointRow,
        values: dict[str, str] | None,
        customer: str | None = None,
        own_only: bool = False,
        by_affinity: bool = False,
        may_wait: bool = False,
        forwarded_only: bool = False,
    ) -> ConnectionRow | None:
        """Return an idle connection that can serve `customer`, None if there is none.

        A direct connection is preferred to a forwarded one; of several, a connection
        that has the session's `values` set. `own_only` excludes forwarded connections,
        `forwarded_only` direct ones.
        `customer` is None for this host's own statements, which any connection serves.

        `by_affinity`: the customer's order of holders applies, where there is one.
        Without it, a holder serves calls of other hosts, and uses forwarded connections
        only while it can't open its own. `may_wait`: `grow` is called if None is
        returned, though a connection that is worse for the customer may be idle.
        """
        if by_affinity and self._customer_holders.forwards(endpoint, customer):
            return self._acquire_by_affinity(
                endpoint, values, customer, may_wait, forwarded_only
            )
        if self._shares.is_customer_at_limit(endpoint, customer):
            return None
        own_only |= (
            not by_affinity
            and self._customer_holders.applies(endpoint, customer)
            and self.now >= endpoint.connect_backoff_until
        )
        idle = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.IDLE
            and connection.can_serve(customer)
            and not connection.is_single_use
            and not (own_only and connection.holder)
            and not (forwarded_only and not connection.holder)
            and not self._holders.is_silent(connection.holder)
        ]
        if not idle:
            return None
        # Values are set in the same write as the statement, whereas forwarding adds
        # latency.
        return self._note_use(
            max(idle, key=lambda c: (not c.holder, c.values == values))
        )

    def _acquire_by_affinity(
        self,
        endpoint: EndpointRow,
        values: dict[str, str] | None,
        customer: str,
        may_wait: bool,
        forwarded_only: bool,
    ) -> ConnectionRow | None:
        """Return an idle connection for a statement of this host's own callers."""
        is_at_limit = self._shares.is_customer_at_limit(endpoint, customer)
        forwarded_only |= is_at_limit
        idle = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.IDLE
            and connection.can_serve(customer)
            and not connection.is_single_use
            and not (forwarded_only and not connection.holder)
            and not self._holders.is_silent(connection.holder)
        ]
        chosen = self._customer_holders.choose(
            endpoint, customer, values, idle, may_wait
        )
        if chosen is None:
            return None
        if chosen.holder and endpoint.connect_failures:
            self._retry_own(endpoint, customer)
        return self._note_use(chosen)

    def _retry_own(self, endpoint: EndpointRow, customer: str) -> None:
        """Have a holder whose endpoint failed connect to it again, beside its links."""
        opening = (
            connection.state is ConnectionState.OPENING and not connection.holder
            for connection in endpoint.connections.values()
        )
        if self._holders.holds(endpoint.entry.service) and not any(opening):
            self.grow(endpoint, customer)

    def _note_use(self, connection: ConnectionRow) -> ConnectionRow:
        """Count a connection of a customer that is used again."""
        if connection.has_served:
            self._count_use("connections_reused", connection)
        connection.has_served = True
        return connection

    def _count_use(self, name: str, connection: ConnectionRow) -> None:
        endpoint, customer = connection.endpoint, connection.customer
        labels = {"endpoint": endpoint.name}
        if self._customer_holders.applies(endpoint, customer):
            is_home = self._customer_holders.is_home(endpoint, customer)
            labels["home"] = "yes" if is_home else "no"
        elif name == "connections_reused":
            return
        self._node.count(name, **labels)

    def grow(
        self,
        endpoint: EndpointRow,
        customer: str | None = None,
        beyond_share: bool = False,
        borrow: bool = False,
        by_affinity: bool = False,
    ) -> bool:
        """Open one more connection if allowed; return whether one is being opened.

        The connection serves `customer`, None: this host's own statements.
        `beyond_share` ignores this host's share.

        `borrow` allows a connection through another host if this host may not open one
        of its own. All callers of a region may be connected to a single host, mostly
        after many hosts have started, while connections of the other hosts are idle.

        `by_affinity`: the customer's order of holders applies, where there is one.
        """
        if not self.tables.is_current(endpoint):
            return False
        opening = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.OPENING
        ]
        if by_affinity and self._customer_holders.forwards(endpoint, customer):
            opens = self._open_link(endpoint, customer)
            if opens is not None:
                return opens or bool(opening)
        if self._customer_holders.applies(endpoint, customer):
            # Links are limited apart: silent holders must not delay own connections.
            opening = [connection for connection in opening if not connection.holder]
        limit = OPENING_MAX if customer is None else OPENING_FOR_CUSTOMERS_MAX
        if len(opening) >= limit or any(_is_for(c, customer) for c in opening):
            return True
        if not self._holders.are_hosts_known:
            return bool(opening)
        if not self._shares.is_customer_at_limit(endpoint, customer):
            if customer is not None:
                self._make_room(endpoint, customer)
            if self._shares.can_open(endpoint, beyond_share):
                path = self._shares.path(endpoint)
                if path is None:
                    self._note_bypass(endpoint)
                self._open(endpoint, path, customer)
                return True
        lender = self._shares.lender(endpoint) if borrow else None
        if lender is not None:
            self._open(endpoint, lender, customer)
            return True
        return bool(opening)

    def _note_bypass(self, endpoint: EndpointRow) -> None:
        """Publish the first direct connection of a host that is no holder."""
        is_holder = self._holders.holds(endpoint.entry.service)
        if not is_holder and not self._shares.bypasses_holders(endpoint):
            self._node.publish(HoldersBypassed(endpoint))

    def _open_link(self, endpoint: EndpointRow, customer: str) -> bool | None:
        """Open a link to the best holder of a customer; return whether one opens.

        Return None if this host should open a connection of its own.
        """
        via = self._customer_holders.next_holder(endpoint, customer)
        if via is None:
            return True
        if via.name == self._node.identity.name:
            return None
        if not self._customer_holders.can_open_link(endpoint):
            return False
        room = self._customer_holders.room_for(endpoint, via)
        if not room:
            return False
        if isinstance(room, ConnectionRow):
            self.close(room, "closed to make room for a link to another holder")
        self._open(endpoint, via, customer)
        self.timers.after(LINK_WAIT, self._check_link, endpoint, via)
        return True

    def _check_link(self, endpoint: EndpointRow, via: HostRow) -> None:
        """Have statements use another holder if one does not accept a link."""
        if any(
            connection.holder == via.name
            and connection.state is ConnectionState.OPENING
            for connection in endpoint.connections.values()
        ):
            self._node.count("slow_links", endpoint=endpoint.name)
            self._node.publish(ConnectionFreed(endpoint))

    def acquire_via(
        self, endpoint: EndpointRow, host: HostRow, carries_fences: bool = False
    ) -> ConnectionRow | None:
        """Return an idle single-use connection through a host; open one if needed."""
        links = endpoint.fence_links if carries_fences else endpoint.connections
        for connection in links.values():
            if connection.is_single_use and connection.holder == host.name:
                is_idle = connection.state is ConnectionState.IDLE
                return connection if is_idle else None
        self._open(endpoint, host, None, True, carries_fences)
        return None

    def acquire_through(
        self, endpoint: EndpointRow, host: HostRow, values: dict[str, str]
    ) -> ConnectionRow | None:
        """Return an idle link of callers' statements to a host; open one if needed."""
        links = [
            connection
            for connection in endpoint.connections.values()
            if connection.holder == host.name and not connection.is_single_use
        ]
        idle = [link for link in links if link.state is ConnectionState.IDLE]
        if idle:
            return self._note_use(max(idle, key=lambda link: link.values == values))
        opening = sum(link.state is ConnectionState.OPENING for link in links)
        if len(links) < FORWARDED_MAX and opening < OPENING_MAX:
            self._open(endpoint, host, None)
        return None

    def open_check(self, endpoint: EndpointRow, host: HostRow) -> ConnectionRow:
        """Open a link for the sole purpose of finding out whether a holder answers."""
        return self._open(endpoint, host, None, is_single_use=True)

    def mark_silent(self, link: ConnectionRow) -> None:
        """Stop using the holder of a link, which did not accept the link in time."""
        endpoint, holder = link.endpoint, link.holder
        was_silent = self._holders.is_silent(holder)
        self._holders.mark_silent(holder)
        if not was_silent:
            self._node.log(
                "warning", "holder_silent", holder=holder, endpoint=endpoint.name
            )
            self._node.count("holders_silent")
            self._node.publish(ConnectionFreed(endpoint))

    def retry(self, endpoint: EndpointRow) -> None:
        """Connect to an endpoint without waiting for the end of its backoff."""
        endpoint.connect_backoff_until = self.now
        self.grow(endpoint, beyond_share=True)

    def _make_room(self, endpoint: EndpointRow, customer: str) -> None:
        """Close an idle connection of another customer if the share is exhausted.

        During a backoff no connection could be opened in its place, and none is closed.
        """
        if self.now < endpoint.connect_backoff_until or not self._shares.is_exhausted(
            endpoint
        ):
            return
        if self._customer_holders.applies(endpoint, customer):
            connections = endpoint.connections.values()
            evicted = choose_eviction(connections, customer, self.now)
            if evicted is not None:
                self.close(evicted, "closed to make room for another customer")
                return
            when = eviction_time(connections, customer)
            if when is not None:
                self._check_room_at(endpoint, when)
            return
        idle = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.IDLE
            and not connection.can_serve(customer)
        ]
        if idle:
            oldest = min(idle, key=lambda connection: connection.last_used_at)
            self.close(oldest, "closed to make room for another customer")

    def _check_room_at(self, endpoint: EndpointRow, when: float) -> None:
        """Try waiting statements again when a connection may be closed for them.

        Without a timer nothing wakes a customer whose own connection stays in use.
        """
        if self.now < self._room_checks.get(endpoint.name, 0.0) <= when:
            return
        self._room_checks[endpoint.name] = when
        self.timers.at(when, self._node.publish, ConnectionFreed(endpoint))

    def release(self, connection: ConnectionRow) -> None:
        """Return a connection to the pool; close it if its session state is unknown."""
        if connection.number not in self.tables.connections:
            return
        connection.on_lost = None
        if connection.is_broken:
            self.close(connection, "its session state is unknown")
            return
        if not self.tables.is_current(connection.endpoint):
            self.close(connection, "the endpoint was removed or has restarted")
            return
        if not connection.carries_fences and self._shares.is_surplus(connection):
            self.close(connection, "it exceeds this host's share")
            return
        connection.state = ConnectionState.IDLE
        connection.last_used_at = self.now
        self._node.publish(ConnectionFreed(connection.endpoint))

    def close(self, connection: ConnectionRow, why: str) -> None:
        """Close a connection; calls in flight on it get no reply.

        Those that are held up on their way are withdrawn. If a commit were delivered
        later, it could be acknowledged while a successor is promoted that lacks it.
        """
        if self._remove(connection.number) is None:
            return
        withdraws_calls = bool(connection.pending)
        self._node.emit(CloseConnection(connection.number, withdraws_calls))
        self._node.count("connections_closed", endpoint=connection.endpoint.name)
        if connection.has_sent_commit:
            commits = tuple(batch for batch in connection.pending if batch.commits)
            self._node.publish(CommitsAbandoned(connection.endpoint, commits))
        self._notify_lost(connection, why)

    # -- Sending -------------------------------------------------------------

    def send(
        self,
        connection: ConnectionRow,
        calls: list[EndpointCall],
        on_replies: Callable[[ConnectionRow, list[EndpointReply]], None],
        commits: bool = False,
        for_other_host: bool = False,
    ) -> None:
        """Send calls in one write; `on_replies` is called with all replies to them.

        `commits`: one of them commits writes, by itself or of its transaction. If it is
        of a caller, it is the last one.
        """
        if connection.state is ConnectionState.IDLE:
            connection.state = ConnectionState.BUSY
        may_commit = any(call.statement.may_commit for call in calls)
        batch = Batch(len(calls), on_replies, self.now, may_commit, commits)
        if may_commit and not connection.holder:
            batch.writes = frozenset(
                i for i, call in enumerate(calls) if isinstance(call.statement, Write)
            )
            batch.position_before = connection.endpoint.position
        if commits and calls[-1].request_id:
            way = "holder" if connection.holder else "direct"
            way = "other" if for_other_host else way
            batch.commit = SentCommit(calls[-1].request_id, self.now, way)
            connection.endpoint.sent_commits.append(batch.commit)
        connection.pending.append(batch)
        self._node.emit(SendCalls(connection.number, tuple(calls)))
        self._node.publish(CallsSent(connection))

    def roll_back(self, connection: ConnectionRow) -> None:
        """Roll back the transaction on a connection, then release the connection."""
        if connection.number not in self.tables.connections:
            return
        connection.on_lost = None
        self.send(connection, [EndpointCall(Rollback())], self._on_rolled_back)

    def _on_rolled_back(
        self, connection: ConnectionRow, replies: list[EndpointReply]
    ) -> None:
        if replies[0].state is not SessionState.IDLE:
            connection.is_broken = True
        self.release(connection)

    # -- Opening, replies and losses -----------------------------------------

    def _open(
        self,
        endpoint: EndpointRow,
        via: HostRow | None,
        customer: str | None,
        is_single_use: bool = False,
        carries_fences: bool = False,
    ) -> ConnectionRow:
        number = self._node.next_number()
        entry = endpoint.entry
        address, holder = entry.address, ""
        if via is not None:
            address, holder, customer = via.address, via.name, None
        connection = ConnectionRow(
            number,
            endpoint,
            self.now,
            holder=holder,
            customer=customer,
            is_single_use=is_single_use,
            carries_fences=carries_fences,
        )
        self.tables.connections[number] = connection
        links = endpoint.fence_links if carries_fences else endpoint.connections
        links[number] = connection
        self._node.emit(
            OpenConnection(
                number,
                address,
                entry.service,
                entry.name,
                CONNECT_TIMEOUT,
                customer,
                carries_fences,
            )
        )
        self._count_use("connections_opened", connection)
        return connection

    def _on_ready(self, event: ConnectionReady) -> None:
        connection = self.tables.connections.get(event.connection)
        if connection is None:
            return
        endpoint = connection.endpoint
        if connection.holder:
            connection.forwards_names = not event.translates_names
            link_time = self.now - connection.opened_at
            self._holders.mark_answered(connection.holder, link_time)
        else:
            endpoint.last_direct_reply_at = self.now
            endpoint.note_reached(connection.opened_at)
            if event.position is not None:
                opened_at = connection.opened_at
                self._lead_members.note_position(endpoint, event.position, opened_at)
        if self._shows_endpoint_alive(connection):
            endpoint.connect_failures = 0
            endpoint.last_reply_at = self.now
        self._publish_floor(endpoint, event.floor, connection.opened_at)
        self.release(connection)

    def _shows_endpoint_alive(self, connection: ConnectionRow) -> bool:
        """Return whether an answer on a connection shows that its endpoint is alive.

        A forwarding host may not have noticed yet that it can't reach the endpoint. For
        a holder, answers on borrowed connections do not count: two holders that lost
        the endpoint would each treat the other's answer as the endpoint's.
        """
        if not connection.holder:
            return True
        if connection.carries_fences:
            return False
        return not self._holders.holds(connection.endpoint.entry.service)

    def _on_refused(self, event: ConnectionRefused) -> None:
        connection = self._remove(event.connection)
        if connection is None:
            return
        endpoint = connection.endpoint
        self._node.log(
            "info",
            "connection_refused",
            endpoint=endpoint.name,
            code=event.code.value,
            message=event.message,
            holder=connection.holder,
            open=len(endpoint.connections),
        )
        if connection.holder:
            is_definitive = not self._is_timed_out(connection, event)
            if is_definitive:
                self._holders.note_reply(connection.holder)
            self._node.publish(
                ForwardedConnectionRefused(
                    endpoint,
                    connection.holder,
                    is_definitive,
                    connection.carries_fences,
                    event.is_gone or event.code is Code.WRONG_ENDPOINT,
                )
            )
            if connection.carries_fences or self._avoid_holder(connection, event):
                return
        if event.code is Code.TOO_MANY_CONNECTIONS:
            pause = FULL_BACKOFF * self._node.random.uniform(1.0, 2.0)
            if not connection.holder:
                endpoint.was_full_at = self.now
                endpoint.note_reached(connection.opened_at)
        else:
            endpoint.connect_failures += 1
            pause = self._node.backoff(
                endpoint.connect_failures, BACKOFF_MIN, BACKOFF_MAX
            )
        endpoint.connect_backoff_until = self.now + pause
        if event.code is Code.TOO_MANY_CONNECTIONS:
            # Waiting statements can use a borrowed connection now. If they waited for
            # the end of the pause, they would be refused before it.
            self._node.publish(ConnectionFreed(endpoint))
        is_failure = event.unreachable or event.code is Code.WRONG_ENDPOINT
        # That a holder can't reach an endpoint does not show that the endpoint failed.
        if is_failure and not connection.holder:
            unreachable = EndpointUnreachable(
                endpoint, event.message, connection.opened_at, event.is_gone
            )
            self._node.publish(unreachable)
        self.timers.after(pause, self._node.publish, ConnectionFreed(endpoint))

    def _is_timed_out(
        self, connection: ConnectionRow, event: ConnectionRefused
    ) -> bool:
        """Return whether an attempt to connect got no answer in time."""
        elapsed = self.now - connection.opened_at
        return event.unreachable and elapsed >= CONNECT_TIMEOUT

    def _avoid_holder(
        self, connection: ConnectionRow, event: ConnectionRefused
    ) -> bool:
        """Stop using a holder that refused; return whether there is another path.

        The holder crashed, has too few connections, or can't reach the endpoint. The
        next holder may be able to serve.
        """
        endpoint = connection.endpoint
        if event.code is Code.UNREACHABLE:
            self._holders.mark_unreachable(connection.holder, endpoint)
        else:
            timed_out = self._is_timed_out(connection, event)
            self._holders.mark_failed(connection.holder, timed_out)
        if self._holders.holds(endpoint.entry.service):
            if self._holders.serves_customers(endpoint.entry.service):
                # Its callers' statements wait for this link, and another one serves.
                self._node.publish(ConnectionFreed(endpoint))
            return True
        has_path = self._holders.has_usable_holder(
            endpoint
        ) or self._holders.is_cut_off(endpoint)
        if not has_path:
            return False
        self._node.publish(ConnectionFreed(endpoint))
        return True

    def _on_lost(self, event: ConnectionLost) -> None:
        connection = self._remove(event.connection)
        if connection is None:
            return
        endpoint = connection.endpoint
        self._node.log(
            "info",
            "connection_lost",
            endpoint=endpoint.name,
            connection=event.connection,
            in_flight=len(connection.pending),
            message=event.message,
        )
        self._notify_lost(connection, event.message)
        if not connection.holder:
            self._node.publish(EndpointDisconnected(endpoint))
        if connection.carries_fences:
            return
        service = endpoint.entry.service
        is_for_callers = bool(connection.holder) and self._holders.holds(service)
        if is_for_callers and self._holders.serves_customers(service):
            return  # a connection of this host itself would serve no customer
        if not endpoint.is_leaving:
            # If the endpoint has crashed, the attempt is refused at once, which shows
            # the crash before the next statement does.
            self.grow(endpoint, connection.customer)

    def _remove(self, number: int) -> ConnectionRow | None:
        connection = self.tables.connections.pop(number, None)
        if connection is not None:
            connection.endpoint.connections.pop(number, None)
            connection.endpoint.fence_links.pop(number, None)
        return connection

    def _notify_lost(self, connection: ConnectionRow, why: str) -> None:
        """Drop the calls in flight on a connection, and call its `on_lost` handler."""
        on_lost, connection.on_lost = connection.on_lost, None
        count = sum(batch.doubtful_commits for batch in connection.pending)
        if count and not connection.holder:
            self._node.publish(CommitsUnanswered(connection.endpoint, count))
        connection.pending.clear()
        if on_lost is not None:
            on_lost(connection, why)

    def _on_answered(self, event: EndpointAnswered) -> None:
        connection = self.tables.connections.get(event.connection)
        if connection is None:
            return
        if not connection.pending:
            self.close(connection, "a reply came without a call in flight")
            return
        batch = connection.pending[0]
        reply = event.reply
        if reply.code is Code.UNREACHABLE:
            reply = self._handle_unreachable(connection, reply)
        if reply.code is not Code.UNSENDABLE:
            self._record_reply(connection, reply, batch.sent_at)
        if batch.may_commit and not connection.holder:
            self._unanswered_commits.note_code(connection.endpoint, reply.code)
        if len(batch.replies) in batch.writes and _is_commit(reply):
            before = batch.position_before
            self._durability.note_commit(connection.endpoint, before)
        batch.replies.append(reply)
        if len(batch.replies) == batch.size:
            if batch.commit is not None:
                self._note_commit_reply(connection.endpoint, batch.commit, reply)
            connection.pending.popleft()
            batch.on_replies(connection, batch.replies)
            if connection.state is ConnectionState.PINNED:
                # The connection stays pinned to its transaction, but the endpoint has
                # room for another statement.
                self._node.publish(ConnectionFreed(connection.endpoint))

    def _note_commit_reply(
        self, endpoint: EndpointRow, commit: SentCommit, reply: EndpointReply
    ) -> None:
        """Record the reply to a commit; one that did not run makes room for others."""
        commit.note_reply(reply, self.now)
        if reply.code.is_not_run and commit in endpoint.sent_commits:
            endpoint.sent_commits.remove(commit)

    def _handle_unreachable(
        self, connection: ConnectionRow, reply: EndpointReply
    ) -> EndpointReply:
        """Handle the code UNREACHABLE; return the reply to pass on.

        A holder that can't reach the endpoint, and the connections through that holder,
        are not used any more. From a holder, the code guarantees that the call did not
        run. An endpoint can't be unreachable for itself: on a direct connection the
        code guarantees nothing, and is replaced by OTHER.
        """
        if not connection.holder:
            return replace(reply, code=Code.OTHER)
        endpoint = connection.endpoint
        self._holders.mark_unreachable(connection.holder, endpoint)
        for other in list(endpoint.connections.values()):
            if other.holder != connection.holder:
                continue
            other.is_broken = True
            if other.state is ConnectionState.IDLE:
                self.close(other, "its holder can't reach the endpoint")
        return reply

    def can_reach(self, endpoint: EndpointRow) -> bool:
        """Return whether this host can reach an endpoint, as far as it knows.

        That connections are open shows nothing: a host that is cut off from an endpoint
        keeps them, but gets no replies.
        """
        return (
            not endpoint.connect_failures
            or endpoint.last_reply_at > self.now - RESPONSE_TIMEOUT
        )

    def _record_reply(
        self, connection: ConnectionRow, reply: EndpointReply, sent_at: float
    ) -> None:
        """Record what a reply shows about its endpoint."""
        endpoint = connection.endpoint
        if connection.holder:
            self._holders.note_reply(connection.holder)
        else:
            endpoint.last_direct_reply_at = self.now
            endpoint.answered_sent_at = max(endpoint.answered_sent_at, sent_at)
            endpoint.note_reached(sent_at)
        # A reply with a position is the endpoint's own: a holder that refuses a call
        # sends none.
        if reply.position is not None or self._shows_endpoint_alive(connection):
            endpoint.last_reply_at = self.now
        if reply.position is not None:
            endpoint.position = reply.position
            group = self.tables.group(endpoint.entry.service)
            group.term = max(group.term, reply.position.term)
            self._lead_members.note_position(endpoint, reply.position, sent_at)
            self._proofs.note_position(endpoint, reply.position, sent_at)
            self._near_misses.note_position(endpoint, reply.position)
            commits = self._unanswered_commits
            commits.note_position(endpoint, reply.position, sent_at)
        self._publish_floor(endpoint, reply.floor, sent_at)

    def _publish_floor(
        self, endpoint: EndpointRow, floor: FloorHint | None, sent_at: float
    ) -> None:
        """Publish the sample of the primary's log position that a holder sent."""
        if floor is None:
            return
        group = self.tables.group(endpoint.entry.service)
        # The age was measured when the call arrived at the holder, which is after
        # `sent_at`: the sample was taken at or after the time computed here.
        asked_at = sent_at - floor.age
        self._node.publish(FloorReceived(group, floor.position, asked_at))

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Close all connections to an endpoint's previous run, busy ones included.

        An endpoint whose machine failed does not reset its connections. Calls sent on
        them would wait for replies that never come, and sessions would assume that
        their values and prepared statements exist at the restarted endpoint.
        """
        previous = signal.previous
        signal.endpoint.sent_commits = previous.sent_commits
        links = previous.fence_links.values()
        for connection in [*previous.connections.values(), *links]:
            self.close(connection, "the endpoint restarted")

    def _on_expired(self, signal: EndpointExpired) -> None:
        for connection in list(signal.endpoint.connections.values()):
            if connection.state is ConnectionState.IDLE:
                self.close(connection, "the endpoint was removed")


def _is_for(opening: ConnectionRow, customer: str | None) -> bool:
    """Return whether a connection that is being opened is for a given customer."""
    return customer is not None and opening.customer == customer


def _is_commit(reply: EndpointReply) -> bool:
    """Return whether a write's reply shows that it was committed on its own."""
    return reply.code is Code.DONE and reply.state is SessionState.IDLE
