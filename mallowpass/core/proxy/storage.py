"""Calls to the store that the whole fleet shares, and its replies.

The store keeps rows with versions, changes them under conditions, and tells of
changes. Rows that mean something to the platform arrive decoded; rows of the fleet's
own tables are text to it.
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
    "store_version",
    "make_version",
]


class Table(Enum):
    """Name the tables that a host reads."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    HOSTS = "hosts"
    SUSPICIONS = "suspicions"
    CLAIMS = "claims"
    LIMITS = "limits"


# A version of the store means something in its era only: a store that came back from a
# copy gives versions out again. Here the era is the upper part of each version, so that
# a version of a later era is above all of earlier ones.
_ERA_SIZE = 1 << 40


def make_version(era: int, version: int) -> int:
    """Return a version of an era as it is compared here."""
    return era * _ERA_SIZE + version


def era_of(version: int) -> int:
    """Return the era that a version is of."""
    return version // _ERA_SIZE


def store_version(version: int) -> int:
    """Return a version as the store gave it out."""
    return version % _ERA_SIZE


UNKNOWN_START_TIME = 0  # of an entry that does not tell when its endpoint started


@record
class EndpointEntry:
    """Hold what an endpoint says of itself.

    An endpoint may start again under its name, and knows nothing of before then:
    `started_at`, the Unix time of its start in milliseconds, tells one start from
    another.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    is_primary: bool
    started_at: int = UNKNOWN_START_TIME
    heartbeats: int = 0  # that it has written since its start


@record
class Unreadable:
    """Stand for a value that is not what its table holds: another writer's."""

    reason: str


@record
class RowKey:
    """Name a row; rows of one `part` can change together."""

    table: Table
    part: str
    key: str


@record
class Row:
    """Hold a row; `version` is 0, and `value` None, for one that does not exist.

    `encoded` is the value as the store keeps it, to be passed on to other hosts.
    """

    key: RowKey
    version: int = 0
    value: Configuration | EndpointEntry | Unreadable | str | None = None
    encoded: str = ""


# -- Calls -------------------------------------------------------------------


@record
class StoreCall:
    """Stand on top of all calls."""


@record
class ListRows(StoreCall):
    """List all rows of a part."""

    table: Table
    part: str = ""


@record
class WatchRows(StoreCall):
    """Wait for changes after a version, at most `wait` seconds."""

    table: Table
    after: int
    wait: float


@record
class ChangeRows(StoreCall):
    """Change rows if all of `expected` still have these versions."""

    expected: tuple[tuple[RowKey, int], ...] = ()
    puts: tuple[tuple[RowKey, str], ...] = ()
    deletes: tuple[RowKey, ...] = ()


# -- Replies -----------------------------------------------------------------


class StoreStatus(Enum):
    """Say what became of a call."""

    DONE = "done"
    CONFLICT = "conflict"  # the rows are as returned, and nothing was done
    HISTORY_GONE = "history-gone"  # changes were missed: list the rows anew
    REFUSED = "refused"  # nothing was done
    UNKNOWN = "unknown"  # it may have been done, or be done later


@record
class StoreReply:
    """Answer a call; `time` is the store's steady clock in seconds.

    `is_snapshot` tells that the rows are a whole table. The store's `era` grows each
    time that it comes back from a copy, and what was written since that is gone.
    """

    status: StoreStatus
    rows: tuple[Row, ...] = ()
    version: int = 0
    time: float = 0.0  # 0: another host answered
    message: str = ""
    is_snapshot: bool = False
    era: int = 0
