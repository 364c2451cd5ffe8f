"""Calls to the platform's table service, object store and host list."""

from __future__ import annotations

from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class TableRow:
    """Hold one row; its version grows by one with each write."""

    table: str
    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """Stand on top of all calls to the platform."""


@dataclass(frozen=True, slots=True)
class ReadRow(PlatformCall):
    """Read one row."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class ScanRows(PlatformCall):
    """Read the rows changed after a change number."""

    table: str
    after_change: int


@dataclass(frozen=True, slots=True)
class WriteRow(PlatformCall):
    """Write a row if its version is still the expected one."""

    table: str
    key: str
    expected_version: int
    value: bytes
    delete: bool = False


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Describe a host of the platform's list."""

    name: str
    failure_domain: str
    peers_address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListHosts(PlatformCall):
    """Read the platform's lagging list of hosts."""


@dataclass(frozen=True, slots=True)
class RegisterHost(PlatformCall):
    """Tell the platform that this host is there."""

    host: ListedHost


@dataclass(frozen=True, slots=True)
class PlatformReply:
    """Stand on top of all answers of the platform."""


@dataclass(frozen=True, slots=True)
class RowRead(PlatformReply):
    """Answer ReadRow; None when there is no such row."""

    row: TableRow | None


@dataclass(frozen=True, slots=True)
class RowsScanned(PlatformReply):
    """Answer ScanRows."""

    rows: tuple[TableRow, ...]
    change: int
    more: bool = False


@dataclass(frozen=True, slots=True)
class RowWritten(PlatformReply):
    """Answer WriteRow with the row as it stands now."""

    written: bool
    current: TableRow | None


@dataclass(frozen=True, slots=True)
class HostsListed(PlatformReply):
    """Answer ListHosts."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class HostRegistered(PlatformReply):
    """Answer RegisterHost."""


@dataclass(frozen=True, slots=True)
class PlatformFailed(PlatformReply):
    """Answer any call that failed; `ambiguous`: a write may have taken effect."""

    message: str
    ambiguous: bool = True
    code: str = ""  # a name of mallowpass/errors.py; empty: the platform is at fault
