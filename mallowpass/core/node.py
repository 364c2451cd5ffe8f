"""One host's core: events in, effects out.

A node is driven by its adapters: `handle` for each event, `wake` when
`next_wake` has come. Both return the effects to carry out, in order. The same
class runs under real sockets, under tests with virtual time and under replay.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, ClassVar, TypeVar

from mallowpass.core.messages import (
    Count,
    Decision,
    Effect,
    Log,
    Observe,
    Signal,
    Woken,
)
from mallowpass.core.records import record
from mallowpass.core.timers import TimerService

if TYPE_CHECKING:
    from mallowpass.core.tables import Tables

__all__ = ["FailureDomain", "HostIdentity", "Node", "System", "Tuning"]

JOURNAL_LENGTH = 4096
_DOUBLINGS_MAX = 16  # of a pause; any bound in use is reached before

_S = TypeVar("_S", bound="System")


@record
class FailureDomain:
    """Describe a failure domain; `hosts` is the number of seats in it."""

    name: str
    region: str
    hosts: int


@record
class HostIdentity:
    """Describe this host; a replacement takes over its predecessor's seat."""

    name: str
    failure_domain: str
    seat: int
    peers_address: str
    incarnation: int
    domains: tuple[FailureDomain, ...]
    seeds: tuple[str, ...] = ()
    token_key: bytes = b""
    capacity: float = 1.0  # cores, for shares of work

    @property
    def region(self) -> str:
        """Return the region of this host's failure domain."""
        return self.region_of(self.failure_domain)

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, empty when unknown."""
        for domain in self.domains:
            if domain.name == failure_domain:
                return domain.region
        return ""


@record
class Tuning:
    """Hold the core's times (seconds) and limits."""

    # Health of endpoints and failover.
    probe_interval: float = 0.1
    report_gap: float = 0.01
    detection: float = 0.4
    promise_timeout: float = 0.3
    steward_stagger: float = 0.15
    promotion_hold_down: float = 5.0
    # Connections.
    connect_timeout: float = 2.0
    connection_time_to_live: float = 10.0
    connection_idle: float = 60.0
    silence: float = 3.0  # a connection without an answer for so long is closed
    loan: float = 5.0
    # Requests.
    default_deadline: float = 10.0
    retry_backoff_min: float = 0.01
    retry_backoff_max: float = 0.5
    retry_share: float = 0.2
    replica_wait: float = 0.05
    transaction_idle: float = 10.0
    sessions: int = 20_000
    requests_in_flight: int = 10_000
    # Membership, configuration, platform.
    heartbeat: float = 0.5
    suspicion: float = 1.5
    death: float = 5.0
    peers_in_domain: int = 4
    peers_elsewhere: int = 2
    configuration_poll: float = 1.0
    host_list_poll: float = 2.0
    platform_timeout: float = 1.0
    platform_reads_per_second: float = 20.0
    platform_writes_per_second: float = 5.0
    drain_limit: float = 20.0


class System:
    """Stand on top of all systems: a part that owns some decisions of a node.

    `replaces` names the system that others find this one in place of.
    """

    __slots__ = ("_node",)

    replaces: ClassVar[type[System] | None] = None

    def __init__(self, node: Node) -> None:
        self._node = node

    @property
    def tables(self) -> Tables:
        """Return the node's tables."""
        return self._node.tables

    @property
    def timers(self) -> TimerService:
        """Return the node's timer service."""
        return self._node.timers

    @property
    def now(self) -> float:
        """Return the time of the event being handled, in seconds."""
        return self._node.timers.now

    def start(self) -> None:
        """Subscribe to events and timers; called once, with all systems made."""

    def stop(self) -> None:
        """Give up whatever is held; called when the host leaves."""


