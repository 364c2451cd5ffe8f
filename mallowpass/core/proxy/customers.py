"""In whose name a session's statements run.

The key of a session's caller says who its customer is, by the configuration in force:
keys are added, taken away, and moved to other customers while sessions stay open. So
it is asked anew for each operation, and not while a transaction is open.
"""

from __future__ import annotations

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.tables import ProxySystem, SessionRow

__all__ = ["ANONYMOUS", "Customers"]

# Name of the callers of public databases that show no key of a customer. No customer
# has it: it is no name of one that a configuration may hold.
ANONYMOUS = "-"


class Customers(ProxySystem):
    """Identify the callers of sessions."""

    __slots__ = ()

    def identify(self, session: SessionRow) -> bool:
        """Find a session's customer; tell whether it may run an operation."""
        configuration = self.tables.configuration
        session.customer = _customer(configuration, session)
        return session.customer is not None or not configuration.identifies


def _customer(configuration: Configuration, session: SessionRow) -> str | None:
    if not configuration.identifies:
        return None
    customer = configuration.customer_of(session.credential)
    if customer is not None:
        return customer.name
    route = configuration.routes.get(session.database)
    return ANONYMOUS if route is not None and route.public else None
