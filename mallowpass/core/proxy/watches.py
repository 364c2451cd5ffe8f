"""Following the tables of the store, each by itself: at a relay, or at the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from mallowpass.core.proxy.signals import EraChanged
from mallowpass.core.proxy.storage import (
    ListRows,
    Row,
    StoreReply,
    StoreStatus,
    Table,
    WatchRows,
    era_of,
)
from mallowpass.core.proxy.tables import HostRow

if TYPE_CHECKING:
    from mallowpass.core.proxy.store import Store

__all__ = [
    "FIRST_START_TIME",
    "RETURN_JITTER",
    "WATCH_SLACK",
    "RowsHandler",
    "Watch",
]

WATCH_SLACK = 1.5  # seconds that the answer to a call for changes may be late
RELAY_SLACK = 0.5
# Seconds for which further changes are waited for after some came by a relay. Where
# many endpoints enter themselves, it would else tell each follower of each by itself.
RELAY_GAP = 0.3
# After a start, hosts are waited for so long before a table is followed, in seconds.
KNOWN_MAX = 3.0
KNOWN_LOOK = 0.05  # seconds between looks whether they are known
# How long a host that starts again waits for a relay to tell it a table, until it lists
# the table at the store. Where all hosts start again callers wait for this, and relays
# may be out of power still.
RELAY_TELLS_MAX = 0.03  # seconds
# Where the whole fleet starts, relays have learnt the tables so long after the hosts
# are known, in seconds.
RELAYS_START_TIME = 0.5
# Where the whole fleet starts for the first time, endpoints and hosts all enter
# themselves within this time; whoever follows the entries meanwhile is told of each by
# itself.
FIRST_START_TIME = 2.0  # seconds
# Seconds over which the calls of tables are spread that follow once one is answered.
RETURN_JITTER = 0.3

# Called with rows, and with whether these are all that the table has.
RowsHandler = Callable[[tuple[Row, ...], bool], None]
ReplyHandler = Callable[[StoreReply], None]


class Watch:
    """Follow one table: all its rows first, then each change, for ever.

    Changes are waited for at a relay where this host has one, else at the store.
    """

    __slots__ = (
        "_calls",
        "_failures",
        "_feeds",
        "_follows_relay",
        "_handler",
        "_listed_at",
        "_relays",
        "_store",
        "_table",
        "_version",
    )

    def __init__(self, store: Store, table: Table, handler: RowsHandler) -> None:
        self._store = store
        self._feeds = store.feeds
        self._relays = store.relays
        self._table = table
        self._handler = handler
        self._version = 0
        self._calls = 0  # that were made; only the last one's answer counts
        self._follows_relay = False
        self._failures = 0
        store.follow_eras(self._on_era)
        self._listed_at = store.now
        if table is Table.HOSTS:
            self._list()
        elif store.tables.first_start:
            self._begin()
        else:
            store.once_hosts_are_known(self._begin_again)

    def _begin_again(self) -> None:
        """Learn the whole table from a relay, where this host alone may start.

        Lists of all hosts that are restarted would be bytes at the store as the square
        of the fleet.
        """
        relay = self._relays.choose()
        if relay is None:
            self._list()
            return

        def on_reply(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                self._list()
                return
            self._listed_at = self._store.now
            self._take(reply, by_relay=True)
            self._follow_after(RELAY_GAP)

        call = WatchRows(self._table, self._version, 0.0)
        self._store.call_relay(relay, call, on_reply, RELAY_TELLS_MAX)

    def _begin(self) -> None:
        """Learn the whole table from a relay, where the whole fleet starts.

        Each host's own list of it would be a call; nobody waits for it yet.
        """
        known_by = self._listed_at + FIRST_START_TIME + KNOWN_MAX
        if not self._relays.are_known and self._store.now < known_by:
            self._store.timers.after(KNOWN_LOOK, self._begin)
        elif self._relays.choose() is None:
            self._list()
        else:
            self._store.timers.after(RELAYS_START_TIME, self._follow)

    def _on_era(self, signal: EraChanged) -> None:
        """Learn the table anew: changes since an earlier era's version mean nothing."""
        if self._version == 0 or self._follows_relay:
            return
        self._calls += 1  # what is in flight has no answer that counts
        pause = self._store.jitter(RETURN_JITTER)
        if self._relays.has_relays:
            # They did not answer while the store was away, and list it now.
            self._relays.forgive()
            self._store.timers.after(RELAYS_START_TIME + pause, self._follow)
        else:
            self._store.timers.after(pause, self._list)

    def _list(self) -> None:
        self._store.call(ListRows(self._table), self._newest(self._on_listed))

    def _newest(self, handler: ReplyHandler) -> ReplyHandler:
        """Return a handler for the answer to a call, if no later one was made.

        Each answer leads to the next call: of two in flight one must be left.
        """
        self._calls += 1
        number = self._calls

        def on_reply(reply: StoreReply) -> None:
            if self._calls == number:
                handler(reply)

        return on_reply

    def _on_listed(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            self._retry(self._list)
            return
        self._listed_at = self._store.now
        self._take(replace(reply, is_snapshot=True), by_relay=False)
        self._follow()

    def _take(self, reply: StoreReply, by_relay: bool) -> None:
        self._version = max(self._version, reply.version)
        self._store.heard(self._table)
        self._feeds.learnt(self._table, reply, by_relay)
        self._handler(reply.rows, reply.is_snapshot)
        if self._table is Table.HOSTS:
            self._store.hosts_known()

    def _follow(self) -> None:
        if not self._relays.are_known and self._store.now < self._listed_at + KNOWN_MAX:
            # The list of hosts comes in a moment; it tells whether there is a relay.
            self._store.timers.after(KNOWN_LOOK, self._follow)
            return
        relay = self._relays.choose()
        if relay is not None:
            self._follow_relay(relay)
        elif self._relays.has_relays:
            # They did not answer, most likely as the store does not answer them. One
            # table is enough to see that.
            pause = self._store.jitter(RETURN_JITTER)
            self._store.timers.after(pause, self._follow_alone)
        else:
            self._follow_store()

    def _follow_alone(self) -> None:
        if self._store.may_probe(self):
            self._follow_store()
        else:
            self._retry(self._follow)

    def _follow_store(self) -> None:
        if era_of(self._version) != self._store.era:
            self._list()
            return
        self._follows_relay = False
        wait = self._store.watch_wait(self._table)
        call = WatchRows(self._table, self._version, wait)
        on_reply = self._newest(self._on_changes)
        self._store.call(call, on_reply, wait + WATCH_SLACK)

    def _on_changes(self, reply: StoreReply) -> None:
        if reply.status is StoreStatus.HISTORY_GONE:
            self._on_history_gone()
        elif reply.status is not StoreStatus.DONE:
            self._feeds.lost(self._table)
            self._retry(self._follow)
        else:
            self._failures = 0
            self._take(reply, by_relay=False)
            gap = self._store.changes_gap(self._table)
            self._follow_after(gap if reply.rows else 0.0)

    def _follow_after(self, pause: float) -> None:
        if pause:
            self._store.timers.after(pause, self._follow)
        else:
            self._follow()

    def _follow_relay(self, relay: HostRow) -> None:
        asked_at = self._store.now
        wait = self._store.relay_wait(self._table)
        self._follows_relay = True

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._failures = 0
                self._store.go_on()
                self._take(reply, by_relay=True)
                self._follow_after(RELAY_GAP if reply.rows else 0.0)
                return
            self._relays.failed(relay.name)
            silent = self._store.now - asked_at >= wait
            if self._version == 0:
                self._list()
            elif silent:
                # Perhaps it is this host that is cut off from others: to ask one after
                # the other would take longer than a change may.
                self._follow_alone()
            else:
                self._follow()

        call = WatchRows(self._table, self._version, wait)
        newest = self._newest(on_reply)
        self._store.call_relay(relay, call, newest, wait + RELAY_SLACK)

    def _on_history_gone(self) -> None:
        """List the rows anew; not at once if that was no help.

        A store whose reads are behind lists rows of a version that it has no history
        after. One would see each host list and follow without a pause.
        """
        if self._failures == 0:
            self._failures = 1
            self._list()
        else:
            self._retry(self._list)

    def _retry(self, again: Callable[[], None]) -> None:
        self._store.call_again(self, again, self._failures)
        self._failures += 1
