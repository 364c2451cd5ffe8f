"""The core of one host: takes events, returns effects.

Adapters drive a node: they call `handle` for each event, and `wake` at the time
`next_wake`. Both return the effects to carry out, in order. The same class runs
with real sockets, in tests with virtual time, and in the replay of a trace.
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

JOURNAL_LENGTH = 4096  # decisions
_DOUBLINGS_MAX = 16  # of a backoff delay; all maxima in use need fewer

_S = TypeVar("_S", bound="System")


@record
class FailureDomain:
    """A failure domain (zone), with seats for `hosts` hosts.

    A host's seat is its number within its failure domain.
    """

    name: str
    region: str
    hosts: int


@record
class HostIdentity:
    """The identity of this host.

    A host that replaces another one takes over its seat.
    """

    name: str
    failure_domain: str
    seat: int
    peers_address: str
    incarnation: int
    domains: tuple[FailureDomain, ...]
    seeds: tuple[str, ...] = ()
    token_key: bytes = b""
    capacity: float = 1.0  # processor cores, for shares of the work

    @property
    def region(self) -> str:
        """Return the region of this host's failure domain."""
        return self.region_of(self.failure_domain)

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, empty if the domain is unknown."""
        for domain in self.domains:
            if domain.name == failure_domain:
                return domain.region
        return ""


@record
class Tuning:
    """The time-outs, intervals and limits of the core; times in seconds."""

    # Health checks of endpoints, and failover.
    probe_interval: float = 0.1
    report_gap: float = 0.01  # least time between two reports of a member
    detection: float = 0.4  # a primary that sends nothing for this long is suspected
    promise_timeout: float = 0.3  # of the control calls of a failover
    # The steward of a group is the host that tries first to promote a member. The
    # other hosts follow in turn, at this interval.
    steward_stagger: float = 0.15
    # If the last promotion is more recent than this, a primary must be
    # unresponsive for longer before it is suspected: otherwise a group that is slow
    # after each promotion would be promoted again and again.
    promotion_hold_down: float = 5.0
    # Connections.
    connect_timeout: float = 2.0
    connection_time_to_live: float = 10.0
    connection_idle: float = 60.0
    silence: float = 3.0  # without an answer for this long, a connection is closed
    loan: float = 5.0  # how long connections are lent to another host
    # Requests.
    default_deadline: float = 10.0
    retry_backoff_min: float = 0.01
    retry_backoff_max: float = 0.5
    retry_share: float = 0.2  # retries that one success adds to the retry budget
    replica_wait: float = 0.05  # longest wait of a read until a replica has its floor
    transaction_idle: float = 10.0
    sessions: int = 20_000
    requests_in_flight: int = 10_000
    # Membership, configuration, platform.
    heartbeat: float = 0.5  # interval
    suspicion: float = 1.5  # a host that sends nothing for this long is suspected
    death: float = 5.0  # a host that sends nothing for this long counts as dead
    peers_in_domain: int = 4  # links to hosts of the same failure domain
    peers_elsewhere: int = 2  # links to hosts of other failure domains
    configuration_poll: float = 1.0  # interval
    host_list_poll: float = 2.0  # interval
    platform_timeout: float = 1.0
    platform_reads_per_second: float = 20.0
    platform_writes_per_second: float = 5.0
    drain_limit: float = 20.0


class System:
    """Base class of systems: each makes some of the decisions of a node.

    A subclass that sets `replaces` is started in place of that class, and
    `Node.system` returns it for that class.
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
        """Subscribe to events and timers.

        Called once, after all systems of the node have been created.
        """

    def stop(self) -> None:
        """Release all resources; called when the host shuts down."""


class Node:
    """A host's tables, timers and systems."""

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
        # Called with an exception that a handler raised; None: the node re-raises it.
        self.on_error: Callable[[Exception], None] | None = None
        self._handlers: dict[type, list[Callable[[Any], None]]] = {}
        self._journal: deque[Decision] = deque(maxlen=JOURNAL_LENGTH)
        self._systems: dict[type[System], System] = {}

    @property
    def next_wake(self) -> float | None:
        """Return the time at which to call `wake`, None if no timer is set."""
        return self.timers.next_due

    @property
    def journal(self) -> deque[Decision]:
        """Return the most recent decisions, oldest first."""
        return self._journal

    @property
    def systems(self) -> tuple[System, ...]:
        """Return all systems, in the order in which they were started."""
        return tuple(self._systems.values())

    # -- Driving -------------------------------------------------------------

    def start(self, systems: Iterable[type[System]]) -> list[Effect]:
        """Create the systems, then start them; return the effects."""
        for kind in systems:
            self._systems[kind.replaces or kind] = kind(self)
        for system in self._systems.values():
            system.start()
        return self._take_effects()

    def handle(self, now: float, event: Any) -> list[Any]:
        """Run due timers, then the handlers of an event; return the effects."""
        self.timers.advance(now)
        self.guard(self.timers.run_due)
        for handler in self._handlers.get(type(event), ()):
            self.guard(handler, event)
        return self._take_effects()

    def wake(self, now: float) -> list[Effect]:
        """Run due timers; return the effects."""
        return self.handle(now, _WOKEN)

    # -- For systems ---------------------------------------------------------

    def system(self, kind: type[_S]) -> _S:
        """Return the node's system of a class, or the system that replaces it."""
        return self._systems[kind]  # type: ignore[return-value]

    def subscribe(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Have a handler called with each event or signal of exactly this type."""
        self._handlers.setdefault(kind, []).append(handler)

    def publish(self, signal: Signal) -> None:
        """Call the handlers of a signal's type before returning.

        A handler that raises ends neither the publisher's work nor other handlers.
        """
        for handler in self._handlers.get(type(signal), ()):
            self.guard(handler, signal)

    def guard(self, callback: Callable[..., Any], *arguments: Any) -> bool:
        """Call a function, pass an exception to `on_error`; return whether it was none.

        An exception raised into the event loop would close the connection that the
        event came from, and the effects of the other handlers would be lost. If a
        timer raises, the timers due after it run at the next event.
        """
        try:
            callback(*arguments)
        except Exception as error:
            if self.on_error is None:
                raise
            self.on_error(error)
            return False
        return True

    def emit(self, effect: Any) -> None:
        """Add an effect to those of the event being handled."""
        self._effects.append(effect)

    def next_number(self) -> int:
        """Return a number that this node has not returned before."""
        return next(self._numbers)

    def backoff(self, failures: int, minimum: float, maximum: float) -> float:
        """Return a delay in seconds: exponential backoff with jitter.

        Without the jitter, attempts that failed together would be repeated together.
        """
        delay = min(maximum, minimum * 2.0 ** min(failures, _DOUBLINGS_MAX))
        return self.random.uniform(delay / 2, delay)

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
        """Record a decision in the journal, which `explain` reads."""
        at = self.timers.now
        self._journal.append(Decision(at, self.identity.name, kind, subject, text))

    def _take_effects(self) -> list[Any]:
        effects = self._effects
        self._effects = []
        return effects


def _default_tables() -> Tables:
    # Imported here, as a host with other tables does not need this module.
    from mallowpass.core.tables import Tables

    return Tables()


_WOKEN = Woken()
