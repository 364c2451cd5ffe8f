"""Drive one host's core: events in, effects carried out."""

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
    PromotionAnswered,
    ProxyEvent,
    ShutdownRequested,
    StoreAnswered,
)
from mallowpass.core.proxy.registry import SYSTEMS
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.platform.allowances import AllowanceClients, AllowanceServer
from mallowpass.platform.callers import CallerServer
from mallowpass.platform.endpoints import EndpointConnections
from mallowpass.platform.http import HttpServer, Request, Response
from mallowpass.platform.links import LinkServer
from mallowpass.platform.logs import LogWriter
from mallowpass.platform.metrics import Metrics
from mallowpass.platform.orders import OrderClient
from mallowpass.platform.relays import FeedServer, RelayClients
from mallowpass.platform.settings import (
    Address,
    HostSettings,
    SettingsError,
    load_settings,
)
from mallowpass.platform.store import StoreClient

__all__ = ["EXCEPTION_ESCAPED", "HostRuntime", "host_clock"]

# The event, and the counter, of an exception that nobody was there to catch.
EXCEPTION_ESCAPED = "exception_escaped"

READY_PATH = "/v1/ready"
# Where deploy/system.toml says that metrics are; a test holds the two together.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# Settings that a reload puts in force at once; the others name sockets, or who this is.
_CHANGE_WHILE_RUNNING = ("grace",)


