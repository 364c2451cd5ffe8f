"""Faults of admission control that a review found, each with the load that shows it."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.policy.admission import HOLD_SHARE, useful_until
from mallowpass.core.proxy.requests import Requests
from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.statements import (
    Access,
    Code,
    EndpointReply,
    LoadReport,
    Read,
    Write,
)
from mallowpass.core.proxy.tables import LinkRow, RequestRow, SessionRow
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import (
    CONFIGURATION_KEY,
    SERVICE,
    ProxyWorld,
    ServiceLimits,
    configuration,
    customer,
    identified,
    route,
)

OBJECTIVE = 0.4  # seconds, unless a route has another
SERVICES = {SERVICE: ServiceLimits(SERVICE, 80, 1)}
MANY_HOSTS = 24  # of which a few are holders


def _world(hosts: int = 3, **fields) -> ProxyWorld:
    world = ProxyWorld(hosts=hosts, **({"overload_control": True} | fields))
    routes = {
        "urgent": route("urgent", Consistency.PRIMARY, priority=0),
        "patient": route(
            "patient", Consistency.PRIMARY, priority=2, statement_timeout=2.0
        ),
    }
    world.store.put(
        CONFIGURATION_KEY, configuration(2, routes=routes, services=SERVICES)
    )
    world.group.times.work = 0.03  # 100 statements a second in 3 slots
    world.run(1.0)
    return world


def _send(world, database, rate, duration, statement=None, key="") -> list[Caller]:
    """Have new callers send `rate` statements a second, at all hosts in turn."""
    callers: list[Caller] = []
    end = world.timers.now + duration

    def send() -> None:
        callers.append(world.caller(len(callers) % len(world.hosts), database, key))
        callers[-1].sent_at = world.timers.now
        callers[-1].send(statement or Read("a"))
        if world.timers.now < end:
            world.timers.after(1 / rate, send)

    send()
    return callers


def _took(callers: list[Caller], code: Code) -> list[float]:
    return sorted(
        caller.answered_at[0] - caller.sent_at
        for caller in callers
        if caller.answers and caller.answers[0].code is code
    )


def _request(world: ProxyWorld, priority: int = 1, access=Access.READ) -> RequestRow:
    now = world.timers.now
    own = route("patient", Consistency.PRIMARY, priority=priority)
    session = SessionRow(10**6, "patient")
    return RequestRow(session, "r", Read("a"), access, own, now, now + 0.8)


def _control(world: ProxyWorld):
    host = world.hosts[0]
    return host.node.system(AdmissionControl), host.tables.group(SERVICE)


def _fill(world: ProxyWorld, control: AdmissionControl, group, waiting) -> None:
    """Send 8 statements in 0.4 s from a queue of `waiting`, 20 a second."""
    group.waiting.extend(waiting)
    control.note_queue(group)
    for _ in range(8):
        world.run(0.05)
        control.note_sent(waiting[0], group)


@pytest.mark.parametrize("overload_control", [False, True])
def test_limits_hold_for_statements_that_wait_for_longer_than_a_grant(overload_control):
    """Guard against grants that are used long after they ended.

    The primary is slow for a while, so that hundreds of granted statements wait, and
    then runs all of them within a moment.
    """
    acme = customer("acme", "key-a", rate=100.0, burst=20.0)
    world = ProxyWorld(
        hosts=9, overload_control=overload_control, slots=20, max_connections=400
    )
    own = route(
        "own",
        Consistency.PRIMARY,
        objective=2.0,
        statement_timeout=2.5,
    )
    # So few connections that statements wait at hosts, and not at the endpoint.
    limits = {SERVICE: ServiceLimits(SERVICE, 30, 1)}
    world.configure(identified(acme, routes={"own": own}, services=limits))
    world.run(25.0)  # until new keepers have full rights
    _send(world, "own", 200, 11.0, key="key-a")
    world.group.times.work = 0.3
    world.run(5.0)
    world.group.times.work = 0.002
    world.run(6.0)
    assert world.judge.runs["acme"] > 500
    assert world.judge.breaches == []


def test_urgent_writes_beyond_the_capacity_are_refused_and_not_in_doubt():
    """Guard against urgent statements that are all served late, or end in doubt."""
    world = _world()
    callers = _send(world, "urgent", 150, 4.0, Write("a 1"))
    world.run(6.0)
    codes = [caller.answers[0].code for caller in callers]
    assert set(codes) == {Code.DONE, Code.BUSY}
    done = _took(callers, Code.DONE)
    assert len(done) > 0.9 * 4.0 * 100
    # The rest is late as rates are measured on few statements.
    assert sum(took <= OBJECTIVE for took in done) > 0.8 * len(done)


@pytest.mark.parametrize(
    ("access", "left", "expected"),
    [
        (Access.WRITE, 0.2, True),
        (Access.WRITE, 0.4, False),
        (Access.READ, 0.2, False),
    ],
)
def test_write_is_too_late_with_less_than_a_service_time_left(access, left, expected):
    """Guard against writes that are sent although they would end in doubt."""
    world = _world()
    control, group = _control(world)
    group.primary_row.latency = 0.3
    request = _request(world, priority=0, access=access)
    request.expires_at = world.timers.now + left
    assert control.is_too_late(request, group) is expected


def test_write_that_is_too_late_is_refused_and_does_not_run(monkeypatch):
    world = _world()
    monkeypatch.setattr(AdmissionControl, "is_too_late", lambda *arguments: True)
    assert world.caller(0, "urgent").run(Write("a 1")).code is Code.BUSY
    monkeypatch.undo()
    assert world.caller(0, "urgent").run(Write("a 1")).code is Code.DONE


def test_urgent_statements_wait_until_the_objective_behind_each_other():
    world = _world()
    control, _ = _control(world)
    request = _request(world, priority=0)
    now = world.timers.now
    assert useful_until(request) == request.expires_at
    assert useful_until(request, is_behind_equals=True) == now + OBJECTIVE
    assert control._fits(request, 0.5, 0.03)
    assert not control._fits(request, 0.5, 0.03, 3)


def test_queue_that_stops_draining_is_refused_before_its_timeouts():
    """Guard against waits until the timeout when no event checks the queue."""
    world = _world()
    callers = _send(world, "patient", 200, 1.0)
    world.run(1.0)
    world.group.times.work = 10.0
    end = world.timers.now
    waiting = [c for c in callers if not c.answers]
    world.run(3.0)
    refused = _took(waiting, Code.BUSY)
    assert len(refused) > 5
    heads = len(world.hosts)  # the head of each queue stays
    assert sum(took > OBJECTIVE + 0.1 for took in refused) <= heads
    assert world.timers.now > end


def test_statements_in_back_off_are_no_queue():
    """Guard against the rate of arrivals that is taken for the capacity."""
    world = _world()
    control, group = _control(world)
    idle = [_request(world) for _ in range(5)]
    _fill(world, control, group, idle)
    assert not control.decides(idle[0], group)
    assert control._position(_request(world), group) == 0
    for request in idle:
        request.waits_for_load = True
    _fill(world, control, group, [_request(world)])
    assert control.decides(idle[0], group)
    group.waiting.clear()


def test_host_without_connections_refuses_before_the_timeout():
    """Guard against waits until the timeout at a host that reaches no holder."""
    world = ProxyWorld(hosts=MANY_HOSTS, overload_control=True)
    world.run(1.0)
    index = next(
        i
        for i, host in enumerate(world.hosts)
        if not host.node.system(Holders).holds(SERVICE)
    )
    host = world.hosts[index]
    names = [other.name for other in world.hosts if other is not host]
    world.cut(index, *names, *world.group.replicas)
    for number in list(host.tables.connections):
        connection = host.tables.connections[number]
        host.node.system(Requests)._connections.close(connection, "cut off")
    callers = [world.caller(index, "bounded") for _ in range(20)]
    for caller in callers:
        caller.sent_at = world.timers.now
        caller.send(Read("a"))
    world.run(2.0)
    refused = _took(callers, Code.BUSY)
    assert len(refused) == len(callers)
    assert refused[-2] <= HOLD_SHARE * OBJECTIVE + 0.06  # the head stays


@pytest.mark.parametrize(("tries", "is_refused"), [(0, True), (1, False)])
def test_read_that_was_lost_is_not_refused_as_not_run(tries, is_refused, monkeypatch):
    """Guard against refusals of reads that may still run at an endpoint."""
    refuse = "_is_refused_on_arrival"
    monkeypatch.setattr(Requests, refuse, lambda self, request: True)
    acquired = []
    monkeypatch.setattr(
        Requests, "_acquire_grant", lambda self, request: acquired.append(request)
    )
    world = _world()
    request = _request(world)
    request.tries = tries
    world.hosts[0].node.system(Requests)._admit(request)
    assert bool(acquired) is not is_refused


def test_measurement_of_an_endpoint_that_is_gone_is_not_kept():
    """Guard against measurements that accumulate with each restart of an endpoint."""
    world = _world()
    control, group = _control(world)
    endpoint = group.primary_row
    control.note_link_queue(endpoint, True)
    assert endpoint in control._link_queues
    world.crash(endpoint.name)
    world.restart(endpoint.name)
    world.run(3.0)
    assert not control.tables.is_current(endpoint)
    control.note_link_queue(endpoint, False)
    assert endpoint not in control._link_queues


def test_statement_that_was_sent_meanwhile_is_not_turned_away():
    """Guard against refusals of statements that a nested pass sent."""
    world = _world()
    control, group = _control(world)
    waiting = [_request(world) for _ in range(40)]
    for request in waiting:
        request.waits_for_load = True
    _fill(world, control, group, waiting)
    refusals = control.turned_away(group, lambda request, group: True)
    first, _ = next(refusals)
    sent = waiting[waiting.index(first) + 1 :]
    for request in sent:
        request.connection = next(iter(control.tables.connections.values()))
    assert list(refusals) == []
    group.waiting.clear()


@pytest.mark.parametrize(
    ("load", "expected"), [(None, None), (LoadReport(3, None), True)]
)
def test_urgent_statements_are_tried_again_only_after_refusals_for_load(load, expected):
    """Guard against repeated attempts at a holder whose writes stall."""
    world = _world()
    control, group = _control(world)
    reply = EndpointReply(Code.BUSY, message="writes stall", load=load)
    assert control.keeps_trying(_request(world, 0), group, reply) is expected


def test_both_measurements_end_with_the_primary():
    """Guard against waits at a new primary that are estimated from the previous one."""
    world = _world()
    control, group = _control(world)
    read = _request(world)
    read.route = route("own", Consistency.OWN_WRITES)
    for request in (read, _request(world)):
        request.waits_for_load = True
        _fill(world, control, group, [request])
        assert control.decides(request, group)
    control._on_primary_changed(PrimaryChanged(group))
    assert not any(control.decides(request, group) for request in group.waiting)
    group.waiting.clear()


def test_refusals_do_not_nest_passes_over_the_queue(monkeypatch):
    """Guard against the recursion limit when refused sessions send their next one."""
    depths, depth = [0], [0]
    dispatch_once = Requests._dispatch_once

    def counting(self, group) -> None:
        depth[0] += 1
        depths.append(depth[0])
        dispatch_once(self, group)
        depth[0] -= 1

    monkeypatch.setattr(Requests, "_dispatch_once", counting)
    world = _world(hosts=1)
    callers = [world.caller(0, "patient") for _ in range(150)]
    for caller in callers:
        for _ in range(3):
            caller.send(Read("a"))
    world.run(5.0)
    assert all(len(caller.answers) == 3 for caller in callers)
    assert max(depths) == 1


def test_customer_without_queued_statements_is_not_refused_on_arrival(monkeypatch):
    """Guard against a customer that gets no connection beside a flood of another."""
    monkeypatch.setattr(AdmissionControl, "refusal_on_arrival", lambda *args: "full")
    monkeypatch.setattr(Requests, "_waits_for_load", lambda *arguments: True)
    monkeypatch.setattr(Routing, "has_free_connection", lambda *arguments: False)
    answered = []
    monkeypatch.setattr(Answers, "refuse", lambda *args: answered.append(args))
    world = _world()
    _, group = _control(world)
    flood, other = _request(world), _request(world)
    flood.session.customer, other.session.customer = "flood", "other"
    group.waiting.append(flood)
    requests = world.hosts[0].node.system(Requests)
    assert requests._is_refused_on_arrival(flood)
    assert not requests._is_refused_on_arrival(other)
    group.waiting.clear()


def test_refusals_for_the_same_wait_have_different_times_to_retry():
    """Guard against callers that are refused together and return together."""
    control, _ = _control(_world())
    assert len({control._with_retry_time("full", 0.4, 1) for _ in range(20)}) > 10


def test_idle_connection_is_found():
    """Guard against refusals on arrival while a connection is idle."""
    world = _world()
    assert world.caller(0, "patient").run(Read("a")).code is Code.DONE
    host = world.hosts[0]
    group = host.tables.group(SERVICE)
    assert host.node.system(Routing).has_free_connection(_request(world), group)


def test_holder_keeps_calls_for_as_long_as_they_are_of_use():
    """Guard against the fixed wait at a holder whose queue drains at a known rate."""
    world = _world()
    control, group = _control(world)
    endpoint = group.primary_row
    link = LinkRow(1, endpoint, False)
    link.useful_until = world.timers.now + 1.0
    assert control.link_may_wait(link) is None
    control.note_link_queue(endpoint, True)
    for _ in range(8):
        world.run(0.05)
        control.note_link_sent(endpoint)
    endpoint.latency = 0.1
    remaining = link.useful_until - control.now - 0.1
    assert control.link_may_wait(link) == pytest.approx(remaining)
    first, second = LinkRow(2, endpoint, False), LinkRow(3, endpoint, False)
    first.useful_until = second.useful_until = control.now + 0.12
    assert control.link_refusal_on_arrival(second, [first]) is None
    assert list(control.links_turned_away(endpoint, [first, second]))
    assert control.link_refusal_on_arrival(second, [first])
