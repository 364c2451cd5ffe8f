"""What operators ask for, and the answers."""

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
    """Stand on top of all requests of operators; `operator` is authenticated."""

    operator: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeServiceRequest(OperatorRequest):
    """Create (version 0), change or delete (no service) a service."""

    name: str
    service: Service | None
    from_version: int
    change_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListServicesRequest(OperatorRequest):
    """List services, or the one named."""

    name: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequest(OperatorRequest):
    """Drain a host; `limit` in seconds for what is in flight."""

    host: str
    limit: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteRequest(OperatorRequest):
    """Hand a database over to a member."""

    service: str
    database: str
    member: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest(OperatorRequest):
    """Ask for the state of this host and what it sees."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainRequest(OperatorRequest):
    """Ask why; `subject` is request, database or config."""

    subject: str
    name: str
    limit: int = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorAnswer:
    """Stand on top of all answers to operators; an empty code means success."""

    code: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceChangedAnswer(OperatorAnswer):
    """State whether a change was accepted, and the current version of the service."""

    accepted: bool
    current: ServiceVersion | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicesListedAnswer(OperatorAnswer):
    """List services."""

    services: tuple[ServiceVersion, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainAnswer(OperatorAnswer):
    """State whether a drain began."""

    accepted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PromoteAnswer(OperatorAnswer):
    """State whether a switchover succeeded, and its term."""

    accepted: bool
    term: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberStatus:
    """Describe a member as this host sees it."""

    name: str
    failure_domain: str
    role: str
    term: int
    received: int
    applied: int
    connections_open: int
    connections_used: int
    connections_share: int
    report_age: float | None
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class DatabaseStatus:
    """Describe a database as this host sees it."""

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
    """Describe another host as this host sees it."""

    host: str
    failure_domain: str
    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusAnswer(OperatorAnswer):
    """Describe this host and what it sees."""

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
    """Answer ExplainRequest; times are seconds ago."""

    decisions: tuple[Decision, ...] = ()
