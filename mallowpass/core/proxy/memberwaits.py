"""Lines that tell that a primary is not replaced, since members are gone.

The host whose attempt ends for that reason tells so, and each other host that knows the
service tells which members are gone by what it knows, once while no primary is known.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from mallowpass.core.node import Node
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.lognames import gone_text
from mallowpass.core.proxy.orderproofs import OrderProofs
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.tables import GroupRow, ProxySystem
from mallowpass.core.timers import Timer

__all__ = ["MemberWaits"]

# Times are in seconds.
AWAY_TIME = 3.0  # without a primary, until that is told
WARNING_INTERVAL = 10.0  # between two warnings of attempts that end


class MemberWaits(ProxySystem):
    """Log and count waits for members that may be ahead of all others."""

    __slots__ = ("_lead_members", "_order_proofs", "_timers", "_warned_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._timers: dict[str, Timer] = {}  # by service, while no primary is known
        self._warned_at: dict[str, float] = {}  # by service

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._lead_members = self._node.system(LeadMembers)
        self._order_proofs = self._node.system(OrderProofs)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def note(self, attempt: Replacement, names: Sequence[str]) -> None:
        """Log and count an attempt that ends since members are gone.

        The line is a warning if none was logged of late.
        """
        service = attempt.group.service
        warned_at = self._warned_at.get(service, -math.inf)
        is_warning = self.now >= warned_at + WARNING_INTERVAL
        if is_warning:
            self._warned_at[service] = self.now
        event = "members_awaited"
        grounds = self._order_proofs.grounds(attempt)
        self._node.count(event, service=service)
        self._node.count("promotion_steps", service=service, step=event)
        self._node.log(
            "warning" if is_warning else "info",
            event,
            service=service,
            members=gone_text(grounds.gone),
            grounds=grounds.why,
            gone=",".join(names),
            received=attempt.received_text,
            shown=attempt.shown.text,
            primary=attempt.primary,
            why=attempt.why,
            after=round(self.now - attempt.began_at, 3),
        )

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = signal.group
        timer = self._timers.pop(group.service, None)
        if timer is not None:
            timer.cancel()
        if group.primary:
            self._warned_at.pop(group.service, None)
        elif group.last_primary:
            self._await(group, self.now)

    def _await(self, group: GroupRow, since: float) -> None:
        timer = self.timers.after(AWAY_TIME, self._tell, group, since)
        self._timers[group.service] = timer

    def _tell(self, group: GroupRow, since: float) -> None:
        """Log who is gone once somebody is, unless an attempt of this host told it."""
        del self._timers[group.service]
        members = self._lead_members.evidence(group).gone
        if group.service in self._warned_at:
            return
        if not members:
            self._await(group, since)
            return
        self._node.log(
            "warning",
            "primary_not_replaced",
            service=group.service,
            members=gone_text(members),
            primary=group.last_primary,
            away_for=round(self.now - since, 3),
        )
