"""Register this host in the store, and track the entries of all hosts.

The hosts in the store divide the connections to endpoints among themselves.
"""

from __future__ import annotations

from mallowpass.core.proxy.signals import DrainBegan
from mallowpass.core.proxy.storage import (
    ChangeRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import HostRow, ProxySystem
from mallowpass.core.proxy.unreadable import UnreadableRows

__all__ = ["Hosts"]

RETRY_INTERVAL = 1.0  # seconds at most between attempts to register this host


class Hosts(ProxySystem):
    """Register this host in the store, and maintain the table of hosts."""

    __slots__ = ("_store", "_unreadable")

    def start(self) -> None:
        """Watch the hosts' entries; register this host if the fleet is new."""
        self._store = self._node.system(Store)
        self._unreadable = UnreadableRows(self._node, "host_entry_unreadable")
        self.tables.hosts[self._node.identity.name] = self._own_row
        if self.tables.first_start:
            self._register()
        self._store.watch(Table.HOSTS, self._on_rows)
        self._node.subscribe(DrainBegan, self._on_drain_began)

    @property
    def _key(self) -> RowKey:
        return RowKey(Table.HOSTS, "", self._node.identity.name)

    @property
    def _own_row(self) -> HostRow:
        identity = self._node.identity
        return HostRow(
            identity.name,
            identity.failure_domain,
            identity.peers_address,
            identity.capacity,
        )

    def _is_own_entry(self, row: Row) -> bool:
        """Return whether a row is this host's entry, and up to date."""
        return row.key.key == self._node.identity.name and row.value == (
            self._own_row.encode()
        )

    def _register(self) -> None:
        call = ChangeRows(puts=((self._key, self._own_row.encode()),))
        self._store.call(call, self._on_registered)

    def _on_registered(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            pause = self._node.random.uniform(RETRY_INTERVAL / 2, RETRY_INTERVAL)
            self.timers.after(pause, self._register)

    def _on_drain_began(self, signal: DrainBegan) -> None:
        # If the entry stayed, connections would be assigned to this host for ever.
        self._store.call(ChangeRows(deletes=(self._key,)), self._on_deregistered)

    def _on_deregistered(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            self._node.log("warning", "host_entry_left", why=reply.message)

    def _on_rows(self, rows: tuple[Row, ...], complete: bool) -> None:
        hosts = self.tables.hosts
        if complete:
            hosts.clear()
            # The entry is written only if it is missing or outdated: each change is
            # sent to all hosts, and after a loss of power of all hosts the entries are
            # still in the store.
            is_entered = any(self._is_own_entry(row) for row in rows)
            if not self.tables.hosts_version:
                self.tables.was_in_hosts = is_entered
            if not is_entered:
                self._register()
        for row in rows:
            self._apply(row)
        hosts[self._node.identity.name] = self._own_row
        self.tables.hosts_version += 1

    def _apply(self, row: Row) -> None:
        """Update the table from a host's entry; ignore an entry that can't be read.

        The host still has its connections. If it were removed from the table, other
        hosts would open as many in addition.
        """
        name = row.key.key
        if isinstance(row.value, Unreadable):
            self._unreadable.note(row.key, row.value.reason)
        elif not isinstance(row.value, str):
            self._unreadable.clear(row.key)
            self.tables.hosts.pop(name, None)
        else:
            try:
                self.tables.hosts[name] = HostRow.decode(name, row.value)
                self._unreadable.clear(row.key)
            except ValueError as error:
                self._unreadable.note(row.key, str(error))
