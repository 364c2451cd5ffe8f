"""How far each group's commits may have been acknowledged.

A commit is acknowledged once a replica has received it, so whatever a replica was seen
to hold may have been acknowledged by way of it. That replica may lead next, with
replicas that lack it, or be lost for good. A comparison of those that are left then
finds a furthest one all the same, and whoever promotes it loses commits: they are at
the primary alone, or nowhere. So the position outlives the replica that showed it:
here, and with claims in the store.

What a commit's answer shows is no such position: the primary's log may have grown
beyond it by commits that no replica has. But the commit itself comes after all that the
primary's log had shown before it was sent.
"""

from __future__ import annotations

from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.statements import LogPosition
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem

__all__ = ["Durability"]


class Durability(ProxySystem):
    """Own the position up to which each group's commits may be acknowledged."""

    __slots__ = ()

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._node.subscribe(PrimaryChanged, self._on_primary)

    def _on_primary(self, signal: PrimaryChanged) -> None:
        signal.group.primary_term = 0

    def showed(self, endpoint: EndpointRow, position: LogPosition) -> None:
        """Note the position that an endpoint's log had when it answered.

        A primary's says nothing: it counts commits that no replica has. An endpoint
        that has led still holds such commits until it follows its successor, and one
        that leads by now holds newer ones; both show in their terms.
        """
        group = self.tables.group(endpoint.entry.service)
        if endpoint.name == group.primary:
            group.primary_term = endpoint.led_term = position.term
        elif (
            position > group.secured
            and position.term == group.primary_term
            and position.term > endpoint.led_term
        ):
            group.secured = position

    def acknowledged(self, endpoint: EndpointRow, before: LogPosition | None) -> None:
        """Note a commit that was sent when the primary's log had shown `before`."""
        group = self.tables.group(endpoint.entry.service)
        if before is not None and endpoint.name == group.primary:
            self.learn(group, before._replace(position=before.position + 1))

    @staticmethod
    def learn(group: GroupRow, position: LogPosition) -> None:
        """Note a position that another host, or a comparison, found at a replica."""
        group.secured = max(group.secured, position)
