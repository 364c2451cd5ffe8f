"""Translate operators' messages to the core's classes and back, for both ends."""

from __future__ import annotations

import dataclasses
import time
from functools import singledispatch
from typing import Any

from mallowpass.adapters.form import check_text, to_milliseconds
from mallowpass.core import operations as core
from mallowpass.core.services import (
    Database,
    Member,
    Objectives,
    ReadAge,
    RequestClass,
    Service,
    ServiceVersion,
)
from mallowpass.schema import operators_pb2 as wire

__all__ = [
    "answer_from_wire",
    "answer_to_wire",
    "request_from_wire",
    "service_from_wire",
    "service_to_wire",
]

EXPLAIN_LIMIT = 100
EXPLAIN_LIMIT_MAX = 1000
EXPLAIN_SUBJECTS = ("request", "database", "config")


# -- Services ----------------------------------------------------------------


def service_from_wire(message: wire.ServiceDefinition) -> Service:
    """Return a service; what is left out or 0 takes the core's default.

    Whether the definition makes sense is for the core to find, all at once.
    """
    given: dict[str, Any] = {}
    if message.classes:
        given["classes"] = tuple(map(_class_from_wire, message.classes))
    if message.queue_length:
        given["queue_length"] = message.queue_length
    if message.default_deadline_ms:
        given["default_deadline"] = message.default_deadline_ms / 1000
    if message.HasField("objectives"):
        given["objectives"] = _objectives_from_wire(message.objectives)
    return Service(
        name=message.name,
        databases=tuple(map(_database_from_wire, message.databases)),
        read_ages=tuple(map(_read_age_from_wire, message.read_ages)),
        minority_reads=message.minority_reads,
        **given,
    )


def service_to_wire(service: Service) -> wire.ServiceDefinition:
    """Return the message of a service."""
    objectives = service.objectives
    return wire.ServiceDefinition(
        name=service.name,
        databases=map(_database_to_wire, service.databases),
        read_ages=[
            wire.ReadAge(
                database=age.database,
                request_class=age.request_class,
                accepted_age_ms=to_milliseconds(age.accepted_age),
            )
            for age in service.read_ages
        ],
        classes=[
            wire.RequestClass(name=each.name, weight=each.weight, patient=each.patient)
            for each in service.classes
        ],
        queue_length=service.queue_length,
        default_deadline_ms=to_milliseconds(service.default_deadline),
        minority_reads=service.minority_reads,
        objectives=wire.Objectives(
            write_availability=objectives.write_availability,
            latency_p99_ms=to_milliseconds(objectives.latency_p99),
            failover_gap_ms=to_milliseconds(objectives.failover_gap),
            replica_share=objectives.replica_share,
        ),
    )


def _database_from_wire(message: wire.DatabaseDefinition) -> Database:
    members = tuple(
        Member(member.name, member.address, member.failure_domain)
        for member in message.members
    )
    return Database(
        name=message.name,
        members=members,
        connections=message.connections,
        concurrent_statements=message.concurrent_statements,
        setup_time=message.setup_time_ms / 1000,
        manual_promotion=message.manual_promotion,
    )


def _database_to_wire(database: Database) -> wire.DatabaseDefinition:
    members = [
        wire.MemberDefinition(
            name=member.name,
            address=member.address,
            failure_domain=member.failure_domain,
        )
        for member in database.members
    ]
    return wire.DatabaseDefinition(
        name=database.name,
        members=members,
        connections=database.connections,
        concurrent_statements=database.concurrent_statements,
        setup_time_ms=to_milliseconds(database.setup_time),
        manual_promotion=database.manual_promotion,
    )


def _read_age_from_wire(message: wire.ReadAge) -> ReadAge:
    age = message.accepted_age_ms / 1000
    return ReadAge(age, message.database, message.request_class)


def _class_from_wire(message: wire.RequestClass) -> RequestClass:
    return RequestClass(message.name, message.weight or 1, message.patient)


def _objectives_from_wire(message: wire.Objectives) -> Objectives:
    default = Objectives()
    return Objectives(
        write_availability=message.write_availability or default.write_availability,
        latency_p99=message.latency_p99_ms / 1000 or default.latency_p99,
        failover_gap=message.failover_gap_ms / 1000 or default.failover_gap,
        replica_share=message.replica_share or default.replica_share,
    )


def _version_to_wire(version: ServiceVersion) -> wire.ServiceState:
    # A deleted service still has its name: clients see by the missing databases
    # and the version that it is gone.
    if version.service is None:
        definition = wire.ServiceDefinition(name=version.name)
    else:
        definition = service_to_wire(version.service)
    return wire.ServiceState(
        service=definition,
        version=version.version,
        change_id=version.change_id,
        changed_by=version.changed_by,
    )


