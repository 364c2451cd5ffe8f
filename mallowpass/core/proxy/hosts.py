"""Which hosts share the endpoints' connections: each enters itself in the store."""

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

RETRY = 1.0  # seconds between attempts to enter this host


class Hosts(ProxySystem):
    """Enter this host in the store, and know the others."""

    __slots__ = ("_store", "_unreadable")

    def start(self) -> None:
        """Enter this host, and follow the entries of all."""
        self._store = self._node.system(Store)
        self._unreadable = UnreadableRows(self._node, "host_entry_unreadable")
        self.tables.hosts[self._node.identity.name] = self._own
        if self.tables.first_start:
            self._enter()
        self._store.watch(Table.HOSTS, self._on_rows)
        self._node.subscribe(DrainBegan, self._on_drain)

    @property
    def _key(self) -> RowKey:
        return RowKey(Table.HOSTS, "", self._node.identity.name)

    @property
    def _own(self) -> HostRow:
        identity = self._node.identity
        return HostRow(
            identity.name,
            identity.failure_domain,
            identity.peers_address,
            identity.capacity,
        )

    def _is_own(self, row: Row) -> bool:
        return row.key.key == self._node.identity.name and row.value == (
            self._own.encode()
        )

    def _enter(self) -> None:
        call = ChangeRows(puts=((self._key, self._own.encode()),))
        self._store.call(call, self._on_entered)

    def _on_entered(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            pause = self._node.random.uniform(RETRY / 2, RETRY)
            self.timers.after(pause, self._enter)

    def _on_drain(self, signal: DrainBegan) -> None:
        # Left in, the entry would keep connections from the others for ever.
        self._store.call(ChangeRows(deletes=(self._key,)), self._on_left)

    def _on_left(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            self._node.log("warning", "host_entry_left", why=reply.message)

    def _on_rows(self, rows: tuple[Row, ...], complete: bool) -> None:
        hosts = self.tables.hosts
        if complete:
            hosts.clear()
            # Every change is told to all hosts. After a loss of power of all of them,
            # each one's entry is still as it was.
            if not any(self._is_own(row) for row in rows):
                self._enter()
        for row in rows:
            self._take(row)
        hosts[self._node.identity.name] = self._own
        self.tables.hosts_version += 1

    def _take(self, row: Row) -> None:
        """Take a host's entry; what is known of a host stays where it can't be read.

        It holds its connections still. Without it, the others would open as many.
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
