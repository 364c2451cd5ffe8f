"""This host's use of the store: calls, retries, and watching tables for changes."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import CallStore
from mallowpass.core.proxy.events import StoreAnswered
from mallowpass.core.proxy.storage import (
    ListRows,
    Row,
    StoreCall,
    StoreReply,
    StoreStatus,
    Table,
    WatchRows,
)
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["Store", "Watch"]

CALL_TIMEOUT = 1.5  # seconds; an answer takes some 10 ms, and 60 times that when slow
# Seconds that one call waits for changes at the most: each call is charged.
WATCH_WAIT_MAX = 29.0
WATCH_WAIT_MIN = 1.0
WATCH_SLACK = 1.5  # seconds that the answer to such a call may be late
BACKOFF_MIN = 0.1  # seconds after a first failure; doubled by each further one
BACKOFF_MAX = 2.0
# How long a call waits for changes while the store fails: its answer is to tell soon
# that the store is back.
PROBE_WAIT = 0.05  # seconds
RETURN_JITTER = 0.3  # seconds over which the other calls follow then

# Where the whole fleet starts for the first time, endpoints and hosts all enter
# themselves within this time; whoever follows the entries meanwhile is told of each by
# itself. Measured at 74 hosts: 2,209 calls a day without this.
FIRST_START_TIME = 2.0  # seconds
_ENTERED_AT_START = (Table.ENDPOINTS, Table.HOSTS)
# Seconds for which further changes are waited for after some came, so that one answer
# tells of all: where all hosts start at once, each would else be told of each. Nothing
# about hosts is urgent: one that stops serves on for longer.
CHANGES_GAP = {Table.CONFIGURATION: 0.5, Table.ENDPOINTS: 0.1, Table.HOSTS: 1.5}
# Calls a second that all hosts together make to be told of each other's changes. Each
# change is told to each host, so a fleet that is restarted in turn makes as many calls
# as the square of its size. Calls of a day with 36 of 86 hosts restarted in turn: 6%
# fewer, with two other changes.
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
        "_prober",
        "_regained_at",
        "_started_at",
        "_waiting",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._calls: dict[int, ReplyHandler] = {}
        self._clock_offset: float | None = None
        self._failing_since: float | None = None
        self._prober: Watch | None = None
        self._regained_at = float("-inf")
        self._started_at = node.timers.now
        self._waiting: list[Callable[[], None]] = []

    def start(self) -> None:
        """Subscribe to the store's answers."""
        self._node.subscribe(StoreAnswered, self._on_answered)

    @property
    def failing_since(self) -> float | None:
        """Return when calls began to fail, None while they are answered."""
        return self._failing_since

    @property
    def regained_at(self) -> float:
        """Return when calls were last answered again after failing."""
        return self._regained_at

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
        # Hosts that lose the store together must not come back together.
        pause = self._node.backoff(failures, BACKOFF_MIN, BACKOFF_MAX)
        self.timers.after(pause, again)

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
        self._regained_at = self.now
        self._node.log("info", "store_regained", after=round(away, 3))
        self._prober = None
        waiting, self._waiting = self._waiting, []
        for again in waiting:
            self.timers.after(self._node.random.uniform(0.0, RETURN_JITTER), again)


class Watch:
    """Follow one table: all its rows first, then each change, for ever."""

    __slots__ = ("_failures", "_handler", "_store", "_table", "_version")

    def __init__(self, store: Store, table: Table, handler: RowsHandler) -> None:
        self._store = store
        self._table = table
        self._handler = handler
        self._version = 0
        self._failures = 0
        self._list()

    def _list(self) -> None:
        self._store.call(ListRows(self._table), self._on_listed)

    def _on_listed(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            self._retry(self._list)
            return
        self._version = reply.version
        self._handler(reply.rows, True)
        self._follow()

    def _follow(self) -> None:
        wait = self._store.watch_wait(self._table)
        call = WatchRows(self._table, self._version, wait)
        self._store.call(call, self._on_changes, wait + WATCH_SLACK)

    def _on_changes(self, reply: StoreReply) -> None:
        if reply.status is StoreStatus.HISTORY_GONE:
            self._on_history_gone()
        elif reply.status is not StoreStatus.DONE:
            self._retry(self._follow)
        else:
            self._failures = 0
            self._version = max(self._version, reply.version)
            self._handler(reply.rows, False)
            gap = self._store.changes_gap(self._table)
            if reply.rows and gap:
                self._store.timers.after(gap, self._follow)
            else:
                self._follow()

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
