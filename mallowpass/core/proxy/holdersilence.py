"""Detect holders that do not answer, where statements of customers are forwarded.

A host that is cut off from the other hosts keeps its links to holders, but gets no
replies on them. It may still reach its callers and the endpoints. Statements that were
sent on such links would all end in doubt, as would those sent on the next idle link.

A reply to a call may also be late because the endpoint is slow, or because its writes
stall. So an unanswered call only has the holder checked by one more link: a holder
accepts a link by itself, within a round trip.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.customerholders import LINK_WAIT
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import ConfigurationAccepted
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    ProxySystem,
)

__all__ = ["HolderSilence"]

# Times in seconds.
# A holder that has sent nothing for this time with calls in flight is checked. Most
# statements are answered earlier. With the time that a check takes, a silent holder is
# detected well before a write counts as overdue.
CHECK_AFTER = 0.1
CHECK_INTERVAL = 0.05
# A silent holder is checked again after this time, so that no statement has to find out
# whether it still is.
RECHECK_INTERVAL = 1.0


class HolderSilence(ProxySystem):
    """Check holders that leave calls unanswered, and mark those that are silent."""

    __slots__ = ("_checks", "_connections", "_holders", "_is_checking", "_rechecks")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._checks: dict[str, ConnectionRow] = {}  # links in progress, by holder
        # Silent holders: the time of the next check, and the endpoint to name.
        self._rechecks: dict[str, tuple[float, str]] = {}
        self._is_checking = False

    def start(self) -> None:
        """Subscribe to configurations; the first with customers starts the checks."""
        self._connections = self._node.system(Connections)
        self._holders = self._node.system(Holders)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        if not self._is_checking and signal.configuration.customers:
            self._is_checking = True
            self.timers.every(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        for holder in list(self._checks):
            self._check_accepted(holder)
        for holder, (when, name) in list(self._rechecks.items()):
            if not self._holders.is_silent(holder):
                del self._rechecks[holder]
            elif self.now >= when and name in self.tables.endpoints:
                self._begin_check(self.tables.endpoints[name], holder)
        for connection in list(self.tables.connections.values()):
            if connection.holder and self._is_unanswered(connection):
                self._begin_check(connection.endpoint, connection.holder)

    def _is_unanswered(self, connection: ConnectionRow) -> bool:
        """Return whether a holder has sent nothing since the calls on a link."""
        if not connection.pending:
            return False
        sent_at = connection.pending[-1].sent_at
        if self.now < sent_at + CHECK_AFTER:
            return False
        if self._holders.last_reply_at(connection.holder) > sent_at:
            return False
        return self._holders.serves_customers(connection.endpoint.entry.service)

    def _begin_check(self, endpoint: EndpointRow, holder: str) -> None:
        host = self.tables.hosts.get(holder)
        if host is not None and holder not in self._checks:
            self._checks[holder] = self._connections.open_check(endpoint, host)

    def _check_accepted(self, holder: str) -> None:
        """Close a link that was accepted; mark the holder if it was not in time."""
        link = self._checks[holder]
        if link.number not in self.tables.connections:
            del self._checks[holder]
        elif link.state is not ConnectionState.OPENING:
            del self._checks[holder]
            self._connections.close(link, "its holder has answered")
        elif self.now >= link.opened_at + LINK_WAIT:
            self._connections.mark_silent(link)
            when = link.opened_at + RECHECK_INTERVAL
            self._rechecks[holder] = (when, link.endpoint.name)
