"""Writes that run beside a pending promotion order, through the host that guards it.

A guard relaxes the fence of its order while the target receives what the primary
commits, see `pendingfences`. It alone knows whether that still holds. So while a fence
is relaxed, all hosts send what may commit through its owner: their writes end with that
process, at the moment at which nobody watches the target any more. A time limit at the
other hosts would let them write for as long as it lasts.

Statements that can't commit are sent as usual.
"""

from __future__ import annotations

from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.tables import ConnectionRow, EndpointRow, ProxySystem

__all__ = ["GuardedWrites"]


class GuardedWrites(ProxySystem):
    """Choose the connections of writes beside a pending order."""

    __slots__ = ("_connections", "_fencing", "_holders")

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._connections = self._node.system(Connections)
        self._fencing = self._node.system(Fencing)
        self._holders = self._node.system(Holders)

    def are_guarded(self, endpoint: EndpointRow | None) -> bool:
        """Return whether writes to an endpoint have to run through one host."""
        return endpoint is not None and self._fencing.guard_of(endpoint) is not None

    def are_guarded_elsewhere(self, endpoint: EndpointRow) -> bool:
        """Return whether writes to an endpoint have to run through another host."""
        guard = self._fencing.guard_of(endpoint)
        return guard not in (None, self._node.identity.name)

    def may_commit_on(self, connection: ConnectionRow) -> bool:
        """Return whether a commit may be sent on a connection."""
        guard = self._fencing.guard_of(connection.endpoint)
        return guard is None or connection.holder == self._holder_name(guard)

    def acquire(
        self, endpoint: EndpointRow, values: dict[str, str], customer: str | None
    ) -> ConnectionRow | None:
        """Return an idle connection for a guarded write; open one if there is none."""
        guard = self._fencing.guard_of(endpoint)
        if self._holder_name(guard):
            host = self._holders.known_host(endpoint.entry.service, guard)
            if host is None:
                return None
            return self._connections.acquire_through(endpoint, host, values)
        connection = self._connections.acquire(
            endpoint, values, customer, own_only=True
        )
        if connection is None:
            self._connections.grow(endpoint, customer)
        return connection

    def _holder_name(self, guard: str | None) -> str | None:
        """Return the holder of connections to a guard; empty if it is this host."""
        return "" if guard == self._node.identity.name else guard
