"""Forward changes of the store's tables to other hosts.

A follower sends the version up to which it knows a table, and gets all newer rows, at
once or as soon as there are any. The versions are those of the store, so a follower can
switch to another relay or to the store without missing a change.

A host only answers followers while it follows the store itself. Otherwise two hosts
with different lists of hosts could follow each other, and neither would get any change.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mallowpass.core.node import Node
from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.effects import AnswerFeed
from mallowpass.core.proxy.events import FeedAsked
from mallowpass.core.proxy.signals import DrainBegan
from mallowpass.core.proxy.storage import (
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    era_of,
)
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record
from mallowpass.core.timers import Timer

__all__ = ["Feeds", "Provenance"]

WAIT_MAX = 30.0  # seconds that a follower may wait for changes
# Number of removed rows that are kept for each table, to forward the removals. A
# follower whose version is older than these gets the whole table.
REMOVED_MAX = 1000

STOPPING = "this host is stopping"
NOT_FOLLOWING = "this host does not follow the store"


@dataclass(slots=True, eq=False)
class _Follower:
    """A follower's call that waits for changes."""

    number: int
    after: int
    timer: Timer


@record
class Provenance:
    """From whom the latest reply for a table came, and how recent it was."""

    relay: str = ""  # name of the host that replied; empty: the store itself
    age: float = 0.0  # seconds since that host knew the present state of the table
    # Seconds before the reply for which changes of the table may have been missed.
    unconfirmed_for: float = math.inf


@dataclass(slots=True, eq=False)
class _TableCopy:
    """Copy of one table, as read from the store or from a relay."""

    rows: dict[RowKey, Row] = field(default_factory=dict)  # including removed ones
    complete_since: int = 0  # all later removals are in `rows`
    version: int = 0  # up to which the table is known
    # All changes that the store accepted before this time are known.
    confirmed_at: float = -math.inf
    provenance: Provenance = Provenance()
    is_current: bool = False  # the latest reply came from the store itself
    followers: list[_Follower] = field(default_factory=list)


