"""Sizes of the fleets in which faults are played."""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.proxy.configuration import ServiceLimits
from mallowpass.core.proxy.holders import FORMER_HOLDER_TTL, Holders
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import (
    SERVICE,
    ProxyWorld,
    configuration,
)

__all__ = ["FLEETS", "LARGE", "SMALL", "Fleet", "holders_of", "others_of"]


@dataclass(frozen=True, slots=True)
class Fleet:
    """Tell how many hosts there are, and how many connections a member accepts."""

    hosts: int
    connections: int  # to a member

    def configure(self, world: ProxyWorld) -> None:
        """Have hosts go by the number of connections, and forget former holders."""
        world.group.max_connections = self.connections
        limits = ServiceLimits(SERVICE, self.connections, 1)
        world.configure(configuration(2, services={SERVICE: limits}))
        world.run(FORMER_HOLDER_TTL + 1.0)


SMALL = Fleet(6, 22)  # all hosts are holders
LARGE = Fleet(14, 28)  # five hosts are holders
FLEETS = {"small": SMALL, "large": LARGE}


def holders_of(world: ProxyWorld) -> list[Host]:
    """Return the hosts that are holders by their own plans."""
    return [host for host in world.hosts if host.node.system(Holders).holds(SERVICE)]


def others_of(world: ProxyWorld) -> list[Host]:
    """Return the hosts that forward to holders."""
    holders = holders_of(world)
    return [host for host in world.hosts if host not in holders]
