"""Having a replaced primary step down before replicas receive again.

A primary that was replaced may go on until it hears of its successor. A replica that
receives again follows whichever of the two it hears first, so it may acknowledge
commits that the successor never has. They show as acknowledged commits that are lost.
While replicas are paused, and once it has stepped down, it can't have any acknowledged.

The order names a term and changes nothing at a primary of that term or a newer one:
carried out late it does no harm, whether or not the platform checks fencing tokens. It
never names a term above that of the successor, so a host that is wrong about which of
two leads can't have the newer one step down. Where that is open, both are asked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.forwardedorders import ForwardedOrders
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import (
    EndpointForgotten,
    EndpointRestarted,
    EndpointUnreachable,
)
from mallowpass.core.proxy.standingorders import StandingOrders
from mallowpass.core.proxy.statements import Code, Demote, EndpointReply
from mallowpass.core.proxy.tables import ConnectionState, EndpointRow, ProxySystem

__all__ = ["Demotion"]

# Seconds that are waited for a primary's word. One that is dark says nothing, and the
# successor's writes wait meanwhile; a round trip between regions takes a tenth.
WAIT_MAX = 0.5
# Seconds after which the order goes by way of other hosts as well.
DETOUR_DELAY = 0.1
# Seconds that are waited where a host does not answer that may reach the primary: a
# promotion takes one, and one more later a primary that reaches its successor has
# stepped down by itself.
UNHEARD_WAIT_MAX = 2.5
# Seconds between two orders to one that has not answered: it may come back with its
# callers before it hears of its successor.
RETRY_MIN = 0.1
RETRY_MAX = 2.0

# One that answers something within that time is waited for up to this long, in seconds.
ALIVE_WAIT_MAX = 3.0
HUNG_TIME = 0.25  # seconds; a full queue takes less

_USABLE = (ConnectionState.IDLE, ConnectionState.OPENING)

DoneHandler = Callable[[], None]


@dataclass(slots=True, eq=False)
class _Task:
    """Hold the order to one endpoint, until it has stepped down."""

    endpoint: EndpointRow
    term: int  # a primary of a lower one steps down
    began_at: float
    handlers: list[DoneHandler] = field(default_factory=list)
    waited: bool = False  # for as long as anybody should
    tries: int = 0
    unreached: bool = False  # this host tried to connect since, and failed
    detoured: bool = False  # the order went by way of other hosts
    unheard: set[str] = field(default_factory=set)  # of these, without an answer yet


class Demotion(ProxySystem):
    """Order replaced primaries to step down, until each has or is gone."""

    __slots__ = (
        "_connections",
        "_forwarded_orders",
        "_orders",
        "_conflicts",
        "_standing",
        "_tasks",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._tasks: dict[str, _Task] = {}  # by endpoint

    def start(self) -> None:
        """Subscribe to endpoints that can't be reached, or are gone."""
        node = self._node
        self._connections = node.system(Connections)
        self._forwarded_orders = node.system(ForwardedOrders)
        self._orders = node.system(ReplicaOrders)
        self._conflicts = node.system(PrimaryConflicts)
        self._standing = node.system(StandingOrders)
        node.subscribe(EndpointUnreachable, self._on_unreachable)
        node.subscribe(EndpointForgotten, self._on_forgotten)
        node.subscribe(EndpointRestarted, self._on_restarted)

    def demote(
        self, endpoint: EndpointRow, term: int, handler: DoneHandler = lambda: None
    ) -> None:
        """Have an endpoint step down from any term below `term`.

        Its successor leads `term` or a newer one. The handler is called once it has
        stepped down, or can't be waited for any longer.
        """
        task = self._tasks.get(endpoint.name)
        if task is None or task.waited:
            # What was found out before its successor led may not be true any more.
            task = self._tasks[endpoint.name] = _Task(endpoint, term, self.now)
            self.timers.after(WAIT_MAX, self._on_waited, task)
            self._order(task)
            self._begin_detours(task)
        task.term = max(task.term, term)
        task.handlers.append(handler)
        if task.waited or not self._is_current(task):
            self._release(task)

    # -- By way of other hosts -----------------------------------------------

    def _begin_detours(self, task: _Task) -> None:
        """Have the order reach one that this host does not reach, or did not before."""
        if self.tables.lead_is_taken:
            return
        endpoint = task.endpoint
        if endpoint.connections:
            self.timers.after(DETOUR_DELAY, self._detour, task)
        else:
            self._connections.retry(endpoint)
            self._detour(task)

    def _detour(self, task: _Task) -> None:
        if not self._is_current(task):
            return

        def on_reply(host: str, reply: EndpointReply | None, answered: bool) -> None:
            self._on_detour(task, host, reply, answered)

        task.detoured = True
        task.unheard = set(self._forwarded_orders.forwarding_hosts(task.endpoint))
        self._forwarded_orders.send(task.endpoint, Demote(task.term), on_reply)

    def _on_detour(
        self, task: _Task, host: str, reply: EndpointReply | None, answered: bool
    ) -> None:
        if not self._is_current(task):
            return
        status = None if reply is None else reply.status
        if status is not None and not status.is_primary:
            self._end(task, f"it has stepped down, by way of {host}")
            return
        if answered:
            task.unheard.discard(host)
            self._check_reach(task)

    def _check_reach(self, task: _Task) -> None:
        """Go on without the word of one that no host reaches."""
        if task.unreached and task.detoured and not task.unheard:
            self._go_without(task, "no host reaches it")

    def _is_current(self, task: _Task) -> bool:
        return self._tasks.get(task.endpoint.name) is task

    def _order(self, task: _Task) -> None:
        if not self._is_current(task):
            return
        if task.waited and self._leads(task.endpoint):
            self._end(task, "it leads again")
            return
        task.tries += 1
        self._make_room(task.endpoint)
        order = Demote(task.term)
        self._orders.give(task.endpoint, order, lambda r: self._on_reply(task, r))

    def _leads(self, endpoint: EndpointRow) -> bool:
        """Tell whether an endpoint leads, and nobody else may do so in a moment."""
        group = self.tables.group(endpoint.entry.service)
        if group.primary != endpoint.name:
            return False
        return not self._standing.standing(group.service)

    def _make_room(self, endpoint: EndpointRow) -> None:
        """Close a connection on which a statement hangs, if all of them are in use.

        Where a primary reaches no replica, all its connections are taken by commits
        that wait for one. The order would wait for them, and they are acknowledged as
        soon as a replica receives again.
        """
        connections = endpoint.connections.values()
        if any(c.state in _USABLE for c in connections):
            return
        hung_since = self.now - HUNG_TIME
        hung = [
            c for c in connections if c.pending and c.pending[0].sent_at < hung_since
        ]
        if hung:
            longest = min(hung, key=lambda c: c.pending[0].sent_at)
            self._connections.close(longest, "an order to step down needs its place")

    def _on_waited(self, task: _Task) -> None:
        """Wait on for one that answers, or that a host may reach that is silent."""
        if not self._is_current(task) or task.waited:
            return
        waited = self.now - task.began_at
        is_alive = self.now - task.endpoint.heard_at < WAIT_MAX
        may_be_reached = bool(task.unheard) and waited < UNHEARD_WAIT_MAX
        if may_be_reached or (is_alive and waited < ALIVE_WAIT_MAX):
            self.timers.after(RETRY_MIN, self._on_waited, task)
        else:
            self._go_without(task, "it has not answered in time")

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
            self._compare(task, status.term)
        else:
            self._order_later(task)

    def _order_later(self, task: _Task) -> None:
        pause = self._node.backoff(task.tries - 1, RETRY_MIN, RETRY_MAX)
        self.timers.after(pause, self._order, task)

    def _compare(self, task: _Task, term: int) -> None:
        """Find out who leads, as an endpoint's term is newer than was known."""
        group = self.tables.group(task.endpoint.entry.service)
        successor = group.primary_row
        if successor is None or successor is task.endpoint:
            self._order_later(task)
            return

        def on_leader(leader: str) -> None:
            if not self._is_current(task):
                return
            if leader == task.endpoint.name:
                self._end(task, "it leads a newer term")
                return
            if leader == successor.name:
                task.term = max(task.term, term + 1)
            self._order_later(task)

        self._conflicts.resolve(group, successor, task.endpoint, on_leader)

    def _on_unreachable(self, signal: EndpointUnreachable) -> None:
        task = self._tasks.get(signal.endpoint.name)
        if task is not None and signal.tried_at >= task.began_at:
            task.unreached = True
            self._check_reach(task)

    def _on_forgotten(self, signal: EndpointForgotten) -> None:
        task = self._tasks.get(signal.endpoint.name)
        if task is not None:
            self._end(task, "its entry is gone")

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        task = self._tasks.get(signal.endpoint.name)
        if task is not None:
            self._end(task, "it started again, as replica")

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

    def _go_without(self, task: _Task, why: str) -> None:
        """Go on without the endpoint's word, and say on what evidence."""
        endpoint = task.endpoint
        if not task.waited and self._is_current(task):
            self._node.log(
                "warning",
                "demotion_not_awaited",
                endpoint=endpoint.name,
                why=why,
                waiting=len(task.handlers),
                tries=task.tries,
                connections=len(endpoint.connections),
                failures=endpoint.failures,
                unheard=",".join(sorted(task.unheard)),
                heard_ago=round(self.now - endpoint.heard_at, 3),
            )
        self._release(task)

    @staticmethod
    def _release(task: _Task) -> None:
        task.waited = True
        handlers, task.handlers = task.handlers, []
        for handler in handlers:
            handler()