def _version_from_wire(message: wire.ServiceState) -> ServiceVersion:
    definition = message.service
    service = service_from_wire(definition) if definition.databases else None
    return ServiceVersion(
        definition.name,
        message.version,
        service,
        message.change_id,
        message.changed_by,
    )


# -- Requests ----------------------------------------------------------------


def request_from_wire(method: str, message: Any, operator: str) -> core.OperatorRequest:
    """Return the core's request of a call; raise BadRequestError for a bad form."""
    return _REQUESTS[method](message, operator)


def _create(message: wire.ServiceChange, operator: str) -> core.OperatorRequest:
    return dataclasses.replace(_change(message, operator), from_version=0)


def _change(message: wire.ServiceChange, operator: str) -> core.ChangeServiceRequest:
    return core.ChangeServiceRequest(
        operator=operator,
        name=check_text("service.name", message.service.name),
        service=service_from_wire(message.service),
        from_version=message.from_version,
        change_id=check_text("change_id", message.change_id),
    )


def _delete(message: wire.ServiceChange, operator: str) -> core.OperatorRequest:
    return dataclasses.replace(_change(message, operator), service=None)


def _list(message: wire.ListServicesCall, operator: str) -> core.OperatorRequest:
    return core.ListServicesRequest(operator=operator, name=message.name)


def _drain(message: wire.DrainHostCall, operator: str) -> core.OperatorRequest:
    host = check_text("host", message.host)
    limit = message.limit_ms / 1000
    return core.DrainRequest(operator=operator, host=host, limit=limit)


def _promote(message: wire.PromoteMemberCall, operator: str) -> core.OperatorRequest:
    return core.PromoteRequest(
        operator=operator,
        service=check_text("service", message.service),
        database=check_text("database", message.database),
        member=check_text("member", message.member),
    )


def _status(_message: wire.StatusCall, operator: str) -> core.OperatorRequest:
    return core.StatusRequest(operator=operator)


def _explain(message: wire.ExplainCall, operator: str) -> core.OperatorRequest:
    return core.ExplainRequest(
        operator=operator,
        subject=check_text("subject", message.subject),
        name=message.name,
        limit=min(message.limit or EXPLAIN_LIMIT, EXPLAIN_LIMIT_MAX),
    )


_REQUESTS = {
    "CreateService": _create,
    "ChangeService": _change,
    "DeleteService": _delete,
    "ListServices": _list,
    "DrainHost": _drain,
    "PromoteMember": _promote,
    "Status": _status,
    "Explain": _explain,
}


# -- Answers to the wire -----------------------------------------------------


@singledispatch
def answer_to_wire(answer: core.OperatorAnswer, host: str) -> Any:
    """Return the message of an answer that `host` gives."""
    raise TypeError(f"no message for {answer!r}")


@answer_to_wire.register
def _(answer: core.ServiceChangedAnswer, host: str) -> wire.ServiceChanged:
    current = None if answer.current is None else _version_to_wire(answer.current)
    return wire.ServiceChanged(
        accepted=answer.accepted,
        code=answer.code,
        message=answer.message,
        current=current,
    )


@answer_to_wire.register
def _(answer: core.ServicesListedAnswer, host: str) -> wire.ServiceList:
    return wire.ServiceList(services=map(_version_to_wire, answer.services))


@answer_to_wire.register
def _(answer: core.DrainAnswer, host: str) -> wire.DrainHostAnswer:
    return wire.DrainHostAnswer(
        accepted=answer.accepted, code=answer.code, message=answer.message
    )


@answer_to_wire.register
def _(answer: core.PromoteAnswer, host: str) -> wire.PromoteMemberAnswer:
    return wire.PromoteMemberAnswer(
        accepted=answer.accepted,
        code=answer.code,
        message=answer.message,
        term=answer.term,
    )


@answer_to_wire.register
def _(answer: core.StatusAnswer, host: str) -> wire.StatusAnswer:
    peers = [
        wire.PeerStatus(
            host=peer.host, failure_domain=peer.failure_domain, state=peer.state
        )
        for peer in answer.peers
    ]
    services = [
        wire.ServiceVersion(name=name, version=version)
        for name, version in answer.services
    ]
    return wire.StatusAnswer(
        host=answer.host,
        failure_domain=answer.failure_domain,
        draining=answer.draining,
        sessions=answer.sessions,
        requests=answer.requests,
        databases=map(_database_status_to_wire, answer.databases),
        peers=peers,
        figures=answer.figures,
        services=services,
    )


