"""Drive the core of one host: pass events to it and carry out its effects."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import signal
import time
import traceback
from functools import singledispatchmethod

from mallowpass.core.messages import Count, Effect, Event
from mallowpass.core.node import FailureDomain, HostIdentity, Node, Tuning
from mallowpass.core.proxy import effects
from mallowpass.core.proxy.events import (
    PrimaryAnswered,
    PromotionAnswered,
    ProxyEvent,
    ShutdownRequested,
    StoreAnswered,
)
from mallowpass.core.proxy.registry import SYSTEMS
from mallowpass.core.proxy.storage import StoreReply, StoreStatus
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.platform.allowances import AllowanceClients, AllowanceServer
from mallowpass.platform.callers import CallerServer
from mallowpass.platform.endpoints import EndpointConnections
from mallowpass.platform.http import HttpServer, Request, Response
from mallowpass.platform.links import LinkServer
from mallowpass.platform.logs import LogWriter
from mallowpass.platform.metrics import Metrics
from mallowpass.platform.promotions import PromotionClient
from mallowpass.platform.relays import FeedServer, RelayClients
from mallowpass.platform.settings import (
    Address,
    HostSettings,
    SettingsError,
    load_settings,
)
from mallowpass.platform.store import StoreClient
from mallowpass.versions import program_version

__all__ = ["EXCEPTION_ESCAPED", "HostRuntime", "host_clock"]

# Log event and counter of an uncaught exception.
EXCEPTION_ESCAPED = "exception_escaped"

READY_PATH = "/v1/ready"
# Must match `metrics` in deploy/system.toml; a test compares the two.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# Settings that take effect on reload. All others, such as sockets and the host's name,
# take effect at the next start.
_RELOADABLE = ("grace",)


def host_clock() -> float:
    """Return the time, in seconds, of a clock that also runs during a system suspend.

    CLOCK_MONOTONIC stops during a suspend. Measured by it, a floor from before the
    suspend would look fresh, and reads would be staler than their route accepts.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HostRuntime:
    """Own the sockets and the core of one host."""

    __slots__ = (
        "_allowance_clients",
        "_allowance_server",
        "_caller_server",
        "_early_events",
        "_endpoints",
        "_feed_server",
        "_is_closed",
        "_is_ready",
        "_link_server",
        "_log",
        "_metrics",
        "_metrics_server",
        "_node",
        "_promotion_client",
        "_ready_server",
        "_relay_clients",
        "_settings",
        "_settings_path",
        "_stopped",
        "_store_client",
        "_tasks",
        "_wake_timer",
    )

    def __init__(
        self,
        settings: HostSettings,
        log: LogWriter,
        path: str | os.PathLike[str] | None = None,
    ) -> None:
        self._settings = settings
        self._settings_path = path
        self._log = log
        self._metrics = Metrics()
        self._is_ready = False
        self._is_closed = False
        # Events that came before the core has started; None: it has.
        self._early_events: list[Event | ProxyEvent] | None = []
        self._wake_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()
        seed = int.from_bytes(os.urandom(8), "big")
        now = host_clock()
        identity = _make_identity(settings, seed)
        # A platform that checks fencing tokens also demotes the old primary at the
        # moment of a promotion. Without these checks the old primary continues until
        # it learns of its successor.
        tables = ProxyTables(
            settings.first_start,
            promotion_fences_primary=settings.fences,
            settle_time=settings.settle_time,
            # Without a feeds port, no host follows the store through another host.
            apply_time=0.0 if settings.feeds is None else settings.apply_time,
            key_lapse=settings.key_lapse,
            rate_bounds=settings.rate_bounds,
            overload_control=settings.overload_control,
            unseen_primary_wait=settings.unseen_primary_wait,
            short_target_wait=settings.short_target_wait,
            missing_member_wait=settings.missing_member_wait,
            level_member_wait=settings.level_member_wait,
            version=program_version(),
        )
        self._node = Node(identity, Tuning(), seed, now, tables)
        self._node.on_error = self._on_error
        self._caller_server = CallerServer(self.handle)
        self._link_server = LinkServer(self.handle)
        self._endpoints = EndpointConnections(settings.name, self.handle)
        self._store_client = StoreClient(settings.store)
        self._feed_server = FeedServer(self.handle)
        self._relay_clients = RelayClients(settings.feeds)
        self._allowance_server = AllowanceServer(self.handle)
        self._allowance_clients = AllowanceClients(settings.limits, self.handle)
        self._promotion_client = None
        if settings.orders is not None:
            self._promotion_client = PromotionClient(settings.orders, settings.name)
        self._ready_server = HttpServer({READY_PATH: self._answer_ready})
        self._metrics_server = HttpServer({METRICS_PATH: self._answer_metrics})

    async def run(self) -> None:
        """Serve until a signal stops this host."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopped.wait()
        self._ignore_further_events()
        self._stop_serving()

    def _ignore_further_events(self) -> None:
        """Ignore all further events, as the core has stopped.

        The event loop cancels open calls as it ends. A cancelled call may be reported
        as unanswered. If the core received that report, the core would start another
        call, which the event loop no longer cancels and which fails when the loop
        closes.
        """
        self._is_closed = True
        if self._wake_timer is not None:
            self._wake_timer.cancel()

    def _stop_serving(self) -> None:
        """Accept nothing more from other hosts and probes, as the event loop ends.

        The event loop cancels the tasks that it has as it ends, and runs meanwhile. The
        task of a connection or request that arrives then would never end.
        """
        self._link_server.stop_accepting()
        self._allowance_server.stop_accepting()
        self._feed_server.close_all()
        self._ready_server.close_all()
        self._metrics_server.close_all()

    async def start(self) -> None:
        """Listen on all ports, then start the core."""
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        await self._ready_server.start(self._settings.ready)
        await self._metrics_server.start(
            Address(self._settings.ready.host, METRICS_PORT)
        )
        if self._settings.peers is not None:
            await self._link_server.start(self._settings.peers)
        if self._settings.feeds is not None:
            await self._feed_server.start(self._settings.feeds)
        if self._settings.limits is not None:
            await self._allowance_server.start(self._settings.limits)
        await self._caller_server.start(self._settings.callers)
        self._log.write(
            "info",
            "started",
            (
                ("host", self._settings.name),
                ("domain", self._settings.failure_domain),
                ("callers", self._settings.callers),
                ("version", self._node.tables.version),
            ),
        )
        self._start_core()

    def _start_core(self) -> None:
        """Start the core, and pass it what came while the servers were started.

        A host that was asked to stop meanwhile has nothing to finish, and ends.
        """
        early, self._early_events = self._early_events or [], None
        if any(isinstance(event, ShutdownRequested) for event in early):
            self._log.write("info", "stopped", (("why", "it had not started yet"),))
            self._carry_out([effects.Exit()])
            return
        self._carry_out(self._node.start(SYSTEMS))
        for event in early:
            self.handle(event)

    @property
    def ready(self) -> bool:
        """Return whether this host is ready for new connections from callers."""
        return self._is_ready

    def stop(self) -> None:
        """Begin a graceful shutdown: work in flight is finished first."""
        self.handle(ShutdownRequested(self._settings.grace))

    def abort(self) -> None:
        """Stop at once, as when the process is killed; work in flight is lost."""
        self._is_closed = True
        self._ready_server.close()
        self._metrics_server.close()
        self._feed_server.close()
        self._caller_server.abort()
        self._link_server.abort()
        self._allowance_server.abort()
        self._allowance_clients.abort()
        for task in self._tasks:
            task.cancel()

    # -- Driving the core ----------------------------------------------------

    def handle(self, event: Event | ProxyEvent) -> None:
        """Pass an event to the core, and carry out the resulting effects.

        Before the core has started, the event is kept until then.
        """
        if self._is_closed:
            return
        if self._early_events is not None:
            self._early_events.append(event)
            return
        self._carry_out(self._node.handle(host_clock(), event))

    def _wake(self) -> None:
        self._wake_timer = None
        if self._is_closed:
            return
        self._carry_out(self._node.wake(host_clock()))

    def _carry_out(self, pending: list[Effect | effects.ProxyEffect]) -> None:
        if self._is_closed:
            return
        for effect in pending:
            try:
                self._apply(effect)
            except Exception as error:
                # Continue: the other effects belong to other connections.
                self._on_error(error, type(effect).__name__)
        next_wake = self._node.next_wake
        if self._wake_timer is not None:
            self._wake_timer.cancel()
            self._wake_timer = None
        if next_wake is not None:
            delay = max(0.0, next_wake - host_clock())
            self._wake_timer = asyncio.get_running_loop().call_later(delay, self._wake)

    def _on_error(self, error: BaseException, during: str = "") -> None:
        """Log and count an uncaught exception, which is reported nowhere else."""
        frames = traceback.extract_tb(error.__traceback__)
        where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        self._metrics.count(
            Count(EXCEPTION_ESCAPED, 1, (("kind", type(error).__name__),))
        )
        self._log.write(
            "error",
            EXCEPTION_ESCAPED,
            (
                ("kind", type(error).__name__),
                ("message", error),
                ("during", during),
                ("where", where),
                ("trace", " < ".join(frame.name for frame in reversed(frames))),
            ),
        )

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an error that asyncio caught in a socket, timer or task callback."""
        error = context.get("exception")
        if not isinstance(error, BaseException):
            error = RuntimeError(str(context.get("message", "unknown")))
        self._on_error(error, str(context.get("message", "")))

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @singledispatchmethod
    def _apply(self, effect: Effect | effects.ProxyEffect) -> None:
        raise TypeError(f"no handler for effect {type(effect).__name__}")

    @_apply.register
    def _(self, effect: effects.AcceptSession) -> None:
        self._caller_server.accept(effect.stream)

    @_apply.register
    def _(self, effect: effects.RefuseSession) -> None:
        self._caller_server.refuse(effect.stream, effect.code, effect.message)

    @_apply.register
    def _(self, effect: effects.AnswerStatement) -> None:
        self._caller_server.answer(effect.stream, effect.answer)

    @_apply.register
    def _(self, effect: effects.CloseSession) -> None:
        self._caller_server.close(effect.stream)

    @_apply.register
    def _(self, effect: effects.StopAccepting) -> None:
        self._caller_server.stop_accepting()

    @_apply.register
    def _(self, effect: effects.AcceptLink) -> None:
        self._link_server.accept(effect.link, effect.position, effect.floor)

    @_apply.register
    def _(self, effect: effects.RefuseLink) -> None:
        self._link_server.refuse(effect.link, effect.code, effect.message)

    @_apply.register
    def _(self, effect: effects.AnswerLink) -> None:
        self._link_server.answer(effect.link, effect.reply)

    @_apply.register
    def _(self, effect: effects.CloseLink) -> None:
        self._link_server.close(effect.link)

    @_apply.register
    def _(self, effect: effects.OpenConnection) -> None:
        self._endpoints.open(effect)

    @_apply.register
    def _(self, effect: effects.SendCalls) -> None:
        self._endpoints.send(effect)

    @_apply.register
    def _(self, effect: effects.CloseConnection) -> None:
        self._endpoints.close(effect)

    @_apply.register
    def _(self, effect: effects.CallStore) -> None:
        self._spawn(self._call_store(effect))

    async def _call_store(self, effect: effects.CallStore) -> None:
        try:
            client = self._store_client
            if effect.relay:
                client = self._relay_clients.client(effect.relay)
            reply = await client.call(effect.request, effect.timeout)
        except Exception as error:
            # The core waits for the event of a call, and does not repeat it before.
            self._on_error(error, type(effect).__name__)
            reply = StoreReply(StoreStatus.UNKNOWN, message=type(error).__name__)
        self.handle(StoreAnswered(effect.call, reply))

    @_apply.register
    def _(self, effect: effects.AnswerFeed) -> None:
        self._feed_server.answer(effect.feed, effect.reply)

    @_apply.register
    def _(self, effect: effects.AskAllowance) -> None:
        self._allowance_clients.ask(effect)

    @_apply.register
    def _(self, effect: effects.AnswerAllowance) -> None:
        self._allowance_server.answer(effect)

    @_apply.register
    def _(self, effect: effects.OrderPromotion) -> None:
        self._spawn(self._order_promotion(effect))

    async def _order_promotion(self, effect: effects.OrderPromotion) -> None:
        if self._promotion_client is None:
            message = "no [cloud] in the settings: promotions can't be ordered"
            self.handle(PromotionAnswered(effect.call, False, message=message))
            return
        try:
            answered = await self._promotion_client.promote(effect)
        except Exception as error:
            self._on_error(error, type(effect).__name__)
            why = type(error).__name__
            answered = PromotionAnswered(effect.call, None, message=why)
        self.handle(answered)

    @_apply.register
    def _(self, effect: effects.AskPrimary) -> None:
        self._spawn(self._ask_primary(effect))

    async def _ask_primary(self, effect: effects.AskPrimary) -> None:
        answered = PrimaryAnswered(effect.call, None)
        if self._promotion_client is not None:
            try:
                answered = await self._promotion_client.ask(effect)
            except Exception as error:
                self._on_error(error, type(effect).__name__)
        self.handle(answered)

    @_apply.register
    def _(self, effect: effects.SetReady) -> None:
        self._is_ready = effect.ready

    @_apply.register
    def _(self, effect: effects.Exit) -> None:
        self._caller_server.close_all()
        self._stopped.set()

    @_apply.register
    def _(self, effect: effects.Log) -> None:
        self._log.write(effect.level, effect.event, effect.fields)

    @_apply.register
    def _(self, effect: effects.Count) -> None:
        self._metrics.count(effect)

    @_apply.register
    def _(self, effect: effects.Observe) -> None:
        self._metrics.observe(effect)

    # -- Signals and HTTP ----------------------------------------------------

    def reload(self) -> None:
        """Read the settings file again, and apply the reloadable settings.

        Changed settings that need a restart are only logged. An invalid file is
        refused: the host keeps its current settings.
        """
        if self._settings_path is None:
            return
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as error:
            self._log.write("error", "reload_refused", (("why", error),))
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        at_next_start = [name for name in changed if name not in _RELOADABLE]
        self._settings = dataclasses.replace(
            self._settings, **{name: getattr(settings, name) for name in _RELOADABLE}
        )
        self._log.write(
            "info",
            "reloaded",
            (
                ("changed", ",".join(changed)),
                ("at_next_start", ",".join(at_next_start)),
            ),
        )

    def _answer_ready(self, request: Request) -> Response:
        return Response(200 if self._is_ready else 503)

    def _answer_metrics(self, request: Request) -> Response:
        return Response(200, self._metrics.render(self._node.tables))


def _make_identity(settings: HostSettings, incarnation: int) -> HostIdentity:
    domains = tuple(
        FailureDomain(name, region, 0) for name, region in settings.regions.items()
    )
    return HostIdentity(
        name=settings.name,
        failure_domain=settings.failure_domain,
        seat=0,
        peers_address="" if settings.peers is None else str(settings.peers),
        capacity=settings.capacity,
        incarnation=incarnation,
        domains=domains,
    )
