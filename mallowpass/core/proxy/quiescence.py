"""Quiescence of a primary before its successor is promoted.

Where a promotion does not fence the replaced primary, that primary goes on to
acknowledge commits that a replica has received. A commit that the target of a promotion
receives just before it becomes primary would be acknowledged by the replaced primary
afterwards, as soon as that primary learns that the commit was received.

So no commit may be in flight when a planned promotion is ordered, and no replica
receives until it has been carried out. All holders hold their writes until none is in
flight; the primary serves reads meanwhile. If a holder does not confirm that none of
its writes is in flight, the primary has to step down before the promotion is ordered.

A failed primary is ordered to step down as soon as the platform has accepted the
promotion order, and is fenced meanwhile, see `fencing`. Where a promotion fences the
replaced primary, one that is replaced as planned is fenced as well.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.forwardedorders import ForwardedOrders, ForwardedReply
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.statements import HoldWrites
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.proxy.writeholds import HoldReason, WriteHolds

__all__ = ["Quiescence"]

# Times are in seconds.
# A hold ends with the change of primary, and by itself if the host that ordered it
# fails. It is renewed with each order.
HOLD_DURATION = 4.0
# For the writes of this host that are in flight. Other holders have as long as an order
# takes that is sent to them.
DRAIN_TIMEOUT = 0.5

QuiescedHandler = Callable[[], None]


@dataclass(slots=True, eq=False)
class _Task:
    """The quiescence of the primary of one attempt."""

    attempt: Replacement
    primary: EndpointRow
    handler: QuiescedHandler
    undrained: set[str] = field(default_factory=set)  # holders with writes in flight
    is_draining: bool = True


class Quiescence(ProxySystem):
    """Stop the commits of primaries that are replaced as planned."""

    __slots__ = (
        "_demotion",
        "_forwarded_orders",
        "_held",
        "_pending_orders",
        "_write_holds",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Primaries whose writes this host has holders hold, by service.
        self._held: dict[str, EndpointRow] = {}

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._demotion = self._node.system(Demotion)
        self._forwarded_orders = self._node.system(ForwardedOrders)
        self._pending_orders = self._node.system(PendingOrders)
        self._write_holds = self._node.system(WriteHolds)

    def quiesce(self, attempt: Replacement, handler: QuiescedHandler) -> None:
        """Stop the commits of an attempt's primary.

        The handler is called once none is in flight, once the primary has stepped down,
        or once the wait for that ends.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is None:
            handler()
            return
        self._drain(_Task(attempt, primary, handler))

    def renew(self, service: str, duration: float = HOLD_DURATION) -> None:
        """Hold the writes that are held for an attempt for `duration` more seconds."""
        primary = self._held.get(service)
        if primary is not None:
            self._order_holds(primary, duration, lambda reply: None)
            self._write_holds.hold(primary, duration, HoldReason.SWITCHOVER)

    def end(self, attempt: Replacement) -> None:
        """Release the writes that are held for an attempt that has ended.

        They wait on while an order is pending: no replica receives until it expires.
        """
        service = attempt.group.service
        pending = self._pending_orders.pending(service)
        if pending:
            self.renew(service, max(pending.values()) - self.now)
        primary = self._held.pop(service, None)
        is_replaced = primary is None or attempt.group.primary != primary.name
        if not pending and not is_replaced:
            self._write_holds.release(primary, HoldReason.SWITCHOVER)
            self._order_holds(primary, 0.0, lambda reply: None)

    # -- Draining ------------------------------------------------------------

    def _drain(self, task: _Task) -> None:
        """Have all holders hold their writes, and wait until none is in flight."""
        primary, name = task.primary, self._node.identity.name
        task.undrained = {name, *self._forwarded_orders.forwarding_hosts(primary)}
        self._held[primary.entry.service] = primary

        def on_reply(reply: ForwardedReply) -> None:
            if reply.is_done or reply.was_refused:
                self._on_drained(task, reply.host)
            else:
                self._stop_draining(task)

        self.timers.after(DRAIN_TIMEOUT, self._stop_draining, task)
        self._order_holds(primary, HOLD_DURATION, on_reply)
        self._write_holds.hold(
            primary,
            HOLD_DURATION,
            HoldReason.SWITCHOVER,
            lambda: self._on_drained(task, name),
        )

    def _order_holds(
        self,
        primary: EndpointRow,
        duration: float,
        handler: Callable[[ForwardedReply], None],
    ) -> None:
        self._forwarded_orders.send(primary, HoldWrites(duration), handler)

    def _on_drained(self, task: _Task, host: str) -> None:
        task.undrained.discard(host)
        if task.is_draining and not task.undrained:
            task.is_draining = False
            task.handler()

    def _stop_draining(self, task: _Task) -> None:
        """Have the primary step down, as a holder does not confirm its drain."""
        if not task.is_draining or task.attempt.is_ended:
            return
        task.is_draining = False
        self._node.log(
            "warning",
            "writes_not_drained",
            service=task.attempt.group.service,
            primary=task.primary.name,
            hosts=",".join(sorted(task.undrained)),
        )
        term = task.attempt.group.term + 1
        self._demotion.demote(task.primary, term, task.handler)
