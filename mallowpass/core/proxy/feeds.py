"""Telling other hosts what this one learns of the store's tables.

A follower names the version up to which it knows a table, and is told what is newer: at
once, or as soon as there is something. Versions are the store's, so it may go from one
relay to another, or to the store, and misses nothing.

Nobody is told anything by a host that does not follow the store itself just now. Two
hosts that see the fleet differently would else follow each other, and neither learn
anything.
"""

from __future__ import annotations

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
from mallowpass.core.timers import Timer

__all__ = ["Feeds"]

WAIT_MAX = 30.0  # seconds that a follower may wait for changes
# Rows that were removed are kept for followers, as many of a table. Whoever knows an
# older version than those is told the whole table.
REMOVED_MAX = 1000

STOPPING = "this host is stopping"
NOT_FOLLOWING = "this host does not follow the store"


@dataclass(slots=True, eq=False)
class _Follower:
    """Hold one call that waits for changes."""

    number: int
    after: int
    timer: Timer


@dataclass(slots=True, eq=False)
class _Copy:
    """Hold what is known of one table, by whichever way it was learnt."""

    rows: dict[RowKey, Row] = field(default_factory=dict)  # also those removed
    since: int = 0  # all that was removed after this version is known
    version: int = 0  # up to which the table is known
    is_current: bool = False  # the store itself answered last
    followers: list[_Follower] = field(default_factory=list)


class Feeds(ProxySystem):
    """Answer hosts that follow tables by way of this one."""

    __slots__ = ("_copies", "_stopping")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._copies = {table: _Copy() for table in Table}
        self._stopping = False

    def start(self) -> None:
        """Subscribe to what other hosts ask for."""
        self._node.subscribe(FeedAsked, self._on_asked)
        self._node.subscribe(DrainBegan, self._on_drain)

    # -- What this host learns -----------------------------------------------

    def learnt(self, table: Table, reply: StoreReply, by_relay: bool) -> None:
        """Take what the store, or a relay, told of a table."""
        copy = self._copies[table]
        before = copy.rows
        if reply.is_snapshot:
            copy.rows = {}
            copy.since = reply.version
        for row in reply.rows:
            copy.rows[row.key] = _newest(before.get(row.key), row)
        copy.version = max(copy.version, reply.version)
        self._trim(copy)
        if by_relay:
            self.lost(table)
            return
        copy.is_current = True
        if reply.rows:
            self._tell(copy)

    def lost(self, table: Table) -> None:
        """Note that the store did not answer, or that it isn't asked any more."""
        copy = self._copies[table]
        copy.is_current = False
        self._refuse_all(copy, NOT_FOLLOWING)

    @staticmethod
    def _trim(copy: _Copy) -> None:
        removed = [row for row in copy.rows.values() if row.value is None]
        removed.sort(key=lambda row: row.version)
        for row in removed[: max(0, len(removed) - REMOVED_MAX)]:
            del copy.rows[row.key]
            copy.since = max(copy.since, row.version)

    # -- Followers -----------------------------------------------------------

    def _on_asked(self, event: FeedAsked) -> None:
        copy = self._copies[event.table]
        is_behind = era_of(event.after) > era_of(copy.version)
        if self._stopping or is_behind or not copy.is_current:
            self._refuse(event.feed, STOPPING if self._stopping else NOT_FOLLOWING)
            return
        reply = self._changes(copy, event.after)
        if reply.rows or reply.is_snapshot:
            self._node.emit(AnswerFeed(event.feed, reply))
            return
        wait = min(WAIT_MAX, max(0.0, event.wait))
        follower = _Follower(
            event.feed,
            event.after,
            self.timers.after(wait, self._end_wait, copy, event.feed),
        )
        copy.followers.append(follower)

    def _changes(self, copy: _Copy, after: int) -> StoreReply:
        """Return what is newer than a version; the whole table if that is not known."""
        is_snapshot = after < copy.since
        rows = [
            row
            for row in copy.rows.values()
            if (row.value is not None if is_snapshot else row.version > after)
        ]
        rows.sort(key=lambda row: row.version)
        version = max(after, copy.version)
        era = era_of(version)
        done = StoreStatus.DONE
        return StoreReply(done, tuple(rows), version, is_snapshot=is_snapshot, era=era)

    def _tell(self, copy: _Copy) -> None:
        followers, copy.followers = copy.followers, []
        # Most know the same version, and are told the same.
        replies: dict[int, StoreReply] = {}
        for follower in followers:
            reply = replies.get(follower.after)
            if reply is None:
                reply = replies[follower.after] = self._changes(copy, follower.after)
            if reply.rows or reply.is_snapshot:
                follower.timer.cancel()
                self._node.emit(AnswerFeed(follower.number, reply))
            else:
                copy.followers.append(follower)

    def _end_wait(self, copy: _Copy, number: int) -> None:
        for follower in list(copy.followers):
            if follower.number == number:
                copy.followers.remove(follower)
                reply = self._changes(copy, follower.after)
                self._node.emit(AnswerFeed(number, reply))

    def _on_drain(self, signal: DrainBegan) -> None:
        self._stopping = True
        for copy in self._copies.values():
            self._refuse_all(copy, STOPPING)

    def _refuse_all(self, copy: _Copy, why: str) -> None:
        followers, copy.followers = copy.followers, []
        for follower in followers:
            follower.timer.cancel()
            self._refuse(follower.number, why)

    def _refuse(self, number: int, why: str) -> None:
        self._node.count("feeds_refused")
        reply = StoreReply(StoreStatus.REFUSED, message=why)
        self._node.emit(AnswerFeed(number, reply))


def _newest(known: Row | None, row: Row) -> Row:
    """Return a row; a configuration that was learnt is told on by later versions.

    A store that came back from a copy has an earlier one until operators write theirs
    again. A host that starts meanwhile would go by it.
    """
    if known is None or not isinstance(known.value, Configuration):
        return row
    if isinstance(row.value, Configuration) and row.value.version < known.value.version:
        return replace(known, version=row.version)
    return row
