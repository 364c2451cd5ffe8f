"""Connections to endpoints: opened by demand within this host's share, and reused.

A connection carries the state of the session that used it last. The state of the
next session is sent ahead of its statement, in the same write.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from mallowpass.core.messages import ConnectionLost
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.effects import CloseConnection, OpenConnection, SendCalls
from mallowpass.core.proxy.events import (
    ConnectionReady,
    ConnectionRefused,
    EndpointAnswered,
)
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.signals import (
    CallsSent,
    ConnectionFreed,
    EndpointExpired,
    EndpointRestarted,
    EndpointUnreachable,
    FloorReceived,
    ForwardedConnectionRefused,
)
from mallowpass.core.proxy.statements import (
    Code,
    EndpointCall,
    EndpointReply,
    FloorHint,
    Rollback,
    SessionState,
)
from mallowpass.core.proxy.tables import (
    Batch,
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
)

__all__ = ["RESPONSE_TIMEOUT", "Connections"]

# A connection that takes this long is not worth waiting for: a round trip between
# regions and the handshake of an endpoint take a tenth of it.
CONNECT_TIMEOUT = 0.45
BACKOFF_MIN = 0.05  # seconds between attempts to reach an endpoint
BACKOFF_MAX = 1.0
FULL_BACKOFF = 0.25  # seconds after which a full endpoint is asked again
# Connections that one host may open to one endpoint at once: each takes a slot there
# for as long as a statement, so a storm of them stops the work it was meant to do.
OPENING_MAX = 2
# The same where each serves one customer only; one customer waits for one at a time.
OPENING_FOR_CUSTOMERS_MAX = 4
# A call that is unanswered for so long, with nothing else heard of the endpoint, has a
# new connection tried. A full queue takes less.
RESPONSE_TIMEOUT = 0.25  # seconds


class Connections(ProxySystem):
    """Own the connections of this host."""

    __slots__ = ("_durability", "_holders", "_shares")

    def start(self) -> None:
        """Subscribe to what happens to connections."""
        node = self._node
        self._durability = node.system(Durability)
        self._holders = node.system(Holders)
        self._shares = node.system(Shares)
        node.subscribe(ConnectionReady, self._on_ready)
        node.subscribe(ConnectionRefused, self._on_refused)
        node.subscribe(ConnectionLost, self._on_lost)
        node.subscribe(EndpointAnswered, self._on_answered)
        node.subscribe(EndpointExpired, self._on_forgotten)
        node.subscribe(EndpointRestarted, self._on_restarted)

    # -- Taking and giving back ----------------------------------------------

    def acquire(
        self,
        endpoint: EndpointRow,
        values: dict[str, str] | None,
        customer: str | None = None,
        own_only: bool = False,
    ) -> ConnectionRow | None:
        """Return an idle connection, best one that has these values of a session.

        It serves `customer`, None: whichever. `own_only` leaves out those by way of
        other hosts.
        """
        if self._shares.has_its_part(endpoint, customer):
            return None
        idle = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.IDLE
            and connection.can_serve(customer)
            and not connection.is_single_use
            and not (own_only and connection.holder)
        ]
        if not idle:
            return None
        # What has to be set goes along with the statement; another host takes time.
        return max(idle, key=lambda c: (not c.holder, c.values == values))

    def grow(
        self,
        endpoint: EndpointRow,
        customer: str | None = None,
        beyond_share: bool = False,
        borrow: bool = False,
    ) -> bool:
        """Open one more connection if that is allowed; tell whether one is opening.

        It is to serve `customer`, None: this host's own statements.

        With `borrow`, one by way of another host is opened where this host may open
        none itself. All callers of a region may come to one host, most of all when
        many start again; the others' connections are idle then.
        """
        if not self.tables.is_current(endpoint):
            return False
        opening = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.OPENING
        ]
        most = OPENING_MAX if customer is None else OPENING_FOR_CUSTOMERS_MAX
        if len(opening) >= most or any(_is_for(c, customer) for c in opening):
            return True
        if not self._holders.known:
            return bool(opening)
        if not self._shares.has_its_part(endpoint, customer):
            if customer is not None:
                self._make_room(endpoint, customer)
            if self._shares.may_open(endpoint, beyond_share):
                self._open(endpoint, self._shares.way(endpoint), customer)
                return True
        lender = self._shares.lender(endpoint) if borrow else None
        if lender is not None:
            self._open(endpoint, lender, customer)
            return True
        return bool(opening)

    def acquire_via(self, endpoint: EndpointRow, host: HostRow) -> ConnectionRow | None:
        """Return an idle connection by way of a host that is opened just for that."""
        for connection in endpoint.connections.values():
            if connection.is_single_use and connection.holder == host.name:
                is_idle = connection.state is ConnectionState.IDLE
                return connection if is_idle else None
        self._open(endpoint, host, None, is_single_use=True)
        return None

    def retry(self, endpoint: EndpointRow) -> None:
        """Try to reach an endpoint at once that could not be reached before."""
        endpoint.connect_backoff_until = self.now
        self.grow(endpoint, beyond_share=True)

    def _make_room(self, endpoint: EndpointRow, customer: str) -> None:
        """Close an idle connection of another customer if the share is taken up.

        Not while the endpoint turns hosts away: none could be opened in its place.
        """
        if self.now < endpoint.connect_backoff_until or not self._shares.is_taken_up(
            endpoint
        ):
            return
        idle = [
            connection
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.IDLE
            and not connection.can_serve(customer)
        ]
        if idle:
            least = min(idle, key=lambda connection: connection.last_used_at)
            self.close(least, "another customer needs its place")

    def release(self, connection: ConnectionRow) -> None:
        """Make a connection free for others; close it if its state is unknown."""
        if connection.number not in self.tables.connections:
            return
        connection.on_lost = None
        if connection.is_broken:
            self.close(connection, "its state is unknown")
            return
        if not self.tables.is_current(connection.endpoint):
            self.close(connection, "the endpoint is gone")
            return
        if self._shares.is_surplus(connection):
            self.close(connection, "the shares have changed")
            return
        connection.state = ConnectionState.IDLE
        connection.last_used_at = self.now
        self._node.publish(ConnectionFreed(connection.endpoint))

    def close(self, connection: ConnectionRow, why: str) -> None:
        """Close a connection; calls in flight on it have no answer."""
        if self._remove(connection.number) is None:
            return
        self._node.emit(CloseConnection(connection.number))
        self._node.count("connections_closed", endpoint=connection.endpoint.name)
        self._abandon(connection, why)

    # -- Sending -------------------------------------------------------------

    def send(
        self,
        connection: ConnectionRow,
        calls: list[EndpointCall],
        on_replies: Callable[[ConnectionRow, list[EndpointReply]], None],
    ) -> None:
        """Send calls in one write; `on_replies` gets the replies to all of them."""
        if connection.state is ConnectionState.IDLE:
            connection.state = ConnectionState.BUSY
        connection.pending.append(Batch(len(calls), on_replies, self.now))
        self._node.emit(SendCalls(connection.number, tuple(calls)))
        self._node.publish(CallsSent(connection))

    def roll_back(self, connection: ConnectionRow) -> None:
        """Roll a connection's transaction back, then make it free."""
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

    # -- What happens to connections -----------------------------------------

    def _open(
        self,
        endpoint: EndpointRow,
        way: HostRow | None,
        customer: str | None,
        is_single_use: bool = False,
    ) -> None:
        number = self._node.number()
        entry = endpoint.entry
        address, holder = entry.address, ""
        if way is not None:
            address, holder, customer = way.address, way.name, None
        connection = ConnectionRow(
            number,
            endpoint,
            self.now,
            holder=holder,
            customer=customer,
            is_single_use=is_single_use,
        )
        self.tables.connections[number] = connection
        endpoint.connections[number] = connection
        self._node.emit(
            OpenConnection(
                number, address, entry.service, entry.name, CONNECT_TIMEOUT, customer
            )
        )
        self._node.count("connections_opened", endpoint=entry.name)

    def _on_ready(self, event: ConnectionReady) -> None:
        connection = self.tables.connections.get(event.connection)
        if connection is None:
            return
        endpoint = connection.endpoint
        if connection.holder:
            self._holders.answered(connection.holder)
        if self._is_endpoints_answer(connection):
            endpoint.connect_failures = 0
            endpoint.last_reply_at = self.now
        self._learn_floor(endpoint, event.floor, connection.opened_at)
        self.release(connection)

    def _is_endpoints_answer(self, connection: ConnectionRow) -> bool:
        """Tell whether an answer on a connection shows that its endpoint answers.

        Another host that passes statements on may not have noticed that it can't reach
        the endpoint. Hosts that connect to it themselves would each take the other's
        answer for the endpoint's.
        """
        if not connection.holder:
            return True
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
            is_definitive = not self._is_silent(connection, event)
            self._node.publish(
                ForwardedConnectionRefused(endpoint, connection.holder, is_definitive)
            )
            if self._pass_over(connection, event):
                return
        if event.code is Code.TOO_MANY_CONNECTIONS:
            pause = FULL_BACKOFF * self._node.random.uniform(1.0, 2.0)
        else:
            endpoint.connect_failures += 1
            pause = self._node.backoff(
                endpoint.connect_failures, BACKOFF_MIN, BACKOFF_MAX
            )
        endpoint.connect_backoff_until = self.now + pause
        if event.code is Code.TOO_MANY_CONNECTIONS:
            # What waits here goes by way of a host that has connections. After the
            # pause it would have been refused.
            self._node.publish(ConnectionFreed(endpoint))
        gone = event.unreachable or event.code is Code.WRONG_ENDPOINT
        # What a holder fails to reach is no evidence of the endpoint's end.
        if gone and not connection.holder:
            unreachable = EndpointUnreachable(
                endpoint, event.message, connection.opened_at
            )
            self._node.publish(unreachable)
        self.timers.after(pause, self._node.publish, ConnectionFreed(endpoint))

    def _is_silent(self, connection: ConnectionRow, event: ConnectionRefused) -> bool:
        """Tell whether an attempt to connect got no answer at all in time."""
        took = self.now - connection.opened_at
        return event.unreachable and took >= CONNECT_TIMEOUT

    def _pass_over(self, connection: ConnectionRow, event: ConnectionRefused) -> bool:
        """Pass over a holder that refused; tell whether another way is left.

        It is gone, short of connections, or can't reach the endpoint: the next one may
        well have what this one lacks.
        """
        endpoint = connection.endpoint
        if event.code is Code.UNREACHABLE:
            self._holders.cannot_reach(connection.holder, endpoint)
        else:
            silent = self._is_silent(connection, event)
            self._holders.failed(connection.holder, silent)
        if self._holders.holds(endpoint.entry.service):
            return True
        left = self._holders.has_route(endpoint) or self._holders.is_cut_off(endpoint)
        if not left:
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
        self._abandon(connection, event.message)
        if not endpoint.is_leaving:
            # Whoever crashed refuses at once: one learns that it is gone from the
            # next attempt, not from a caller's statement some time later.
            self.grow(endpoint, connection.customer)

    def _remove(self, number: int) -> ConnectionRow | None:
        connection = self.tables.connections.pop(number, None)
        if connection is not None:
            connection.endpoint.connections.pop(number, None)
        return connection

    def _abandon(self, connection: ConnectionRow, why: str) -> None:
        on_lost, connection.on_lost = connection.on_lost, None
        connection.pending.clear()
        if on_lost is not None:
            on_lost(connection, why)

    def _on_answered(self, event: EndpointAnswered) -> None:
        connection = self.tables.connections.get(event.connection)
        if connection is None:
            return
        if not connection.pending:
            self.close(connection, "an answer to nothing")
            return
        batch = connection.pending[0]
        reply = event.reply
        if reply.code is Code.UNREACHABLE:
            reply = self._take_unreachable(connection, reply)
        self._note(connection, reply, batch.sent_at)
        batch.replies.append(reply)
        if len(batch.replies) == batch.size:
            connection.pending.popleft()
            batch.on_replies(connection, batch.replies)
            if connection.state is ConnectionState.PINNED:
                # It stays with its transaction, and its endpoint has less to do.
                self._node.publish(ConnectionFreed(connection.endpoint))

    def _take_unreachable(
        self, connection: ConnectionRow, reply: EndpointReply
    ) -> EndpointReply:
        """Have an endpoint reached by another holder than the one that could not.

        An endpoint can't say so of itself: whatever its word means, it is no promise.
        """
        if not connection.holder:
            return replace(reply, code=Code.OTHER)
        endpoint = connection.endpoint
        self._holders.cannot_reach(connection.holder, endpoint)
        for other in list(endpoint.connections.values()):
            if other.holder != connection.holder:
                continue
            other.is_broken = True
            if other.state is ConnectionState.IDLE:
                self.close(other, "its holder can't reach the endpoint")
        return reply

    def can_reach(self, endpoint: EndpointRow) -> bool:
        """Tell whether an endpoint answers this host, as far as is known.

        One that is cut off keeps connections on which nothing comes.
        """
        return (
            not endpoint.connect_failures
            or endpoint.last_reply_at > self.now - RESPONSE_TIMEOUT
        )

    def _note(
        self, connection: ConnectionRow, reply: EndpointReply, sent_at: float
    ) -> None:
        endpoint = connection.endpoint
        # A host on the way that refuses for the endpoint knows no position.
        if reply.position is not None or self._is_endpoints_answer(connection):
            endpoint.last_reply_at = self.now
        if reply.position is not None:
            endpoint.position = reply.position
            group = self.tables.group(endpoint.entry.service)
            group.term = max(group.term, reply.position.term)
            self._durability.note_position(endpoint, reply.position, sent_at)
        self._learn_floor(endpoint, reply.floor, sent_at)

    def _learn_floor(
        self, endpoint: EndpointRow, floor: FloorHint | None, sent_at: float
    ) -> None:
        """Pass on what a host on the way adds to an answer."""
        if floor is None:
            return
        group = self.tables.group(endpoint.entry.service)
        # What it answers arrived there after it was sent here, whatever time that took.
        asked_at = sent_at - floor.age
        self._node.publish(FloorReceived(group, floor.position, asked_at))

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Close all connections to an endpoint's earlier start, also busy ones.

        One that ended without a sign, as its machine did, resets none of them. What was
        sent on them would wait for answers that can't come, and their values and
        prepared statements would be looked for at the new start.
        """
        for connection in list(signal.previous.connections.values()):
            self.close(connection, "the endpoint started again")

    def _on_forgotten(self, signal: EndpointExpired) -> None:
        for connection in list(signal.endpoint.connections.values()):
            if connection.state is ConnectionState.IDLE:
                self.close(connection, "the endpoint is gone")


def _is_for(opening: ConnectionRow, customer: str | None) -> bool:
    """Tell whether a customer's statement should wait for a connection that opens."""
    return customer is not None and opening.customer == customer
