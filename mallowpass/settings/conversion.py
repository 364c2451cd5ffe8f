"""Turn a service's definition file into the service that the fleet agrees on."""

from __future__ import annotations

from mallowpass.core.services import (
    DEFAULT_CLASS,
    Database,
    Member,
    Objectives,
    ReadAge,
    RequestClass,
    Service,
)

from .service import DatabaseDefinition, ServiceDefinition

__all__ = ["service_of"]


def service_of(definition: ServiceDefinition) -> Service:
    """Return the service that a definition describes."""
    return Service(
        name=definition.name,
        databases=tuple(map(_database_of, definition.databases)),
        read_ages=_read_ages_of(definition),
        classes=_classes_of(definition),
        queue_length=definition.limits.queue_length,
        minority_reads=definition.minority_reads,
        objectives=_objectives_of(definition),
    )


def _database_of(definition: DatabaseDefinition) -> Database:
    return Database(
        name=definition.name,
        members=tuple(
            Member(member.name, str(member.address), member.failure_domain)
            for member in definition.members
        ),
        connections=definition.connections,
        concurrent_statements=definition.concurrent_statements,
        setup_time=definition.setup_time,
        manual_promotion=definition.promotion == "manual",
    )


def _read_ages_of(definition: ServiceDefinition) -> tuple[ReadAge, ...]:
    ages = [
        ReadAge(age.age, age.database, age.request_class)
        for age in definition.read_ages
    ]
    # An age of 0 for the whole service is how a file says that it declares none:
    # its reads then show what their session has seen, wherever they run.
    if definition.accepted_age:
        ages.append(ReadAge(definition.accepted_age))
    return tuple(ages)


def _classes_of(definition: ServiceDefinition) -> tuple[RequestClass, ...]:
    classes = tuple(
        RequestClass(entry.name, entry.weight, entry.kind == "patient")
        for entry in definition.classes
    )
    return classes or (RequestClass(DEFAULT_CLASS),)


def _objectives_of(definition: ServiceDefinition) -> Objectives:
    stated = definition.objectives
    return Objectives(
        write_availability=stated.write_availability,
        latency_p99=stated.latency_p99,
        failover_gap=stated.failover_gap,
        replica_share=stated.replica_share,
    )
