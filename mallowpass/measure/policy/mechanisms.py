"""Decisions that can be left out of a run, each replaced by its plainest form.

The code that is measured has no switches: what a mechanism consists of is replaced in
this process while a run lasts.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from mallowpass.core.proxy import (
    connections,
    holders,
    idleconnections,
    load,
    requests,
    shares,
)
from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.customerholders import CustomerHolders
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.holderloads import HolderLoads
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.leadership import Leadership
from mallowpass.core.proxy.links import Links
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.loadreporting import LoadReporting
from mallowpass.core.proxy.overloadswitchover import OverloadSwitchover
from mallowpass.core.proxy.policy import eviction, placement, sharing
from mallowpass.core.proxy.policy.sharing import Fleet, Plan
from mallowpass.core.proxy.ratelimits.allowances import Allowances
from mallowpass.core.proxy.ratelimits.leases import Leases
from mallowpass.core.proxy.relays import Relays
from mallowpass.core.proxy.sampling import Sampling
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.statements import EndpointReply
from mallowpass.core.proxy.tables import ConnectionRow, LinkRow, RequestRow

__all__ = ["MECHANISMS", "Mechanism", "UnknownMechanism", "without"]


class UnknownMechanism(ValueError):
    """Say that nothing of a name can be left out."""


@dataclass(frozen=True, slots=True)
class _Replacement:
    """Hold what stands in the place of an attribute of a module or class."""

    owner: Any
    name: str
    plain: Any


@dataclass(frozen=True, slots=True)
class Mechanism:
    """Describe a decision that can be left out, and what its plainest form is."""

    name: str
    plainest: str
    replacements: tuple[_Replacement, ...]


def _always(value: Any) -> Callable[..., Any]:
    def answer(*arguments: Any, **named: Any) -> Any:
        return value

    return answer


def _by_arrival(request: RequestRow) -> tuple[int, float]:
    return (0, request.arrived_at)


def _until_timeout(request: RequestRow) -> float:
    return request.expires_at


def _without_report(
    self: LoadReporting, link: LinkRow, reply: EndpointReply, waiting: list[LinkRow]
) -> EndpointReply:
    return reply


def _direct_plan(service: str, limit: int, fleet: Fleet, statements: int) -> Plan:
    usable = int(limit * (1.0 - sharing.RESERVED_SHARE))
    return Plan(direct=True, share=max(1, usable // max(1, fleet.size)))


def _plan_without_rest(service: str, limit: int, fleet: Fleet, statements: int) -> Plan:
    plan = sharing.make_plan(service, limit, fleet, statements)
    return Plan(plan.direct, plan.share, plan.holders)


def _equal_shares(equal: Mapping[str, int], local: Collection[str]) -> dict[str, int]:
    return dict(equal)


def _idle_longest(
    connections: Iterable[ConnectionRow], customer: str, now: float
) -> ConnectionRow | None:
    others = [each for each in connections if each.customer != customer]
    return eviction.choose_eviction(others, customer, now)


def _mechanism(name: str, plainest: str, *parts: tuple[Any, str, Any]) -> Mechanism:
    return Mechanism(name, plainest, tuple(_Replacement(*part) for part in parts))


MECHANISMS = (
    _mechanism(
        "priority",
        "first come, first served",
        (requests, "urgency", _by_arrival),
    ),
    _mechanism(
        "early-refusal",
        "what no endpoint has room for waits to its timeout",
        (requests, "held_until", _until_timeout),
        (requests, "is_turned_away", _always(False)),
    ),
    _mechanism(
        "expected-waits",
        "what waits is refused after a fixed time, however fast its queue is",
        (AdmissionControl, "is_active", property(_always(False))),
    ),
    _mechanism(
        "parts-of-a-full-endpoint",
        "hosts send an endpoint whatever they have connections for",
        (Load, "has_room", _always(True)),
    ),
    _mechanism(
        "cost-of-other-regions",
        "another region costs nothing",
        (placement, "OTHER_REGION_COST", 0.0),
    ),
    _mechanism(
        "cost-of-the-primary",
        "reads go to the primary as to a replica",
        (placement, "PRIMARY_COST", 0.0),
    ),
    _mechanism(
        "avoided-endpoints",
        "an endpoint that did not serve a statement is asked again",
        (placement, "AVOIDED_COST", 0.0),
    ),
    _mechanism(
        "relief",
        "a full primary keeps the lead",
        (OverloadSwitchover, "_on_behind", _always(None)),
    ),
    _mechanism(
        "stalls",
        "writes are sent to a primary that acknowledges none",
        (Stalls, "should_refuse_write", _always(False)),
    ),
    _mechanism(
        "room-beside-hanging-commits",
        "commits that hang count among what a full endpoint should have",
        (Stalls, "is_hanging", _always(False)),
    ),
    _mechanism(
        "holders-watch-writes",
        "a holder knows of its own callers' writes that hang",
        (Links, "_check_write", _always(None)),
    ),
    _mechanism(
        "half-share-after-a-start",
        "a host that starts opens its whole share",
        (shares, "FIRST_TIME", 0.0),
    ),
    _mechanism(
        "reserve",
        "shares leave nothing of the limit free",
        (sharing, "RESERVED_SHARE", 0.0),
    ),
    _mechanism(
        "lent-connections",
        "no host serves another by its idle connections",
        (Shares, "lender", _always(None)),
    ),
    _mechanism(
        "holders",
        "each host connects to each endpoint",
        (holders, "make_plan", _direct_plan),
    ),
    _mechanism(
        "left-over-connections",
        "what is left of the limit after equal shares is not used",
        (holders, "make_plan", _plan_without_rest),
    ),
    _mechanism(
        "spare-connections",
        "connections beyond half of the share are kept as long as others",
        (idleconnections, "SPARE_IDLE_MAX", idleconnections.IDLE_MAX),
    ),
    _mechanism(
        "floors-asked-for",
        "reads without a floor go to the primary",
        (Sampling, "is_coming", _always(False)),
    ),
    _mechanism(
        "back-off-of-replicas-behind",
        "a replica that is behind is asked by each read",
        (Floors, "may_have", _always(True)),
    ),
    _mechanism(
        "holders-out-of-reach",
        "a holder without a connection says that it is full",
        (Connections, "can_reach", _always(True)),
        (Links, "_on_unreachable", _always(None)),
    ),
    _mechanism(
        "own-way-when-cut-off",
        "a host that no holder answers knows no other way",
        (Holders, "is_cut_off", _always(False)),
    ),
    _mechanism(
        "proofs-by-commits",
        "an acknowledged commit proves nothing of the lead",
        (Leadership, "note_acknowledgement", _always(None)),
    ),
    _mechanism(
        "relays",
        "each host waits for changes at the store",
        (Relays, "has_relays", property(_always(False))),
    ),
    _mechanism(
        "leases",
        "hosts begin operations only by grants that they request",
        (Leases, "_renew_all", _always(None)),
    ),
    _mechanism(
        "returned-grants",
        "grants of operations that did not begin serve the same host or lapse",
        (Allowances, "_give_back", _always(False)),
    ),
    _mechanism(
        "queue-at-endpoints",
        "an endpoint counts as full only after a second of waiting",
        (load, "QUEUE_TIME_MAX", 1.0),
    ),
    _mechanism(
        "regional-shares",
        "all holders have equal shares of an endpoint of another region",
        (holders, "regional_shares", _equal_shares),
    ),
    _mechanism(
        "customer-affinity",
        "customers' statements go to the nearest holder",
        (CustomerHolders, "applies", _always(False)),
    ),
    _mechanism(
        "kept-customer-connections",
        "idle connections of customers are closed as early as others",
        (idleconnections, "CUSTOMER_IDLE_MAX", idleconnections.IDLE_MAX),
        (idleconnections, "CUSTOMER_SPARE_IDLE_MAX", idleconnections.SPARE_IDLE_MAX),
    ),
    _mechanism(
        "wait-for-own-connection",
        "a customer gets another connection in place of any idle one at once",
        (connections, "choose_eviction", _idle_longest),
    ),
    _mechanism(
        "load-reports",
        "hosts know of a holder's load only that it refused",
        (LoadReporting, "add_report", _without_report),
        (HolderLoads, "_take", _always(None)),
    ),
)


@contextmanager
def without(names: Iterable[str]) -> Iterator[None]:
    """Leave mechanisms out while the context lasts; UnknownMechanism names a wrong one.

    Hosts that are made in it behave so; it must not be left before their runs end.
    """
    known = {mechanism.name: mechanism for mechanism in MECHANISMS}
    for name in names:
        if name not in known:
            raise UnknownMechanism(f"{name!r} is none of {', '.join(known)}")
    replaced: list[tuple[_Replacement, Any]] = []
    try:
        for name in names:
            for each in known[name].replacements:
                before = vars(each.owner)[each.name]
                replaced.append((each, before))
                setattr(each.owner, each.name, each.plain)
        yield
    finally:
        for each, before in reversed(replaced):
            setattr(each.owner, each.name, before)
