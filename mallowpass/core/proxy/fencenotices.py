"""Fences of a primary by way of the store, for holders that no link reaches.

A holder may be cut off from the other hosts, and still reach the primary that they
replace. It has to fence that primary as well, see `fenceorders`. So a host that gets no
confirmation by a link writes a notice to the store, into the table of hosts, which each
host follows anyway. The holder fences the primary, and writes into the notice what it
knows of the primary's log once none of its commits is in flight there. The fence is
lifted as the notice is deleted.

A notice is a row of a part of its own, whose key is no name of a host. Hosts of a
version that does not know notices report it as an entry that they can't read. Changes
of the table of hosts are told in batches, so the host that wrote a notice reads the
confirmations itself.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.fencing import FENCE_DURATION, Fencing
from mallowpass.core.proxy.signals import HostNoticed
from mallowpass.core.proxy.statements import FenceEvidence
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    Table,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["FenceNotices", "is_notice"]

_PART = "fences"  # of the table of hosts
_KEY_PREFIX = "fence/"
# Seconds between two reads of confirmations, and their number: the order waits no
# longer for them than this.
READ_INTERVAL = 0.04
READS_MAX = 3

EvidenceHandler = Callable[[FenceEvidence], None]


def is_notice(key: RowKey) -> bool:
    """Return whether a row of the table of hosts is a notice."""
    return key.key.startswith(_KEY_PREFIX)


def _key(service: str, host: str) -> RowKey:
    return RowKey(Table.HOSTS, _PART, f"{_KEY_PREFIX}{service}/{host}")


@record
class _Notice:
    """A notice as stored; `until` is a time of the store's clock, in seconds."""

    primary: str
    until: float
    owner: str  # name of the host that replaces the primary
    evidence: FenceEvidence | None = None  # None: not confirmed

    def encode(self) -> str:
        """Return the text that is stored."""
        text = f"{self.primary} {self.until:.3f} {self.owner}"
        if self.evidence is None:
            return text
        return f"{text} {self.evidence.encode().decode()}"

    @classmethod
    def decode(cls, text: str) -> _Notice:
        """Parse a stored text; raise ValueError if it is malformed."""
        primary, until_text, owner, *rest = text.split(" ", 3)
        until = float(until_text)
        if not math.isfinite(until):
            raise ValueError(f"end of a fence is not finite: {until_text!r}")
        evidence = FenceEvidence.decode(rest[0].encode()) if rest else None
        return cls(primary, until, owner, evidence)


class FenceNotices(ProxySystem):
    """Send fences by the store, and carry out those that are sent to this host."""

    __slots__ = ("_fencing", "_handlers", "_served", "_store")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Of the notices that this host has written, by service and holder.
        self._handlers: dict[str, dict[str, EvidenceHandler]] = {}
        # Primaries that this host has fenced for notices, and the owners, by row.
        self._served: dict[RowKey, tuple[EndpointRow, str]] = {}

    def start(self) -> None:
        """Subscribe to the notices that the store tells."""
        self._fencing = self._node.system(Fencing)
        self._store = self._node.system(Store)
        self._node.subscribe(HostNoticed, self._on_noticed)

    # -- Sending -------------------------------------------------------------

    def send(
        self, service: str, primary: str, handlers: dict[str, EvidenceHandler]
    ) -> None:
        """Have holders fence a primary; each one's handler is called as it confirms."""
        self._handlers[service] = handlers
        until = (self._store.time or 0.0) + FENCE_DURATION
        notice = _Notice(primary, until, self._node.identity.name).encode()
        self._node.count("fence_notices", service=service)
        puts = tuple((_key(service, host), notice) for host in sorted(handlers))
        self._change(ChangeRows(puts=puts))
        self.timers.after(READ_INTERVAL, self._read, service, handlers, READS_MAX)

    def _read(
        self, service: str, handlers: dict[str, EvidenceHandler], reads: int
    ) -> None:
        """Read confirmations, until all holders have sent theirs."""
        if self._handlers.get(service) is not handlers or reads == 0:
            return

        def on_rows(reply: StoreReply) -> None:
            for row in reply.rows:
                self._on_notice(row)

        self._store.call(ListRows(Table.HOSTS, _PART), on_rows)
        self.timers.after(READ_INTERVAL, self._read, service, handlers, reads - 1)

    def lift(self, service: str) -> None:
        """Have holders lift the fences that this host has sent for a service."""
        hosts = self._handlers.pop(service, {})
        if hosts:
            deletes = tuple(_key(service, host) for host in sorted(hosts))
            self._change(ChangeRows(deletes=deletes))

    def _change(self, call: ChangeRows) -> None:
        def on_reply(reply: StoreReply) -> None:
            """Ignore a failure: the fence is unconfirmed, or expires by itself."""

        self._store.call(call, on_reply)

    # -- Receiving -----------------------------------------------------------

    def _on_noticed(self, signal: HostNoticed) -> None:
        self._on_notice(signal.row)

    def _on_notice(self, row: Row) -> None:
        service, _, host = row.key.key.removeprefix(_KEY_PREFIX).partition("/")
        if host == self._node.identity.name:
            self._serve(service, row)
            return
        handler = self._handlers.get(service, {}).get(host)
        notice = self._decode(row)
        if handler is None or notice is None or notice.evidence is None:
            return
        if notice.owner == self._node.identity.name:
            handler(notice.evidence)

    def _decode(self, row: Row) -> _Notice | None:
        if not isinstance(row.value, str):
            return None
        try:
            return _Notice.decode(row.value)
        except ValueError:
            self._node.log("error", "fence_notice_unreadable", key=row.key.key)
            return None

    def _serve(self, service: str, row: Row) -> None:
        """Fence a primary at this host, or lift the fence of a deleted notice."""
        notice = self._decode(row)
        if notice is None:
            if row.key in self._served:
                self._fencing.lift(*self._served.pop(row.key))
            return
        duration = min(notice.until - (self._store.time or 0.0), FENCE_DURATION)
        if notice.evidence is not None or duration <= 0.0:
            return
        primary = self.tables.endpoints.get(notice.primary)
        if primary is None:
            self._confirm(row, notice)
            return
        self._node.log(
            "warning",
            "fenced_by_notice",
            service=service,
            primary=notice.primary,
            owner=notice.owner,
        )
        self._served[row.key] = (primary, notice.owner)
        self.timers.after(duration, self._remove, row.key)
        self._fencing.fence(
            primary, duration, notice.owner, lambda: self._confirm(row, notice)
        )

    def _confirm(self, row: Row, notice: _Notice) -> None:
        evidence = self._fencing.evidence(notice.primary)
        confirmed = _Notice(notice.primary, notice.until, notice.owner, evidence)
        expected = ((row.key, row.version),)
        self._change(ChangeRows(expected, ((row.key, confirmed.encode()),)))

    def _remove(self, key: RowKey) -> None:
        """Delete a notice that has expired, unless its owner has."""
        if self._served.pop(key, None) is not None:
            self._change(ChangeRows(deletes=(key,)))
