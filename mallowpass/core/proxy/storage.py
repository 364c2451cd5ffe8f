"""Calls to the key-value store that all hosts share, and its replies.

The store keeps versioned rows, supports conditional updates, and reports changes. Rows
that the platform defines arrive decoded; rows of the hosts' own tables are plain text.
"""

from __future__ import annotations

from enum import Enum

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.records import record

__all__ = [
    "ChangeRows",
    "EndpointEntry",
    "ListRows",
    "Row",
    "RowKey",
    "StoreCall",
    "StoreReply",
    "StoreStatus",
    "Table",
    "UNKNOWN_START_TIME",
    "Unreadable",
    "WatchRows",
    "era_of",
    "make_version",
    "store_version",
]


class Table(Enum):
    """Tables of the store."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    HOSTS = "hosts"
    SUSPICIONS = "suspicions"
    CLAIMS = "claims"
    LIMITS = "limits"
    WRITERS = "writers"


# Versions of the store are unique within an era only: a store that was restored from a
# backup assigns the same versions again. The era forms the upper bits of the versions
# used here, so that each version of a later era is above all of earlier eras.
_ERA_SIZE = 1 << 40


def make_version(era: int, version: int) -> int:
    """Combine an era and a version of the store into one comparable version."""
    return era * _ERA_SIZE + version


def era_of(version: int) -> int:
    """Return the era part of a version."""
    return version // _ERA_SIZE


def store_version(version: int) -> int:
    """Return a version as the store assigned it, without its era."""
    return version % _ERA_SIZE


UNKNOWN_START_TIME = 0  # in entries without the start time of the endpoint


@record
class EndpointEntry:
    """Entry that an endpoint writes about itself.

    `started_at`, the Unix time of its start in milliseconds, distinguishes the runs of
    an endpoint: an endpoint that restarts under its name has lost all earlier state.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    is_primary: bool
    started_at: int = UNKNOWN_START_TIME
    heartbeats: int = 0  # written since its start


@record
class Unreadable:
    """Stands for a stored value that is malformed, as another program wrote it."""

    reason: str


@record
class RowKey:
    """Key of a row; rows of the same `part` can be changed atomically."""

    table: Table
    part: str
    key: str


@record
class Row:
    """A row; if no such row exists, `version` is 0 and `value` is None.

    `encoded` is the value as stored, to be passed on to other hosts.
    """

    key: RowKey
    version: int = 0
    value: Configuration | EndpointEntry | Unreadable | str | None = None
    encoded: str = ""


# -- Calls -------------------------------------------------------------------


@record
class StoreCall:
    """Base class of all calls to the store."""


@record
class ListRows(StoreCall):
    """List all rows of a part."""

    table: Table
    part: str = ""


@record
class WatchRows(StoreCall):
    """Wait for changes after a version, for at most `wait` seconds."""

    table: Table
    after: int
    wait: float


@record
class ChangeRows(StoreCall):
    """Change rows if all rows in `expected` still have the given versions."""

    expected: tuple[tuple[RowKey, int], ...] = ()
    puts: tuple[tuple[RowKey, str], ...] = ()
    deletes: tuple[RowKey, ...] = ()


# -- Replies -----------------------------------------------------------------


class StoreStatus(Enum):
    """Outcome of a call."""

    DONE = "done"
    CONFLICT = "conflict"  # nothing was changed; the reply has the current rows
    HISTORY_GONE = "history-gone"  # changes were missed: list the rows again
    REFUSED = "refused"  # nothing was changed
    UNKNOWN = "unknown"  # the call may have been carried out, or may be later


@record
class StoreReply:
    """Reply to a call; `time` is the store's steady clock in seconds.

    If `is_snapshot`, the rows are all rows of the table, else only the changed ones.
    `era` grows each time that the store is restored from a backup; writes after that
    backup are lost. `age` is the time in seconds since the replying host knew that it
    had the present state of the table; changes since then may be missing.
    """

    status: StoreStatus
    rows: tuple[Row, ...] = ()
    version: int = 0
    time: float = 0.0  # 0: another host replied instead of the store
    message: str = ""
    is_snapshot: bool = False
    era: int = 0
    age: float = 0.0
