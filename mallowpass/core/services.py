"""Services as operators declare them, and their versions."""

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

DEFAULT_QUEUE_LENGTH = 512  # requests
DEFAULT_DEADLINE = 10.0  # seconds
DEFAULT_CLASS = "interactive"


def database_key(service: str, database: str) -> str:
    """Return the key of a database, which is unique over all services."""
    return f"{service}/{database}"


def service_of(key: str) -> str:
    """Return the name of the service in a database's key."""
    return key.partition("/")[0]


@record
class Member:
    """A member of a database group: one endpoint."""

    name: str
    address: str
    failure_domain: str


@record
class Database:
    """A database group: the members that replicate one database."""

    name: str
    members: tuple[Member, ...]
    connections: int  # that all hosts together may open to one member
    concurrent_statements: int = 0  # that one member may run; 0: no limit
    setup_time: float = 0.0  # that a new connection takes, seconds
    manual_promotion: bool = False  # only operators promote a member

    @property
    def majority(self) -> int:
        """Return the number of members that make a majority (quorum)."""
        return len(self.members) // 2 + 1


@record
class ReadAge:
    """The accepted age of reads, in seconds (bounded staleness).

    It applies to one database and class of requests; an empty name stands for all.
    """

    accepted_age: float
    database: str = ""
    request_class: str = ""


@record
class RequestClass:
    """A class of requests; waiting classes share an endpoint by their weights."""

    name: str
    weight: int = 1
    patient: bool = False  # leaves the last free connection to the other classes


@record
class Objectives:
    """The service-level objectives, which reports compare with measurements."""

    write_availability: float = 0.999
    latency_p99: float = 0.5  # seconds
    failover_gap: float = 1.0  # seconds
    replica_share: float = 0.9


@record
class Service:
    """A service: databases, and the rules for the requests to them."""

    name: str
    databases: tuple[Database, ...]
    read_ages: tuple[ReadAge, ...] = ()
    classes: tuple[RequestClass, ...] = (RequestClass(DEFAULT_CLASS),)
    queue_length: int = DEFAULT_QUEUE_LENGTH
    default_deadline: float = DEFAULT_DEADLINE
    # Whether a host that reaches only a minority of the members may serve reads with an
    # accepted age. The value is stored, but not consulted.
    minority_reads: bool = True
    objectives: Objectives = Objectives()

    def accepted_age(self, database: str, request_class: str) -> float | None:
        """Return the age declared for a read, in seconds.

        The most specific declaration counts: of database and class, else of the
        class, else of the database, else of the service. None if none is declared:
        the read then sees at least what its session has seen.
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
    """An accepted change of a service.

    `content` is a digest of the change: a change with the same id and another digest is
    not a repetition of this change.
    """

    change_id: str
    version: int
    content: bytes = b""


@record
class ServiceVersion:
    """An accepted version of a service."""

    name: str
    version: int
    service: Service | None  # None: deleted
    change_id: str = ""
    changed_by: str = ""
    history: tuple[AcceptedChange, ...] = ()  # latest changes, oldest first