def host_clock() -> float:
    """Return seconds of a clock that goes on while the machine is suspended.

    The steady clock stands still meanwhile. By it a floor from before a suspension
    would look fresh, and reads would be served that are older than accepted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HostRuntime:
    """Own the sockets of one host, and its core."""

    __slots__ = (
        "_aborted",
        "_callers",
        "_endpoints",
        "_feeds",
        "_http",
        "_keepers",
        "_limits",
        "_links",
        "_log",
        "_metrics",
        "_metrics_http",
        "_node",
        "_orders",
        "_path",
        "_ready",
        "_relays",
        "_settings",
        "_stopped",
        "_store",
        "_tasks",
        "_timer",
    )

    def __init__(
        self,
        settings: HostSettings,
        log: LogWriter,
        path: str | os.PathLike[str] | None = None,
    ) -> None:
        self._settings = settings
        self._path = path
        self._log = log
        self._metrics = Metrics()
        self._ready = False
        self._aborted = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()
        seed = int.from_bytes(os.urandom(8), "big")
        now = host_clock()
        identity = _identity(settings, seed)
        # A platform that checks fences also takes the lead from a primary at once; one
        # that does not has it go on until it hears of its successor.
        tables = ProxyTables(
            settings.first_start,
            promotion_fences_primary=settings.fences,
            settle_time=settings.settle_time,
            # Without a port for it nobody can follow the store by way of another.
            apply_time=0.0 if settings.feeds is None else settings.apply_time,
            key_lapse=settings.key_lapse,
            rate_bounds=settings.rate_bounds,
        )
        self._node = Node(identity, Tuning(), seed, now, tables)
        self._node.on_error = self._on_error
        self._callers = CallerServer(self.handle)
        self._links = LinkServer(self.handle)
        self._endpoints = EndpointConnections(settings.name, self.handle)
        self._store = StoreClient(settings.store)
        self._feeds = FeedServer(self.handle)
        self._relays = RelayClients(settings.feeds)
        self._limits = AllowanceServer(self.handle)
        self._keepers = AllowanceClients(settings.limits, self.handle)
        self._orders = None
        if settings.orders is not None:
            self._orders = OrderClient(settings.orders, settings.name)
        self._http = HttpServer({READY_PATH: self._answer_ready})
        self._metrics_http = HttpServer({METRICS_PATH: self._answer_metrics})

    async def run(self) -> None:
        """Serve until a signal says to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopped.wait()
        self._take_no_more()

    def _take_no_more(self) -> None:
        """Leave whatever still comes: the core has stopped.

        Calls are cancelled as the event loop ends. One of them may end as a call that
        got no answer; told of it, the core would begin another call, which nobody
        cancels, and which fails as the loop is closed.
        """
        self._aborted = True
        if self._timer is not None:
            self._timer.cancel()

    async def start(self) -> None:
        """Listen, and start the core."""
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        await self._http.start(self._settings.ready)
        await self._metrics_http.start(Address(self._settings.ready.host, METRICS_PORT))
        if self._settings.peers is not None:
            await self._links.start(self._settings.peers)
        if self._settings.feeds is not None:
            await self._feeds.start(self._settings.feeds)
        if self._settings.limits is not None:
            await self._limits.start(self._settings.limits)
        await self._callers.start(self._settings.callers)
        self._log.write(
            "info",
            "started",
            (
                ("host", self._settings.name),
                ("domain", self._settings.failure_domain),
                ("callers", self._settings.callers),
            ),
        )
        self._carry_out(self._node.start(SYSTEMS))

    @property
    def ready(self) -> bool:
        """Tell whether this host wants new connections of callers."""
        return self._ready

    def stop(self) -> None:
        """Begin to stop: what is in flight is finished first."""
        self.handle(ShutdownRequested(self._settings.grace))

    def abort(self) -> None:
        """End at once, as when the process is killed."""
        self._aborted = True
        self._http.close()
        self._metrics_http.close()
        self._feeds.close()
        self._callers.abort()
        self._links.abort()
        self._limits.abort()
        self._keepers.abort()
        for task in self._tasks:
            task.cancel()

    # -- Driving the core ----------------------------------------------------

    def handle(self, event: Event | ProxyEvent) -> None:
        """Pass an event to the core, and carry out what follows from it."""
        if self._aborted:
            return
        self._carry_out(self._node.handle(host_clock(), event))

    def _wake(self) -> None:
        self._timer = None
        if self._aborted:
            return
        self._carry_out(self._node.wake(host_clock()))

    def _carry_out(self, todo: list[Effect | effects.ProxyEffect]) -> None:
        if self._aborted:
            return
        for effect in todo:
            try:
                self._apply(effect)
            except Exception as error:
                # The others are not to blame: they belong to other connections.
                self._on_error(error, type(effect).__name__)
        due = self._node.next_wake
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is not None:
            delay = max(0.0, due - host_clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._wake)

    def _on_error(self, error: BaseException, during: str = "") -> None:
        """Log an exception that escaped, and where: it shows nowhere else."""
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
        """Log what asyncio found in a socket's, a timer's or a task's handler."""
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
        raise TypeError(f"no adapter for {type(effect).__name__}")

    @_apply.register
    def _(self, effect: effects.AcceptSession) -> None:
        self._callers.accept(effect.stream)

    @_apply.register
    def _(self, effect: effects.RefuseSession) -> None:
        self._callers.refuse(effect.stream, effect.code, effect.message)

    @_apply.register
    def _(self, effect: effects.AnswerStatement) -> None:
        self._callers.answer(effect.stream, effect.answer)

    @_apply.register
    def _(self, effect: effects.CloseSession) -> None:
        self._callers.close(effect.stream)

    @_apply.register
    def _(self, effect: effects.StopAccepting) -> None:
        self._callers.stop_accepting()

    @_apply.register
    def _(self, effect: effects.AcceptLink) -> None:
        self._links.accept(effect.link, effect.position, effect.floor)

    @_apply.register
    def _(self, effect: effects.RefuseLink) -> None:
        self._links.refuse(effect.link, effect.code, effect.message)

    @_apply.register
    def _(self, effect: effects.AnswerLink) -> None:
        self._links.answer(effect.link, effect.reply)

    @_apply.register
    def _(self, effect: effects.CloseLink) -> None:
        self._links.close(effect.link)

    @_apply.register
    def _(self, effect: effects.OpenConnection) -> None:
        self._endpoints.open(effect)

    @_apply.register
    def _(self, effect: effects.SendCalls) -> None:
        self._endpoints.send(effect)

    @_apply.register
    def _(self, effect: effects.CloseConnection) -> None:
        self._endpoints.close(effect.connection)

    @_apply.register
    def _(self, effect: effects.CallStore) -> None:
        self._spawn(self._call_store(effect))

    async def _call_store(self, effect: effects.CallStore) -> None:
        client = self._store
        if effect.relay:
            client = self._relays.client(effect.relay)
        reply = await client.call(effect.request, effect.timeout)
        self.handle(StoreAnswered(effect.call, reply))

    @_apply.register
    def _(self, effect: effects.AnswerFeed) -> None:
        self._feeds.answer(effect.feed, effect.reply)

    @_apply.register
    def _(self, effect: effects.AskAllowance) -> None:
        self._keepers.ask(effect)

    @_apply.register
    def _(self, effect: effects.AnswerAllowance) -> None:
        self._limits.answer(effect)

    @_apply.register
    def _(self, effect: effects.OrderPromotion) -> None:
        self._spawn(self._order(effect))

    async def _order(self, effect: effects.OrderPromotion) -> None:
        if self._orders is None:
            message = "the settings name nobody who takes orders"
            self.handle(PromotionAnswered(effect.call, False, message=message))
            return
        self.handle(await self._orders.promote(effect))

    @_apply.register
    def _(self, effect: effects.SetReady) -> None:
        self._ready = effect.ready

    @_apply.register
    def _(self, effect: effects.Exit) -> None:
        self._callers.close_all()
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
        """Read the settings file again; what can't change while running is told.

        A file that is wrong changes nothing: the host goes on with what it has.
        """
        if self._path is None:
            return
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            self._log.write("error", "reload_refused", (("why", error),))
            return
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        later = [name for name in changed if name not in _CHANGE_WHILE_RUNNING]
        self._settings = dataclasses.replace(
            self._settings, **{n: getattr(settings, n) for n in _CHANGE_WHILE_RUNNING}
        )
        self._log.write(
            "info",
            "reloaded",
            (("changed", ",".join(changed)), ("at_next_start", ",".join(later))),
        )

    def _answer_ready(self, request: Request) -> Response:
        return Response(200 if self._ready else 503)

    def _answer_metrics(self, request: Request) -> Response:
        return Response(200, self._metrics.render(self._node.tables))


def _identity(settings: HostSettings, incarnation: int) -> HostIdentity:
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
