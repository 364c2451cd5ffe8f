"""Maintain the configuration in force at this host; its version only increases."""

from __future__ import annotations

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.signals import ConfigurationAccepted
from mallowpass.core.proxy.storage import Row, Table, Unreadable
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.proxy.unreadable import UnreadableRows

__all__ = ["CurrentConfiguration"]


class CurrentConfiguration(ProxySystem):
    """Watch the configuration in the store, and put newer versions into force."""

    __slots__ = ("_store", "_unreadable")

    def start(self) -> None:
        """Watch the configuration's row."""
        self._unreadable = UnreadableRows(self._node, "configuration_unreadable")
        self._store = self._node.system(Store)
        self._store.watch(Table.CONFIGURATION, self._on_rows)

    def _on_rows(self, rows: tuple[Row, ...], complete: bool) -> None:
        for row in rows:
            if isinstance(row.value, Configuration):
                self._unreadable.clear(row.key)
                self._accept(row.value)
            elif isinstance(row.value, Unreadable):
                # The last valid configuration stays in force.
                self._unreadable.note(row.key, row.value.reason)

    def _accept(self, configuration: Configuration) -> None:
        current = self.tables.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.tables.configuration = configuration
        provenance = self._store.feeds.provenance(Table.CONFIGURATION)
        self._node.log(
            "info",
            "configuration_accepted",
            version=configuration.version,
            before=0 if current is None else current.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
            relay=provenance.relay,
            relay_age=round(provenance.age, 3),
            unconfirmed_for=round(provenance.unconfirmed_for, 3),
        )
        self._node.publish(ConfigurationAccepted(configuration))
