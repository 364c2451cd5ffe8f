"""Calls to the platform's table service, object store and host list."""

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
    """Hold one row; its version grows by one with each write."""

    table: str
    key: str
    version: int
    value: bytes
    deleted: bool = False


@record
class PlatformCall:
    """Stand on top of all calls to the platform."""


@record
class ReadRow(PlatformCall):
    """Read one row."""

    table: str
    key: str


@record
class ScanRows(PlatformCall):
    """Read the rows changed after a change number."""

    table: str
    after_change: int


@record
class WriteRow(PlatformCall):
    """Write a row if its version is still the expected one."""

    table: str
    key: str
    expected_version: int
    value: bytes
    delete: bool = False


@record
class ListedHost:
    """Describe a host of the platform's list."""

    name: str
    failure_domain: str
    peers_address: str
    leaving: bool = False


@record
class ListHosts(PlatformCall):
    """Read the platform's lagging list of hosts."""


@record
class RegisterHost(PlatformCall):
    """Tell the platform that this host is there."""

    host: ListedHost


@record
class PlatformReply:
    """Stand on top of all answers of the platform."""


@record
class RowRead(PlatformReply):
    """Answer ReadRow; None when there is no such row."""

    row: TableRow | None


@record
class RowsScanned(PlatformReply):
    """Answer ScanRows."""

    rows: tuple[TableRow, ...]
    change: int
    more: bool = False


@record
class RowWritten(PlatformReply):
    """Answer WriteRow with the row as it stands now."""

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
    """Answer any call that failed; `ambiguous`: a write may have taken effect."""

    message: str
    ambiguous: bool = True
    code: str = ""  # a name of mallowpass/errors.py; empty: the platform is at fault
