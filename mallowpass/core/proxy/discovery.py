"""Discovery of a primary by probing for the endpoint that accepts a transaction.

Entries of endpoints show a new primary only some time after its promotion, and not at
all to a host that cannot reach the store.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.signals import (
    FenceUnattended,
    PrimaryChanged,
    PrimarySuspected,
)
from mallowpass.core.proxy.statements import Begin, Code, EndpointReply, Rollback
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Discovery"]

PROBE_DELAY = 0.05  # seconds without a primary before endpoints are probed
PROBE_INTERVAL = 0.1  # seconds between two probes of a group
PROBE_TIMEOUT = 0.5  # seconds


class Discovery(ProxySystem):
    """Probe endpoints while the primary of their group is unknown or suspected."""

    __slots__ = (
        "_conflicts",
        "_control",
        "_fencing",
        "_holders",
        "_members",
        "_probed",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._probed: set[str] = set()  # services whose groups are probed

    def start(self) -> None:
        """Subscribe to changed and to suspected primaries."""
        self._control = self._node.system(Control)
        self._holders = self._node.system(Holders)
        self._members = self._node.system(Members)
        self._conflicts = self._node.system(PrimaryConflicts)
        self._fencing = self._node.system(Fencing)
        self._node.subscribe(FenceUnattended, self._on_primary_changed)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(PrimarySuspected, self._on_primary_changed)

    def _on_primary_changed(
        self, signal: FenceUnattended | PrimaryChanged | PrimarySuspected
    ) -> None:
        group = signal.group
        if self._needs_primary(group) and group.service not in self._probed:
            self._probed.add(group.service)
            self.timers.after(PROBE_DELAY, self._probe_group, group)

    def _needs_primary(self, group: GroupRow) -> bool:
        """Return whether a group has no known primary, or one that may be replaced."""
        if not group.primary or group.is_suspected:
            return True
        return self._fencing.has_unattended(group.service)

    def _probe_group(self, group: GroupRow) -> None:
        if not self._needs_primary(group):
            self._probed.discard(group.service)
            return
        # A holder probes only endpoints that it has connections to: a first connection
        # would count towards the endpoint's limit. Through a holder, a probe costs a
        # link.
        holds = self._holders.holds(group.service)
        for endpoint in group.endpoints.values():
            if endpoint.name == group.primary:
                continue
            if endpoint.connections or not holds:
                self._probe(group, endpoint)
        self.timers.after(PROBE_INTERVAL, self._probe_group, group)

    def _probe(self, group: GroupRow, endpoint: EndpointRow) -> None:
        def on_replies(replies: list[EndpointReply] | None) -> None:
            if not self._needs_primary(group) or not replies:
                return
            if replies[0].code is Code.DONE:
                self._on_accepted(group, endpoint, replies[0])

        self._control.send(endpoint, (Begin(), Rollback()), on_replies, PROBE_TIMEOUT)

    def _on_accepted(
        self, group: GroupRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        """Assume an endpoint that accepts a transaction as primary, unless replaced."""
        if self.tables.promotion_fences_primary:
            why = "it accepts a transaction"
            self._members.assume_primary(endpoint, why, reply.position)
        else:
            primary = group.primary_row
            self._conflicts.resolve(group, primary, endpoint, lambda primary_name: None)
