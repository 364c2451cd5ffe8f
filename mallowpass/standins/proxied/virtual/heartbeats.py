"""Entries that members renew in the store, and that lapse when they do not."""

from __future__ import annotations

from typing import Protocol

from mallowpass.core.timers import TimerService
from mallowpass.standins.proxied.replicas import Group, Replica

__all__ = ["EntryWriter", "Heartbeats"]

INTERVAL = 1.0  # seconds between renewals of an entry
LAPSE = 3.6  # seconds without a renewal after which the store removes an entry
LOOK = 0.1  # seconds between looks of the store for entries that lapsed


class EntryWriter(Protocol):
    """Write and remove the entries of a group's members."""

    @property
    def group(self) -> Group:
        """Return the group."""

    @property
    def timers(self) -> TimerService:
        """Return the timers of the group."""

    def enter(self, replica: Replica, draining: bool = False) -> None:
        """Write a member's entry."""

    def remove_entry(self, name: str) -> None:
        """Remove a member's entry."""


class Heartbeats:
    """Renew the entries of all members that live and reach the store."""

    def __init__(self, world: EntryWriter, lapse: float = LAPSE) -> None:
        self._world = world
        self._lapse = lapse
        self._renewed_at: dict[str, float] = {}
        self.cut_off: set[str] = set()  # members that do not reach the store
        self.draining: set[str] = set()
        world.group.on_role = self.renew
        for replica in world.group.replicas.values():
            self._renew_again(replica.name)
        self._remove_lapsed()

    def renew(self, replica: Replica) -> None:
        """Write a member's entry, if it lives and reaches the store."""
        if replica.up and replica.name not in self.cut_off:
            self._renewed_at[replica.name] = self._world.timers.now
            self._world.enter(replica, draining=replica.name in self.draining)

    def join(self, replica: Replica) -> None:
        """Write the entry of a member that is new, and renew it from now on."""
        self.cut_off.discard(replica.name)
        self._renew_again(replica.name)

    def leave(self, name: str) -> None:
        """Remove the entry of a member that ended for good."""
        self._renewed_at.pop(name, None)
        self._world.remove_entry(name)

    def _renew_again(self, name: str) -> None:
        replica = self._world.group.replicas.get(name)
        if replica is not None:
            self.renew(replica)
            self._world.timers.after(INTERVAL, self._renew_again, name)

    def _remove_lapsed(self) -> None:
        lapsed_before = self._world.timers.now - self._lapse
        for name, renewed_at in list(self._renewed_at.items()):
            if renewed_at <= lapsed_before:
                del self._renewed_at[name]
                self._world.remove_entry(name)
        self._world.timers.after(LOOK, self._remove_lapsed)
