"""Calls to the platform's table service and host list, and the replies."""

from __future__ import annotations

from mallowpass.core.records import record

__all__ = [
    "HostsListed",
    "ListHosts",
    "ListedHost",
    "PlatformCall",
    "PlatformFailed",
    "PlatformReply",
    "ReadRow",
    "RegisterHost",
    "HostRegistered",
    "RowRead",
    "RowWritten",
    "RowsScanned",
    "ScanRows",
    "TableRow",
    "WriteRow",
]


@record
class TableRow:
    """A row of a table; its version increases by one with each write."""

    table: str
    key: str
    version: int
    value: bytes
    deleted: bool = False


@record
class PlatformCall:
    """Base class of the calls to the platform."""


@record
class ReadRow(PlatformCall):
    """Read one row."""

    table: str
    key: str


@record
class ScanRows(PlatformCall):
    """Read the rows that changed after a change number."""

    table: str
    after_change: int


@record
class WriteRow(PlatformCall):
    """Write a row if its version is the expected one (compare-and-set)."""

    table: str
    key: str
    expected_version: int
    value: bytes
    delete: bool = False


@record
class ListedHost:
    """A host in the platform's list."""

    name: str
    failure_domain: str
    peers_address: str
    leaving: bool = False


@record
class ListHosts(PlatformCall):
    """Read the platform's list of hosts, which lags behind the registrations."""


@record
class RegisterHost(PlatformCall):
    """Register this host in the platform's list of hosts."""

    host: ListedHost


@record
class PlatformReply:
    """Base class of the replies of the platform."""


@record
class RowRead(PlatformReply):
    """Answer ReadRow; `row` is None if the row does not exist."""

    row: TableRow | None


@record
class RowsScanned(PlatformReply):
    """Answer ScanRows."""

    rows: tuple[TableRow, ...]
    change: int  # change number to scan after next
    more: bool = False  # more rows have changed after `change`


@record
class RowWritten(PlatformReply):
    """Answer WriteRow; `current` is the row after the call, written or not."""

    written: bool
    current: TableRow | None


@record
class HostsListed(PlatformReply):
    """Answer ListHosts."""

    hosts: tuple[ListedHost, ...]


@record
class HostRegistered(PlatformReply):
    """Answer RegisterHost."""


@record
class PlatformFailed(PlatformReply):
    """Answer any call that failed."""

    message: str
    ambiguous: bool = True  # a write may have taken effect
    code: str = ""  # name of an ErrorCode; empty: the platform is at fault
