"""Checks of pauses between a promotion order and the lead of its target.

While an order is pending, commits are to be acknowledged through its target only, see
`pendingorders`. The pause of another replica may end unnoticed: the replica restarts,
or receives an order to resume that was sent long before. So the other members are
paused again and again until the target leads. The reply also shows whether the member
has received anything since the comparison. If so, the target has to receive as well.

A host that has lost the store leaves that to the next one that claims, once its own
claim has run out: its order may be void, and the primary serve through that member.

An order to pause takes no slot. A member gets the next one once it has answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.claims import CLAIM_TIMEOUT
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.promotionorders import OrderAccepted, PromotionOrders
from mallowpass.core.proxy.replacement import (
    PromotionOrdered,
    Replacement,
    ReplacementBegan,
)
from mallowpass.core.proxy.replicapauses import ReplicaPauses
from mallowpass.core.proxy.signals import StatusReceived
from mallowpass.core.proxy.statements import Code, EndpointReply
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["PauseChecks"]

CHECK_INTERVAL = 0.3  # seconds between two checks


@dataclass(slots=True, eq=False)
class _Watch:
    """The members of a group that stay paused until one of them leads."""

    attempt: Replacement
    target: str
    round: int  # of the comparison
    received: dict[str, LogPosition]  # by member; the newest that are known
    asked: set[str] = field(default_factory=set)  # members without an answer yet


class PauseChecks(ProxySystem):
    """Keep members paused while a promotion order of this host is pending."""

    __slots__ = (
        "_pending_orders",
        "_promotion_orders",
        "_replica_pauses",
        "_store",
        "_watches",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._watches: dict[str, _Watch] = {}  # by service

    def start(self) -> None:
        """Subscribe to promotion orders and to what members report."""
        self._pending_orders = self._node.system(PendingOrders)
        self._promotion_orders = self._node.system(PromotionOrders)
        self._replica_pauses = self._node.system(ReplicaPauses)
        self._store = self._node.system(Store)
        self._node.subscribe(ReplacementBegan, self._on_began)
        self._node.subscribe(PromotionOrdered, self._on_ordered)
        self._node.subscribe(OrderAccepted, self._on_accepted)
        self._node.subscribe(StatusReceived, self._on_status)

    def _on_began(self, signal: ReplacementBegan) -> None:
        """Leave the members to another attempt of this host, which pauses them."""
        self._watches.pop(signal.attempt.group.service, None)

    def _on_ordered(self, signal: PromotionOrdered) -> None:
        attempt = signal.attempt
        known = self._watches.get(attempt.group.service)
        if known is not None and known.round == attempt.rounds:
            return  # repeated
        received = dict(attempt.received)
        watch = _Watch(attempt, attempt.target, attempt.rounds, received)
        self._watches[attempt.group.service] = watch
        self.timers.after(CHECK_INTERVAL, self._check_again, watch)

    def _on_accepted(self, signal: OrderAccepted) -> None:
        watch = self._watches.get(signal.attempt.group.service)
        if watch is not None:
            self._check(watch)

    def _on_status(self, signal: StatusReceived) -> None:
        """Note what the target has received, for the log."""
        watch = self._watches.get(signal.endpoint.entry.service)
        if watch is not None and watch.target == signal.endpoint.name:
            watch.received[watch.target] = signal.status.received

    # -- Checks --------------------------------------------------------------

    def _check_again(self, watch: _Watch) -> None:
        if not self._is_current(watch):
            return
        if self._is_over(watch):
            del self._watches[watch.attempt.group.service]
            return
        self._check(watch)
        self.timers.after(CHECK_INTERVAL, self._check_again, watch)

    def _is_current(self, watch: _Watch) -> bool:
        return self._watches.get(watch.attempt.group.service) is watch

    def _is_over(self, watch: _Watch) -> bool:
        """Return whether the target leads, or another replica may."""
        attempt = watch.attempt
        if attempt.group.primary not in ("", attempt.primary):
            return True
        pending = self._pending_orders.pending(attempt.group.service).keys()
        if attempt.is_ended:
            return pending != {watch.target}
        return watch.target not in pending

    @property
    def _may_be_overtaken(self) -> bool:
        """Return whether another host may have claimed, and pauses what it has to."""
        failing_since = self._store.failing_since
        return failing_since is not None and self.now >= failing_since + CLAIM_TIMEOUT

    def _check(self, watch: _Watch) -> None:
        if self._is_over(watch) or self._may_be_overtaken:
            return
        no_members = (watch.target, watch.attempt.primary)
        for endpoint in list(watch.attempt.group.endpoints.values()):
            if endpoint.name not in no_members and endpoint.name not in watch.asked:
                self._ask(watch, endpoint)

    def _ask(self, watch: _Watch, endpoint: EndpointRow) -> None:
        def on_reply(reply: EndpointReply | None, is_paused: bool) -> None:
            watch.asked.discard(endpoint.name)
            if reply is not None and reply.code is Code.DONE:
                self._on_reply(watch, endpoint, reply, is_paused)

        watch.asked.add(endpoint.name)
        self._replica_pauses.pause(endpoint, on_reply)

    def _on_reply(
        self,
        watch: _Watch,
        endpoint: EndpointRow,
        reply: EndpointReply,
        is_paused: bool,
    ) -> None:
        status = reply.status
        if status is None or status.is_primary or self._is_over(watch):
            return
        if not self._is_current(watch):
            return
        compared = watch.received.get(endpoint.name)
        watch.received[endpoint.name] = status.received
        if is_paused and compared in (None, status.received):
            return
        self._log_lost(watch, endpoint, status.received, compared)
        self._promotion_orders.let_target_receive(watch.attempt)

    def _log_lost(
        self,
        watch: _Watch,
        endpoint: EndpointRow,
        received: LogPosition,
        compared: LogPosition | None,
    ) -> None:
        target_received = watch.received.get(watch.target)
        self._node.log(
            "warning",
            "pause_lost",
            service=watch.attempt.group.service,
            primary=watch.attempt.primary,
            endpoint=endpoint.name,
            received=received.text,
            compared="" if compared is None else compared.text,
            target=watch.target,
            target_received="" if target_received is None else target_received.text,
        )
