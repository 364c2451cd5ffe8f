"""One line at the host that ordered a promotion, once its target leads.

It tells which hosts were not known to have stopped their writes, what was waited for,
and what the replicas had. Nothing here decides anything, and no statement is sent for
it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.logfields import present_fields
from mallowpass.core.proxy.lognames import names_text
from mallowpass.core.proxy.promotionevidence import told_fields
from mallowpass.core.proxy.replacement import PromotionOrdered, Replacement
from mallowpass.core.proxy.signals import (
    PrimaryChanged,
    PrimaryConfirmed,
    StatusReceived,
)
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["LeadLog"]

# Times are in seconds.
# A promotion order may be carried out this long after it was sent.
ORDER_AGE_MAX = 30.0
# From the lead until its line, within which members show their first positions.
LOG_DELAY = 1.0


@record
class _Order:
    """The newest order of this host to promote a target."""

    sent_at: float
    replaced: str
    fields: dict[str, Any]  # as it was sent


@dataclass(slots=True, eq=False)
class _Lead:
    """A successor that this host ordered, and that leads now."""

    service: str
    primary: str
    since: float
    order: _Order
    first: dict[str, str] = field(default_factory=dict)  # positions, by member


class LeadLog(ProxySystem):
    """Log what this host did before a promotion that it ordered."""

    __slots__ = ("_leads", "_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._orders: dict[str, dict[str, _Order]] = {}  # by service and target
        self._leads: dict[str, _Lead] = {}  # by service, until they are logged

    def start(self) -> None:
        """Subscribe to orders, changes of primaries and positions."""
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(PrimaryConfirmed, self._on_primary_confirmed)
        self._node.subscribe(PromotionOrdered, self._on_ordered)
        self._node.subscribe(StatusReceived, self._on_status)

    def _on_ordered(self, signal: PromotionOrdered) -> None:
        attempt = signal.attempt
        fields = _guard_fields(attempt)
        fields |= told_fields(attempt, self.tables.hosts.keys())
        fields |= _position_fields(attempt)
        order = _Order(self.now, attempt.primary, fields)
        self._orders.setdefault(attempt.group.service, {})[attempt.target] = order

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Await the line of a successor, however this host learnt that it leads."""
        group = signal.group
        orders = self._orders.get(group.service, {})
        order = orders.pop(group.primary, None)
        if order is None or self.now > order.sent_at + ORDER_AGE_MAX:
            return
        lead = _Lead(group.service, group.primary, self.now, order)
        self._leads[group.service] = lead
        self.timers.after(LOG_DELAY, self._log, lead)

    # -- Positions -----------------------------------------------------------

    def _on_status(self, signal: StatusReceived) -> None:
        self._note_position(signal.endpoint, signal.status.received)

    def _on_primary_confirmed(self, signal: PrimaryConfirmed) -> None:
        group = signal.group
        lead = self._leads.get(group.service)
        primary = group.primary_row
        if lead is None or primary is None or not group.samples:
            return
        if group.samples[-1].asked_at >= lead.since:
            self._note_position(primary, group.samples[-1].position)

    def _note_position(self, endpoint: EndpointRow, position: LogPosition) -> None:
        lead = self._leads.get(endpoint.entry.service)
        if lead is not None and endpoint.name not in lead.first:
            after = round(self.now - lead.since, 3)
            lead.first[endpoint.name] = f"{position.text}:{after}"

    # -- Lines ---------------------------------------------------------------

    def _log(self, lead: _Lead) -> None:
        if self._leads.get(lead.service) is lead:
            del self._leads[lead.service]
        first = [f"{name}:{shown}" for name, shown in sorted(lead.first.items())]
        fields = {
            **lead.order.fields,
            "order_to_lead": round(lead.since - lead.order.sent_at, 3),
            "first": ",".join(first),
            "lead_ago": round(self.now - lead.since, 3),
        }
        self._node.log(
            "warning",
            "promotion_led",
            service=lead.service,
            primary=lead.primary,
            replaced=lead.order.replaced,
            **present_fields(fields),
        )


def _guard_fields(attempt: Replacement) -> dict[str, Any]:
    """Return what an attempt knew of writers as it ordered, and what it waited for."""
    outcome = attempt.fence_outcome
    settled = attempt.fence_confirmed | attempt.fence_refused
    return {
        "fence": "" if outcome is None else outcome.value,
        "leases": "outwaited" if attempt.has_outwaited_leases else "",
        "leases_awaited": round(attempt.awaited_leases, 3),
        "settling": _settling(attempt),
        "abandoned": attempt.abandoned_count,
        "commits_awaited": round(attempt.awaited_commits, 3),
        "unconfirmed": names_text(attempt.fence_told - settled),
        "refused": names_text(attempt.refused_hosts),
        "commits_why": attempt.why_awaits_no_commit,
    }


def _settling(attempt: Replacement) -> str:
    """Return whether the target received between the pauses and the order."""
    if not attempt.has_outwaited_leases:
        return ""
    if attempt.target not in attempt.received:
        return "unknown"
    return "moved" if attempt.has_settled else "unmoved"


def _position_fields(attempt: Replacement) -> dict[str, Any]:
    return {
        "orders": attempt.order_count,
        "shown": attempt.shown.text,
        "appended": attempt.appended.text,
        "received": attempt.received_text,
    }
