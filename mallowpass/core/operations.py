"""Requests of operators, and the answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from mallowpass.core.messages import Decision
from mallowpass.core.services import Service, ServiceVersion

__all__ = [
    "ChangeServiceRequest",
    "Decision",
    "DatabaseStatus",
    "DrainAnswer",
    "DrainRequest",
    "ExplainedAnswer",
    "ExplainRequest",
    "ListServicesRequest",
    "MemberStatus",
    "OperatorAnswer",
    "OperatorRequest",
    "PeerStatus",
    "PromoteAnswer",
    "PromoteRequest",
    "ServiceChangedAnswer",
    "ServicesListedAnswer",
    "StatusAnswer",
    "StatusRequest",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRequest:
    """Base class of the requests of operators.

    `operator` is the name of the operator, whom the adapter has authenticated.
    """

    operator: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeServiceRequest(OperatorRequest):
    """Create, change or delete a service."""

    name: str
    service: Service | None  # None: delete it
    from_version: int  # the version to be replaced; 0: create it
    change_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListServicesRequest(OperatorRequest):
    """List all services, or the service of a name."""

    name: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequest(OperatorRequest):
    """Drain a host."""

    host: str
    limit: float = 0.0  # time for the work in flight, seconds; 0: the default


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteRequest(OperatorRequest):
    """Switch a database over to a member."""

    service: str
    database: str
    member: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest(OperatorRequest):
    """Request the state of this host, and its view of databases and other hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainRequest(OperatorRequest):
    """Request the decisions about a subject: "request", "database" or "config"."""

    subject: str
    name: str
    limit: int = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorAnswer:
    """Base class of the answers to operators; an empty code means success."""

    code: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceChangedAnswer(OperatorAnswer):
    """Answer ChangeServiceRequest; `current` is the present version of the service."""

    accepted: bool
    current: ServiceVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicesListedAnswer(OperatorAnswer):
    """Answer ListServicesRequest."""

    services: tuple[ServiceVersion, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainAnswer(OperatorAnswer):
    """Answer DrainRequest; `accepted` means that the host is draining."""

    accepted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteAnswer(OperatorAnswer):
    """Answer PromoteRequest; `accepted` means that the switchover succeeded.

    `term` is the term of the new primary.
    """

    accepted: bool
    term: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """The state of a member, as far as this host knows."""

    name: str
    failure_domain: str
    role: str
    term: int
    received: int
    applied: int
    connections_open: int
    connections_used: int
    connections_share: int
    report_age: float | None  # seconds; None: no report came
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseStatus:
    """The state of a database, as far as this host knows.

    `steward` is the host that is the first to promote a member of the database.
    """

    service: str
    database: str
    term: int
    primary: str
    state: str
    members: tuple[MemberStatus, ...]
    waiting: int
    steward: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerStatus:
    """The state of another host, as far as this host knows."""

    host: str
    failure_domain: str
    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusAnswer(OperatorAnswer):
    """Answer StatusRequest."""

    host: str
    failure_domain: str
    draining: bool
    sessions: int
    requests: int
    databases: tuple[DatabaseStatus, ...] = ()
    peers: tuple[PeerStatus, ...] = ()
    services: tuple[tuple[str, int], ...] = ()
    figures: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedAnswer(OperatorAnswer):
    """Answer ExplainRequest; the times of decisions are ages in seconds."""

    decisions: tuple[Decision, ...] = ()
