"""The rows of databases and endpoints, as the current versions of services declare.

An address belongs to one database. Two operators may declare an address for two
databases at the same time, before either change is visible to the other operator. Every
host then assigns the address to the database whose key sorts first, so that all hosts
agree, and logs an error.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.services import (
    Database,
    Member,
    Service,
    ServiceVersion,
    database_key,
)
from mallowpass.core.signals import DatabaseAdded, DatabaseChanged, DatabaseRemoved
from mallowpass.core.tables import DatabaseRow, EndpointRow

__all__ = ["DatabaseRows"]


class DatabaseRows:
    """Create, change and remove the rows of databases and endpoints."""

    __slots__ = ("_claims", "_node")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._claims: dict[str, set[str]] = {}  # address -> keys of databases

    def apply(self, before: Service | None, version: ServiceVersion) -> None:
        """Update the rows of one service to its new version."""
        name = version.name
        old = _by_key(name, before)
        new = _by_key(name, version.service)
        disputed = self._claim(old, new)
        for key in sorted(old.keys() - new.keys()):
            self._remove(key)
        # Databases that lose an address are changed before databases that gain it.
        for key in sorted(new.keys() & old.keys()):
            if new[key] != old[key]:
                self._change(key, new[key])
        for key in sorted(new.keys() - old.keys()):
            self._add(key, name, new[key])
        for key in sorted(disputed - old.keys() - new.keys()):
            self._change(key, self._node.tables.databases[key].definition)

    # -- Claims --------------------------------------------------------------

    def _claim(self, old: dict[str, Database], new: dict[str, Database]) -> set[str]:
        """Record declared addresses; return the keys of databases that share one."""
        disputed: set[str] = set()
        for key, database in old.items():
            for member in database.members:
                disputed |= self._claims[member.address]
                self._claims[member.address].discard(key)
        for key, database in new.items():
            for member in database.members:
                self._claims.setdefault(member.address, set()).add(key)
                disputed |= self._claims[member.address]
        for database in old.values():
            for member in database.members:
                if not self._claims.get(member.address, True):
                    del self._claims[member.address]
        return disputed

    def _owned_members(self, key: str, database: Database) -> list[Member]:
        owned = []
        for member in database.members:
            owner = min(self._claims[member.address])
            if owner == key:
                owned.append(member)
                continue
            self._node.log(
                "error",
                "address_disputed",
                address=member.address,
                database=key,
                owner=owner,
            )
        return owned

    # -- Rows ----------------------------------------------------------------

    def _add(self, key: str, service: str, database: Database) -> None:
        row = DatabaseRow(key, service, database)
        self._node.tables.databases[key] = row
        self._update_members(row)
        self._node.publish(DatabaseAdded(key))

    def _change(self, key: str, database: Database) -> None:
        row = self._node.tables.databases[key]
        before = (row.definition, tuple(row.endpoints))
        row.definition = database
        removed = self._update_members(row)
        if before != (database, tuple(row.endpoints)):
            self._node.publish(DatabaseChanged(key, tuple(removed)))

    def _remove(self, key: str) -> None:
        # Published before the rows are deleted: subscribers still need them to answer
        # the requests of the database.
        row = self._node.tables.databases[key]
        self._node.publish(DatabaseRemoved(key))
        for address in row.endpoints:
            self._drop_endpoint(key, address)
        del self._node.tables.databases[key]

    def _update_members(self, row: DatabaseRow) -> list[str]:
        """Update the rows of a database's members; return the removed addresses."""
        wanted = {m.address: m for m in self._owned_members(row.key, row.definition)}
        removed = [address for address in row.endpoints if address not in wanted]
        for address in removed:
            del row.endpoints[address]
            self._drop_endpoint(row.key, address)
        for address, member in wanted.items():
            self._update_endpoint(row, address, member)
        return removed

    def _update_endpoint(self, row: DatabaseRow, address: str, member: Member) -> None:
        endpoint = row.endpoints.get(address)
        if endpoint is not None:
            endpoint.member = member
            return
        endpoint = EndpointRow(member, row.key)
        row.endpoints[address] = endpoint
        self._node.tables.endpoints[address] = endpoint

    def _drop_endpoint(self, key: str, address: str) -> None:
        endpoint = self._node.tables.endpoints.get(address)
        # The address may already belong to another database.
        if endpoint is not None and endpoint.database == key:
            del self._node.tables.endpoints[address]


def _by_key(name: str, service: Service | None) -> dict[str, Database]:
    databases = service.databases if service is not None else ()
    return {database_key(name, database.name): database for database in databases}
