"""This host's use of the store: calls, retries, and watching tables for changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import CallStore
from mallowpass.core.proxy.events import StoreAnswered
from mallowpass.core.proxy.feeds import Feeds
from mallowpass.core.proxy.relays import Relays
from mallowpass.core.proxy.storage import (
    ListRows,
    Row,
    StoreCall,
    StoreReply,
    StoreStatus,
    Table,
    WatchRows,
)
from mallowpass.core.proxy.tables import HostRow, ProxySystem

__all__ = ["Store", "Watch"]

CALL_TIMEOUT = 1.5  # seconds; a store that is slow answers within half of it
# Seconds that one call waits for changes at the most: each call is charged.
WATCH_WAIT_MAX = 29.0
WATCH_WAIT_MIN = 1.0
WATCH_SLACK = 1.5  # seconds that the answer to such a call may be late
# The same for calls to relays, which are not charged. A relay that was frozen shows in
# nothing else but that it does not answer in time.
RELAY_WAIT = {Table.CONFIGURATION: 1.0, Table.ENDPOINTS: 1.0, Table.HOSTS: 10.0}
RELAY_SLACK = 0.5
# Seconds for which further changes are waited for after some came by a relay. Where
# many endpoints enter themselves, it would else tell each follower of each by itself.
RELAY_GAP = 0.3
# After a start, hosts are waited for so long before a table is followed, in seconds.
KNOWN_MAX = 3.0
KNOWN_LOOK = 0.05  # seconds between looks whether they are known
# Where the whole fleet starts, relays have learnt the tables so long after the hosts
# are known, in seconds.
RELAYS_START_TIME = 0.5
BACKOFF_MIN = 0.1  # seconds after a first failure; doubled by each further one
BACKOFF_MAX = 2.0
# The same where this host has relays, which ask as well.
RELAYED_BACKOFF_MIN = 0.5
RELAYED_BACKOFF_MAX = 3.0
# How long a call waits for changes while the store fails: its answer is to tell soon
# that the store is back.
PROBE_WAIT = 0.05  # seconds
RETURN_JITTER = 0.3  # seconds over which the other calls follow then

# Where the whole fleet starts for the first time, endpoints and hosts all enter
# themselves within this time; whoever follows the entries meanwhile is told of each by
# itself.
FIRST_START_TIME = 2.0  # seconds
_ENTERED_AT_START = (Table.ENDPOINTS, Table.HOSTS)
# Seconds for which further changes are waited for after some came, so that one answer
# tells of all: where all hosts start at once, each would else be told of each. Nothing
# about hosts is urgent: one that stops serves on for longer.
CHANGES_GAP = {Table.CONFIGURATION: 0.5, Table.ENDPOINTS: 0.1, Table.HOSTS: 1.5}
# Calls a second that all hosts together make to be told of each other's changes, if
# each asks the store. A fleet that is restarted in turn would make as many as the
# square of its size; and with each change that is told, other hosts may be holders.
HOSTS_CALLS_MAX = 10.0
# The same while the whole fleet starts for the first time: endpoints enter themselves
# by turns over some seconds, and callers come well after.
FIRST_START_GAP = 1.0
FIRST_START_TURNS = 6.0  # seconds after a start

ReplyHandler = Callable[[StoreReply], None]
# Called with rows, and with whether these are all that the table has.
RowsHandler = Callable[[tuple[Row, ...], bool], None]


class Store(ProxySystem):
    """Call the store, and tell whether it answers."""

    __slots__ = (
        "_calls",
        "_clock_offset",
        "_failing_since",
        "_feeds",
        "_prober",
        "_relayed",
        "_relays",
        "_started_at",
        "_waiting",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._feeds: Feeds
        self._relays: Relays
        self._calls: dict[int, ReplyHandler] = {}
        self._clock_offset: float | None = None
        self._failing_since: float | None = None
        self._prober: Watch | None = None
        self._relayed: set[int] = set()  # calls that another host answers
        self._started_at = node.timers.now
        self._waiting: list[Callable[[], None]] = []

    def start(self) -> None:
        """Subscribe to the store's answers."""
        self._feeds = self._node.system(Feeds)
        self._relays = self._node.system(Relays)
        self._node.subscribe(StoreAnswered, self._on_answered)

    @property
    def feeds(self) -> Feeds:
        """Return the system that tells other hosts what this one learns."""
        return self._feeds

    @property
    def relays(self) -> Relays:
        """Return the system that knows by way of whom tables are followed."""
        return self._relays

    @property
    def failing_since(self) -> float | None:
        """Return when calls began to fail, None while they are answered."""
        return self._failing_since

    @property
    def time(self) -> float | None:
        """Return the store's clock as far as known, in seconds."""
        if self._clock_offset is None:
            return None
        return self.now + self._clock_offset

    def call(
        self, request: StoreCall, handler: ReplyHandler, timeout: float = CALL_TIMEOUT
    ) -> None:
        """Call the store; the handler gets its reply, or that there was none."""
        number = self._node.number()
        self._calls[number] = handler
        self._node.emit(CallStore(number, request, timeout))
        self._node.count("store_calls", kind=type(request).__name__)

    def call_relay(
        self, relay: HostRow, request: WatchRows, handler: ReplyHandler, timeout: float
    ) -> None:
        """Ask another host for what it learns from the store."""
        number = self._node.number()
        self._calls[number] = handler
        self._relayed.add(number)
        self._node.emit(CallStore(number, request, timeout, relay.address))
        self._node.count("relay_calls")

    def watch(self, table: Table, handler: RowsHandler) -> None:
        """Have a handler called with all rows of a table, then with each change."""
        if self.tables.first_start and table in _ENTERED_AT_START:
            self.timers.after(FIRST_START_TIME, Watch, self, table, handler)
        else:
            Watch(self, table, handler)

    def call_again(
        self, watch: Watch, again: Callable[[], None], failures: int
    ) -> None:
        """Have a watch repeat a call that failed.

        While no call is answered, one watch tries for all: each call is charged, also
        a refused one, and what one learns is true for the others.
        """
        if self._failing_since is not None:
            if self._prober is None:
                self._prober = watch
            if self._prober is not watch:
                self._waiting.append(again)
                return
        # Hosts that lose the store together must not come back together. Those that
        # have relays learn from them that it is back.
        least, most = BACKOFF_MIN, BACKOFF_MAX
        if self._relays.has_relays:
            least, most = RELAYED_BACKOFF_MIN, RELAYED_BACKOFF_MAX
        self.timers.after(self._node.backoff(failures, least, most), again)

    def jitter(self, longest: float) -> float:
        """Return a pause in seconds, another one for each host and call."""
        return self._node.random.uniform(0.0, longest)

    def may_probe(self, watch: Watch) -> bool:
        """Tell whether a watch may call a store that may not answer."""
        return self._failing_since is None or self._prober in (None, watch)

    def go_on(self) -> None:
        """Have all tables followed again: one of them is, by way of a relay."""
        self._prober = None
        waiting, self._waiting = self._waiting, []
        for again in waiting:
            self.timers.after(self.jitter(RETURN_JITTER), again)

    def watch_wait(self, table: Table) -> float:
        """Return how long one call waits for changes of a table, in seconds.

        A store that was silent for a while never answers a call that came meanwhile,
        and its connection stays open: nothing tells that but the end of the wait. Until
        then this host goes by an old configuration, and sends statements to endpoints
        that have left. So it ends within the time that hosts have after a disruption.
        """
        if self.failing_since is not None:
            return PROBE_WAIT
        if table is Table.HOSTS:
            return WATCH_WAIT_MAX
        wait = self.tables.settle_time - WATCH_SLACK
        return min(WATCH_WAIT_MAX, max(WATCH_WAIT_MIN, wait))

    def relay_wait(self, table: Table) -> float:
        """Return how long a relay may wait for changes of a table, in seconds."""
        # Others follow once the first is answered.
        return PROBE_WAIT if self._waiting else RELAY_WAIT[table]

    def changes_gap(self, table: Table) -> float:
        """Return for how long further changes are waited for after some came."""
        starting = self.now < self._started_at + FIRST_START_TURNS
        if self.tables.first_start and starting and table is Table.ENDPOINTS:
            return FIRST_START_GAP
        gap = CHANGES_GAP[table]
        if table is Table.HOSTS:
            return max(gap, len(self.tables.hosts) / HOSTS_CALLS_MAX)
        return gap

    def _on_answered(self, event: StoreAnswered) -> None:
        reply = event.reply
        if event.call in self._relayed:
            # It tells nothing of the way from here to the store.
            self._relayed.discard(event.call)
            self._calls.pop(event.call)(reply)
            return
        failed = reply.status in (StoreStatus.REFUSED, StoreStatus.UNKNOWN)
        if failed:
            self._note_failure(reply)
        else:
            self._note_success(reply)
        handler = self._calls.pop(event.call, None)
        if handler is not None:
            handler(reply)

    def _note_failure(self, reply: StoreReply) -> None:
        if self._failing_since is None:
            self._failing_since = self.now
            self._node.log("warning", "store_lost", why=reply.message)

    def _note_success(self, reply: StoreReply) -> None:
        if reply.time:
            # An answer is never newer than its arrival: the largest offset is best.
            offset = reply.time - self.now
            if self._clock_offset is None or offset > self._clock_offset:
                self._clock_offset = offset
        if self._failing_since is None:
            return
        away = self.now - self._failing_since
        self._failing_since = None
        self._node.log("info", "store_regained", after=round(away, 3))
        self.go_on()


class Watch:
    """Follow one table: all its rows first, then each change, for ever.

    Changes are waited for at a relay where this host has one, else at the store.
    """

    __slots__ = (
        "_failures",
        "_feeds",
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
        self._failures = 0
        self._listed_at = store.now
        if store.tables.first_start and table is not Table.HOSTS:
            self._begin()
        else:
            self._list()

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

    def _list(self) -> None:
        self._store.call(ListRows(self._table), self._on_listed)

    def _on_listed(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            self._retry(self._list)
            return
        self._listed_at = self._store.now
        self._take(replace(reply, whole=True), by_relay=False)
        self._follow()

    def _take(self, reply: StoreReply, by_relay: bool) -> None:
        self._version = max(self._version, reply.version)
        self._feeds.learnt(self._table, reply, by_relay)
        self._handler(reply.rows, reply.whole)

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
        wait = self._store.watch_wait(self._table)
        call = WatchRows(self._table, self._version, wait)
        self._store.call(call, self._on_changes, wait + WATCH_SLACK)

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
        self._store.call_relay(relay, call, on_reply, wait + RELAY_SLACK)

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
