"""Calls to the store: matching of replies, retries after failures, and wait times.

Each call is charged, and the store admits a limited number a second from all hosts.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import CallStore
from mallowpass.core.proxy.events import StoreAnswered
from mallowpass.core.proxy.feeds import Feeds
from mallowpass.core.proxy.followlimits import (
    BACKOFF_MIN,
    PROBE_WAIT,
    RELAYED_BACKOFF_MIN,
    RESUME_JITTER,
    follow_limits,
)
from mallowpass.core.proxy.relays import Relays
from mallowpass.core.proxy.signals import EraChanged
from mallowpass.core.proxy.storage import (
    StoreCall,
    StoreReply,
    StoreStatus,
    Table,
    WatchRows,
)
from mallowpass.core.proxy.tables import HostRow, ProxySystem
from mallowpass.core.proxy.watches import (
    FIRST_START_DELAY,
    ReplyHandler,
    RowsHandler,
    Watch,
)

__all__ = ["CALL_TIMEOUT", "Store"]

CALL_TIMEOUT = 1.5  # seconds; a slow store answers within half of it
# Seconds that one call to a relay waits for changes. These calls are not charged, so
# the wait can be short: only the end of the wait reveals a frozen relay.
RELAY_WAIT = {
    Table.CONFIGURATION: 1.0,
    Table.ENDPOINTS: 1.0,
    Table.HOSTS: 10.0,
    Table.LIMITS: 10.0,
}
# Seconds that a restarting host waits for the list of hosts, before it follows tables
# without knowing its relays.
HOSTS_LIST_TIMEOUT = 0.05
# Seconds within which hosts rewrite their rows after a new era began. Until then, no
# host acts on the absence of a row.
SETTLE_TIME = 1.5

# Tables in which all endpoints and hosts write entries when the whole fleet starts.
_ENTERED_AT_START = (Table.ENDPOINTS, Table.HOSTS)
# Seconds between the arrival of changes and the next call, so that one reply brings all
# further changes. Otherwise, when all hosts start at once, each would get one reply for
# each of the others. The table of hosts is not urgent: a host that stops goes on
# serving for longer than this.
BATCH_TIME = {
    Table.CONFIGURATION: 0.5,
    Table.ENDPOINTS: 0.1,
    Table.HOSTS: 1.5,
    Table.LIMITS: 0.5,
}
# Calls a second that all hosts together make to follow the table of hosts, if each
# follows it at the store. Without this limit, a rolling restart would take a number of
# calls that grows with the square of the fleet, and each change may move the role of
# holder to other hosts.
HOSTS_CALL_RATE_MAX = 10.0
# Batch time of endpoints while the whole fleet starts for the first time, in seconds:
# endpoints write their entries one after the other over some seconds, and callers only
# connect well after that.
FIRST_START_BATCH_TIME = 1.0
FIRST_START_DURATION = 6.0  # seconds after the start of this host


class Store(ProxySystem):
    """Call the store, and track whether it answers."""

    __slots__ = (
        "_awaiting_hosts",
        "_calls",
        "_clock_offset",
        "_era",
        "_era_since",
        "_failing_since",
        "_feeds",
        "_last_reply_at",
        "_limits",
        "_newest_version",
        "_prober",
        "_relay_calls",
        "_relay_questions",
        "_relays",
        "_started_at",
        "_waiting_retries",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._feeds: Feeds
        self._relays: Relays
        # Actions to run once the other hosts are known.
        self._awaiting_hosts: list[Callable[[], None]] = []
        # Handler of the reply and era at the time of the call, by number of the call.
        self._calls: dict[int, tuple[ReplyHandler, int]] = {}
        self._clock_offset: float | None = None
        self._era = 0
        self._era_since = float("-inf")
        self._failing_since: float | None = None
        self._last_reply_at = node.timers.now
        self._limits = {table: follow_limits(self.tables, table) for table in Table}
        self._newest_version = 0
        self._prober: Watch | None = None
        self._relay_calls: set[int] = set()  # numbers of calls to relays
        # Calls to relays whose replies tell nothing of the store.
        self._relay_questions: set[int] = set()
        self._started_at = node.timers.now
        self._waiting_retries: list[Callable[[], None]] = []

    def start(self) -> None:
        """Subscribe to answers of the store."""
        self._feeds = self._node.system(Feeds)
        self._relays = self._node.system(Relays)
        self._node.subscribe(StoreAnswered, self._on_answered)
        settle_time = self._limits[Table.CONFIGURATION].settle_time
        if not self._limits[Table.CONFIGURATION].can_be_kept:
            self._node.log("warning", "settle_time_too_short", settle_time=settle_time)

    @property
    def feeds(self) -> Feeds:
        """Return the system that forwards changes of tables to other hosts."""
        return self._feeds

    @property
    def relays(self) -> Relays:
        """Return the system that chooses the relay to follow tables at."""
        return self._relays

    @property
    def failing_since(self) -> float | None:
        """Return when calls started to fail, None while they are answered."""
        return self._failing_since

    @property
    def last_reply_at(self) -> float:
        """Return when the store, or another host on its behalf, last answered."""
        return self._last_reply_at

    @property
    def era(self) -> int:
        """Return the newest known era of the store; 0: not known yet."""
        return self._era

    @property
    def newest_version(self) -> int:
        """Return the newest version of the store that a reply has told."""
        return self._newest_version

    @property
    def has_been_restored(self) -> bool:
        """Return whether the store was restored from a backup while this host ran."""
        return self._era_since > float("-inf")

    @property
    def is_settled(self) -> bool:
        """Return whether hosts have had time to rewrite their rows in this era."""
        return self.now >= self.settled_at

    @property
    def settled_at(self) -> float:
        """Return when all hosts have stored again what a restore may have lost."""
        return self._era_since + SETTLE_TIME

    def subscribe_to_eras(self, handler: Callable[[EraChanged], None]) -> None:
        """Call a handler each time that the store was restored from a backup."""
        self._node.subscribe(EraChanged, handler)

    def age(self, table: Table) -> float:
        """Return for how long changes of a table may have been missed, in seconds."""
        return self._feeds.age(table)

    @property
    def time(self) -> float | None:
        """Return the estimate of the store's clock in seconds, None if unknown."""
        if self._clock_offset is None:
            return None
        return self.now + self._clock_offset

    def call(
        self, request: StoreCall, handler: ReplyHandler, timeout: float = CALL_TIMEOUT
    ) -> None:
        """Call the store; if no reply comes, the handler gets REFUSED or UNKNOWN."""
        number = self._node.next_number()
        self._calls[number] = (handler, self._era)
        self._node.emit(CallStore(number, request, timeout))
        self._node.count("store_calls", kind=type(request).__name__)

    def call_relay(
        self, relay: HostRow, request: WatchRows, handler: ReplyHandler, timeout: float
    ) -> None:
        """Request changes of a table from another host that follows the store."""
        self._relay_calls.add(self._call_relay(relay, request, handler, timeout))

    def ask_relay(
        self, relay: HostRow, request: WatchRows, handler: ReplyHandler, timeout: float
    ) -> None:
        """Request what another host knows; the reply tells nothing of the store."""
        self._relay_questions.add(self._call_relay(relay, request, handler, timeout))

    def _call_relay(
        self, relay: HostRow, request: WatchRows, handler: ReplyHandler, timeout: float
    ) -> int:
        number = self._node.next_number()
        self._calls[number] = (handler, self._era)
        self._node.emit(CallStore(number, request, timeout, relay.address))
        self._node.count("relay_calls")
        return number

    def watch(self, table: Table, handler: RowsHandler) -> None:
        """Call a handler with all rows of a table, then with each change."""
        if self.tables.first_start and table in _ENTERED_AT_START:
            self.timers.after(FIRST_START_DELAY, Watch, self, table, handler)
        else:
            Watch(self, table, handler)

    def when_hosts_known(self, action: Callable[[], None]) -> None:
        """Run an action once the other hosts are known, or after a timeout."""
        if self._relays.are_hosts_known:
            action()
            return
        if not self._awaiting_hosts:
            self.timers.after(HOSTS_LIST_TIMEOUT, self.run_awaiting_hosts)
        self._awaiting_hosts.append(action)

    def run_awaiting_hosts(self) -> None:
        """Run the actions that wait for the other hosts to be known."""
        actions, self._awaiting_hosts = self._awaiting_hosts, []
        for action in actions:
            self._node.guard(action)

    def retry(
        self, watch: Watch, retry_call: Callable[[], None], failures: int
    ) -> None:
        """Schedule the repetition of a call that failed for a watch.

        While the store does not answer, one watch retries on behalf of all. Refused
        calls are charged as well, and the result holds for the other watches too.
        """
        if self._failing_since is not None:
            if self._prober is None:
                self._prober = watch
            if self._prober is not watch:
                self._waiting_retries.append(retry_call)
                return
        # The backoff is random, as all hosts lose the store at the same time. Hosts
        # that follow relays retry less often: the relays show them that the store
        # answers.
        limits = self._limits[Table.CONFIGURATION]
        least, most = BACKOFF_MIN, limits.backoff_max
        if self._relays.has_relays:
            least, most = RELAYED_BACKOFF_MIN, limits.relayed_backoff_max
        self.timers.after(self._node.backoff(failures, least, most), retry_call)

    def guard(self, callback: Callable[..., None], *arguments: Any) -> bool:
        """Call a function whose exception must not end a watch; return success."""
        return self._node.guard(callback, *arguments)

    def jitter(self, longest: float) -> float:
        """Return a random pause up to `longest` seconds."""
        return self._node.random.uniform(0.0, longest)

    def can_probe(self, watch: Watch) -> bool:
        """Return whether a watch may call the store to find out whether it answers."""
        return self._failing_since is None or self._prober in (None, watch)

    def stop_probing(self, watch: Watch) -> None:
        """Let another watch find out whether the store answers, if this one had to."""
        if self._prober is watch:
            self._prober = None

    def resume_watches(self) -> None:
        """Resume the watches that wait for the store to answer."""
        self._prober = None
        waiting, self._waiting_retries = self._waiting_retries, []
        for retry_call in waiting:
            self.timers.after(self.jitter(RESUME_JITTER), retry_call)

    def watch_wait(self, table: Table) -> float:
        """Return how long one call waits for changes of a table, in seconds.

        A store that stopped answering for a while never answers calls that arrived
        meanwhile, and keeps their connections open, so that only the end of the wait
        shows the loss. Until then this host uses an old configuration and sends
        statements to endpoints that have left. So the wait is shorter than the time
        within which hosts have to recover from a disruption.
        """
        if self.failing_since is not None:
            return PROBE_WAIT
        limits = self._limits[table]
        if not self._relays.are_used:
            return limits.store_wait
        # Followers of this host see its reply before they have to ask the store.
        wait = limits.relay_store_wait - self._feeds.age(table)
        if self._relays.has_relays:
            wait = min(wait, limits.follower_store_wait)
        return max(PROBE_WAIT, wait)

    def relay_wait(self, table: Table) -> float:
        """Return how long a relay may wait for changes of a table, in seconds."""
        # The wait is short while other watches wait for the reply to this call, and
        # while this host may miss changes.
        if self._waiting_retries or self.time_left(table) <= 0.0:
            return PROBE_WAIT
        return RELAY_WAIT[table]

    def time_left(self, table: Table) -> float:
        """Return the seconds until this host, as a follower, has to ask the store."""
        return self._limits[table].age_max - self._feeds.age(table)

    def batch_time(self, table: Table) -> float:
        """Return the seconds between changes of a table and the next call."""
        is_starting = self.now < self._started_at + FIRST_START_DURATION
        if self.tables.first_start and is_starting and table is Table.ENDPOINTS:
            return FIRST_START_BATCH_TIME
        batch_time = BATCH_TIME[table]
        if table is Table.HOSTS:
            return max(batch_time, len(self.tables.hosts) / HOSTS_CALL_RATE_MAX)
        return batch_time

    def _on_answered(self, event: StoreAnswered) -> None:
        reply = event.reply
        handler, call_era = self._calls.pop(event.call, (None, 0))
        if event.call in self._relay_questions:
            self._relay_questions.discard(event.call)
            if handler is not None:
                handler(reply)
            return
        failed = reply.status in (StoreStatus.REFUSED, StoreStatus.UNKNOWN)
        if not failed:
            self._last_reply_at = self.now
            self._note_era(reply.era)
            self._newest_version = max(self._newest_version, reply.version)
        if event.call in self._relay_calls:
            # The reply of a relay shows nothing about the store's connection to this
            # host.
            self._relay_calls.discard(event.call)
        elif failed:
            self._note_failure(reply)
        else:
            self._note_success(reply)
        if handler is not None:
            handler(self._reject_other_eras(reply, call_era))

    def _note_era(self, era: int) -> None:
        """Publish that the store was restored from a backup, if the era is newer."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        if before == 0:
            return  # the first era known to this host
        self._era_since = self.now
        self._clock_offset = None
        self._node.log("warning", "store_era", era=era, before=before)
        self._node.count("store_eras")
        self._node.publish(EraChanged(before, era))

    def _reject_other_eras(self, reply: StoreReply, call_era: int) -> StoreReply:
        """Return a reply, or REFUSED if its call or the reply is of an earlier era.

        The versions in the call or the reply may stand for other rows in this era, and
        rows that the call wrote may be lost.
        """
        is_first = call_era == 0
        if reply.status in (StoreStatus.REFUSED, StoreStatus.UNKNOWN):
            return reply
        if reply.era == self._era and (is_first or call_era == self._era):
            return reply
        message = f"the store was restored from a backup; its era is now {self._era}"
        return StoreReply(StoreStatus.REFUSED, message=message, era=reply.era)

    def _note_failure(self, reply: StoreReply) -> None:
        if self._failing_since is None:
            self._failing_since = self.now
            self._node.log("warning", "store_lost", why=reply.message)

    def _note_success(self, reply: StoreReply) -> None:
        if reply.time:
            # A reply arrives after the time that it states: the largest offset is the
            # most exact one.
            offset = reply.time - self.now
            if self._clock_offset is None or offset > self._clock_offset:
                self._clock_offset = offset
        if self._failing_since is None:
            return
        outage = self.now - self._failing_since
        self._failing_since = None
        self._node.log("info", "store_regained", after=round(outage, 3))
        self.resume_watches()
