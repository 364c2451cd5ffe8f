"""Polling of the services table by a few hosts of each failure domain.

Two pollers per failure domain suffice: hosts of a failure domain that is cut off from
the others, but not from the platform, still get new versions. A host that does not
know the configuration yet polls whatever its rank, since it may know no other hosts
to compute its rank among.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.platformcalls import (
    PlatformFailed,
    PlatformReply,
    RowsScanned,
    ScanRows,
    TableRow,
)
from mallowpass.core.services import ServiceVersion
from mallowpass.core.systems.changes import SERVICES_TABLE, decode_version
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.platformclient import PlatformClient
from mallowpass.errors import MallowpassError

__all__ = ["ServicePoll"]

POLLERS_PER_DOMAIN = 2  # hosts that poll the services table
JITTER = 0.2  # fraction of the poll interval
FIRST_POLL_DELAY_MIN = 0.05  # seconds
# Seconds per host of the fleet over which first polls are spread. Thousands of hosts
# that start together must not all read the whole table at once: most get it from peers
# before their first poll.
FIRST_POLL_DELAY_PER_HOST = 0.005


class ServicePoll:
    """Scan the services table for changes since the previous scan."""

    __slots__ = (
        "_accept",
        "_is_pending",
        "_last_answer_at",
        "_last_change",
        "_node",
        "_on_complete",
    )

    def __init__(
        self,
        node: Node,
        accept: Callable[[ServiceVersion], None],
        on_complete: Callable[[], None],
    ) -> None:
        self._node = node
        self._accept = accept
        self._on_complete = on_complete
        self._last_change = 0
        self._last_answer_at: float | None = None
        self._is_pending = False

    @property
    def age(self) -> float | None:
        """Return the seconds since the last answer, None for never."""
        if self._last_answer_at is None:
            return None
        return self._node.timers.now - self._last_answer_at

    def start(self) -> None:
        """Schedule the first poll."""
        host_count = sum(domain.hosts for domain in self._node.identity.domains)
        delay_max = FIRST_POLL_DELAY_MIN + host_count * FIRST_POLL_DELAY_PER_HOST
        first = self._node.random.uniform(FIRST_POLL_DELAY_MIN, delay_max)
        self._node.timers.after(first, self._tick)

    def _tick(self) -> None:
        interval = self._node.tuning.configuration_poll
        jitter = self._node.random.uniform(1 - JITTER, 1 + JITTER)
        self._node.timers.after(interval * jitter, self._tick)
        if not self._is_pending and self._is_poller():
            self._scan()

    def _is_poller(self) -> bool:
        # Imported here, as configuration.py imports this module.
        from mallowpass.core.systems.configuration import Configuration

        if not self._node.system(Configuration).is_known:
            return True
        domain = self._node.identity.failure_domain
        return (
            self._node.system(Membership).rank("services", domain) < POLLERS_PER_DOMAIN
        )

    def _scan(self) -> None:
        self._is_pending = True
        scan = ScanRows(SERVICES_TABLE, self._last_change)
        self._node.system(PlatformClient).call(scan, self._on_scanned)

    def _on_scanned(self, reply: PlatformReply) -> None:
        self._is_pending = False
        if isinstance(reply, PlatformFailed) or not isinstance(reply, RowsScanned):
            return
        self._last_answer_at = self._node.timers.now
        for row in reply.rows:
            self._accept_row(row)
        # The change numbers of a recreated table start from zero again: read all of it.
        is_recreated = reply.change < self._last_change
        self._last_change = 0 if is_recreated else reply.change
        if reply.more:
            self._scan()
        elif not is_recreated:
            self._on_complete()

    def _accept_row(self, row: TableRow) -> None:
        try:
            version = decode_version(row)
        except MallowpassError as error:
            # An unreadable row must not prevent the other rows from being read.
            self._node.log("error", "service_row_unreadable", key=row.key, why=error)
            self._node.count("configuration_faults")
            return
        self._accept(version)
