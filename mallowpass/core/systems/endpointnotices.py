"""News of endpoints that are leaving, from their reports or from peers.

A host that is cut off from an endpoint learns from its peers that the endpoint is
leaving. Many hosts see the same report at the same moment: each waits a random
moment before it tells, and keeps quiet when another was quicker.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from mallowpass.core.node import Node
from mallowpass.core.peering import EndpointNotice
from mallowpass.core.signals import (
    DatabaseAdded,
    DatabaseChanged,
    EndpointReported,
    EndpointStateChanged,
)
from mallowpass.core.tables import EndpointRow

if TYPE_CHECKING:
    from mallowpass.core.systems.membership import Membership

__all__ = ["EndpointNotices"]

TELL_DELAY = 0.3  # seconds, at most
FRESH_REPORT = 1.0  # seconds for which an own report goes before a peer's notice
SEEN_MAX = 4096

_NoticeKey = tuple[str, int, int]


class EndpointNotices:
    """Keep EndpointRow.is_leaving true, and tell peers."""

    __slots__ = ("_membership", "_node", "_number", "_seen", "_telling", "_told")

    def __init__(self, node: Node, membership: Membership) -> None:
        self._node = node
        self._membership = membership
        self._told: OrderedDict[str, bool] = OrderedDict()  # by address, by anyone
        self._seen: OrderedDict[_NoticeKey, None] = OrderedDict()
        self._telling: set[str] = set()
        self._number = 0

    def start(self) -> None:
        """Subscribe to reports, notices and new rows."""
        self._node.subscribe(EndpointReported, self._on_reported)
        self._node.subscribe(DatabaseAdded, self._on_rows)
        self._node.subscribe(DatabaseChanged, self._on_rows)
        self._membership.on_message(EndpointNotice, self._on_notice)

    def sync_peer(self, host: str) -> None:
        """Tell a host that has just linked up what it may have missed."""
        for address, leaving in self._told.items():
            if leaving:
                self._membership.send(host, self._notice(address, leaving))

    # -- Own reports ---------------------------------------------------------

    def _on_reported(self, signal: EndpointReported) -> None:
        row = self._node.tables.endpoints.get(signal.address)
        if row is None or row.report is None:
            return
        leaving = row.report.leaving
        self._mark(row, leaving)
        if self._told.get(row.address, False) is not leaving:
            self._tell_soon(row.address, leaving)

    def _tell_soon(self, address: str, leaving: bool) -> None:
        # Reports come many times a second: one of them is enough to tell.
        if address in self._telling:
            return
        self._telling.add(address)
        delay = self._node.random.uniform(0, TELL_DELAY)
        self._node.timers.after(delay, self._tell, address, leaving)

    def _tell(self, address: str, leaving: bool) -> None:
        self._telling.discard(address)
        row = self._node.tables.endpoints.get(address)
        if row is None or row.is_leaving is not leaving:
            return
        if self._told.get(address, False) is not leaving:
            self._remember(address, leaving)
            self._membership.broadcast(self._notice(address, leaving))

    # -- Peers' notices ------------------------------------------------------

    def _on_notice(self, host: str, notice: EndpointNotice) -> None:
        key = (notice.origin, notice.incarnation, notice.number)
        if key in self._seen:
            return
        # Without the key, a notice and its revocation could chase each other round
        # a cycle of links for ever, each new again wherever the other has been.
        self._see(key)
        if self._told.get(notice.address, False) is notice.leaving:
            return
        self._remember(notice.address, notice.leaving)
        self._membership.broadcast(notice, exclude=host)
        self._apply(notice)

    def _apply(self, notice: EndpointNotice) -> None:
        row = self._node.tables.endpoints.get(notice.address)
        if row is None:
            return
        age = self._node.timers.now - row.last_report_at
        if row.report is None or age > FRESH_REPORT:
            self._mark(row, notice.leaving)
        elif row.report.leaving is not notice.leaving:
            # The notice is old news: the endpoint itself says otherwise by now.
            self._tell_soon(row.address, row.report.leaving)

    def _on_rows(self, signal: DatabaseAdded | DatabaseChanged) -> None:
        database = self._node.tables.databases[signal.database]
        for row in database.endpoints.values():
            if row.report is None and self._told.get(row.address, False):
                self._mark(row, True)

    # -- Helpers -------------------------------------------------------------

    def _mark(self, row: EndpointRow, leaving: bool) -> None:
        if row.is_leaving is leaving:
            return
        row.is_leaving = leaving
        word = "leaving" if leaving else "back"
        self._node.log("info", "endpoint_state", address=row.address, state=word)
        self._node.record_decision("endpoint", row.address, f"is {word}")
        self._node.publish(EndpointStateChanged(row.address))

    def _notice(self, address: str, leaving: bool) -> EndpointNotice:
        self._number += 1
        identity = self._node.identity
        notice = EndpointNotice(
            address, leaving, identity.name, identity.incarnation, self._number
        )
        self._see((notice.origin, notice.incarnation, notice.number))
        return notice

    def _see(self, key: _NoticeKey) -> None:
        self._seen[key] = None
        if len(self._seen) > SEEN_MAX:
            self._seen.popitem(last=False)

    def _remember(self, address: str, leaving: bool) -> None:
        self._told[address] = leaving
        self._told.move_to_end(address)
        if len(self._told) > SEEN_MAX:
            self._told.popitem(last=False)
