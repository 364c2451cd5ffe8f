"""Validation of a service's definition, which reports all problems at once."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from mallowpass.core.records import record
from mallowpass.core.services import Database, Member, Service, database_key
from mallowpass.core.tables import ServiceRow
from mallowpass.units import parse_address

__all__ = ["ServiceProblem", "find_problems"]

NAME_LENGTH_MAX = 100
DATABASES_MAX = 200
MEMBERS_MAX = 15
CONNECTIONS_MAX = 100_000
QUEUE_LENGTH_MAX = 1_000_000
WEIGHT_MAX = 1_000
DURATION_MAX = 86_400.0  # seconds


@record
class ServiceProblem:
    """A problem of a definition, and its place in the definition."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def find_problems(
    name: str,
    service: Service,
    failure_domains: Iterable[str],
    others: Iterable[ServiceRow],
) -> list[ServiceProblem]:
    """Return all problems of a service, in the order of its definition.

    `others` are the services in force: no two databases may share an address.
    """
    owners = _address_owners(name, others)
    known_domains = frozenset(failure_domains)
    problems = [
        *_name_problems("name", service.name),
        *_service_problems(name, service),
        *_duplicate_problems("database", (d.name for d in service.databases)),
        *_duplicate_problems("class", (c.name for c in service.classes)),
    ]
    for database in service.databases:
        problems += _database_problems(database, known_domains)
        problems += _address_problems(name, database, owners)
    return problems


# -- Service -----------------------------------------------------------------


def _service_problems(name: str, service: Service) -> Iterator[ServiceProblem]:
    if service.name != name:
        yield ServiceProblem("name", f"{service.name!r} differs from {name!r}")
    if not 1 <= len(service.databases) <= DATABASES_MAX:
        count = len(service.databases)
        yield ServiceProblem("database", f"{count} declared, not 1 to {DATABASES_MAX}")
    yield from _range_problems(
        "queue_length", service.queue_length, 1, QUEUE_LENGTH_MAX
    )
    yield from _duration_problems("default_deadline", service.default_deadline)
    if service.default_deadline == 0:
        yield ServiceProblem("default_deadline", "0s leaves no time for any request")
    yield from _class_problems(service)
    yield from _read_age_problems(service)
    yield from _objective_problems(service)


def _class_problems(service: Service) -> Iterator[ServiceProblem]:
    if not service.classes:
        yield ServiceProblem("class", "none declared")
    for entry in service.classes:
        place = f"class {entry.name}"
        yield from _name_problems(place, entry.name)
        yield from _range_problems(f"{place} weight", entry.weight, 1, WEIGHT_MAX)


def _read_age_problems(service: Service) -> Iterator[ServiceProblem]:
    databases = {"", *(database.name for database in service.databases)}
    classes = {"", *(entry.name for entry in service.classes)}
    for number, age in enumerate(service.read_ages):
        place = f"read_age {number}"
        yield from _duration_problems(f"{place} age", age.accepted_age)
        if age.database not in databases:
            yield ServiceProblem(place, f"database {age.database!r} is not declared")
        if age.request_class not in classes:
            yield ServiceProblem(place, f"class {age.request_class!r} is not declared")


def _objective_problems(service: Service) -> Iterator[ServiceProblem]:
    objectives = service.objectives
    for name in ("write_availability", "replica_share"):
        share = getattr(objectives, name)
        if not 0 <= share <= 1:
            yield ServiceProblem(f"objectives {name}", f"{share} is not from 0 to 1")
    yield from _duration_problems("objectives latency_p99", objectives.latency_p99)
    yield from _duration_problems("objectives failover_gap", objectives.failover_gap)


# -- Databases ---------------------------------------------------------------


def _database_problems(
    database: Database, failure_domains: frozenset[str]
) -> Iterator[ServiceProblem]:
    place = f"database {database.name}"
    yield from _name_problems(place, database.name)
    yield from _range_problems(
        f"{place} connections", database.connections, 1, CONNECTIONS_MAX
    )
    yield from _range_problems(
        f"{place} concurrent_statements",
        database.concurrent_statements,
        0,
        CONNECTIONS_MAX,
    )
    yield from _duration_problems(f"{place} setup_time", database.setup_time)
    if not 1 <= len(database.members) <= MEMBERS_MAX:
        count = len(database.members)
        yield ServiceProblem(
            f"{place} member", f"{count} declared, not 1 to {MEMBERS_MAX}"
        )
    yield from _duplicate_problems(
        f"{place} member", (m.name for m in database.members)
    )
    for member in database.members:
        yield from _member_problems(place, member, failure_domains)


def _member_problems(
    database: str, member: Member, failure_domains: frozenset[str]
) -> Iterator[ServiceProblem]:
    place = f"{database} member {member.name}"
    yield from _name_problems(place, member.name)
    if member.failure_domain not in failure_domains:
        yield ServiceProblem(
            place, f"failure domain {member.failure_domain!r} is unknown"
        )
    try:
        if parse_address(member.address).port == 0:
            yield ServiceProblem(place, f"address {member.address!r} has port 0")
    except ValueError as error:
        yield ServiceProblem(place, f"address: {error}")


def _address_problems(
    service: str, database: Database, owners: dict[str, str]
) -> Iterator[ServiceProblem]:
    key = database_key(service, database.name)
    for member in database.members:
        owner = owners.setdefault(member.address, key)
        place = f"database {database.name} member {member.name}"
        if owner != key:
            yield ServiceProblem(
                place, f"address {member.address} belongs to database {owner}"
            )
    yield from _duplicate_problems(
        f"database {database.name} address", (m.address for m in database.members)
    )


def _address_owners(name: str, others: Iterable[ServiceRow]) -> dict[str, str]:
    return {
        member.address: database_key(row.accepted.name, database.name)
        for row in others
        if row.service is not None and row.accepted.name != name
        for database in row.service.databases
        for member in database.members
    }


# -- Values ------------------------------------------------------------------


def _name_problems(place: str, name: str) -> Iterator[ServiceProblem]:
    if not name or len(name) > NAME_LENGTH_MAX:
        yield ServiceProblem(
            place, f"{name!r} is not 1 to {NAME_LENGTH_MAX} characters long"
        )
    # With slashes in names, two databases of different services could share a key.
    elif "/" in name or not name.isprintable() or name != name.strip():
        yield ServiceProblem(
            place,
            f"{name!r} contains a slash or a control character, or begins or ends "
            "with a space",
        )


def _range_problems(
    place: str, value: int, low: int, high: int
) -> Iterator[ServiceProblem]:
    if not low <= value <= high:
        yield ServiceProblem(place, f"{value} is not from {low} to {high}")


def _duration_problems(place: str, value: float) -> Iterator[ServiceProblem]:
    if not math.isfinite(value) or not 0 <= value <= DURATION_MAX:
        yield ServiceProblem(place, f"{value}s is not from 0 to {DURATION_MAX:g}s")


def _duplicate_problems(place: str, names: Iterable[str]) -> Iterator[ServiceProblem]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield ServiceProblem(place, f"{name!r} is declared twice")
        seen.add(name)
