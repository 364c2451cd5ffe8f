"""Who calls, what and how often: the mixes of both deployments.

The services and databases are those of the examples. Rates, shares and times to think
are assumptions; each run prints them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from mallowpass.errors import ErrorCode, error_for
from mallowpass.measure.workload import Kind

__all__ = ["MIXES", "LoadRole", "retargeted", "scaled"]


@dataclass(frozen=True, slots=True)
class LoadRole:
    """Describe callers of one kind; times are seconds, a median with its p99.

    Readers read what writers write to the same database in the same run.
    """

    name: str
    kind: Kind
    service: str
    database: str
    sessions: int
    period: float  # mean time between a session's steps
    accepted_age: float | None = None
    request_class: str = ""
    think: float = 0.0  # before a writer reads its record back; 0: it does not
    think_p99: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        """Return the service and database."""
        return self.service, self.database

    @property
    def rate(self) -> float:
        """Return how many steps all sessions begin in a second."""
        return self.sessions / self.period


def _writers(
    name: str, service: str, database: str, sessions: int, **options: object
) -> LoadRole:
    return LoadRole(
        name,
        Kind.WRITER,
        service,
        database,
        sessions,
        period=2.0,
        think=0.2,
        think_p99=2.0,
        **options,
    )


def _readers(
    name: str, service: str, database: str, sessions: int, age: float, **options: object
) -> LoadRole:
    return LoadRole(
        name,
        Kind.READER,
        service,
        database,
        sessions,
        period=1.0,
        accepted_age=age,
        **options,
    )


_CLAIMS = (
    _writers("caseworkers", "claims-core", "claims", 40, request_class="caseworkers"),
    _writers("tariff-clerks", "claims-core", "tariffs", 4),
    _writers("release-clerks", "claims-core", "containers", 8),
    _readers(
        "volunteers", "claims-core", "tariffs", 30, 60.0, request_class="volunteers"
    ),
    _writers("case-filers", "casework", "cases", 12, request_class="caseworkers"),
    _writers("status-clerks", "partner-status", "case-status", 4),
    _readers(
        "cooperatives",
        "partner-status",
        "case-status",
        30,
        2.0,
        request_class="cooperatives",
    ),
    _readers(
        "evening-checks",
        "partner-status",
        "case-status",
        10,
        30.0,
        request_class="evening-checks",
    ),
)
_TOWERS = (
    _writers("officers", "lease-ledger", "leases", 20, request_class="field-officers"),
    _writers(
        "receipt-officers",
        "rent-receipts",
        "receipts",
        20,
        request_class="field-officers",
    ),
    _writers("site-clerks", "carrier-portals", "site-lists", 4),
    _readers(
        "portals", "carrier-portals", "site-lists", 60, 1.0, request_class="portals"
    ),
    _readers(
        "reconciliation",
        "rent-receipts",
        "receipts",
        10,
        30.0,
        request_class="reconciliation",
    ),
)
MIXES = {"claims": _CLAIMS, "towers": _TOWERS}


def retargeted(
    roles: Iterable[LoadRole], service: str, database: str, targets: Iterable[str] = ()
) -> tuple[LoadRole, ...]:
    """Return roles that call another service or database; empty keeps the mix's.

    `targets` are of the form ROLE=SERVICE/DATABASE and come before the rest. A role
    that is sent elsewhere loses its class, which the other service may not have.
    """
    named = dict(map(_target, targets))
    found = tuple(_sent(role, service, database, named) for role in roles)
    for name in named.keys() - {role.name for role in found}:
        raise error_for(ErrorCode.INVALID_FIELD, "No such role.", role=name)
    return found


def _target(text: str) -> tuple[str, tuple[str, str]]:
    role, equals, place = text.partition("=")
    service, slash, database = place.partition("/")
    if not (role and equals and service and slash and database):
        form = "ROLE=SERVICE/DATABASE"
        raise error_for(ErrorCode.INVALID_FIELD, f"Not of the form {form}.", at=text)
    return role, (service, database)


def _sent(
    role: LoadRole, service: str, database: str, named: dict[str, tuple[str, str]]
) -> LoadRole:
    key = named.get(role.name, (service or role.service, database or role.database))
    if key == role.key:
        return role
    return replace(role, service=key[0], database=key[1], request_class="")


def scaled(
    roles: tuple[LoadRole, ...], rate: float = 0.0, sessions: int = 0
) -> tuple[LoadRole, ...]:
    """Return roles with so many steps a second and sessions in all; 0 keeps either.

    Every role keeps a session at least.
    """
    if sessions:
        share = sessions / sum(role.sessions for role in roles)
        roles = tuple(
            replace(role, sessions=max(1, round(role.sessions * share)))
            for role in roles
        )
    if rate:
        share = rate / sum(role.rate for role in roles)
        roles = tuple(replace(role, period=role.period / share) for role in roles)
    return roles
