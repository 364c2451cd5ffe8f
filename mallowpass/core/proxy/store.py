"""Calls of this host to the store, and for how long changes are waited for there."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import CallStore
from mallowpass.core.proxy.events import StoreAnswered
from mallowpass.core.proxy.feeds import Feeds
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
    FIRST_START_TIME,
    RETURN_JITTER,
    WATCH_SLACK,
    ReplyHandler,
    RowsHandler,
    Watch,
)

__all__ = ["Store"]

CALL_TIMEOUT = 1.5  # seconds; a store that is slow answers within half of it
# Seconds that one call waits for changes at the most: each call is charged.
WATCH_WAIT_MAX = 29.0
WATCH_WAIT_MIN = 1.0
# The same for calls to relays, which are not charged. A relay that was frozen shows in
# nothing else but that it does not answer in time.
RELAY_WAIT = {
    Table.CONFIGURATION: 1.0,
    Table.ENDPOINTS: 1.0,
    Table.HOSTS: 10.0,
    Table.LIMITS: 10.0,
}
# How long a host that starts again waits for the list of hosts, before it follows
# tables without knowing its relays.
HOSTS_LISTED_MAX = 0.05  # seconds
# Seconds after a new era began within which hosts have written again what they know:
# until then nobody acts on what the store does not hold.
SETTLE_TIME = 1.5
BACKOFF_MIN = 0.1  # seconds after a first failure; doubled by each further one
BACKOFF_MAX = 2.0
# The same where this host has relays, which ask as well.
RELAYED_BACKOFF_MIN = 0.5
RELAYED_BACKOFF_MAX = 3.0
# How long a call waits for changes while the store fails: its answer is to tell soon
# that the store is back.
PROBE_WAIT = 0.05  # seconds

_ENTERED_AT_START = (Table.ENDPOINTS, Table.HOSTS)
# Seconds for which further changes are waited for after some came, so that one answer
# tells of all: where all hosts start at once, each would else be told of each. Nothing
# about hosts is urgent: one that stops serves on for longer.
CHANGES_GAP = {
    Table.CONFIGURATION: 0.5,
    Table.ENDPOINTS: 0.1,
    Table.HOSTS: 1.5,
    Table.LIMITS: 0.5,
}
# Late news of these tables does no harm: hosts that they named before are passed over
# once they do not answer.
_UNHURRIED = (Table.HOSTS, Table.LIMITS)
# Calls a second that all hosts together make to be told of each other's changes, if
# each asks the store. A fleet that is restarted in turn would make as many as the
# square of its size; and with each change that is told, other hosts may be holders.
HOSTS_CALLS_MAX = 10.0
# The same while the whole fleet starts for the first time: endpoints enter themselves
# by turns over some seconds, and callers come well after.
FIRST_START_GAP = 1.0
FIRST_START_TURNS = 6.0  # seconds after a start


class Store(ProxySystem):
    """Call the store, and tell whether it answers."""

    __slots__ = (
        "_awaiting_hosts",
        "_calls",
        "_clock_offset",
        "_era",
        "_era_since",
        "_failing_since",
        "_feeds",
        "_heard_at",
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
        # What is to be done once the other hosts are known.
        self._awaiting_hosts: list[Callable[[], None]] = []
        # What to do with a reply, and the era that the call was made in.
        self._calls: dict[int, tuple[ReplyHandler, int]] = {}
        self._clock_offset: float | None = None
        self._era = 0
        self._era_since = float("-inf")
        self._failing_since: float | None = None
        self._heard_at: dict[Table, float] = {}
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
    def era(self) -> int:
        """Return the newest era that this host knows of."""
        return self._era

    @property
    def has_been_restored(self) -> bool:
        """Tell whether the store came back from a copy while this host ran."""
        return self._era_since > float("-inf")

    @property
    def is_settled(self) -> bool:
        """Tell whether what hosts know was written again since the era began."""
        return self.now >= self._era_since + SETTLE_TIME

    def follow_eras(self, handler: Callable[[EraChanged], None]) -> None:
        """Have a handler called whenever the store came back from a copy."""
        self._node.subscribe(EraChanged, handler)

    def heard(self, table: Table) -> None:
        """Note that a table is known as it is now."""
        self._heard_at[table] = self.now

    def age(self, table: Table) -> float:
        """Return for how long changes of a table may not be known, in seconds."""
        return self.now - self._heard_at.get(table, float("-inf"))

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
        number = self._node.next_number()
        self._calls[number] = (handler, self._era)
        self._node.emit(CallStore(number, request, timeout))
        self._node.count("store_calls", kind=type(request).__name__)

    def call_relay(
        self, relay: HostRow, request: WatchRows, handler: ReplyHandler, timeout: float
    ) -> None:
        """Ask another host for what it learns from the store."""
        number = self._node.next_number()
        self._calls[number] = (handler, self._era)
        self._relayed.add(number)
        self._node.emit(CallStore(number, request, timeout, relay.address))
        self._node.count("relay_calls")

    def watch(self, table: Table, handler: RowsHandler) -> None:
        """Have a handler called with all rows of a table, then with each change."""
        if self.tables.first_start and table in _ENTERED_AT_START:
            self.timers.after(FIRST_START_TIME, Watch, self, table, handler)
        else:
            Watch(self, table, handler)

    def once_hosts_are_known(self, action: Callable[[], None]) -> None:
        """Do something once the other hosts are known, or not listed in time."""
        if self._relays.are_known:
            action()
            return
        if not self._awaiting_hosts:
            self.timers.after(HOSTS_LISTED_MAX, self.hosts_known)
        self._awaiting_hosts.append(action)

    def hosts_known(self) -> None:
        """Do what waits for the other hosts."""
        actions, self._awaiting_hosts = self._awaiting_hosts, []
        for action in actions:
            action()

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
        if table in _UNHURRIED:
            return WATCH_WAIT_MAX
        longest = min(self.tables.settle_time, self.tables.key_lapse)
        wait = longest - WATCH_SLACK
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
        handler, asked_in = self._calls.pop(event.call, (None, 0))
        failed = reply.status in (StoreStatus.REFUSED, StoreStatus.UNKNOWN)
        if not failed:
            self._note_era(reply.era)
        if event.call in self._relayed:
            # It tells nothing of the way from here to the store.
            self._relayed.discard(event.call)
        elif failed:
            self._note_failure(reply)
        else:
            self._note_success(reply)
        if handler is not None:
            handler(self._of_era(reply, asked_in))

    def _note_era(self, era: int) -> None:
        """Have all parts know that the store came back from a copy."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        if before == 0:
            return  # the first one that this host learns of
        self._era_since = self.now
        self._clock_offset = None
        self._node.log("warning", "store_era", era=era, before=before)
        self._node.count("store_eras")
        self._node.publish(EraChanged(before, era))

    def _of_era(self, reply: StoreReply, asked_in: int) -> StoreReply:
        """Return a reply; one that began or ended in an earlier era counts for nothing.

        Versions that a call named, or that its answer tells, may since stand for other
        rows. What it wrote may be gone.
        """
        is_first = asked_in == 0
        if reply.status in (StoreStatus.REFUSED, StoreStatus.UNKNOWN):
            return reply
        if reply.era == self._era and (is_first or asked_in == self._era):
            return reply
        message = f"the store came back from a copy in era {self._era}"
        return StoreReply(StoreStatus.REFUSED, message=message, era=reply.era)

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
