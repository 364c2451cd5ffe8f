"""Customers: on whose behalf the statements of a session run.

A session's customer is looked up by the caller's key in the configuration in force.
Keys are added, revoked, and moved to other customers while sessions stay open, so the
customer is looked up again for each operation, but not within a transaction.
"""

from __future__ import annotations

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.statements import Code
from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem, SessionRow
from mallowpass.core.records import record

__all__ = ["ANONYMOUS", "Customers", "Refusal"]

# Customer name of the callers of public databases that present no customer's key. It
# can't collide with a customer: a configuration may not use it as a name.
ANONYMOUS = "-"


@record
class Refusal:
    """Describe why a session may run no operation."""

    code: Code
    message: str


UNKNOWN_KEY = Refusal(Code.UNAUTHENTICATED, "no customer holds this key")


class Customers(ProxySystem):
    """Identify the customers of sessions."""

    __slots__ = ("_store",)

    def start(self) -> None:
        """Look up the system that this one uses."""
        self._store = self._node.system(Store)

    def identify(self, session: SessionRow) -> Refusal | None:
        """Set a session's customer; return the refusal if it may run no operation."""
        configuration = self.tables.configuration
        session.customer = _customer(configuration, session)
        if not configuration.authenticates_callers:
            return None
        if session.customer is None:
            return UNKNOWN_KEY
        age = self._store.age(Table.CONFIGURATION)
        if age > self.tables.key_lapse and session.customer != ANONYMOUS:
            message = f"keys were last known to be in force {age:.1f} s ago"
            return Refusal(Code.BUSY, message)
        return None


def _customer(configuration: Configuration, session: SessionRow) -> str | None:
    if not configuration.authenticates_callers:
        return None
    customer = configuration.customer_of(session.credential)
    if customer is not None:
        return customer.name
    route = configuration.routes.get(session.database)
    return ANONYMOUS if route is not None and route.public else None
