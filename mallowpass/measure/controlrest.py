"""Measure what hosts, databases, changes and sessions cost where nothing fails."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from mallowpass.core import events, peering
from mallowpass.core.calls import OpenRequest, Role
from mallowpass.core.codec import encode_service
from mallowpass.core.operations import ChangeServiceRequest
from mallowpass.core.services import ServiceVersion
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.shares import static_share
from mallowpass.core.tables import HostState
from mallowpass.measure.counting import (
    DATABASES,
    HOSTS,
    RESTED,
    SESSIONS,
    SETTLE,
    ControlOptions,
    Points,
    Window,
    core_bytes,
    points_of,
    run_window,
    settled,
)
from mallowpass.measure.sizes import AHEAD, steps
from mallowpass.measure.virtual import VirtualFleet, VirtualHost
from mallowpass.measure.virtualgroups import VirtualMember

__all__ = ["REST_PARTS"]

STEWARD_HOSTS = 8
WIDE_HOSTS = 64  # where a host is seldom a steward
CHANGES = 20


# -- Relay -------------------------------------------------------------------


def _relay(options: ControlOptions) -> Points:
    """Measure hosts at rest, without databases.

    Below some 64 hosts the number of links still grows; a line through smaller fleets
    would take that for a growth with the fleet.
    """
    for hosts in steps(options.hosts, RESTED):
        fleet = settled(hosts, 0, options)
        window = run_window(fleet)
        links = [len(h.node.system(Membership).linked_hosts) for h in fleet.alive]
        values = {
            "links, mean": sum(links) / hosts,
            "links, most": max(links),
            "messages/s": window.rate("peer_messages"),
            "bytes/s": window.rate("peer_bytes"),
            "bytes/s, busiest host": window.highest("peer_bytes") / window.seconds,
            "core s/s": window.rate("seconds"),
        }
        yield from points_of("relay", HOSTS, hosts, values)


def _relay_memory(options: ControlOptions) -> Points:
    for hosts in steps(options.hosts // 2, 4):

        def build(hosts: int = hosts) -> VirtualFleet:
            return settled(hosts, 0, options)

        values = {"memory of the core, bytes": core_bytes(build, hosts)}
        yield from points_of("relay-memory", HOSTS, hosts, values)


# -- Steward -----------------------------------------------------------------


def _steward(options: ControlOptions) -> Points:
    """Measure the watching of idle databases, by few hosts and by many."""
    yield from _watching("steward", STEWARD_HOSTS, options.databases, options)


def _watch(options: ControlOptions) -> Points:
    hosts = min(WIDE_HOSTS, options.hosts)
    yield from _watching("watch", hosts, max(8, options.databases // 4), options)


def _watching(part: str, hosts: int, most: int, options: ControlOptions) -> Points:
    for databases in steps(most, 2):
        fleet = settled(hosts, databases, options)
        window = run_window(fleet)
        values = _watching_values(window)
        yield from points_of(f"{part} ({hosts} hosts)", DATABASES, databases, values)


def _watching_values(window: Window) -> dict[str, float]:
    return {
        "control messages/s": window.rate("control_messages"),
        "control bytes/s": window.rate("control_bytes"),
        "core s/s": window.rate("seconds"),
    }


def _in_use(options: ControlOptions) -> Points:
    """Measure databases that all hosts read and others write ten times a second."""
    for databases in steps(max(8, options.databases // 4), 2):
        fleet = settled(STEWARD_HOSTS, databases, options)
        primaries = [m for m in fleet.members.values() if m.role is Role.PRIMARY]
        _keep_reading(fleet)
        _keep_writing(fleet, primaries, 0.1)
        fleet.run(5.0)
        values = _watching_values(run_window(fleet, 10.0))
        yield from points_of("in use (8 hosts)", DATABASES, databases, values)


def _keep_reading(fleet: VirtualFleet) -> None:
    for host in fleet.alive:
        fleet.do(host, _read_all, host)
    fleet.at(fleet.now + 1.0, _keep_reading, fleet)


def _read_all(host: VirtualHost) -> None:
    liveness = host.node.system(Liveness)
    for endpoint in list(host.node.tables.endpoints.values()):
        liveness.has_reached(endpoint, endpoint.report.applied)


def _keep_writing(
    fleet: VirtualFleet, primaries: list[VirtualMember], period: float
) -> None:
    for member in primaries:
        fleet.write(member)
    fleet.at(fleet.now + period, _keep_writing, fleet, primaries, period)


def _alone(options: ControlOptions) -> Points:
    """Measure one real host among all the hosts ahead, over databases."""
    others = AHEAD.hosts - 1
    for databases in steps(options.databases * 20, 2):
        began = time.thread_time()
        fleet = VirtualFleet(1, databases, seats=AHEAD.hosts, echoes=others)
        host = fleet.alive[0]
        fleet.run(SETTLE)
        start = host.spent.seconds
        window = run_window(fleet)
        known = len(host.node.system(Membership).live_hosts())
        values = {
            "hosts known": known,
            "peer bytes/s": window.rate("peer_bytes"),
            **_watching_values(window),
            "core s of the first 30 s": start,
            "process s": time.thread_time() - began,
            "core s of a host's change": _change_cost(fleet, host),
        }
        yield from points_of(f"one of {AHEAD.hosts}", DATABASES, databases, values)


def _change_cost(fleet: VirtualFleet, host: VirtualHost) -> float:
    """Return the processor time of the second after a host's goodbye."""
    before = host.spent.seconds
    fleet.run(1.0)
    idle = host.spent.seconds - before
    gone = next(iter(host.node.system(Membership).live_hosts()))
    notice = peering.HostNotice(
        gone.name,
        gone.failure_domain,
        gone.seat,
        gone.address,
        gone.incarnation,
        HostState.LEAVING.value,
    )
    before = host.spent.seconds
    fleet.tell(host, notice)
    fleet.run(1.0)
    return host.spent.seconds - before - idle


