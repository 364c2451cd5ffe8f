"""Finding a primary that no entry names: whoever accepts a transaction leads.

Entries come by way of the store, which may be away from this host, and name a new
primary some time after it has begun to lead.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.signals import PrimaryChanged, PrimarySuspected
from mallowpass.core.proxy.statements import Begin, Code, EndpointReply, Rollback
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Discovery"]

FIRST_LOOK = 0.05  # seconds without a primary before endpoints are asked
LOOK_GAP = 0.1
ANSWER_TIME = 0.5


class Discovery(ProxySystem):
    """Ask endpoints while nobody is known to lead their group."""

    __slots__ = ("_control", "_holders", "_looking", "_members", "_conflicts")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._looking: set[str] = set()  # services

    def start(self) -> None:
        """Subscribe to primaries that are no longer known."""
        self._control = self._node.system(Control)
        self._holders = self._node.system(Holders)
        self._members = self._node.system(Members)
        self._conflicts = self._node.system(PrimaryConflicts)
        self._node.subscribe(PrimaryChanged, self._on_primary)
        self._node.subscribe(PrimarySuspected, self._on_primary)

    def _on_primary(self, signal: PrimaryChanged | PrimarySuspected) -> None:
        group = signal.group
        if self._is_open(group) and group.service not in self._looking:
            self._looking.add(group.service)
            self.timers.after(FIRST_LOOK, self._look, group)

    @staticmethod
    def _is_open(group: GroupRow) -> bool:
        """Tell whether it is open who leads."""
        return not group.primary or group.suspected

    def _look(self, group: GroupRow) -> None:
        if not self._is_open(group):
            self._looking.discard(group.service)
            return
        # By way of a holder the question costs a link; else, a place among few.
        holds = self._holders.holds(group.service)
        for endpoint in group.endpoints.values():
            if endpoint.name == group.primary:
                continue
            if endpoint.connections or not holds:
                self._ask(group, endpoint)
        self.timers.after(LOOK_GAP, self._look, group)

    def _ask(self, group: GroupRow, endpoint: EndpointRow) -> None:
        def on_replies(replies: list[EndpointReply] | None) -> None:
            if not self._is_open(group) or not replies:
                return
            if replies[0].code is Code.DONE:
                self._on_accepted(group, endpoint, replies[0])

        self._control.send(endpoint, (Begin(), Rollback()), on_replies, ANSWER_TIME)

    def _on_accepted(
        self, group: GroupRow, endpoint: EndpointRow, reply: EndpointReply
    ) -> None:
        """Believe an endpoint that accepts a transaction, unless it was replaced."""
        if self.tables.lead_is_taken:
            why = "it accepts a transaction"
            self._members.assume_primary(endpoint, why, reply.position)
        else:
            primary = group.primary_row
            self._conflicts.resolve(group, primary, endpoint, lambda leader: None)
