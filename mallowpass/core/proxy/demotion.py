"""Demotion of a replaced primary before the replicas of its group resume.

A replaced primary goes on to accept transactions until it learns of its successor. A
resumed replica follows the first of the two that it learns of, so it may acknowledge
commits of the replaced primary that the successor never receives, and these
acknowledged commits are lost. The replaced primary cannot get a commit acknowledged
while its replicas are paused, nor once it has stepped down.

The order to step down names a term, and changes nothing at a primary of that term or a
newer one. An order that is carried out late is therefore harmless, whether or not the
platform checks fencing tokens. The order never names a term above the successor's, so a
host that mistakes which of two endpoints is primary cannot make the newer one step
down. Where that is unclear, both endpoints are asked for their terms.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.forwardedorders import ForwardedOrders, ForwardedReply
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import (
    EndpointExpired,
    EndpointRestarted,
    EndpointUnreachable,
    PrimarySteppedDown,
)
from mallowpass.core.proxy.statements import Code, Demote, EndpointReply
from mallowpass.core.proxy.tables import ConnectionState, EndpointRow, ProxySystem

__all__ = ["Demotion"]

# Seconds to wait for a primary's answer. An unreachable primary never answers, and the
# successor's writes wait meanwhile; a round trip between regions takes a tenth of it
# at most.
ANSWER_TIMEOUT = 0.5
# Seconds after which other hosts are asked to forward the order as well.
FORWARD_DELAY = 0.1
# Seconds to wait for an answer by way of a host: four times the way to a distant one,
# and the wait for a slot.
FORWARDED_TIMEOUT = 1.0
# Seconds to wait while a host that may reach the primary has not answered. A promotion
# takes one second, and one second later a primary that reaches its successor has
# stepped down by itself.
UNANSWERED_HOST_TIMEOUT = 2.5
# Seconds between two orders to a primary that has not answered: it may become reachable
# again, together with its callers, before it learns of its successor.
RETRY_INTERVAL_MIN = 0.1
RETRY_INTERVAL_MAX = 2.0

# Seconds to wait at most for a primary that answers other statements meanwhile.
RESPONSIVE_TIMEOUT = 3.0
# Seconds after which an unanswered statement counts as hung. The wait in a full queue
# is shorter.
HUNG_TIMEOUT = 0.25

# Seconds after which the findings of a demotion are outdated for a later one.
EVIDENCE_AGE_MAX = 0.05

_USABLE_STATES = (ConnectionState.IDLE, ConnectionState.OPENING)

DoneHandler = Callable[[], None]


@dataclass(slots=True, eq=False)
class _Task:
    """The demotion of one endpoint, until it has stepped down."""

    endpoint: EndpointRow
    term: int  # a primary of a lower term steps down
    began_at: float
    handlers: list[DoneHandler] = field(default_factory=list)
    is_released: bool = False  # handlers were called; `demote` begins a new task
    tries: int = 0
    is_unreachable: bool = False  # this host failed to connect after `began_at`
    is_forwarded: bool = False  # other hosts were asked to forward the order
    # Hosts that were asked to forward the order and have not answered yet.
    unanswered: set[str] = field(default_factory=set)


class Demotion(ProxySystem):
    """Order replaced primaries to step down, until each has done so or is removed."""

    __slots__ = (
        "_conflicts",
        "_connections",
        "_forwarded_orders",
        "_replica_orders",
        "_pending_orders",
        "_tasks",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by endpoint

    def start(self) -> None:
        """Subscribe to endpoints that are unreachable, restarted or removed."""
        node = self._node
        self._connections = node.system(Connections)
        self._forwarded_orders = node.system(ForwardedOrders)
        self._replica_orders = node.system(ReplicaOrders)
        self._conflicts = node.system(PrimaryConflicts)
        self._pending_orders = node.system(PendingOrders)
        node.subscribe(EndpointUnreachable, self._on_unreachable)
        node.subscribe(EndpointExpired, self._on_endpoint_expired)
        node.subscribe(EndpointRestarted, self._on_restarted)

    def demote(
        self, endpoint: EndpointRow, term: int, handler: DoneHandler = lambda: None
    ) -> None:
        """Make an endpoint step down from any term below `term`.

        Its successor is primary of `term` or of a newer term. The handler is called
        once the endpoint has stepped down, or once the wait for its answer ends.
        """
        self._demote(endpoint, term, handler)

    def demote_by_all(self, endpoint: EndpointRow, term: int) -> None:
        """Make an endpoint step down by way of all hosts at once.

        `PrimarySteppedDown` is published with the first answer.
        """
        task = self._demote(endpoint, term, lambda: None)
        if self._is_current(task) and not task.is_forwarded:
            self._forward(task)

    def _demote(self, endpoint: EndpointRow, term: int, handler: DoneHandler) -> _Task:
        task = self._tasks.get(endpoint.name)
        if task is None or task.is_released or self._is_outdated(task):
            task = self._begin(endpoint, term, [] if task is None else task.handlers)
        task.term = max(task.term, term)
        task.handlers.append(handler)
        if task.is_released or not self._is_current(task):
            self._release(task)
        return task

    def _is_outdated(self, task: _Task) -> bool:
        """Return whether a task may have been begun before the successor's promotion.

        An order that was lost before is not repeated for some time, and hosts that
        could not reach the endpoint before may reach it now.
        """
        return self.now - task.began_at > EVIDENCE_AGE_MAX

    def _begin(
        self,
        endpoint: EndpointRow,
        term: int,
        handlers: list[DoneHandler],
        is_released: bool = False,
    ) -> _Task:
        task = _Task(endpoint, term, self.now, list(handlers), is_released)
        self._tasks[endpoint.name] = task
        self.timers.after(ANSWER_TIMEOUT, self._on_timeout, task)
        self._order(task)
        self.timers.after(HUNG_TIMEOUT, self._replace_hung_connection, task)
        self._begin_forwarding(task)
        return task

    # -- Forwarding by other hosts -------------------------------------------

    def _begin_forwarding(self, task: _Task) -> None:
        """Forward the order: at once if this host hears nothing from it, else later."""
        endpoint = task.endpoint
        is_heard = endpoint.last_reply_at > self.now - HUNG_TIMEOUT
        if endpoint.connections and is_heard:
            self.timers.after(FORWARD_DELAY, self._forward_late, task)
        else:
            self._connections.retry(endpoint)
            self._forward(task)

    def _forward_late(self, task: _Task) -> None:
        if self._is_current(task) and not task.is_forwarded:
            self._forward(task)

    def _forward(self, task: _Task) -> None:
        ordered_at = self.now

        def on_reply(reply: ForwardedReply) -> None:
            self._note_reply(task.endpoint, reply.reply, ordered_at)
            self._on_forwarded_reply(task, reply)

        task.is_forwarded = True
        task.unanswered = set(self._forwarded_orders.forwarding_hosts(task.endpoint))
        self._forwarded_orders.send(
            task.endpoint, Demote(task.term), on_reply, FORWARDED_TIMEOUT
        )

    def _on_forwarded_reply(self, task: _Task, forwarded: ForwardedReply) -> None:
        if not self._is_current(task):
            return
        reply = forwarded.reply
        status = None if reply is None else reply.status
        if status is not None and not status.is_primary:
            why = f"it has stepped down; order forwarded by {forwarded.host}"
            self._end(task, why)
            return
        if forwarded.has_answered:
            task.unanswered.discard(forwarded.host)
            self._check_reachability(task)

    def _check_reachability(self, task: _Task) -> None:
        """Stop waiting for an endpoint that no host can connect to."""
        if task.is_unreachable and task.is_forwarded and not task.unanswered:
            self._stop_waiting(task, "no host can connect to it")

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.endpoint.name) is task

    def _order(self, task: _Task) -> None:
        if not self._is_current(task):
            return
        if task.is_released and self._is_undisputed_primary(task.endpoint):
            self._end(task, "it is primary again")
            return
        task.tries += 1
        self._make_room(task.endpoint)
        ordered_at = self.now

        def on_reply(reply: EndpointReply | None) -> None:
            self._note_reply(task.endpoint, reply, ordered_at)
            self._on_reply(task, reply)

        self._replica_orders.send(task.endpoint, Demote(task.term), on_reply)

    def _note_reply(
        self, endpoint: EndpointRow, reply: EndpointReply | None, ordered_at: float
    ) -> None:
        """Publish that an endpoint has stepped down, also if its task has ended."""
        status = None if reply is None else reply.status
        if status is not None and not status.is_primary:
            stepped_down = PrimarySteppedDown(endpoint, ordered_at, status.received)
            self._node.publish(stepped_down)

    def _is_undisputed_primary(self, endpoint: EndpointRow) -> bool:
        """Return whether an endpoint is primary, and no promotion order is pending."""
        group = self.tables.group(endpoint.entry.service)
        if group.primary != endpoint.name:
            return False
        return not self._pending_orders.pending(group.service)

    def _replace_hung_connection(self, task: _Task) -> None:
        """Open a connection for an order that still waits for one."""
        if self._is_current(task) and not task.is_released:
            self._make_room(task.endpoint)
            self._connections.grow(task.endpoint, beyond_share=True)

    def _make_room(self, endpoint: EndpointRow) -> None:
        """Close the connection with the longest hung statement, if all are in use.

        Where a primary reaches no replica, commits that wait for a replica occupy all
        its connections. The order would wait for these commits, and they would be
        acknowledged as soon as a replica receives again.
        """
        connections = endpoint.connections.values()
        if any(c.state in _USABLE_STATES for c in connections):
            return
        hung_before = self.now - HUNG_TIMEOUT
        hung = [
            c for c in connections if c.pending and c.pending[0].sent_at < hung_before
        ]
        if hung:
            longest = min(hung, key=lambda c: c.pending[0].sent_at)
            self._connections.close(longest, "closed to send an order to step down")

    def _on_timeout(self, task: _Task) -> None:
        """Stop waiting, unless the endpoint or a forwarding host may still answer.

        An endpoint that answers other statements has until `RESPONSIVE_TIMEOUT`, and a
        host that was asked to forward the order until `UNANSWERED_HOST_TIMEOUT`.
        """
        if not self._is_current(task) or task.is_released:
            return
        waited = self.now - task.began_at
        is_responsive = self.now - task.endpoint.last_reply_at < ANSWER_TIMEOUT
        may_be_reached = bool(task.unanswered) and waited < UNANSWERED_HOST_TIMEOUT
        if may_be_reached or (is_responsive and waited < RESPONSIVE_TIMEOUT):
            self.timers.after(RETRY_INTERVAL_MIN, self._on_timeout, task)
        else:
            self._stop_waiting(task, "no answer in time")

    def _on_reply(self, task: _Task, reply: EndpointReply | None) -> None:
        if not self._is_current(task):
            return
        status = None
        if reply is not None and reply.code is Code.DONE:
            status = reply.status
        if status is not None and not status.is_primary:
            self._end(task, "it has stepped down")
            return
        if status is not None and status.term >= task.term:
            self._resolve_conflict(task, status.term)
        else:
            self._retry(task)

    def _retry(self, task: _Task) -> None:
        delay = self._node.backoff(
            task.tries - 1, RETRY_INTERVAL_MIN, RETRY_INTERVAL_MAX
        )
        self.timers.after(delay, self._order, task)

    def _resolve_conflict(self, task: _Task, term: int) -> None:
        """Find out which endpoint is primary, as the one to demote did not step down.

        `term` is the endpoint's term. It is not below that of the order, which
        therefore had no effect.
        """
        group = self.tables.group(task.endpoint.entry.service)
        successor = group.primary_row
        if successor is None or successor is task.endpoint:
            self._retry(task)
            return

        def on_primary(primary_name: str) -> None:
            if not self._is_current(task):
                return
            if primary_name == task.endpoint.name:
                self._end(task, "it is primary of a newer term")
                return
            if primary_name == successor.name:
                task.term = max(task.term, term + 1)
            self._retry(task)

        self._conflicts.resolve(group, successor, task.endpoint, on_primary)

    def _on_unreachable(self, signal: EndpointUnreachable) -> None:
        task = self._tasks.get(signal.endpoint.name)
        if task is not None and signal.attempted_at >= task.began_at:
            task.is_unreachable = True
            self._check_reachability(task)

    def _on_endpoint_expired(self, signal: EndpointExpired) -> None:
        task = self._tasks.get(signal.endpoint.name)
        if task is not None:
            self._end(task, "its entry is gone")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        """Order a primary that restarted once more: it may lead on with its log."""
        task = self._tasks.pop(signal.endpoint.name, None)
        if task is not None:
            self._begin(signal.endpoint, task.term, task.handlers, task.is_released)

    def _end(self, task: _Task, why: str) -> None:
        del self._tasks[task.endpoint.name]
        self._node.log(
            "info",
            "primary_demoted",
            endpoint=task.endpoint.name,
            outcome=why,
            tries=task.tries,
        )
        self._release(task)

    def _stop_waiting(self, task: _Task, why: str) -> None:
        """Call the handlers without the endpoint's answer; log why."""
        endpoint = task.endpoint
        if not task.is_released and self._is_current(task):
            self._node.log(
                "warning",
                "demotion_not_awaited",
                endpoint=endpoint.name,
                why=why,
                waiting=len(task.handlers),
                tries=task.tries,
                connections=len(endpoint.connections),
                failures=endpoint.connect_failures,
                unheard=",".join(sorted(task.unanswered)),
                heard_ago=round(self.now - endpoint.last_reply_at, 3),
            )
        self._release(task)

    @staticmethod
    def _release(task: _Task) -> None:
        task.is_released = True
        handlers, task.handlers = task.handlers, []
        for handler in handlers:
            handler()