class Feeds(ProxySystem):
    """Answer the calls of other hosts that follow tables at this host."""

    __slots__ = ("_copies", "_delegates", "_is_draining")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._copies = {table: _TableCopy() for table in Table}
        # Of tables that no host follows.
        self._delegates: dict[Table, Callable[[FeedAsked], None]] = {}
        self._is_draining = False

    def start(self) -> None:
        """Subscribe to calls of followers."""
        self._node.subscribe(FeedAsked, self._on_asked)
        self._node.subscribe(DrainBegan, self._on_drain)

    def delegate(self, table: Table, handler: Callable[[FeedAsked], None]) -> None:
        """Have another system answer the calls for a table that no host follows."""
        self._delegates[table] = handler

    # -- Copies of tables ----------------------------------------------------

    def age(self, table: Table) -> float:
        """Return for how long changes of a table may have been missed, in seconds."""
        return self.now - self._copies[table].confirmed_at

    def version(self, table: Table) -> int:
        """Return the version of the store up to which a table is known."""
        return self._copies[table].version

    def provenance(self, table: Table) -> Provenance:
        """Return from whom the latest reply for a table came."""
        return self._copies[table].provenance

    def apply(self, table: Table, reply: StoreReply, relay: str = "") -> None:
        """Apply a reply of the store, or of the named relay, to the copy of a table."""
        copy = self._copies[table]
        copy.provenance = Provenance(relay, reply.age, self.age(table))
        if reply.version >= copy.version:
            copy.confirmed_at = max(copy.confirmed_at, self.now - reply.age)
        before = copy.rows
        if reply.is_snapshot:
            copy.rows = {}
            copy.complete_since = reply.version
        for row in reply.rows:
            copy.rows[row.key] = _keep_newest_configuration(before.get(row.key), row)
        copy.version = max(copy.version, reply.version)
        self._trim_removed(copy)
        if relay:
            self.mark_stale(table)
            return
        copy.is_current = True
        self._answer_followers(copy)

    def mark_stale(self, table: Table) -> None:
        """Mark a table as not followed at the store, and refuse its followers."""
        copy = self._copies[table]
        copy.is_current = False
        self._refuse_all(copy, NOT_FOLLOWING)

    @staticmethod
    def _trim_removed(copy: _TableCopy) -> None:
        removed = [row for row in copy.rows.values() if row.value is None]
        removed.sort(key=lambda row: row.version)
        for row in removed[: max(0, len(removed) - REMOVED_MAX)]:
            del copy.rows[row.key]
            copy.complete_since = max(copy.complete_since, row.version)

    # -- Followers -----------------------------------------------------------

    def _on_asked(self, event: FeedAsked) -> None:
        if event.table in self._delegates and not self._is_draining:
            self._delegates[event.table](event)
            return
        copy = self._copies[event.table]
        is_behind = era_of(event.after) > era_of(copy.version)
        if self._is_draining or is_behind or not copy.is_current:
            self._refuse(event.feed, STOPPING if self._is_draining else NOT_FOLLOWING)
            return
        reply = self._changes(copy, event.after)
        if reply.rows or reply.is_snapshot:
            self._node.emit(AnswerFeed(event.feed, reply))
            return
        wait = min(WAIT_MAX, max(0.0, event.wait))
        follower = _Follower(
            event.feed,
            event.after,
            self.timers.after(wait, self._on_wait_ended, copy, event.feed),
        )
        copy.followers.append(follower)

    def _changes(self, copy: _TableCopy, after: int) -> StoreReply:
        """Return the rows newer than a version; the whole table if some are unknown."""
        is_snapshot = after < copy.complete_since
        rows = [
            row
            for row in copy.rows.values()
            if (row.value is not None if is_snapshot else row.version > after)
        ]
        rows.sort(key=lambda row: row.version)
        version = max(after, copy.version)
        era = era_of(version)
        done = StoreStatus.DONE
        return StoreReply(
            done,
            tuple(rows),
            version,
            is_snapshot=is_snapshot,
            era=era,
            age=self.now - copy.confirmed_at,
        )

    def _answer_followers(self, copy: _TableCopy) -> None:
        """Send all followers what the store answered, also that nothing has changed.

        Otherwise they could not tell this host from one that lost the store.
        """
        followers, copy.followers = copy.followers, []
        # Most followers have the same version, and get the same reply.
        replies: dict[int, StoreReply] = {}
        for follower in followers:
            reply = replies.get(follower.after)
            if reply is None:
                reply = replies[follower.after] = self._changes(copy, follower.after)
            follower.timer.cancel()
            self._node.emit(AnswerFeed(follower.number, reply))

    def _on_wait_ended(self, copy: _TableCopy, number: int) -> None:
        for follower in list(copy.followers):
            if follower.number == number:
                copy.followers.remove(follower)
                reply = self._changes(copy, follower.after)
                self._node.emit(AnswerFeed(number, reply))

    def _on_drain(self, signal: DrainBegan) -> None:
        self._is_draining = True
        for copy in self._copies.values():
            self._refuse_all(copy, STOPPING)

    def _refuse_all(self, copy: _TableCopy, why: str) -> None:
        followers, copy.followers = copy.followers, []
        for follower in followers:
            follower.timer.cancel()
            self._refuse(follower.number, why)

    def _refuse(self, number: int, why: str) -> None:
        self._node.count("feeds_refused")
        reply = StoreReply(StoreStatus.REFUSED, message=why)
        self._node.emit(AnswerFeed(number, reply))


def _keep_newest_configuration(known: Row | None, row: Row) -> Row:
    """Return `row`, but with the known configuration if that of `row` is older.

    A store that was restored from a backup has an older configuration until operators
    write theirs again. A host that starts meanwhile must not use it.
    """
    if known is None or not isinstance(known.value, Configuration):
        return row
    if isinstance(row.value, Configuration) and row.value.version < known.value.version:
        return replace(known, version=row.version)
    return row
