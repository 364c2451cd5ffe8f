"""In whose name a session's statements run.

The key of a session's caller says who its customer is, by the configuration in force:
keys are added, taken away, and moved to other customers while sessions stay open. So
it is asked anew for each operation, and not while a transaction is open.
"""

from __future__ import annotations

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.statements import Code
from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem, SessionRow
from mallowpass.core.records import record

__all__ = ["ANONYMOUS", "Customers", "Refusal"]

# Name of the callers of public databases that show no key of a customer. No customer
# has it: it is no name of one that a configuration may hold.
ANONYMOUS = "-"


@record
class Refusal:
    """Say why a session may run no operation."""

    code: Code
    message: str


UNKNOWN_KEY = Refusal(Code.UNAUTHENTICATED, "no customer holds this key")


class Customers(ProxySystem):
    """Identify the callers of sessions."""

    __slots__ = ("_store",)

    def start(self) -> None:
        """Find the system that is asked."""
        self._store = self._node.system(Store)

    def identify(self, session: SessionRow) -> Refusal | None:
        """Find a session's customer; return why it may run no operation."""
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
