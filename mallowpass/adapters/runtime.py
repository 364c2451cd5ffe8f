"""Run one host's core on an asyncio loop: adapters deliver events, effects go out."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import secrets
import signal
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from mallowpass.adapters.callers import CallerServer
from mallowpass.adapters.endpoints import EndpointClients
from mallowpass.adapters.operators import OperatorServer
from mallowpass.adapters.peers import PeerLinks
from mallowpass.adapters.platform import PlatformChannel
from mallowpass.core import effects
from mallowpass.core.events import (
    CallerRequested,
    Event,
    OperatorRequested,
    ShutdownRequested,
    Woken,
)
from mallowpass.core.node import FailureDomain, HostIdentity, Node, System, Tuning
from mallowpass.logs import log_event
from mallowpass.metrics import Metrics
from mallowpass.report.history import History
from mallowpass.settings import HostSettings, OperatorKeys
from mallowpass.trace.format import TraceHeader
from mallowpass.trace.recorder import TraceRecorder
from mallowpass.trace.sinks import TraceSink

__all__ = ["HostRuntime", "identity_of", "tuning_of"]

COUNT_FLUSH = 0.5  # seconds that counts are added up before they reach the metrics

_LOGGER = logging.getLogger("mallowpass.host")
_WOKEN = Woken()
_NOTHING = Event()  # handled by nobody


class HostRuntime:
    """Own one node and the adapters around it.

    Everything runs on one loop, so an event is decided and carried out before
    the next one is looked at.
    """

    def __init__(
        self,
        settings: HostSettings,
        fleet_key: bytes,
        operator_keys: OperatorKeys,
        *,
        systems: Iterable[type[System]] | None = None,
        metrics: Metrics | None = None,
        seed: int | None = None,
        trace: TraceSink | None = None,
    ) -> None:
        self._settings = settings
        self._fleet_key = fleet_key
        self._systems = systems
        self._metrics = metrics or Metrics(settings.metrics, settings.host.name)
        self._history = History(time.time)
        self._seed = secrets.randbits(64) if seed is None else seed
        self._callers = CallerServer(self, settings.listen.callers, settings.limits)
        self._operators = OperatorServer(self, settings.listen.operators, operator_keys)
        self._peers = PeerLinks(self, settings.listen.peers, fleet_key)
        self._endpoints = EndpointClients(self, settings.limits.answer_size)
        self._platform = PlatformChannel(self, settings.platform.address)
        self._node: Node | None = None
        self._trace_sink = trace
        self._recorder: TraceRecorder | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._time: Callable[[], float] = time.monotonic
        self._handling = False
        self._waiting: deque[Event] = deque()
        self._alarm: asyncio.TimerHandle | None = None
        self._wake_at = float("inf")
        self._exited = asyncio.Event()
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._flush_handle: asyncio.TimerHandle | None = None
        self._carry_out = self._effect_table()

    # -- Properties ----------------------------------------------------------

    @property
    def node(self) -> Node:
        """Return the core; there is one from `start` on."""
        assert self._node is not None
        return self._node

    @property
    def metrics(self) -> Metrics:
        """Return the metrics, with all that was counted so far."""
        self._flush_counts()
        return self._metrics

    @property
    def history(self) -> History:
        """Return what was counted of the services, for the burn report."""
        self._flush_counts()
        return self._history

    @property
    def host(self) -> str:
        """Return this host's name."""
        return self._settings.host.name

    @property
    def callers_address(self) -> str:
        """Return where callers connect, with the port in use."""
        return str(self._callers.address)

    @property
    def operators_address(self) -> str:
        """Return where operators connect, with the port in use."""
        return str(self._operators.address)

    @property
    def peers_address(self) -> str:
        """Return where peers connect, with the port in use."""
        return str(self._peers.address)

    # -- Life ----------------------------------------------------------------

    async def start(self) -> None:
        """Listen, then start the core: its first effects may need every adapter."""
        self._loop = asyncio.get_running_loop()
        self._time = self._loop.time
        await self._peers.start()
        identity = identity_of(self._settings, self.peers_address, self._fleet_key)
        tuning = tuning_of(self._settings)
        now = self._time()
        systems = tuple(self._chosen_systems())
        self._node = Node(identity, tuning, self._seed, now)
        self._start_recording(now, systems)
        await self._platform.start()
        # The core is started before callers and operators may come in, so that no
        # request meets a system which has not subscribed yet.
        self._handling = True
        found = self._node.start(systems)
        self._record(now, None, found)
        self._perform(found)
        self._set_alarm()
        self._work_off()
        self._handling = False
        await self._operators.start()
        await self._callers.start()
        self.log(
            "info",
            "host-started",
            host=self.host,
            callers=self.callers_address,
            operators=self.operators_address,
            peers=self.peers_address,
        )

    def handle_signals(self) -> None:
        """Drain on SIGTERM and SIGINT; a second signal cuts nothing off."""
        assert self._loop is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._on_signal, number)

    def shut_down(self, limit: float | None = None) -> None:
        """Have the core drain and then exit; seconds for what is in flight."""
        drain = self._settings.limits.drain if limit is None else limit
        self.deliver(ShutdownRequested(drain))

    async def wait_exited(self) -> None:
        """Wait until the core has nothing in flight and wants to end."""
        await self._exited.wait()

    async def run(self) -> None:
        """Start, serve until told to stop and drained, then stop."""
        try:
            await self.start()
            self.handle_signals()
            await self.wait_exited()
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Close everything; answers that were given out are sent first."""
        await self._callers.stop()
        await self._operators.stop()
        await self._endpoints.stop()
        await self._peers.stop()
        await self._platform.stop()
        if self._alarm is not None:
            self._alarm.cancel()
        if self._recorder is not None:
            self._recorder.close()
        self._flush_counts()
        self._metrics.shutdown()
        self.log("info", "host-stopped", host=self.host)

    # -- For adapters --------------------------------------------------------

    def deliver(self, event: Event) -> None:
        """Have the core decide about an event and carry its effects out at once."""
        # An effect may make an adapter deliver in turn, such as a connection that
        # is refused on the spot: it waits, or effects would overtake each other.
        if self._handling:
            self._waiting.append(event)
            return
        self._handling = True
        try:
            self._handle(event)
            self._work_off()
        finally:
            self._handling = False

    def log(self, level: str, event: str, **fields: Any) -> None:
        """Log one event."""
        log_event(_LOGGER, level, event, **fields)

    def count(self, name: str, value: float = 1, **attributes: str) -> None:
        """Add to a counter."""
        self._add(name, value, tuple(attributes.items()))

    # -- Events --------------------------------------------------------------

    def _work_off(self) -> None:
        while self._waiting:
            self._handle(self._waiting.popleft())

    def _handle(self, event: Event) -> None:
        now = self._time()
        # A timer that fails must not take down the event that happened to run it,
        # nor the timers that are due with it.
        while self._wake_at <= now:
            self._wake_at = float("inf")
            self._handle_safely(now, _WOKEN)
            self._set_alarm()
        if event is not _WOKEN:
            self._handle_safely(now, event)
            self._set_alarm()

    def _handle_safely(self, now: float, event: Event) -> None:
        try:
            found = self.node.handle(now, event)
        except Exception:
            found = self._after_failure(now, event)
        self._record(now, event, found)
        self._perform(found)

    def _after_failure(self, now: float, event: Event) -> list[effects.Effect]:
        # One bad event must not end the process and every other caller with it.
        kind = type(event).__name__
        _LOGGER.exception("core-failed", extra={"event_fields": {"on": kind}})
        self.count("core_failures", event=kind)
        if isinstance(event, CallerRequested):
            self._callers.fail(event.stream, event.request.request_id)
        elif isinstance(event, OperatorRequested):
            self._operators.fail(event.call)
        return self._effects_left(now)

    def _effects_left(self, now: float) -> list[effects.Effect]:
        try:
            return self.node.handle(now, _NOTHING)
        except Exception:
            _LOGGER.exception("core-failed", extra={"event_fields": {"on": "timer"}})
            return []

    def _on_signal(self, number: int) -> None:
        name = signal.Signals(number).name
        self.log("info", "signal", name=name)
        self.shut_down()

    # -- Trace ---------------------------------------------------------------

    def _start_recording(self, now: float, systems: tuple[type[System], ...]) -> None:
        if self._trace_sink is None:
            return
        node = self.node
        header = TraceHeader.of_start(
            node.identity, node.tuning, self._seed, now, systems
        )
        self._recorder = TraceRecorder(
            self._trace_sink, header, on_stop=self._on_trace_stopped
        )

    def _on_trace_stopped(self, reason: str) -> None:
        self.log("info", "trace-stopped", reason=reason)

    def _record(
        self, now: float, event: Event | None, found: list[effects.Effect]
    ) -> None:
        if self._recorder is not None:
            self._recorder.record(now, event, found)

    # -- Timers --------------------------------------------------------------

    def _set_alarm(self) -> None:
        due = self.node.next_wake
        if due is None:
            return
        # An alarm that is too early only wakes the core for nothing; cancelling
        # and setting it with each event would cost more than that.
        if due >= self._wake_at:
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._wake_at = due
        assert self._loop is not None
        self._alarm = self._loop.call_at(due, self._on_alarm)

    def _on_alarm(self) -> None:
        self._alarm = None
        # The loop may ring a clock tick early; then the alarm is set once more.
        self._wake_at = float("-inf")
        self.deliver(_WOKEN)

    # -- Effects -------------------------------------------------------------

    def _effect_table(self) -> dict[type, Callable[[Any], None]]:
        # A dict by exact type takes less than singledispatch, and this runs several
        # times for each statement.
        return {
            effects.AnswerCaller: self._callers.answer,
            effects.CloseCaller: self._callers.close,
            effects.OpenConnection: self._endpoints.open,
            effects.SendEndpoint: self._endpoints.send,
            effects.CloseConnection: self._endpoints.close,
            effects.OpenControl: self._endpoints.open_control,
            effects.SendControl: self._endpoints.send_control,
            effects.CloseControl: self._endpoints.close_control,
            effects.ConnectPeer: self._peers.connect,
            effects.SendPeer: self._peers.send,
            effects.ClosePeer: self._peers.close,
            effects.CallPlatform: self._platform.call,
            effects.AnswerOperator: self._operators.answer,
            effects.Log: self._log_effect,
            effects.Count: self._count_effect,
            effects.Observe: self._observe_effect,
            effects.Exit: self._exit_effect,
        }

    def _perform(self, found: list[effects.Effect]) -> None:
        table = self._carry_out
        for effect in found:
            try:
                table[type(effect)](effect)
            except Exception:
                fields = {"effect": type(effect).__name__}
                _LOGGER.exception("effect-failed", extra={"event_fields": fields})

    def _log_effect(self, effect: effects.Log) -> None:
        log_event(_LOGGER, effect.level, effect.event, **dict(effect.fields))

    def _count_effect(self, effect: effects.Count) -> None:
        self._add(effect.name, effect.value, effect.attributes)

    def _observe_effect(self, effect: effects.Observe) -> None:
        self._metrics.observe(effect.name, effect.value, effect.attributes)
        self._history.note_observe(effect.name, effect.value, effect.attributes)

    def _exit_effect(self, _effect: effects.Exit) -> None:
        self._exited.set()

    def _add(
        self, name: str, value: float, attributes: tuple[tuple[str, str], ...]
    ) -> None:
        key = (name, attributes)
        self._counts[key] = self._counts.get(key, 0) + value
        if self._flush_handle is None and self._loop is not None:
            flush = self._flush_counts
            self._flush_handle = self._loop.call_later(COUNT_FLUSH, flush)

    def _flush_counts(self) -> None:
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        counts, self._counts = self._counts, {}
        for (name, attributes), value in counts.items():
            self._metrics.count(name, value, attributes)
            self._history.note_count(name, value, attributes)

    def _chosen_systems(self) -> Iterable[type[System]]:
        if self._systems is not None:
            return self._systems
        from mallowpass.core.systems.registry import ALL_SYSTEMS

        return ALL_SYSTEMS


def identity_of(
    settings: HostSettings, peers_address: str, fleet_key: bytes
) -> HostIdentity:
    """Return what the core knows of its own host."""
    domains = tuple(
        FailureDomain(domain.name, domain.region, domain.hosts)
        for domain in settings.fleet.failure_domains
    )
    return HostIdentity(
        name=settings.host.name,
        failure_domain=settings.host.failure_domain,
        seat=settings.host.seat,
        peers_address=peers_address,
        # A host that comes back must outdo what peers remember of it; it keeps
        # nothing itself, so the wall clock is all there is to count with.
        incarnation=time.time_ns() // 1_000_000,
        domains=domains,
        seeds=tuple(str(seed) for seed in settings.fleet.seeds),
        token_key=_token_key(fleet_key),
    )


def _token_key(fleet_key: bytes) -> bytes:
    # A key of its own: what callers hold must prove nothing among peers.
    return hashlib.blake2b(fleet_key, digest_size=32, person=b"session-token").digest()


def tuning_of(settings: HostSettings) -> Tuning:
    """Return the core's times and limits as the settings give them."""
    timing, limits, platform = settings.timing, settings.limits, settings.platform
    return Tuning(
        probe_interval=timing.probe_interval,
        detection=timing.detection,
        promise_timeout=timing.promise_timeout,
        heartbeat=timing.heartbeat,
        suspicion=timing.suspicion,
        configuration_poll=timing.configuration_poll,
        retry_backoff_min=timing.retry_backoff_min,
        retry_backoff_max=timing.retry_backoff_max,
        transaction_idle=limits.transaction_idle,
        sessions=limits.sessions,
        requests_in_flight=limits.requests_in_flight,
        drain_limit=limits.drain,
        platform_timeout=platform.call_timeout,
        platform_reads_per_second=platform.reads_per_second,
        platform_writes_per_second=platform.writes_per_second,
    )
