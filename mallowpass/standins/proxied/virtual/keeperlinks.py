"""Connections of hosts to keepers: requests for leases, and returned grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mallowpass.core.proxy.effects import AnswerLease, AskLease, ReturnGrant
from mallowpass.core.proxy.events import GrantReturned, LeaseAnswered, LeaseAsked

if TYPE_CHECKING:
    from mallowpass.standins.proxied.virtual.hosts import Host
    from mallowpass.standins.proxied.virtual.world import ProxyWorld

__all__ = ["KeeperLinks"]


class KeeperLinks:
    """Deliver requests for leases and returned grants; what a cut affects is lost."""

    def __init__(self, world: ProxyWorld) -> None:
        self._world = world
        # By the processes of a host and of a keeper: a restart is a new connection.
        self._connections: dict[tuple[int, int], int] = {}
        self._asks: dict[int, tuple[Host, int]] = {}  # requests for leases
        # By process of the host, keeper, and number that the host gave the request.
        self._granted: dict[tuple[int, str, int], int] = {}

    def note_ask(self, host: Host, keeper: Host, call: int, number: int) -> None:
        """Remember a request for operations, some of which may be returned."""
        self._granted[host.node.identity.incarnation, keeper.name, call] = number

    def return_grant(self, host: Host, effect: ReturnGrant) -> None:
        """Have a host return granted operations to a keeper."""
        keeper = self._reach(host, effect.address)
        if keeper is None:
            return
        ask = self._granted.get(
            (host.node.identity.incarnation, keeper.name, effect.call)
        )
        if ask is not None:
            returned = GrantReturned(
                ask, effect.part, effect.customer, effect.operations
            )
            keeper.later(self._world.delay(host.domain, keeper.domain), returned)

    def ask_lease(self, host: Host, effect: AskLease) -> None:
        """Have a host ask a keeper for a lease."""
        keeper = self._reach(host, effect.address)
        if keeper is None:
            return
        key = (host.node.identity.incarnation, keeper.node.identity.incarnation)
        holder = self._connections.setdefault(key, self._world.number())
        number = self._world.number()
        self._asks[number] = (host, effect.call)
        asked = LeaseAsked(number, holder, effect.part, effect.customer, effect.rate)
        keeper.later(self._world.delay(host.domain, keeper.domain), asked)

    def answer_lease(self, keeper: Host, effect: AnswerLease) -> None:
        """Pass on what a keeper answers."""
        host, call = self._asks.pop(effect.ask)
        if not self._world.is_cut(host, keeper):
            answered = LeaseAnswered(call, effect.rate, effect.burst, effect.validity)
            host.later(self._world.delay(host.domain, keeper.domain), answered)

    def _reach(self, host: Host, address: str) -> Host | None:
        """Return the keeper at an address; None if a message does not arrive."""
        name = address.partition(":")[0]
        keeper = next((h for h in self._world.hosts if h.name == name), None)
        if keeper is None or keeper.exited or self._world.is_cut(host, keeper):
            return None
        return keeper
