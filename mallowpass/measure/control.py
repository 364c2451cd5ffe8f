"""Measure what control costs a host: lines over fleet sizes, databases and sessions.

Everything is measured at several small sizes, in virtual time, on the nodes that
`mallowpass serve` runs; a straight line through the points is what larger sizes are
worked out from. Processor time is that of the core, the codec and the translation.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass, replace
from typing import Any

from mallowpass import __version__
from mallowpass.core import events, peering
from mallowpass.core.calls import OpenRequest, Role
from mallowpass.core.codec import encode_service
from mallowpass.core.operations import ChangeServiceRequest
from mallowpass.core.services import ServiceVersion
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.shares import static_share
from mallowpass.core.tables import HostState
from mallowpass.measure.sizes import AHEAD, Slope, slope_of, steps
from mallowpass.measure.virtual import (
    Spent,
    VirtualFleet,
    VirtualHost,
    VirtualMember,
)

__all__ = [
    "PARTS",
    "ControlOptions",
    "ControlReport",
    "Point",
    "control_to_json",
    "measure_control",
    "render_control",
]

SETTLE = 30.0  # virtual seconds until a fleet that started together is at rest
WINDOW = 20.0  # virtual seconds that are counted
STEWARD_HOSTS = 8
WIDE_HOSTS = 64  # where a host is seldom a steward
CHANGES = 20
RACK = 8  # hosts
LOST_DATABASES = 24
PARTITION = 60.0
DETECT = 20.0  # virtual seconds in which a fault's news are over
HEAL = 120.0  # virtual seconds
RESTED = 64  # hosts from which on links no longer grow in number
CORE_FILES = "*/mallowpass/core/*"
HOSTS, DATABASES, SESSIONS = "hosts", "databases", "sessions"


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """Say up to which sizes to measure, and what of it."""

    hosts: int = 128
    databases: int = 240
    sessions: int = 4_000
    seed: int = 1
    parts: tuple[str, ...] = ()  # none: all


@dataclass(frozen=True, slots=True)
class Point:
    """Hold one measured value at one size."""

    part: str
    quantity: str
    over: str
    size: int
    value: float


@dataclass(frozen=True, slots=True)
class ControlReport:
    """Hold all points and the lines through them."""

    command_line: str
    version: str
    options: ControlOptions
    points: tuple[Point, ...]
    slopes: tuple[Slope, ...]


Points = Iterator[Point]


def measure_control(options: ControlOptions, command_line: str = "") -> ControlReport:
    """Measure the parts wanted, one after the other."""
    names = options.parts or tuple(PARTS)
    points = [point for name in names for point in PARTS[name](options)]
    return ControlReport(
        command_line, __version__, options, tuple(points), tuple(_slopes(points))
    )


def control_to_json(report: ControlReport) -> str:
    """Return everything as one JSON object."""
    return json.dumps(asdict(report))


def render_control(report: ControlReport) -> Iterator[str]:
    """Return the lines for a terminal: one for each quantity, points and slope."""
    yield f"$ {report.command_line}"
    for slope in report.slopes:
        points = " ".join(f"{size:g}:{value:.4g}" for size, value in slope.points)
        yield f"{slope.quantity} over {slope.over}: {points}"
        yield (
            f"    slope {slope.slope:.4g} (between points {slope.low:.4g} to "
            f"{slope.high:.4g}, standard error {slope.error:.2g}) "
            f"from {slope.intercept:.4g}; at {_ahead(slope.over):g}: "
            f"{slope.at(_ahead(slope.over)):.4g}, worked out"
        )


def _slopes(points: Iterable[Point]) -> Iterator[Slope]:
    groups: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    for point in points:
        key = (point.part, point.quantity, point.over)
        groups.setdefault(key, []).append((point.size, point.value))
    for (part, quantity, over), values in groups.items():
        yield slope_of(f"{part}: {quantity}", over, values)


def _ahead(over: str) -> float:
    sizes = {
        HOSTS: AHEAD.hosts,
        DATABASES: AHEAD.databases,
        SESSIONS: AHEAD.sessions_per_host,
    }
    return sizes[over]


# -- Counting ----------------------------------------------------------------


class _Window:
    """Count what the hosts alive spend from now on."""

    def __init__(self, fleet: VirtualFleet, hosts: Iterable[VirtualHost] = ()) -> None:
        self._fleet = fleet
        self._hosts = tuple(hosts) or tuple(fleet.alive)
        self._before = [host.spent.copy() for host in self._hosts]
        self._began = fleet.now

    @property
    def seconds(self) -> float:
        """Return how long it has been, in virtual time."""
        return self._fleet.now - self._began

    def spent(self) -> list[Spent]:
        """Return what each host spent."""
        return [
            host.spent.since(before)
            for host, before in zip(self._hosts, self._before, strict=True)
        ]

    def mean(self, name: str) -> float:
        """Return the mean of all hosts."""
        return sum(getattr(each, name) for each in self.spent()) / len(self._hosts)

    def rate(self, name: str) -> float:
        """Return the mean of all hosts for each second."""
        return self.mean(name) / self.seconds

    def highest(self, name: str) -> float:
        """Return the highest of all hosts."""
        return max(getattr(each, name) for each in self.spent())


def _settled(hosts: int, databases: int, options: ControlOptions) -> VirtualFleet:
    fleet = VirtualFleet(hosts, databases, seed=options.seed)
    fleet.run(SETTLE)
    return fleet


def _run_window(fleet: VirtualFleet, seconds: float = WINDOW) -> _Window:
    window = _Window(fleet)
    fleet.run(seconds)
    return window


def _core_bytes(build: Callable[[], Any], share: int) -> float:
    """Return the memory that the core's own objects take, divided by `share`."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    del kept
    core = snapshot.filter_traces((tracemalloc.Filter(True, CORE_FILES),))
    return sum(each.size for each in core.statistics("filename")) / share


