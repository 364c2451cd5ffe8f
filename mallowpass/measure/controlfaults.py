"""Measure what faults of hosts, domains, regions and primaries cost other hosts."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import Role
from mallowpass.core.systems.membership import Membership
from mallowpass.measure.counting import (
    HOSTS,
    RESTED,
    ControlOptions,
    Points,
    Window,
    busiest_second,
    points_of,
    run_window,
    settled,
)
from mallowpass.measure.sizes import steps
from mallowpass.measure.virtual import VirtualFleet
from mallowpass.measure.virtualgroups import VirtualMember

__all__ = ["FAULT_PARTS"]

RACK = 8  # hosts
LOST_DATABASES = 24
PARTITION = 60.0
DETECT = 20.0  # virtual seconds in which a fault's news are over
HEAL = 120.0  # virtual seconds


# -- Hosts -------------------------------------------------------------------


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
        fleet = settled(hosts, 3, options)
        idle = run_window(fleet)
        act(fleet)
        left = fleet.alive
        window = Window(fleet, left)
        busiest = busiest_second(fleet, left, DETECT)
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
        yield from points_of(part, HOSTS, hosts, values)


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


# -- Partitions --------------------------------------------------------------


def _domain_cut(options: ControlOptions) -> Points:
    """Measure a failure domain's absence for a minute, and its return."""
    yield from _partition("domain cut", options, 1)


def _region_cut(options: ControlOptions) -> Points:
    yield from _partition("region cut", options, 3)


def _partition(part: str, options: ControlOptions, count: int) -> Points:
    for hosts in steps(options.hosts, RESTED):
        fleet = settled(hosts, 0, options)
        regions = sorted({domain.region for domain in fleet.domains})
        side = [d.name for d in fleet.domains if d.region == regions[0]][:count]
        rest = [d.name for d in fleet.domains if d.name not in side]
        fleet.cut(side, rest)
        beginning = busiest_second(fleet, fleet.alive, PARTITION)
        fleet.cuts.clear()
        seconds, healing = _heal(fleet)
        values = {
            "peer bytes, busiest second of the cut": beginning,
            "peer bytes, busiest second of healing": healing,
            "s until all know all": seconds,
        }
        yield from points_of(part, HOSTS, hosts, values)


def _heal(fleet: VirtualFleet) -> tuple[float, float]:
    """Return when all hosts knew all, and the busiest second, also of the next ten."""
    began = fleet.now
    highest = 0.0
    while not _all_known(fleet) and fleet.now - began < HEAL:
        highest = max(highest, busiest_second(fleet, fleet.alive, 1.0))
    seconds = fleet.now - began
    return seconds, max(highest, busiest_second(fleet, fleet.alive, 10.0))


def _all_known(fleet: VirtualFleet) -> bool:
    others = len(fleet.alive) - 1
    membership = (host.node.system(Membership) for host in fleet.alive)
    return all(len(each.live_hosts()) == others for each in membership)


# -- Primaries ---------------------------------------------------------------


def _promotion(options: ControlOptions) -> Points:
    """Measure a primary's crash: until all hosts know the next, and the messages."""
    for hosts in steps(options.hosts, RESTED):
        fleet = settled(hosts, 3, options)
        idle = run_window(fleet)
        window = Window(fleet)
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
        yield from points_of("promotion", HOSTS, hosts, values)


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
        fleet = settled(hosts, LOST_DATABASES, options)
        idle = run_window(fleet)
        lost = _end_domain(fleet, fleet.domains[0].name)
        window = Window(fleet)
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
        yield from points_of("domain dies", HOSTS, hosts, values)


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


FAULT_PARTS: dict[str, Callable[[ControlOptions], Points]] = {
    "host-dies": _host_dies,
    "rack-dies": _rack_dies,
    "replaced": _replaced,
    "domain-cut": _domain_cut,
    "region-cut": _region_cut,
    "domain-dies": _domain_dies,
    "promotion": _promotion,
}
