"""Plays of random disturbances in which the configuration changes again and again.

A host is in touch if for some seconds neither it nor the store was disturbed. Such a
host must have each version some seconds after the store accepted it, whatever happened
to the host that it learns from.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import singledispatch

from mallowpass.core.node import FailureDomain
from mallowpass.standins.proxied.virtual.hosts import DOMAINS, Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    ProxyWorld,
    configuration,
)

__all__ = [
    "HOST_DISTURBANCES",
    "PLAYS",
    "ConfigurationPlay",
    "CutOff",
    "Disturbance",
    "Frozen",
    "Ignored",
    "Isolated",
    "Killed",
    "LateHost",
    "StoreRefusing",
    "StoreSilent",
    "StoreSlow",
    "TurnedAway",
]

STEP = 0.05  # seconds between checks
TOLERANCE = 0.1  # seconds: a host may be asked while an answer is on its way
START_TIME = 8.0  # seconds until all hosts follow their relays
DISTURBED_TIME = 40.0  # seconds in which disturbances begin
CALM_TIME = 20.0  # seconds without disturbances, at the end
CHANGE_PAUSES = (0.3, 3.0)  # seconds between changes, at least and at most
SLOW_DELAY = 0.32  # seconds that each call to a slow store takes


@dataclass(frozen=True)
class Disturbance:
    """Base class of all disturbances, which begin and end."""


@dataclass(frozen=True)
class HostDisturbance(Disturbance):
    """Base class of the disturbances of single hosts."""


@dataclass(frozen=True)
class Ignored(HostDisturbance):
    """The store gives some hosts no answer."""


@dataclass(frozen=True)
class TurnedAway(HostDisturbance):
    """The store refuses some hosts."""


@dataclass(frozen=True)
class CutOff(HostDisturbance):
    """Some hosts lose the store, in silence."""


@dataclass(frozen=True)
class Isolated(HostDisturbance):
    """Some hosts lose all other hosts, in silence."""


@dataclass(frozen=True)
class Frozen(HostDisturbance):
    """Some hosts run nothing any more."""


@dataclass(frozen=True)
class Killed(HostDisturbance):
    """Some hosts end, and start again."""


@dataclass(frozen=True)
class StoreSilent(Disturbance):
    """The store answers nobody."""


@dataclass(frozen=True)
class StoreRefusing(Disturbance):
    """The store refuses all calls."""


@dataclass(frozen=True)
class StoreSlow(Disturbance):
    """The store answers late."""


HOST_DISTURBANCES = (Ignored, TurnedAway, CutOff, Isolated, Frozen, Killed)
PLAYS = {
    "ignored": (Ignored,),
    "cut-off": (CutOff,),
    "store-silent": (StoreSilent,),
    "hosts": HOST_DISTURBANCES,
    "all": (*HOST_DISTURBANCES, StoreSilent, StoreRefusing, StoreSlow),
}


@dataclass(frozen=True)
class LateHost:
    """A host in touch that had an older version than it must have."""

    name: str
    at: float  # seconds
    version: int
    expected: int
    late_by: float  # seconds beyond the bound


class ConfigurationPlay:
    """Disturb a world by one kind of disturbance or several, and find late hosts."""

    def __init__(
        self,
        seed: int,
        kinds: tuple[type[Disturbance], ...],
        hosts: int = 24,
        apply_time: float = 5.0,
        settle_time: float = 6.0,
        domains: tuple[FailureDomain, ...] = DOMAINS,
    ) -> None:
        self.random = random.Random(seed)
        self.world = ProxyWorld(
            hosts=hosts,
            seed=seed,
            apply_time=apply_time,
            settle_time=settle_time,
            domains=domains,
        )
        self.late: list[LateHost] = []
        self._kinds = kinds
        self._accepted: list[tuple[float, int]] = []  # time and version
        self._disturbed_at: dict[str, float] = {}  # by host; "": the store
        # Disturbances under way, with the hosts that they strike and their ends.
        self._active: list[tuple[Disturbance, list[str], float]] = []

    def run(self) -> None:
        """Run the play; `late` has what was found."""
        world = self.world
        world.run(START_TIME)
        began = world.timers.now
        next_change = next_disturbance = began
        while world.timers.now < began + DISTURBED_TIME + CALM_TIME:
            now = world.timers.now
            if now >= next_change:
                self._change()
                next_change = now + self.random.uniform(*CHANGE_PAUSES)
            if next_disturbance <= now < began + DISTURBED_TIME:
                self._disturb()
                next_disturbance = now + self.random.uniform(1.0, 8.0)
            for disturbance, names, end in list(self._active):
                if now >= end:
                    self._active.remove((disturbance, names, end))
                    _end(disturbance, self, names)
            self._note_disturbed()
            world.run(STEP)
            self._check()

    def host(self, name: str) -> Host:
        """Return the host that runs under a name now."""
        return next(host for host in self.world.hosts if host.name == name)

    def _change(self) -> None:
        version = len(self._accepted) + 2
        self.world.store.put(CONFIGURATION_KEY, configuration(version))
        self._accepted.append((self.world.timers.now, version))

    def _disturb(self) -> None:
        kind = self.random.choice(self._kinds)
        if any(isinstance(active, kind) for active, _, _ in self._active):
            return
        disturbance = kind()
        names = [""]
        if isinstance(disturbance, HostDisturbance):
            hosts = [host.name for host in self.world.hosts]
            count = self.random.randint(1, max(1, len(hosts) // 2))
            names = self.random.sample(hosts, count)
        end = self.world.timers.now + self.random.uniform(0.3, 9.0)
        self._active.append((disturbance, names, end))
        _begin(disturbance, self, names)

    def _note_disturbed(self) -> None:
        for _, names, _ in self._active:
            for name in names:
                self._disturbed_at[name] = self.world.timers.now + STEP

    def _check(self) -> None:
        now = self.world.timers.now
        due = now - self.world.apply_time - TOLERANCE
        expected = max((v for at, v in self._accepted if at <= due), default=1)
        since = next((at for at, v in self._accepted if v == expected), now)
        for host in self.world.hosts:
            if not self._is_in_touch(host.name):
                continue
            current = host.tables.configuration
            version = 0 if current is None else current.version
            if version < expected:
                late_by = round(now - since - self.world.apply_time, 3)
                self.late.append(LateHost(host.name, now, version, expected, late_by))

    def _is_in_touch(self, name: str) -> bool:
        since = self.world.timers.now - self.world.settle_time - TOLERANCE
        disturbed = (self._disturbed_at.get(key, since) for key in ("", name))
        return all(at <= since for at in disturbed)


# -- Disturbances ------------------------------------------------------------


@singledispatch
def _begin(disturbance: Disturbance, play: ConfigurationPlay, names: list[str]) -> None:
    raise TypeError(f"no such disturbance: {type(disturbance).__name__}")


@singledispatch
def _end(disturbance: Disturbance, play: ConfigurationPlay, names: list[str]) -> None:
    raise TypeError(f"no such disturbance: {type(disturbance).__name__}")


@_begin.register
def _(disturbance: Ignored, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.ignored.update(names)


@_end.register
def _(disturbance: Ignored, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.ignored.difference_update(names)


@_begin.register
def _(disturbance: TurnedAway, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.turned_away.update(names)


@_end.register
def _(disturbance: TurnedAway, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.turned_away.difference_update(names)


@_begin.register
def _(disturbance: CutOff, play: ConfigurationPlay, names: list[str]) -> None:
    for name in names:
        play.host(name).cut_from.add("store")


@_end.register
def _(disturbance: CutOff, play: ConfigurationPlay, names: list[str]) -> None:
    for name in names:
        play.host(name).cut_from.discard("store")


@_begin.register
def _(disturbance: Isolated, play: ConfigurationPlay, names: list[str]) -> None:
    others = {host.name for host in play.world.hosts}
    for name in names:
        play.host(name).cut_from.update(others)


@_end.register
def _(disturbance: Isolated, play: ConfigurationPlay, names: list[str]) -> None:
    others = {host.name for host in play.world.hosts}
    for name in names:
        play.host(name).cut_from.difference_update(others)


@_begin.register
def _(disturbance: Frozen, play: ConfigurationPlay, names: list[str]) -> None:
    for name in names:
        play.host(name).frozen = True


@_end.register
def _(disturbance: Frozen, play: ConfigurationPlay, names: list[str]) -> None:
    # The stand-in drops what a frozen host misses, so that it can't go on.
    _end(Killed(), play, names)


@_begin.register
def _(disturbance: Killed, play: ConfigurationPlay, names: list[str]) -> None:
    for name in names:
        host = play.host(name)
        if not host.exited:
            play.world.kill(play.world.hosts.index(host))


@_end.register
def _(disturbance: Killed, play: ConfigurationPlay, names: list[str]) -> None:
    for name in names:
        host = play.host(name)
        index = play.world.hosts.index(host)
        if not host.exited:
            play.world.kill(index)
        cut_from = host.cut_from
        play.world.start_again(index).cut_from.update(cut_from)


@_begin.register
def _(disturbance: StoreSilent, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.silent = True


@_end.register
def _(disturbance: StoreSilent, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.silent = False


@_begin.register
def _(disturbance: StoreRefusing, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.refuse_all()


@_end.register
def _(disturbance: StoreRefusing, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.refusing = False


@_begin.register
def _(disturbance: StoreSlow, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.delay = SLOW_DELAY


@_end.register
def _(disturbance: StoreSlow, play: ConfigurationPlay, names: list[str]) -> None:
    play.world.store.faults.delay = 0.004
