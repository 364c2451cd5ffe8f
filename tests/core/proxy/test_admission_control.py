"""Refusals by expected wait at hosts and at holders, in virtual time."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Any

import pytest

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.effects import SendCalls
from mallowpass.core.proxy.loadreporting import LoadReporting
from mallowpass.core.proxy.statements import Answer, Code, Read
from mallowpass.standins.proxied.virtual.hosts import Caller, Host
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    ServiceLimits,
    configuration,
    route,
)

DIRECT_HOSTS = 9  # all connect to the endpoints
MANY_HOSTS = 24  # of which a few are holders
SPARSE = 1 / 20  # seconds between urgent statements
RETRY_TIME = re.compile(r"retry in (\d+) ms$")


def overloaded_world(hosts: int, connections: int = 80, **fields: Any) -> ProxyWorld:
    """Return a world whose primary runs 100 statements a second in 3 slots."""
    world = ProxyWorld(hosts=hosts, **({"overload_control": True} | fields))
    routes = {
        "urgent": route("urgent", Consistency.PRIMARY, priority=0),
        "patient": route(
            "patient", Consistency.PRIMARY, priority=2, statement_timeout=2.0
        ),
    }
    services = {SERVICE: ServiceLimits(SERVICE, connections, 1)}
    world.store.put(
        CONFIGURATION_KEY, configuration(2, routes=routes, services=services)
    )
    world.group.times.work = 0.03
    world.run(1.0)
    return world


def send_reads(
    world: ProxyWorld, database: str, pause: float, until: float
) -> list[Caller]:
    """Have a caller send one read at any host every `pause` seconds."""
    callers: list[Caller] = []

    def send() -> None:
        callers.append(world.caller(len(callers) % len(world.hosts), database))
        callers[-1].sent_at = world.timers.now
        callers[-1].send(Read("a"))
        if world.timers.now < until:
            world.timers.after(pause, send)

    send()
    return callers


def answered(callers: list[Caller], code: Code) -> list[tuple[Answer, float]]:
    """Return the answers with a code, each with the seconds that it took."""
    return [
        (caller.answers[0], caller.answered_at[0] - caller.sent_at)
        for caller in callers
        if caller.answers and caller.answers[0].code is code
    ]


def refusals(world: ProxyWorld) -> list[str]:
    """Return the reasons of all refusals by expected wait."""
    return [
        dict(count.attributes)["why"]
        for host in world.hosts
        for count in host.counts
        if count.name == "admission_refused"
    ]


def test_overload_is_refused_at_once_and_urgent_statements_are_served():
    """Guard against callers who wait in vain, and against urgent statements refused.

    Three times as many statements of low priority arrive as the primary runs.
    """
    world = overloaded_world(DIRECT_HOSTS)
    end = world.timers.now + 6.0
    patient = send_reads(world, "patient", 1 / 300, end)
    urgent = send_reads(world, "urgent", SPARSE, end)
    world.run(7.0)
    assert len(answered(urgent, Code.DONE)) == len(urgent)
    served, refused = answered(patient, Code.DONE), answered(patient, Code.BUSY)
    assert len(served) + len(refused) == len(patient)
    assert len(served) > 0.9 * (6.0 * 100 - len(urgent))
    in_time = [took for _, took in served if took <= 0.4 + 0.05]
    assert len(in_time) > 0.9 * len(served)
    assert sorted(took for _, took in refused)[len(refused) // 2] < 0.05
    delays = [int(RETRY_TIME.search(answer.message)[1]) for answer, _ in refused]
    assert 50 <= min(delays) < max(delays) <= 2000
    assert len(set(delays)) > 20
    assert {"expected-wait", "recent-refusal"} <= set(refusals(world))
    world.run(3.0)
    for host in world.hosts:
        began, ended = host.logged("overload_began"), host.logged("overload_ended")
        assert began and len(began) == len(ended)
        assert began[0]["expected_wait"] > 0.0


def test_nothing_is_refused_by_expected_wait_without_the_setting():
    """Guard against new refusals in deployments that do not ask for them."""
    world = overloaded_world(DIRECT_HOSTS, overload_control=False)
    callers = send_reads(world, "patient", 1 / 300, world.timers.now + 3.0)
    world.run(4.0)
    assert refusals(world) == []
    assert not any(host.logged("overload_began") for host in world.hosts)
    messages = {answer.message for answer, _ in answered(callers, Code.BUSY)}
    assert not any(RETRY_TIME.search(message) for message in messages)


def test_statements_that_wait_for_a_successor_are_served():
    """Guard against a failed primary that is taken for a slow one.

    The primary goes dark under overload, and is replaced. Its queue drains no more, and
    a successor can soon serve what waits.
    """
    world = overloaded_world(DIRECT_HOSTS)
    send_reads(world, "patient", 1 / 150, world.timers.now + 3.0)
    world.run(3.0)
    world.crash("db-casa", dark=True)
    world.run_until(
        lambda: all(h.tables.group(SERVICE).is_suspected for h in world.hosts), 3.0
    )
    before = len(refusals(world))
    callers = send_reads(world, "patient", 1 / 150, world.timers.now + 0.5)
    world.run_until(lambda: world.group.promotions == 1, 8.0)
    assert len(refusals(world)) == before
    world.run(2.0)
    assert len(answered(callers, Code.DONE)) > 0.75 * len(callers)


def test_nothing_is_refused_for_the_load_of_a_suspected_primary():
    """Guard against refusals by the rate from before a primary failed.

    The rate decays within a second or two, which makes the waits appear ever longer.
    """
    world = overloaded_world(DIRECT_HOSTS)
    send_reads(world, "patient", 1 / 300, world.timers.now + 2.0)
    world.run(1.0)

    def suspect() -> None:
        for host in world.hosts:
            host.tables.group(SERVICE).is_suspected = True

    suspect()
    world.timers.every(0.001, suspect)
    before = len(refusals(world))
    assert before
    world.run(0.5)
    assert len(refusals(world)) == before


@pytest.fixture
def sent_calls(monkeypatch) -> list[tuple[SendCalls, bool]]:
    """Record all calls that hosts send, and whether they go to a holder."""
    sent: list[tuple[SendCalls, bool]] = []
    send = Host._send

    def recording_send(self: Host, effect: SendCalls) -> None:
        is_forwarded = (self.name, effect.connection) in self.world.links
        sent.append((effect, is_forwarded))
        send(self, effect)

    monkeypatch.setattr(Host, "_send", recording_send)
    return sent


def send_no_loads(monkeypatch) -> None:
    """Have holders send no load, as those of older versions."""

    def add_report(reporting, link, reply, waiting):
        return replace(reply, load=None)

    monkeypatch.setattr(LoadReporting, "add_report", add_report)


@pytest.mark.parametrize("accepts", [False, True])
def test_holders_are_told_how_long_calls_are_of_use(accepts, sent_calls, monkeypatch):
    """Guard against holders that keep a call for longer than its reply is of use.

    The urgent statements are also those of the holders' own callers, who waited until
    their timeout while the holder served less urgent calls of other hosts.

    A holder of an older version refuses calls with a prefix that it does not know, and
    endpoints do as well.
    """
    if not accepts:
        send_no_loads(monkeypatch)
    world = overloaded_world(MANY_HOSTS, connections=22)
    sent_calls.clear()
    end = world.timers.now + 5.0
    patient = send_reads(world, "patient", 1 / 300, end)
    urgent = send_reads(world, "urgent", SPARSE, end)
    world.run(6.0)
    times = {True: [], False: []}  # by whether the call is forwarded
    for effect, is_forwarded in sent_calls:
        times[is_forwarded] += [call.time_left for call in effect.calls]
    assert set(times[False]) == {None}
    known = [time for time in times[True] if time is not None]
    assert bool(known) is accepts
    assert all(0.0 <= time < 0.8 for time in known)
    messages = [answer.message for answer, _ in answered(patient, Code.BUSY)]
    by_wait = [m for m in messages if "the endpoint is overloaded, the expected" in m]
    assert bool(by_wait) is accepts
    assert all(RETRY_TIME.search(message) for message in messages)
    assert len(answered(urgent, Code.DONE)) == len(urgent)


def test_measurement_of_a_replaced_primary_is_dropped():
    """Guard against waits at a new primary that are estimated from the previous one."""
    world = overloaded_world(DIRECT_HOSTS)
    send_reads(world, "patient", 1 / 300, world.timers.now + 1.0)
    world.run(1.0)
    host = world.hosts[0]
    group = host.tables.group(SERVICE)
    control = host.node.system(AdmissionControl)
    waiting = group.waiting[0]
    assert control.decides(waiting, group)
    world.crash("db-casa")
    world.run_until(lambda: group.primary != "db-casa", 8.0)
    assert not control.decides(waiting, group)