@answer_to_wire.register
def _(answer: core.ExplainedAnswer, host: str) -> wire.ExplainAnswer:
    now = time.time()
    decisions = [
        wire.Decision(
            at=now - decision.at,
            host=decision.host,
            kind=decision.kind,
            subject=decision.subject,
            text=decision.text,
        )
        for decision in answer.decisions
    ]
    return wire.ExplainAnswer(
        decisions=decisions, code=answer.code, message=answer.message
    )


def _database_status_to_wire(status: core.DatabaseStatus) -> wire.DatabaseStatus:
    return wire.DatabaseStatus(
        service=status.service,
        database=status.database,
        term=status.term,
        primary=status.primary,
        state=status.state,
        members=map(_member_status_to_wire, status.members),
        waiting=status.waiting,
        steward=status.steward,
    )


def _member_status_to_wire(status: core.MemberStatus) -> wire.MemberStatus:
    age = status.report_age
    return wire.MemberStatus(
        name=status.name,
        failure_domain=status.failure_domain,
        role=status.role,
        term=status.term,
        received=status.received,
        applied=status.applied,
        connections_open=status.connections_open,
        connections_used=status.connections_used,
        connections_share=status.connections_share,
        report_age_ms=-1 if age is None else round(age * 1000),
        leaving=status.leaving,
    )


# -- Answers from the wire ---------------------------------------------------


def answer_from_wire(message: Any) -> Any:
    """Return the core's answer of a message that a host sent."""
    return _ANSWERS[type(message)](message)


def _changed(message: wire.ServiceChanged) -> core.ServiceChangedAnswer:
    has_current = message.HasField("current")
    return core.ServiceChangedAnswer(
        accepted=message.accepted,
        code=message.code,
        message=message.message,
        current=_version_from_wire(message.current) if has_current else None,
    )


def _listed(message: wire.ServiceList) -> core.ServicesListedAnswer:
    services = tuple(map(_version_from_wire, message.services))
    return core.ServicesListedAnswer(services=services)


def _drained(message: wire.DrainHostAnswer) -> core.DrainAnswer:
    return core.DrainAnswer(
        accepted=message.accepted, code=message.code, message=message.message
    )


def _promoted(message: wire.PromoteMemberAnswer) -> core.PromoteAnswer:
    return core.PromoteAnswer(
        accepted=message.accepted,
        code=message.code,
        message=message.message,
        term=message.term,
    )


def _status_of(message: wire.StatusAnswer) -> core.StatusAnswer:
    return core.StatusAnswer(
        host=message.host,
        failure_domain=message.failure_domain,
        draining=message.draining,
        sessions=message.sessions,
        requests=message.requests,
        databases=tuple(map(_database_status_from_wire, message.databases)),
        peers=tuple(
            core.PeerStatus(
                host=peer.host, failure_domain=peer.failure_domain, state=peer.state
            )
            for peer in message.peers
        ),
        services=tuple((each.name, each.version) for each in message.services),
        figures=dict(message.figures),
    )


def _explained(message: wire.ExplainAnswer) -> core.ExplainedAnswer:
    now = time.time()
    decisions = tuple(
        core.Decision(now - each.at, each.host, each.kind, each.subject, each.text)
        for each in message.decisions
    )
    return core.ExplainedAnswer(
        decisions=decisions, code=message.code, message=message.message
    )


_ANSWERS = {
    wire.ServiceChanged: _changed,
    wire.ServiceList: _listed,
    wire.DrainHostAnswer: _drained,
    wire.PromoteMemberAnswer: _promoted,
    wire.StatusAnswer: _status_of,
    wire.ExplainAnswer: _explained,
}


def _database_status_from_wire(message: wire.DatabaseStatus) -> core.DatabaseStatus:
    return core.DatabaseStatus(
        service=message.service,
        database=message.database,
        term=message.term,
        primary=message.primary,
        state=message.state,
        members=tuple(map(_member_status_from_wire, message.members)),
        waiting=message.waiting,
        steward=message.steward,
    )


def _member_status_from_wire(message: wire.MemberStatus) -> core.MemberStatus:
    age_ms = message.report_age_ms
    return core.MemberStatus(
        name=message.name,
        failure_domain=message.failure_domain,
        role=message.role,
        term=message.term,
        received=message.received,
        applied=message.applied,
        connections_open=message.connections_open,
        connections_used=message.connections_used,
        connections_share=message.connections_share,
        report_age=None if age_ms < 0 else age_ms / 1000,
        leaving=message.leaving,
    )
