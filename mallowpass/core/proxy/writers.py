"""Entries in the store of the hosts that may write to a service's endpoints directly.

A host that replaces a primary has all hosts fence it that write there on connections
of their own. These are not only the holders that it knows: a host that is cut off from
its holders connects to endpoints directly, one that has stopped serves on for a while,
and one that lost the store may count itself as a holder by an older table of hosts.

So each host enters itself before its first commit, and reads the claim after that.
Whoever claims reads the entries once the claim names the target of the promotion. One
of the two finds the other: either the entry was there as the entries were read, and its
host is told of the fence; or the claim named a target as it was read, and the host
waits until no promotion is pending.

A store that comes back from a copy may have lost entries, and a host that does not
reach it can't learn of that. So the permission of a host that is no holder lapses soon
after the store last confirmed its entry: before anybody claims in a new era. A holder
keeps it, as others find it in the table of hosts, and a failure domain that is cut off
from the store goes on to write.

An entry outlasts the connection of its host to the store, and its process. It is
removed by its host once that neither is a holder nor has connections of its own, or by
a host that finds nobody at its address.

A host that is no holder, and can't enter itself, writes nothing directly. A holder that
was in the table of hosts as it started does after a moment, if the store does not
answer: others take it for one as well, unless their plan has changed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import (
    ConnectionFreed,
    DrainBegan,
    EraChanged,
    HolderJoined,
    HoldersBypassed,
)
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import (
    ConnectionState,
    GroupRow,
    HostRow,
    ProxySystem,
)
from mallowpass.core.records import record

__all__ = ["NOT_A_WRITER_MESSAGE", "Writers"]

# Times are in seconds.
RETRY_INTERVAL = 0.25  # between two attempts to enter this host, or reads of the claim
# Without an answer, after which a write is refused that only this host could run, and
# after which a holder that has just started writes without an entry.
ENTRY_TIMEOUT = 0.5
# Since others could find a host for sure, after which it writes nothing directly. With
# the time until its commits in flight are given up, this is less than the time for
# which nobody claims in a new era.
PERMISSION_TTL = 1.0
CONFIRM_INTERVAL = 0.5  # between two questions of a host that is no holder to the store
LOG_DELAY = 1.0  # without the permission
REWRITE_DELAY_MAX = 0.5  # over which hosts spread their entries of a new era
LOOK_INTERVAL = 5.0  # between two looks for entries that are not needed any more

NOT_A_WRITER_MESSAGE = "this host is not entered as a writer of its service"

# Called with whether the entries were read.
ReadHandler = Callable[[bool], None]


@dataclass(slots=True, eq=False)
class _Entry:
    """What this host knows of its entry for one service."""

    began_at: float  # when it was needed first
    version: int = 0  # of the row; 0: the store has not confirmed it
    # When others could last find this host for sure: as a holder, or in the store.
    known_at: float = float("-inf")
    is_confirming: bool = False  # the store is being asked
    is_permitted: bool = False  # no promotion is ordered without telling this host
    is_busy: bool = False  # a call to the store, or the pause before it, is under way
    is_ordered: bool = False  # a promotion may be, by the claim that was read last
    is_logged: bool = False  # it was told that the permission is awaited
    has_joined: bool = False  # as a holder, so that others may not know it yet


@record
class _Other:
    """The entry of another host."""

    host: HostRow
    run: str  # of that host's process
    version: int  # of the row
    run_since: int  # the version with which that run was read first

    @classmethod
    def decode(cls, row: Row, before: _Other | None) -> _Other:
        """Parse a row; raise ValueError if it is malformed."""
        text, _, run = str(row.value).rpartition(" ")
        host = HostRow.decode(row.key.key, text)
        is_same = before is not None and before.run == run
        return cls(host, run, row.version, before.run_since if is_same else row.version)


class Writers(ProxySystem):
    """Enter this host where it writes directly, and read the entries of others."""

    __slots__ = (
        "_claims",
        "_entries",
        "_holders",
        "_is_draining",
        "_others",
        "_store",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._entries: dict[str, _Entry] = {}  # by service
        # Of other hosts, as they were last read, by service and host.
        self._others: dict[str, dict[str, _Other]] = {}
        self._is_draining = False

    def start(self) -> None:
        """Subscribe to what makes an entry needed, or lost."""
        self._claims = self._node.system(Claims)
        self._holders = self._node.system(Holders)
        self._store = self._node.system(Store)
        self._node.subscribe(DrainBegan, self._on_drain_began)
        self._node.subscribe(EraChanged, self._on_era_changed)
        self._node.subscribe(HolderJoined, self._on_holder_joined)
        self._node.subscribe(HoldersBypassed, self._on_holders_bypassed)
        self.timers.after(LOOK_INTERVAL, self._look)

    # -- Permission ----------------------------------------------------------

    def request_permission(self, group: GroupRow) -> bool:
        """Return whether this host may send commits directly; else enter it.

        If not, `ConnectionFreed` is published for the primary once it may.
        """
        entry = self._entries.get(group.service)
        if entry is None:
            entry = self._entries[group.service] = _Entry(self.now)
        if self._is_valid(group.service, entry):
            self._prolong(group.service, entry)
            return True
        if entry.is_permitted:
            entry.is_permitted = False
            entry.began_at = self.now
            entry.is_logged = False
        self._enter(group, entry)
        # A holder that has just started is told of fences by the table of hosts.
        is_known = self._is_known_holder(group, entry) and not entry.is_ordered
        return is_known and self._is_overdue(entry)

    def is_permitted(self, service: str) -> bool:
        """Return whether this host has the permission for a service's endpoints."""
        entry = self._entries.get(service)
        return entry is not None and self._is_valid(service, entry)

    def _is_valid(self, service: str, entry: _Entry) -> bool:
        """Return whether an entry gives the permission, and can't have got lost."""
        if not entry.is_permitted:
            return False
        return self._is_known(entry) or self._holders.holds(service)

    def _is_known(self, entry: _Entry) -> bool:
        return self.now < entry.known_at + PERMISSION_TTL

    def has_lapsed(self, group: GroupRow) -> bool:
        """Return whether commits in flight here may be unknown to other hosts."""
        entry = self._entries.get(group.service)
        if entry is None or self._is_valid(group.service, entry):
            return False
        return not self._is_known_holder(group, entry)

    def must_forward(self, group: GroupRow) -> bool:
        """Return whether commits go by way of a holder though this host is connected.

        That holds for a host that is no holder, as long as a link is open.
        """
        primary = group.primary_row
        if primary is None or self.is_permitted(group.service):
            return False
        if self._holders.holds(group.service):
            return False
        return any(
            connection.holder
            and connection.state is not ConnectionState.OPENING
            and not connection.is_single_use
            for connection in primary.connections.values()
        )

    def is_refused(self, group: GroupRow) -> bool:
        """Return whether this host can't get the permission at present."""
        entry = self._entries.get(group.service)
        if entry is None or self._is_valid(group.service, entry):
            return False
        return self._is_overdue(entry) and not self._is_known_holder(group, entry)

    def _is_overdue(self, entry: _Entry) -> bool:
        return self.now >= entry.began_at + ENTRY_TIMEOUT

    def _is_known_holder(self, group: GroupRow, entry: _Entry) -> bool:
        """Return whether other hosts know this one as a holder by the hosts' table."""
        is_known = self.tables.was_in_hosts and not entry.has_joined
        return is_known and self._holders.holds(group.service)

    def _on_holder_joined(self, signal: HolderJoined) -> None:
        entry = self._entries.setdefault(signal.service, _Entry(self.now))
        entry.has_joined = True
        entry.is_permitted &= self._is_known(entry)
        self._enter(self.tables.group(signal.service), entry)

    def _on_holders_bypassed(self, signal: HoldersBypassed) -> None:
        """Enter this host while it opens its first connection."""
        group = self.tables.group(signal.endpoint.entry.service)
        if group.primary_row is signal.endpoint:
            self.request_permission(group)

    # -- This host's entries -------------------------------------------------

    def _key(self, service: str, host: str) -> RowKey:
        return RowKey(Table.WRITERS, service, host)

    def _enter(self, group: GroupRow, entry: _Entry) -> None:
        """Enter this host, then read the claim, unless that is under way."""
        if entry.is_busy or entry.is_permitted:
            return
        entry.is_busy = True
        asked_at = self.now
        if entry.version and self._is_known(entry):
            self._read_claim(group, entry)
            return

        def on_reply(reply: StoreReply) -> None:
            if self._entries.get(group.service) is not entry:
                return
            if reply.status is StoreStatus.DONE:
                entry.version = reply.version
                entry.known_at = asked_at
                self._read_claim(group, entry)
            else:
                self._retry_later(group, entry)

        self._store.call(self._entry_call(group.service), on_reply)
        self.timers.after(ENTRY_TIMEOUT, self._wake, group)

    def _entry_call(self, service: str) -> ChangeRows:
        """Return the call that enters this host as a writer of a service."""
        identity = self._node.identity
        row = HostRow(
            identity.name,
            identity.failure_domain,
            identity.peers_address,
            identity.capacity,
        )
        value = f"{row.encode()} {identity.incarnation}"
        return ChangeRows(puts=((self._key(service, row.name), value),))

    def _read_claim(self, group: GroupRow, entry: _Entry) -> None:
        asked_at = self.now

        def on_claim(claim: Claim | None, is_read: bool) -> None:
            if self._entries.get(group.service) is not entry:
                return
            # In a new era, hosts need time to write their orders again.
            is_known = is_read and self._store.is_settled
            entry.is_ordered = is_known and self._may_be_ordered(group, claim)
            if is_known and entry.version and not entry.is_ordered:
                entry.is_busy = False
                entry.is_permitted = True
                entry.known_at = asked_at
                self._wake(group)
            else:
                self._retry_later(group, entry)

        self._claims.read(group.service, on_claim)

    def _may_be_ordered(self, group: GroupRow, claim: Claim | None) -> bool:
        """Return whether a promotion may be ordered that was not told this host.

        The host of a claim that names no target reads the entries once more after it
        has named one.
        """
        if claim is None or claim.holder == self._node.identity.name:
            return False
        time = self._store.time or 0.0
        targets = {t for t, _ in claim.ordered if claim.fenced_until(t) > time}
        primary = group.primary_row
        if primary is not None and primary.entry.is_primary:
            targets.discard(primary.name)
        return bool(targets)

    def _prolong(self, service: str, entry: _Entry) -> None:
        """Prolong a permission; the store has to confirm that of no holder."""
        if self._holders.holds(service):
            entry.known_at = self.now
            return
        if entry.is_confirming or self.now < entry.known_at + CONFIRM_INTERVAL:
            return
        entry.is_confirming = True
        asked_at = self.now
        key, value = self._entry_call(service).puts[0]

        def on_reply(reply: StoreReply) -> None:
            entry.is_confirming = False
            is_answered = reply.status is StoreStatus.DONE and bool(entry.version)
            if not is_answered or self._entries.get(service) is not entry:
                return
            if any(row.key == key and row.value == value for row in reply.rows):
                self._note_confirmed(service, entry, asked_at)
            else:
                entry.version = 0
                self._enter_again(service, entry)

        self._store.call(ListRows(Table.WRITERS, service), on_reply)

    def _note_confirmed(self, service: str, entry: _Entry, asked_at: float) -> None:
        """Prolong a permission; one that has lapsed begins by another claim alone."""
        if self._is_valid(service, entry):
            entry.known_at = asked_at

    def _retry_later(self, group: GroupRow, entry: _Entry) -> None:
        if self.now >= entry.began_at + LOG_DELAY and not entry.is_logged:
            entry.is_logged = True
            why = "the store does not answer"
            if entry.is_ordered:
                why = "a promotion may be ordered"
            self._node.log(
                "warning", "write_permission_awaited", service=group.service, why=why
            )

        def retry() -> None:
            if self._entries.get(group.service) is entry:
                entry.is_busy = False
                if self._is_needed(group):
                    self._enter(group, entry)

        self.timers.after(RETRY_INTERVAL, retry)

    def _wake(self, group: GroupRow) -> None:
        """Have the commits tried again that wait for the permission."""
        primary = group.primary_row
        if primary is not None:
            self._node.publish(ConnectionFreed(primary))

    def _on_era_changed(self, signal: EraChanged) -> None:
        """Enter this host again, as the store may have lost its entries.

        Nobody claims in a new era before hosts have had time for it.
        """
        for service, entry in self._entries.items():
            entry.version = 0
            if entry.is_permitted:
                delay = self._store.jitter(REWRITE_DELAY_MAX)
                self.timers.after(delay, self._enter_again, service, entry)

    def _enter_again(self, service: str, entry: _Entry) -> None:
        """Enter this host once more without holding back its commits."""
        if entry.version or self._entries.get(service) is not entry:
            return
        asked_at = self.now

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                entry.version = reply.version
                self._note_confirmed(service, entry, asked_at)
            else:
                self.timers.after(RETRY_INTERVAL, self._enter_again, service, entry)

        self._store.call(self._entry_call(service), on_reply)

    # -- Ends of entries -----------------------------------------------------

    def _is_needed(self, group: GroupRow) -> bool:
        """Return whether this host has, or may soon open, connections of its own."""
        if not self._is_draining and self._holders.holds(group.service):
            return True
        endpoints = group.endpoints.values()
        return any(
            not connection.holder
            for endpoint in endpoints
            for connection in endpoint.connections.values()
        ) or any(self._holders.is_cut_off(endpoint) for endpoint in endpoints)

    def _look(self) -> None:
        for service in list(self._entries):
            self._leave_unneeded(service)
        self.timers.after(LOOK_INTERVAL, self._look)

    def _on_drain_began(self, signal: DrainBegan) -> None:
        self._is_draining = True

    def _leave_unneeded(self, service: str) -> None:
        """Remove this host's entry if it writes nothing directly any more."""
        entry = self._entries[service]
        if entry.is_busy or self._is_needed(self.tables.group(service)):
            return
        del self._entries[service]
        if entry.version:
            self._remove(service, self._node.identity.name, entry.version)

    def _remove(self, service: str, host: str, version: int) -> None:
        """Remove an entry, unless it was written again."""
        key = self._key(service, host)
        call = ChangeRows(expected=((key, version),), deletes=(key,))
        self._store.call(call, lambda reply: None)

    # -- Entries of other hosts ----------------------------------------------

    def read(self, service: str, handler: ReadHandler) -> None:
        """Read which hosts may write to a service's endpoints directly."""

        def on_rows(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                handler(False)
                return
            self._note(service, reply.rows)
            handler(True)

        self._store.call(ListRows(Table.WRITERS, service), on_rows)

    def _note(self, service: str, rows: tuple[Row, ...]) -> None:
        own_name = self._node.identity.name
        before = self._others.get(service, {})
        known = {}
        for row in rows:
            name = row.key.key
            if name == own_name:
                continue
            try:
                known[name] = _Other.decode(row, before.get(name))
            except ValueError as error:
                self._node.log(
                    "warning", "writer_entry_unreadable", host=name, why=error
                )
        self._others[service] = known
        self._holders.note_writers(service, [other.host for other in known.values()])

    def entered_since(self, service: str, version: int) -> set[str]:
        """Return the hosts of which a run entered itself after a version."""
        others = self._others.get(service, {})
        return {name for name, other in others.items() if other.run_since > version}

    def forget(self, service: str, host: str) -> None:
        """Remove the entry of another host whose process is gone for good."""
        if host in self.tables.hosts:
            return  # it may start again, and lose the store before it enters itself
        other = self._others.get(service, {}).pop(host, None)
        if other is not None:
            self._remove(service, host, other.version)
