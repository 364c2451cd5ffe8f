"""Reading the services table: a few hosts of each failure domain, with jitter.

Two pollers a failure domain suffice: a failure domain that is cut off from others
but not from the platform still learns what is new. A host that knows nothing yet
polls whatever its rank, since it knows no one to rank itself among.
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

POLLERS = 2
JITTER = 0.2
FIRST_MIN = 0.05
# Thousands of hosts that start together must not all read the whole table at once:
# most have it from peers before their turn comes.
FIRST_PER_SEAT = 0.005


class ServicePoll:
    """Scan the table after the last change number seen."""

    __slots__ = (
        "_accept",
        "_answered_at",
        "_change",
        "_node",
        "_on_complete",
        "_pending",
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
        self._change = 0
        self._answered_at: float | None = None
        self._pending = False

    @property
    def age(self) -> float | None:
        """Return the seconds since the last answer, None for never."""
        if self._answered_at is None:
            return None
        return self._node.timers.now - self._answered_at

    def start(self) -> None:
        """Schedule the first poll."""
        seats = sum(domain.hosts for domain in self._node.identity.domains)
        latest = FIRST_MIN + seats * FIRST_PER_SEAT
        first = self._node.random.uniform(FIRST_MIN, latest)
        self._node.timers.after(first, self._tick)

    def _tick(self) -> None:
        period = self._node.tuning.configuration_poll
        jitter = self._node.random.uniform(1 - JITTER, 1 + JITTER)
        self._node.timers.after(period * jitter, self._tick)
        if not self._pending and self._is_poller():
            self._scan()

    def _is_poller(self) -> bool:
        # Late import: configuration.py builds on this module.
        from mallowpass.core.systems.configuration import Configuration

        if not self._node.system(Configuration).is_known:
            return True
        domain = self._node.identity.failure_domain
        return self._node.system(Membership).rank("services", domain) < POLLERS

    def _scan(self) -> None:
        self._pending = True
        scan = ScanRows(SERVICES_TABLE, self._change)
        self._node.system(PlatformClient).call(scan, self._on_scanned)

    def _on_scanned(self, reply: PlatformReply) -> None:
        self._pending = False
        if isinstance(reply, PlatformFailed) or not isinstance(reply, RowsScanned):
            return
        self._answered_at = self._node.timers.now
        for row in reply.rows:
            self._take_over(row)
        # A table that was set up anew counts from zero again: read all of it.
        went_back = reply.change < self._change
        self._change = 0 if went_back else reply.change
        if reply.more:
            self._scan()
        elif not went_back:
            self._on_complete()

    def _take_over(self, row: TableRow) -> None:
        try:
            version = decode_version(row)
        except MallowpassError as error:
            # One row that can't be read must not keep the others from coming.
            self._node.log("error", "service_row_unreadable", key=row.key, why=error)
            self._node.count("configuration_faults")
            return
        self._accept(version)
