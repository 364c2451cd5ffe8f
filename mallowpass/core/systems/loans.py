"""Lend idle connections of this host's share to hosts that need them for a while."""

from __future__ import annotations

from mallowpass.core.node import System
from mallowpass.core.systems.connections import EndpointPool

__all__ = ["Loans"]


class Loans(System):
    """Own what is lent and borrowed."""

    __slots__ = ()

    def times(self, loan: str) -> tuple[float, float]:
        """Return time to live and timeout of a connection opened under a loan."""
        tuning = self._node.tuning
        return tuning.connection_time_to_live, tuning.connect_timeout

    def set_withheld(self, pool: EndpointPool, places: int) -> None:
        """Withhold places that may be lent out until old loans are over."""

    def want(self, pool: EndpointPool) -> None:
        """Ask others for connections."""

    def give_back(self, pool: EndpointPool) -> None:
        """Give back loans that nobody uses."""
