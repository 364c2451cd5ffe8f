"""Notify the hosts of endpoints that are leaving.

An endpoint that is leaving is about to stop, and gets no new work. A host that cannot
reach an endpoint learns its state from notices of peers. Many hosts receive the same
report at the same time. Each of them waits for a random time before it sends a notice,
and sends none if it has received one in the meantime.
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

# Times in seconds.
NOTICE_DELAY_MAX = 0.3
# Time for which a report of the endpoint itself takes precedence over peers' notices.
REPORT_FRESH_TIME = 1.0
SEEN_MAX = 4096  # notices and addresses that are remembered

_NoticeKey = tuple[str, int, int]


class EndpointNotices:
    """Update EndpointRow.is_leaving from reports and notices, and notify peers."""

    __slots__ = ("_announced", "_membership", "_node", "_number", "_scheduled", "_seen")

    def __init__(self, node: Node, membership: Membership) -> None:
        self._node = node
        self._membership = membership
        # Whether the last notice of any host said that the endpoint is leaving, by
        # address.
        self._announced: OrderedDict[str, bool] = OrderedDict()
        self._seen: OrderedDict[_NoticeKey, None] = OrderedDict()
        self._scheduled: set[str] = set()
        self._number = 0

    def start(self) -> None:
        """Subscribe to reports, notices and new rows."""
        self._node.subscribe(EndpointReported, self._on_reported)
        self._node.subscribe(DatabaseAdded, self._on_database)
        self._node.subscribe(DatabaseChanged, self._on_database)
        self._membership.on_message(EndpointNotice, self._on_notice)

    def sync_peer(self, host: str) -> None:
        """Send notices of all leaving endpoints to a host that has just connected."""
        for address, leaving in self._announced.items():
            if leaving:
                self._membership.send(host, self._make_notice(address, leaving))

    # -- Own reports ---------------------------------------------------------

    def _on_reported(self, signal: EndpointReported) -> None:
        row = self._node.tables.endpoints.get(signal.address)
        if row is None or row.report is None:
            return
        leaving = row.report.leaving
        self._mark(row, leaving)
        if self._announced.get(row.address, False) is not leaving:
            self._schedule_notice(row.address, leaving)

    def _schedule_notice(self, address: str, leaving: bool) -> None:
        # Reports arrive many times a second. One notice is enough for all of them.
        if address in self._scheduled:
            return
        self._scheduled.add(address)
        delay = self._node.random.uniform(0, NOTICE_DELAY_MAX)
        self._node.timers.after(delay, self._send_notice, address, leaving)

    def _send_notice(self, address: str, leaving: bool) -> None:
        self._scheduled.discard(address)
        row = self._node.tables.endpoints.get(address)
        if row is None or row.is_leaving is not leaving:
            return
        if self._announced.get(address, False) is not leaving:
            self._record_announced(address, leaving)
            self._membership.broadcast(self._make_notice(address, leaving))

    # -- Peers' notices ------------------------------------------------------

    def _on_notice(self, host: str, notice: EndpointNotice) -> None:
        key = (notice.origin, notice.incarnation, notice.number)
        if key in self._seen:
            return
        # Notices are identified by this key. Otherwise a notice and its revocation
        # could circulate forever in a cycle of links, as each would look new at a host
        # that has last received the other.
        self._record_seen(key)
        if self._announced.get(notice.address, False) is notice.leaving:
            return
        self._record_announced(notice.address, notice.leaving)
        self._membership.broadcast(notice, exclude=host)
        self._apply(notice)

    def _apply(self, notice: EndpointNotice) -> None:
        row = self._node.tables.endpoints.get(notice.address)
        if row is None:
            return
        age = self._node.timers.now - row.last_report_at
        if row.report is None or age > REPORT_FRESH_TIME:
            self._mark(row, notice.leaving)
        elif row.report.leaving is not notice.leaving:
            # The notice is outdated: a later report of the endpoint contradicts it.
            self._schedule_notice(row.address, row.report.leaving)

    def _on_database(self, signal: DatabaseAdded | DatabaseChanged) -> None:
        database = self._node.tables.databases[signal.database]
        for row in database.endpoints.values():
            if row.report is None and self._announced.get(row.address, False):
                self._mark(row, True)

    # -- Helpers -------------------------------------------------------------

    def _mark(self, row: EndpointRow, leaving: bool) -> None:
        if row.is_leaving is leaving:
            return
        row.is_leaving = leaving
        state = "leaving" if leaving else "back"
        self._node.log("info", "endpoint_state", address=row.address, state=state)
        self._node.record_decision("endpoint", row.address, f"is {state}")
        self._node.publish(EndpointStateChanged(row.address))

    def _make_notice(self, address: str, leaving: bool) -> EndpointNotice:
        self._number += 1
        identity = self._node.identity
        notice = EndpointNotice(
            address, leaving, identity.name, identity.incarnation, self._number
        )
        self._record_seen((notice.origin, notice.incarnation, notice.number))
        return notice

    def _record_seen(self, key: _NoticeKey) -> None:
        self._seen[key] = None
        if len(self._seen) > SEEN_MAX:
            self._seen.popitem(last=False)

    def _record_announced(self, address: str, leaving: bool) -> None:
        self._announced[address] = leaving
        self._announced.move_to_end(address)
        if len(self._announced) > SEEN_MAX:
            self._announced.popitem(last=False)