class Node:
    """Own the tables, timers and systems of one host."""

    __slots__ = (
        "_effects",
        "_handlers",
        "_journal",
        "_numbers",
        "_systems",
        "identity",
        "on_error",
        "random",
        "tables",
        "timers",
        "tuning",
    )

    def __init__(
        self,
        identity: HostIdentity,
        tuning: Tuning,
        seed: int,
        now: float = 0.0,
        tables: Any = None,
    ) -> None:
        self.identity = identity
        self.tuning = tuning
        self.tables = _default_tables() if tables is None else tables
        self.timers = TimerService(now)
        self.random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._effects: list[Any] = []
        # Called with an exception that escapes a handler; None: it is raised.
        self.on_error: Callable[[Exception], None] | None = None
        self._handlers: dict[type, list[Callable[[Any], None]]] = {}
        self._journal: deque[Decision] = deque(maxlen=JOURNAL_LENGTH)
        self._systems: dict[type[System], System] = {}

    @property
    def next_wake(self) -> float | None:
        """Return when `wake` is to be called, None for not at all."""
        return self.timers.next_due

    @property
    def journal(self) -> deque[Decision]:
        """Return the newest decisions, oldest first."""
        return self._journal

    @property
    def systems(self) -> tuple[System, ...]:
        """Return all systems in the order in which they started."""
        return tuple(self._systems.values())

    # -- Driving -------------------------------------------------------------

    def start(self, systems: Iterable[type[System]]) -> list[Effect]:
        """Make the systems and start them."""
        for kind in systems:
            self._systems[kind.replaces or kind] = kind(self)
        for system in self._systems.values():
            system.start()
        return self._take_effects()

    def handle(self, now: float, event: Any) -> list[Any]:
        """Decide what to do about an event that came at `now`; return effects."""
        self.timers.advance(now)
        self._guard(self.timers.run_due)
        for handler in self._handlers.get(type(event), ()):
            self._guard(handler, event)
        return self._take_effects()

    def _guard(self, handler: Callable[..., Any], *arguments: Any) -> None:
        """Call a handler; an exception ends what it does, and nothing beside it.

        Raised through the event loop, an exception would close the connection at hand
        and drop the effects of all other handlers. Timers that are due run next time.
        """
        try:
            handler(*arguments)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)

    def wake(self, now: float) -> list[Effect]:
        """Run what is due."""
        return self.handle(now, _WOKEN)

    # -- For systems ---------------------------------------------------------

    def system(self, kind: type[_S]) -> _S:
        """Return the node's system of a kind."""
        return self._systems[kind]  # type: ignore[return-value]

    def subscribe(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Have a handler called with every event or signal of one type."""
        self._handlers.setdefault(kind, []).append(handler)

    def publish(self, signal: Signal) -> None:
        """Tell the systems that subscribed to the signal's type, at once."""
        for handler in self._handlers.get(type(signal), ()):
            handler(signal)

    def emit(self, effect: Any) -> None:
        """Add an effect to those that the event at hand causes."""
        self._effects.append(effect)

    def next_number(self) -> int:
        """Return a number that this node has not used before."""
        return next(self._numbers)

    def backoff(self, failures: int, least: float, most: float) -> float:
        """Return a pause in seconds: doubled by each failure, jittered, bounded.

        Without the jitter all who failed together would come back together.
        """
        longest = min(most, least * 2.0 ** min(failures, _DOUBLINGS_MAX))
        return self.random.uniform(longest / 2, longest)

    def log(self, level: str, event: str, **fields: Any) -> None:
        """Log one event."""
        self._effects.append(Log(level, event, tuple(fields.items())))

    def count(self, name: str, value: float = 1, **attributes: str) -> None:
        """Add to a counter."""
        self._effects.append(Count(name, value, tuple(attributes.items())))

    def observe(self, name: str, value: float, **attributes: str) -> None:
        """Record a value of a histogram."""
        self._effects.append(Observe(name, value, tuple(attributes.items())))

    def record_decision(self, kind: str, subject: str, text: str) -> None:
        """Record a decision in the journal, for operators to ask about."""
        at = self.timers.now
        self._journal.append(Decision(at, self.identity.name, kind, subject, text))

    def _take_effects(self) -> list[Any]:
        effects = self._effects
        self._effects = []
        return effects


def _default_tables() -> Tables:
    # Imported here: a host with tables of its own has no use for these.
    from mallowpass.core.tables import Tables

    return Tables()


_WOKEN = Woken()
