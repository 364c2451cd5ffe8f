"""The definition of a service, as an operator writes it in a file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from mallowpass.errors import ErrorCode
from mallowpass.units import Address

from . import kinds
from .kinds import Section
from .reader import read_file, read_text

if TYPE_CHECKING:
    from .findings import KeyPath
    from .reader import Checker

__all__ = [
    "ClassDefinition",
    "DatabaseDefinition",
    "MemberDefinition",
    "ObjectivesDefinition",
    "ReadAgeDefinition",
    "ServiceDefinition",
    "ServiceLimits",
    "load_service_definition",
]


@dataclass(frozen=True, slots=True)
class MemberDefinition(Section):
    """Say where an endpoint, one member of a database's group, is."""

    name: str = kinds.name()
    address: Address = kinds.address()
    failure_domain: str = kinds.name()


@dataclass(frozen=True, slots=True)
class DatabaseDefinition(Section):
    """Describe one database: its members and what each of them can bear."""

    name: str = kinds.name()
    connections: int = kinds.integer(maximum=100_000)
    members: tuple[MemberDefinition, ...] = kinds.tables(
        MemberDefinition, key="member", minimum=1
    )
    concurrent_statements: int = kinds.integer(8, maximum=100_000)
    setup_time: float = kinds.duration("12ms")
    promotion: str = kinds.choice("automatic", "manual")

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find members of the same name."""
        names = [
            ((*path, "member", index, "name"), member.name)
            for index, member in enumerate(self.members)
        ]
        checker.add_duplicates(names, "member")


@dataclass(frozen=True, slots=True)
class ReadAgeDefinition(Section):
    """Declare how old data may be for reads of a database, a class, or both."""

    age: float = kinds.duration()
    database: str = kinds.text(default="")
    request_class: str = kinds.text(default="", key="class")

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find an age that is declared for nothing."""
        if not self.database and not self.request_class:
            message = "needs a database or a class; accepted_age is for the service"
            checker.add(ErrorCode.MISSING_KEY, path, message)


@dataclass(frozen=True, slots=True)
class ServiceLimits(Section):
    """Bound what waits for the service on one host."""

    queue_length: int = kinds.integer(1_000)


@dataclass(frozen=True, slots=True)
class ClassDefinition(Section):
    """Describe a class of requests; patient ones wait behind interactive ones."""

    name: str = kinds.name()
    weight: int = kinds.integer(1, maximum=1_000)
    kind: str = kinds.choice("interactive", "patient")


@dataclass(frozen=True, slots=True)
class ObjectivesDefinition(Section):
    """State what the service should reach; the burn report measures against it."""

    write_availability: float = kinds.number(0.999, maximum=1.0)
    latency_p99: float = kinds.duration("100ms", minimum="1ms")
    failover_gap: float = kinds.duration("5s", minimum="1ms")
    replica_share: float = kinds.number(0.5, maximum=1.0)
    read_age: float = kinds.duration("5s")


@dataclass(frozen=True, slots=True)
class ServiceDefinition(Section):
    """Define a service; durations are seconds."""

    name: str = kinds.name()
    databases: tuple[DatabaseDefinition, ...] = kinds.tables(
        DatabaseDefinition, key="database", minimum=1
    )
    accepted_age: float = kinds.duration("0s")
    minority_reads: bool = kinds.flag(False)
    read_ages: tuple[ReadAgeDefinition, ...] = kinds.tables(
        ReadAgeDefinition, key="read_age"
    )
    classes: tuple[ClassDefinition, ...] = kinds.tables(ClassDefinition, key="class")
    limits: ServiceLimits = kinds.table(ServiceLimits, required=False)
    objectives: ObjectivesDefinition = kinds.table(ObjectivesDefinition, required=False)

    @classmethod
    def from_text(cls, text: str, name: str = "<text>") -> ServiceDefinition:
        """Return the definition in a TOML text; `name` stands for it in findings."""
        return read_text(cls, text, name)

    def read_age(self, database: str, request_class: str = "") -> float:
        """Return the accepted age of a read, in seconds.

        Of the declarations that fit, the one for the database and the class goes
        first, then the one for the class, then the one for the database.
        """
        ages = {(age.database, age.request_class): age.age for age in self.read_ages}
        tries = [(database, request_class), ("", request_class), (database, "")]
        return next((ages[key] for key in tries if key in ages), self.accepted_age)

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find entries given twice and read ages for what is not declared."""
        databases = [
            (("database", index, "name"), database.name)
            for index, database in enumerate(self.databases)
        ]
        classes = [
            (("class", index, "name"), entry.name)
            for index, entry in enumerate(self.classes)
        ]
        checker.add_duplicates(databases, "database")
        checker.add_duplicates(classes, "class")
        checker.add_duplicates(self._addresses(), "address")
        self._check_read_ages(checker)

    def _addresses(self) -> list[tuple[KeyPath, object]]:
        return [
            (("database", index, "member", at, "address"), member.address)
            for index, database in enumerate(self.databases)
            for at, member in enumerate(database.members)
        ]

    def _check_read_ages(self, checker: Checker) -> None:
        databases = [database.name for database in self.databases]
        classes = [entry.name for entry in self.classes]
        declared = []
        for index, entry in enumerate(self.read_ages):
            path = ("read_age", index)
            declared.append((path, (entry.database, entry.request_class)))
            if entry.database:
                place = (*path, "database")
                checker.add_unknown_reference(
                    place, entry.database, databases, "database"
                )
            if entry.request_class:
                place = (*path, "class")
                checker.add_unknown_reference(
                    place, entry.request_class, classes, "class"
                )
        checker.add_duplicates(declared, "read age of")


def load_service_definition(path: str | Path) -> ServiceDefinition:
    """Return the definition in a file; raise SettingsError with every finding."""
    return read_file(ServiceDefinition, path)