# -- Configuration -----------------------------------------------------------


def _spread(options: ControlOptions) -> Points:
    """Measure the time until a change is in force everywhere, and its messages."""
    for hosts in steps(options.hosts, RESTED):
        fleet = settled(hosts, 3, options)
        idle = run_window(fleet)
        window = Window(fleet)
        times = sorted(_change(fleet, number) for number in range(CHANGES))
        extra = {
            name: (window.rate(name) - idle.rate(name)) * window.seconds / CHANGES
            for name in ("peer_messages", "peer_bytes", "seconds")
        }
        values = {
            "until in force everywhere, s, median": times[len(times) // 2],
            "until in force everywhere, s, longest": times[-1],
            "messages of a host, each change": extra["peer_messages"],
            "bytes of a host, each change": extra["peer_bytes"],
            "core s of a host, each change": extra["seconds"],
        }
        yield from points_of("configuration", HOSTS, hosts, values)


def _change(fleet: VirtualFleet, number: int) -> float:
    version = number + 1
    host = fleet.random.choice(fleet.alive)
    service = replace(fleet.services[0], queue_length=version)
    request = ChangeServiceRequest(
        operator="operator",
        name=service.name,
        service=service,
        from_version=version,
        change_id=f"change-{number}",
    )
    fleet.feed(host, events.OperatorRequested(number, request))

    def everywhere() -> bool:
        rows = (each.node.tables.services.get(service.name) for each in fleet.alive)
        return all(row and row.accepted.version == version + 1 for row in rows)

    took = fleet.run_until(everywhere, 60.0)
    if took is None:
        raise RuntimeError(f"change {number} is not in force at {len(fleet.alive)}")
    fleet.run(2.0)
    return took


def _state(options: ControlOptions) -> Points:
    """Measure the memory of databases' definitions, rows and streams."""
    for databases in steps(options.databases, 2):

        def build(databases: int = databases) -> VirtualFleet:
            return settled(2, databases, options)

        fleet = VirtualFleet(2, databases)
        encoded = sum(
            len(encode_service(ServiceVersion(each.name, 1, each, "made")))
            for each in fleet.services
        )
        values = {
            "memory of the core, bytes": core_bytes(build, 2),
            "encoded definitions, bytes": encoded,
        }
        yield from points_of("state", DATABASES, databases, values)


# -- Platform ----------------------------------------------------------------


def _platform(options: ControlOptions) -> Points:
    """Measure the whole fleet's calls, with as many seats as hosts."""
    for hosts in steps(options.hosts, RESTED):
        fleet = settled(hosts, 3, options)
        window = run_window(fleet, 60.0)
        values = {
            "reads/s of the fleet": window.rate("platform_reads") * hosts,
            "writes/s of the fleet": window.rate("platform_writes") * hosts,
        }
        yield from points_of("platform", HOSTS, hosts, values)


def _platform_ahead(options: ControlOptions) -> Points:
    """Measure a host's registrations where the settings give the seats ahead."""
    for hosts in steps(options.hosts, RESTED):
        fleet = VirtualFleet(hosts, 0, seed=options.seed, seats=AHEAD.hosts)
        fleet.run(SETTLE)
        window = run_window(fleet, 240.0)
        values = {
            "reads/s of the hosts": window.rate("platform_reads") * hosts,
            "writes/s of a host": window.rate("platform_writes"),
        }
        yield from points_of(f"{AHEAD.hosts} seats", HOSTS, hosts, values)


def _shares(options: ControlOptions) -> Points:
    """Measure the processor time of one member's static share, over seats."""
    for hosts in steps(max(options.hosts, 512), 64):
        domains = VirtualFleet(8, 0, seats=hosts).domains
        began = time.thread_time()
        for number in range(20):
            static_share(20, domains, f"10.0.0.{number}:5432", domains[0].name, 0)
        values = {"core s, each member": (time.thread_time() - began) / 20}
        yield from points_of("shares", HOSTS, hosts, values)


# -- Sessions ----------------------------------------------------------------


def _sessions(options: ControlOptions) -> Points:
    """Measure the core's memory and time of sessions that are open and idle."""
    for sessions in steps(options.sessions, 8):
        spent: list[float] = []

        def build(sessions: int = sessions, spent: list = spent) -> VirtualFleet:
            fleet = settled(1, 3, options)
            host = fleet.alive[0]
            before = host.spent.seconds
            for number in range(sessions):
                _open(fleet, host, number + 1)
            spent.append(host.spent.seconds - before)
            return fleet

        memory = core_bytes(build, 1)
        yield from points_of(
            "sessions", SESSIONS, sessions, {"memory of the core, bytes": memory}
        )


def _open(fleet: VirtualFleet, host: VirtualHost, stream: int) -> None:
    request = OpenRequest(
        request_id="open", service="service-0", caller=f"caller-{stream}"
    )
    fleet.feed(host, events.CallerConnected(stream))
    fleet.feed(host, events.CallerRequested(stream, request))


REST_PARTS: dict[str, Callable[[ControlOptions], Points]] = {
    "relay": _relay,
    "relay-memory": _relay_memory,
    "steward": _steward,
    "watch": _watch,
    "in-use": _in_use,
    "alone": _alone,
    "spread": _spread,
    "state": _state,
    "platform": _platform,
    "platform-ahead": _platform_ahead,
    "shares": _shares,
    "sessions": _sessions,
}
