"""Services as operators declare them: frozen, versioned, comparable."""

from __future__ import annotations

from mallowpass.core.records import record

__all__ = [
    "AcceptedChange",
    "Database",
    "Member",
    "Objectives",
    "ReadAge",
    "RequestClass",
    "Service",
    "ServiceVersion",
    "database_key",
    "service_of",
]

DEFAULT_QUEUE_LENGTH = 512
DEFAULT_DEADLINE = 10.0
DEFAULT_CLASS = "interactive"


def database_key(service: str, database: str) -> str:
    """Name a database over all services."""
    return f"{service}/{database}"


def service_of(key: str) -> str:
    """Return the service's name in a database's key."""
    return key.partition("/")[0]


@record
class Member:
    """Describe one endpoint of a database group."""

    name: str
    address: str
    failure_domain: str


@record
class Database:
    """Describe a database group; `setup_time` in seconds."""

    name: str
    members: tuple[Member, ...]
    connections: int
    concurrent_statements: int = 0
    setup_time: float = 0.0
    manual_promotion: bool = False

    @property
    def majority(self) -> int:
        """Return how many members are more than half."""
        return len(self.members) // 2 + 1


@record
class ReadAge:
    """Accept reads of data that is at most `accepted_age` seconds old."""

    accepted_age: float
    database: str = ""
    request_class: str = ""


@record
class RequestClass:
    """Describe a class of requests; a patient one takes what is left."""

    name: str
    weight: int = 1
    patient: bool = False


@record
class Objectives:
    """State the service levels that the burn report measures against; seconds."""

    write_availability: float = 0.999
    latency_p99: float = 0.5
    failover_gap: float = 1.0
    replica_share: float = 0.9


@record
class Service:
    """Describe a service in full."""

    name: str
    databases: tuple[Database, ...]
    read_ages: tuple[ReadAge, ...] = ()
    classes: tuple[RequestClass, ...] = (RequestClass(DEFAULT_CLASS),)
    queue_length: int = DEFAULT_QUEUE_LENGTH
    default_deadline: float = DEFAULT_DEADLINE
    minority_reads: bool = True
    objectives: Objectives = Objectives()

    def accepted_age(self, database: str, request_class: str) -> float | None:
        """Return the age declared for a read, the most specific declaration first.

        The order is database and class, class, database, whole service; None when
        nothing is declared: the read then shows what its session has seen.
        """
        ages = {
            (entry.database, entry.request_class): entry.accepted_age
            for entry in self.read_ages
        }
        for key in (
            (database, request_class),
            ("", request_class),
            (database, ""),
            ("", ""),
        ):
            if key in ages:
                return ages[key]
        return None


@record
class AcceptedChange:
    """Name one accepted change; `content` tells another change of the same id."""

    change_id: str
    version: int
    content: bytes = b""


@record
class ServiceVersion:
    """Carry one accepted state of a service; `service` is None once deleted."""

    name: str
    version: int
    service: Service | None
    change_id: str = ""
    changed_by: str = ""
    history: tuple[AcceptedChange, ...] = ()  # the newest changes, oldest first
