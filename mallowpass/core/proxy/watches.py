"""Follow tables of the store, each independently: at a relay, or at the store.

A relay is a host that follows the store itself and forwards the changes, see `relays`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from mallowpass.core.proxy.followlimits import (
    ASK_JITTER,
    RELAY_SLACK,
    RESUME_JITTER,
    WATCH_SLACK,
)
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
    "FIRST_START_DELAY",
    "RowsHandler",
    "Watch",
]

# Seconds between changes from a relay and the next call. When many endpoints write
# their entries, the relay would otherwise send each follower each change separately.
RELAY_BATCH_TIME = 0.3
# Seconds after which a starting watch no longer waits for the list of hosts, and
# seconds between checks whether the list has arrived.
HOSTS_KNOWN_TIMEOUT = 3.0
HOSTS_KNOWN_POLL_INTERVAL = 0.05
# Seconds that a restarting host waits for a relay to send it a whole table, before it
# lists the table at the store. Short, as callers wait for this host after a power
# failure of all hosts, and relays may still be down.
RELAY_SNAPSHOT_TIMEOUT = 0.03
# Seconds that relays get to read the tables, once the hosts are known when the whole
# fleet starts, or once the store has a new era.
RELAY_START_DELAY = 0.5
# Seconds within which all endpoints and hosts write their entries when the whole fleet
# starts for the first time. A host that followed the entries during this time would get
# a reply for each of them.
FIRST_START_DELAY = 2.0

# Called with rows, and with whether these are all rows of the table.
RowsHandler = Callable[[tuple[Row, ...], bool], None]
ReplyHandler = Callable[[StoreReply], None]


class Watch:
    """Follow one table without end: first all its rows, then each change.

    Changes come from a relay if this host has one, else from the store.
    """

    __slots__ = (
        "_call_number",
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
        self._call_number = 0  # of the latest call; replies to earlier ones are ignored
        self._follows_relay = False
        self._failures = 0
        store.subscribe_to_eras(self._on_era_changed)
        self._listed_at = store.now
        if table is Table.HOSTS:
            self._list()
        elif store.tables.first_start:
            self._start_with_fleet()
        else:
            store.when_hosts_known(self._start_after_restart)

    def _start_after_restart(self) -> None:
        """Read the whole table from a relay, when this host may restart alone.

        If each restarted host listed the table at the store, the bytes read there in a
        rolling restart would grow with the square of the fleet.
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
            if self._apply(reply, relay.name):
                self._follow_after(RELAY_BATCH_TIME)

        call = WatchRows(self._table, self._version, 0.0)
        self._store.call_relay(relay, call, on_reply, RELAY_SNAPSHOT_TIMEOUT)

    def _start_with_fleet(self) -> None:
        """Read the whole table from a relay, when the whole fleet starts.

        This saves one call to the store for each host. The start may take longer this
        way, as no caller is connected yet.
        """
        deadline = self._listed_at + FIRST_START_DELAY + HOSTS_KNOWN_TIMEOUT
        if not self._relays.are_hosts_known and self._store.now < deadline:
            self._store.timers.after(HOSTS_KNOWN_POLL_INTERVAL, self._start_with_fleet)
        elif self._relays.choose() is None:
            self._list()
        else:
            self._store.timers.after(RELAY_START_DELAY, self._follow)

    def _on_era_changed(self, signal: EraChanged) -> None:
        """Read the whole table again: versions of an earlier era are not comparable."""
        if self._version == 0 or self._follows_relay:
            return
        self._call_number += 1  # the reply to the call in flight is ignored
        pause = self._store.jitter(RESUME_JITTER)
        if self._relays.has_relays:
            # The relays refused their followers during the outage, and list the tables
            # again now.
            self._relays.clear_failures()
            self._store.timers.after(RELAY_START_DELAY + pause, self._follow)
        else:
            self._store.timers.after(pause, self._list)

    def _list(self) -> None:
        self._store.call(ListRows(self._table), self._if_latest(self._on_listed))

    def _if_latest(self, handler: ReplyHandler) -> ReplyHandler:
        """Wrap the handler of a new call to ignore the reply if a later call follows.

        Each handled reply starts the next call, so that handling the replies of two
        calls in flight would start two loops.
        """
        self._call_number += 1
        number = self._call_number

        def on_reply(reply: StoreReply) -> None:
            if self._call_number == number:
                handler(reply)

        return on_reply

    def _on_listed(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            self._retry(self._list)
            return
        self._listed_at = self._store.now
        if self._apply(replace(reply, is_snapshot=True)):
            self._follow()

    def _apply(self, reply: StoreReply, relay: str = "") -> bool:
        """Pass rows on, and return whether to go on from their version.

        If the handler fails, it may have taken some of the rows alone: it gets all
        rows of the table again.
        """
        self._version = max(self._version, reply.version)
        self._store.guard(self._feeds.apply, self._table, reply, relay)
        if not self._store.guard(self._handler, reply.rows, reply.is_snapshot):
            self._retry(self._list)
            return False
        if self._table is Table.HOSTS:
            self._store.run_awaiting_hosts()
        return True

    def _follow(self) -> None:
        if (
            not self._relays.are_hosts_known
            and self._store.now < self._listed_at + HOSTS_KNOWN_TIMEOUT
        ):
            # The list of hosts, which shows whether there is a relay, arrives soon.
            self._store.timers.after(HOSTS_KNOWN_POLL_INTERVAL, self._follow)
            return
        relay = self._relays.choose()
        if relay is not None:
            self._follow_relay(relay)
        elif self._relays.has_relays:
            # No relay answered, most likely because the store does not answer them. One
            # watch is enough to find out.
            self._ask_store()
        else:
            self._follow_store()

    def _ask_store(self) -> None:
        """Call the store in place of a relay, at another time than other followers."""
        longest = min(RESUME_JITTER, self._store.time_left(self._table))
        pause = self._store.jitter(max(ASK_JITTER, longest))
        self._store.timers.after(pause, self._probe_store)

    def _probe_store(self) -> None:
        if self._store.can_probe(self):
            self._follow_store()
        else:
            self._retry(self._follow)

    def _follow_store(self) -> None:
        if era_of(self._version) != self._store.era:
            self._list()
            return
        self._follows_relay = False
        wait = self._store.watch_wait(self._table)
        wait_ends_at = self._store.now + wait

        def on_reply(reply: StoreReply) -> None:
            self._on_changes(reply, wait_ends_at)

        call = WatchRows(self._table, self._version, wait)
        self._store.call(call, self._if_latest(on_reply), wait + WATCH_SLACK)

    def _on_changes(self, reply: StoreReply, wait_ends_at: float) -> None:
        if reply.status is StoreStatus.HISTORY_GONE:
            self._on_history_gone()
        elif reply.status is not StoreStatus.DONE:
            self._feeds.mark_stale(self._table)
            self._retry(self._follow)
        else:
            if not reply.rows:
                # The store sends such a reply at the end of the wait.
                age = max(0.0, self._store.now - wait_ends_at)
                reply = replace(reply, age=age)
            if self._apply(reply):
                self._failures = 0
                batch_time = self._store.batch_time(self._table)
                self._follow_after(batch_time if reply.rows else 0.0)

    def _follow_after(self, pause: float) -> None:
        if pause:
            self._store.timers.after(pause, self._follow)
        else:
            self._follow()

    def _follow_relay(self, relay: HostRow) -> None:
        # A relay's answer may take long, and shows nothing about the store.
        self._store.stop_probing(self)
        sent_at = self._store.now
        wait = self._store.relay_wait(self._table)
        timeout = wait + RELAY_SLACK
        if self._store.time_left(self._table) > 0.0:
            timeout = min(timeout, self._store.time_left(self._table))
        self._follows_relay = True

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._on_relayed(relay, reply)
                return
            self._relays.mark_failed(relay.name, reply.message)
            has_timed_out = self._store.now - sent_at >= min(wait, timeout)
            if self._version == 0:
                self._list()
            elif has_timed_out:
                # This host may be cut off from all other hosts. Trying the relays one
                # after the other would take longer than a change may take to arrive.
                self._ask_store()
            else:
                self._follow()

        call = WatchRows(self._table, self._version, wait)
        self._store.call_relay(relay, call, self._if_latest(on_reply), timeout)

    def _on_relayed(self, relay: HostRow, reply: StoreReply) -> None:
        self._store.resume_watches()
        if not self._apply(reply, relay.name):
            return
        self._failures = 0
        time_left = self._store.time_left(self._table)
        if time_left > 0.0:
            batch_time = RELAY_BATCH_TIME if reply.rows else 0.0
            self._follow_after(min(batch_time, time_left))
            return
        # The relay may have lost the store in silence.
        self._relays.mark_failed(
            relay.name, f"its {self._table.value} are {reply.age:.1f} s old"
        )
        self._ask_store()

    def _on_history_gone(self) -> None:
        """List the rows again; with a backoff if listing them did not help.

        A store whose reads are behind lists rows of a version from which it has no
        history. Without the backoff, each host would list and follow in a tight loop.
        """
        if self._failures == 0:
            self._failures = 1
            self._list()
        else:
            self._retry(self._list)

    def _retry(self, retry_call: Callable[[], None]) -> None:
        self._store.retry(self, retry_call, self._failures)
        self._failures += 1