# -- Relay -------------------------------------------------------------------


def _relay(options: ControlOptions) -> Points:
    """Measure hosts at rest, without databases.

    Below some 64 hosts the number of links still grows; a line through smaller fleets
    would take that for a growth with the fleet.
    """
    for hosts in steps(options.hosts, RESTED):
        fleet = _settled(hosts, 0, options)
        window = _run_window(fleet)
        links = [len(h.node.system(Membership).linked) for h in fleet.alive]
        values = {
            "links, mean": sum(links) / hosts,
            "links, most": max(links),
            "messages/s": window.rate("peer_messages"),
            "bytes/s": window.rate("peer_bytes"),
            "bytes/s, busiest host": window.highest("peer_bytes") / window.seconds,
            "core s/s": window.rate("seconds"),
        }
        yield from _points("relay", HOSTS, hosts, values)


def _relay_memory(options: ControlOptions) -> Points:
    for hosts in steps(options.hosts // 2, 4):

        def build(hosts: int = hosts) -> VirtualFleet:
            return _settled(hosts, 0, options)

        values = {"memory of the core, bytes": _core_bytes(build, hosts)}
        yield from _points("relay-memory", HOSTS, hosts, values)


def _points(part: str, over: str, size: int, values: dict[str, float]) -> Points:
    for quantity, value in values.items():
        yield Point(part, quantity, over, size, value)


# -- Steward -----------------------------------------------------------------


def _steward(options: ControlOptions) -> Points:
    """Measure the watching of idle databases, by few hosts and by many."""
    yield from _watching("steward", STEWARD_HOSTS, options.databases, options)


def _watch(options: ControlOptions) -> Points:
    hosts = min(WIDE_HOSTS, options.hosts)
    yield from _watching("watch", hosts, max(8, options.databases // 4), options)


def _watching(part: str, hosts: int, most: int, options: ControlOptions) -> Points:
    for databases in steps(most, 2):
        fleet = _settled(hosts, databases, options)
        window = _run_window(fleet)
        values = _watching_values(window)
        yield from _points(f"{part} ({hosts} hosts)", DATABASES, databases, values)


def _watching_values(window: _Window) -> dict[str, float]:
    return {
        "control messages/s": window.rate("control_messages"),
        "control bytes/s": window.rate("control_bytes"),
        "core s/s": window.rate("seconds"),
    }


def _in_use(options: ControlOptions) -> Points:
    """Measure databases that all hosts read and others write ten times a second."""
    for databases in steps(max(8, options.databases // 4), 2):
        fleet = _settled(STEWARD_HOSTS, databases, options)
        primaries = [m for m in fleet.members.values() if m.role is Role.PRIMARY]
        _keep_reading(fleet)
        _keep_writing(fleet, primaries, 0.1)
        fleet.run(5.0)
        values = _watching_values(_run_window(fleet, 10.0))
        yield from _points("in use (8 hosts)", DATABASES, databases, values)


def _keep_reading(fleet: VirtualFleet) -> None:
    for host in fleet.alive:
        fleet.do(host, _read_all, host)
    fleet.at(fleet.now + 1.0, _keep_reading, fleet)


def _read_all(host: VirtualHost) -> None:
    liveness = host.node.system(Liveness)
    for endpoint in list(host.node.tables.endpoints.values()):
        liveness.reached(endpoint, endpoint.report.applied)


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
        window = _run_window(fleet)
        known = len(host.node.system(Membership).live_hosts())
        values = {
            "hosts known": known,
            "peer bytes/s": window.rate("peer_bytes"),
            **_watching_values(window),
            "core s of the first 30 s": start,
            "process s": time.thread_time() - began,
            "core s of a host's change": _change_cost(fleet, host),
        }
        yield from _points(f"one of {AHEAD.hosts}", DATABASES, databases, values)


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
        fleet = _settled(hosts, 3, options)
        idle = _run_window(fleet)
        window = _Window(fleet)
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
        yield from _points("configuration", HOSTS, hosts, values)


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
            return _settled(2, databases, options)

        fleet = VirtualFleet(2, databases)
        encoded = sum(
            len(encode_service(ServiceVersion(each.name, 1, each, "made")))
            for each in fleet.services
        )
        values = {
            "memory of the core, bytes": _core_bytes(build, 2),
            "encoded definitions, bytes": encoded,
        }
        yield from _points("state", DATABASES, databases, values)


# -- Failures ----------------------------------------------------------------


def _host_dies(options: ControlOptions) -> Points:
    """Measure what one host's silent end costs each other, its messages and time."""
    yield from _events("host dies", options, _die)


def _rack_dies(options: ControlOptions) -> Points:
    yield from _events(f"rack of {RACK} dies", options, _die_together)


def _replaced(options: ControlOptions) -> Points:
    yield from _events("host replaced", options, _replace)


def _events(
    part: str, options: ControlOptions, act: Callable[[VirtualFleet], None]
) -> Points:
    for hosts in steps(options.hosts, RESTED):
        fleet = _settled(hosts, 3, options)
        idle = _run_window(fleet)
        act(fleet)
        left = fleet.alive
        window = _Window(fleet, left)
        busiest = _busiest_second(fleet, left, DETECT)
        extra = {
            name: (window.rate(name) - idle.rate(name)) * window.seconds
            for name in ("peer_messages", "peer_bytes", "seconds")
        }
        values = {
            "messages of a host": extra["peer_messages"],
            "bytes of a host": extra["peer_bytes"],
            "core s of a host": extra["seconds"],
            "peer bytes in the busiest second": busiest,
        }
        yield from _points(part, HOSTS, hosts, values)


def _die(fleet: VirtualFleet) -> None:
    fleet.kill(fleet.alive[-1], tell=False)


def _die_together(fleet: VirtualFleet) -> None:
    for host in fleet.alive[-RACK:]:
        fleet.kill(host, tell=False)


def _replace(fleet: VirtualFleet) -> None:
    host = fleet.alive[-1]
    identity = host.node.identity
    fleet.kill(host, tell=True)
    fleet.start_host(identity.failure_domain, identity.seat, f"{host.name}-new")


def _busiest_second(
    fleet: VirtualFleet, hosts: list[VirtualHost], seconds: float
) -> float:
    highest = 0.0
    for _ in range(round(seconds)):
        window = _Window(fleet, hosts)
        fleet.run(1.0)
        highest = max(highest, window.highest("peer_bytes"))
    return highest


def _domain_cut(options: ControlOptions) -> Points:
    """Measure a failure domain's absence for a minute, and its return."""
    yield from _partition("domain cut", options, 1)


def _region_cut(options: ControlOptions) -> Points:
    yield from _partition("region cut", options, 3)


def _partition(part: str, options: ControlOptions, count: int) -> Points:
    for hosts in steps(options.hosts, RESTED):
        fleet = _settled(hosts, 0, options)
        regions = sorted({domain.region for domain in fleet.domains})
        side = [d.name for d in fleet.domains if d.region == regions[0]][:count]
        rest = [d.name for d in fleet.domains if d.name not in side]
        fleet.cut(side, rest)
        beginning = _busiest_second(fleet, fleet.alive, PARTITION)
        fleet.cuts.clear()
        seconds, healing = _heal(fleet)
        values = {
            "peer bytes, busiest second of the cut": beginning,
            "peer bytes, busiest second of healing": healing,
            "s until all know all": seconds,
        }
        yield from _points(part, HOSTS, hosts, values)


def _heal(fleet: VirtualFleet) -> tuple[float, float]:
    """Return when all hosts knew all, and the busiest second, also of the next ten."""
    began = fleet.now
    highest = 0.0
    while not _all_known(fleet) and fleet.now - began < HEAL:
        highest = max(highest, _busiest_second(fleet, fleet.alive, 1.0))
    seconds = fleet.now - began
    return seconds, max(highest, _busiest_second(fleet, fleet.alive, 10.0))


def _all_known(fleet: VirtualFleet) -> bool:
    others = len(fleet.alive) - 1
    membership = (host.node.system(Membership) for host in fleet.alive)
    return all(len(each.live_hosts()) == others for each in membership)


def _promotion(options: ControlOptions) -> Points:
    """Measure a primary's crash: until all hosts know the next, and the messages."""
    for hosts in steps(options.hosts, RESTED):
        fleet = _settled(hosts, 3, options)
        idle = _run_window(fleet)
        window = _Window(fleet)
        took = [_fail_over(fleet, key) for key in fleet.databases]
        extra = (
            window.mean("control_messages")
            - idle.rate("control_messages") * window.seconds
        )
        values = {
            "until all know the next primary, s, longest": max(took),
            "control messages of a host": extra / len(took),
            "core s of a host": window.mean("seconds") / len(took)
            - idle.rate("seconds") * window.seconds / len(took),
        }
        yield from _points("promotion", HOSTS, hosts, values)


def _fail_over(fleet: VirtualFleet, key: str) -> float:
    row = fleet.alive[0].node.tables.databases[key]
    before = row.primary
    fleet.crash(fleet.members[before])

    def known() -> bool:
        rows = (host.node.tables.databases[key] for host in fleet.alive)
        return all(each.primary not in ("", before) for each in rows)

    took = fleet.run_until(known, 60.0)
    if took is None:
        raise RuntimeError(f"{key}: no primary that all know after 60 s")
    fleet.run(3.0)
    return took


def _domain_dies(options: ControlOptions) -> Points:
    """Measure a failure domain's end with its members: until all primaries are new."""
    for hosts in steps(options.hosts, RESTED):
        fleet = _settled(hosts, LOST_DATABASES, options)
        idle = _run_window(fleet)
        lost = _end_domain(fleet, fleet.domains[0].name)
        window = _Window(fleet)
        took = fleet.run_until(lambda f=fleet, gone=lost: _all_led(f, gone), 60.0)
        if took is None:
            raise RuntimeError(f"{hosts} hosts: not all primaries are new after 60 s")
        messages = window.mean("control_messages")
        values = {
            "primaries lost": sum(member.role is Role.PRIMARY for member in lost),
            "until all hosts know all primaries, s": took,
            "control messages of a host": messages
            - idle.rate("control_messages") * window.seconds,
        }
        yield from _points("domain dies", HOSTS, hosts, values)


def _end_domain(fleet: VirtualFleet, domain: str) -> list[VirtualMember]:
    for host in fleet.alive:
        if host.domain == domain:
            fleet.kill(host, tell=False)
    lost = [m for m in fleet.members.values() if m.member.failure_domain == domain]
    for member in lost:
        fleet.crash(member)
    return lost


def _all_led(fleet: VirtualFleet, lost: list[VirtualMember]) -> bool:
    gone = {"", *(member.member.address for member in lost)}
    return all(
        row.primary not in gone
        for host in fleet.alive
        for row in host.node.tables.databases.values()
    )


# -- Platform ----------------------------------------------------------------


def _platform(options: ControlOptions) -> Points:
    """Measure the whole fleet's calls, with as many seats as hosts."""
    for hosts in steps(options.hosts, RESTED):
        fleet = _settled(hosts, 3, options)
        window = _run_window(fleet, 60.0)
        values = {
            "reads/s of the fleet": window.rate("platform_reads") * hosts,
            "writes/s of the fleet": window.rate("platform_writes") * hosts,
        }
        yield from _points("platform", HOSTS, hosts, values)


def _platform_ahead(options: ControlOptions) -> Points:
    """Measure a host's registrations where the settings give the seats ahead."""
    for hosts in steps(options.hosts, RESTED):
        fleet = VirtualFleet(hosts, 0, seed=options.seed, seats=AHEAD.hosts)
        fleet.run(SETTLE)
        window = _run_window(fleet, 240.0)
        values = {
            "reads/s of the hosts": window.rate("platform_reads") * hosts,
            "writes/s of a host": window.rate("platform_writes"),
        }
        yield from _points(f"{AHEAD.hosts} seats", HOSTS, hosts, values)


def _shares(options: ControlOptions) -> Points:
    """Measure the processor time of one member's static share, over seats."""
    for hosts in steps(max(options.hosts, 512), 64):
        domains = VirtualFleet(8, 0, seats=hosts).domains
        began = time.thread_time()
        for number in range(20):
            static_share(20, domains, f"10.0.0.{number}:5432", domains[0].name, 0)
        values = {"core s, each member": (time.thread_time() - began) / 20}
        yield from _points("shares", HOSTS, hosts, values)


# -- Sessions ----------------------------------------------------------------


def _sessions(options: ControlOptions) -> Points:
    """Measure the core's memory and time of sessions that are open and idle."""
    for sessions in steps(options.sessions, 8):
        spent: list[float] = []

        def build(sessions: int = sessions, spent: list = spent) -> VirtualFleet:
            fleet = _settled(1, 3, options)
            host = fleet.alive[0]
            before = host.spent.seconds
            for number in range(sessions):
                _open(fleet, host, number + 1)
            spent.append(host.spent.seconds - before)
            return fleet

        memory = _core_bytes(build, 1)
        yield from _points(
            "sessions", SESSIONS, sessions, {"memory of the core, bytes": memory}
        )


def _open(fleet: VirtualFleet, host: VirtualHost, stream: int) -> None:
    request = OpenRequest(
        request_id="open", service="service-0", caller=f"caller-{stream}"
    )
    fleet.feed(host, events.CallerConnected(stream))
    fleet.feed(host, events.CallerRequested(stream, request))


PARTS: dict[str, Callable[[ControlOptions], Points]] = {
    "relay": _relay,
    "relay-memory": _relay_memory,
    "steward": _steward,
    "watch": _watch,
    "in-use": _in_use,
    "alone": _alone,
    "spread": _spread,
    "state": _state,
    "host-dies": _host_dies,
    "rack-dies": _rack_dies,
    "replaced": _replaced,
    "domain-cut": _domain_cut,
    "region-cut": _region_cut,
    "domain-dies": _domain_dies,
    "promotion": _promotion,
    "platform": _platform,
    "platform-ahead": _platform_ahead,
    "shares": _shares,
    "sessions": _sessions,
}
