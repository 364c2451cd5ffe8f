"""The runtime: order, timers, shutdown, and what settings become."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace

import pytest

from mallowpass.adapters.client import CallerClient
from mallowpass.adapters.runtime import HostRuntime, identity_of, tuning_of
from mallowpass.core import effects, platformcalls
from mallowpass.core.events import PlatformReplied, ShutdownRequested
from mallowpass.settings import OperatorKeys
from tests.adapters.harness import (
    FLEET_KEY,
    FakeCore,
    core_of,
    run,
    running_host,
    settings,
    until,
)


def test_timers_run_and_a_failing_one_spares_the_others() -> None:
    """Symptom: after one fault, no timer of the host runs any more.

    Sequence: a timer raises; another is due at the same time.
    Cause: the exception left the alarm's callback before the next alarm was set.
    """

    async def check() -> None:
        ran: list[str] = []
        reply = PlatformReplied(0, platformcalls.HostRegistered())
        async with running_host() as host:

            def set_timers(_event: ShutdownRequested) -> None:
                host.node.timers.after(0.0, lambda: 1 / 0)
                host.node.timers.after(0.0, ran.append, "second")
                host.node.timers.after(0.01, ran.append, "third")
                host.deliver(reply)

            host.node.subscribe(ShutdownRequested, set_timers)
            host.shut_down()
            await until(lambda: ran == ["second", "third"])
            assert len(core_of(host).of(PlatformReplied)) == 1

    run(check())


def test_event_of_an_effect_waits_its_turn() -> None:
    async def check() -> None:
        order: list[str] = []
        async with running_host() as host:
            reply = PlatformReplied(0, platformcalls.HostRegistered())

            def on_reply(_event: PlatformReplied) -> None:
                if not order:
                    host.deliver(reply)
                order.append("handled")
                host.node.emit(effects.Count("statements"))

            host.node.subscribe(PlatformReplied, on_reply)
            host.deliver(reply)
            assert order == ["handled", "handled"]
            assert host.metrics.total("statements") == 2

    run(check())


def test_platform_call_is_always_answered() -> None:
    async def check() -> None:
        row = platformcalls.WriteRow("services", "desk", 0, b"")
        async with running_host() as host:
            host._perform(
                [
                    effects.CallPlatform(1, row, 0.2),
                    effects.CallPlatform(2, platformcalls.ListHosts(), 0.2),
                ]
            )
            await until(lambda: len(core_of(host).of(PlatformReplied)) == 2)
            replies = {e.call: e.reply for e in core_of(host).of(PlatformReplied)}
            assert replies[1].ambiguous
            assert not replies[2].ambiguous

    run(check())


def test_shutdown_ends_when_the_core_says_so() -> None:
    async def check() -> None:
        async with running_host() as host:
            waiting = asyncio.create_task(host.wait_exited())
            host.shut_down()
            await waiting
            [event] = core_of(host).of(ShutdownRequested)
            assert event.limit == settings().limits.drain

    run(check())


def test_second_signal_cuts_nothing_off() -> None:
    """Symptom: requests in flight are lost when somebody sends SIGTERM twice.

    Sequence: the host is told to stop while a request runs, and told again.
    Cause: the second signal found Python's own handler, which ends the process.
    """

    async def check() -> None:
        async with (
            running_host() as host,
            CallerClient(host.callers_address, "desk", "a") as client,
        ):
            host.handle_signals()
            hanging = asyncio.create_task(client.read("claims", "hang"))
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
                signal.raise_signal(number)
            await until(lambda: len(core_of(host).of(ShutdownRequested)) == 3)
            assert (await client.read("claims", "x")).done
            assert not hanging.done()
            hanging.cancel()

    run(check())


async def listens(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


def test_host_that_cannot_start_closes_what_it_opened() -> None:
    async def check() -> None:
        async with running_host() as host:
            taken = replace(settings().listen, callers=host._callers.address)
            other = HostRuntime(
                replace(settings(), listen=taken),
                FLEET_KEY,
                OperatorKeys({}),
                systems=[FakeCore],
            )
            with pytest.raises(RuntimeError):
                await other.run()
            left_open = await listens(other._peers.address.port)
            if left_open:  # or its servers would keep the test from ending
                await other.stop()
            assert not left_open

    run(check())


def test_settings_reach_the_core() -> None:
    given = settings()
    identity = identity_of(given, "127.0.0.1:9", FLEET_KEY)
    assert (identity.name, identity.region) == ("host-1", "casablanca")
    assert identity.token_key not in (b"", FLEET_KEY)
    assert tuning_of(given).probe_interval == given.timing.probe_interval
