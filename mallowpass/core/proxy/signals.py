"""Signals between the systems of a proxying host; handled synchronously, in order."""

from __future__ import annotations

from enum import Enum

from mallowpass.core.messages import Signal
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.statements import (
    EndpointReply,
    EndpointStatus,
    Fence,
    SessionState,
)
from mallowpass.core.proxy.tables import (
    Batch,
    ConnectionRow,
    EndpointRow,
    GroupRow,
    RequestRow,
    SessionRow,
)
from mallowpass.core.records import record

__all__ = [
    "AttemptAbandoned",
    "AttemptLost",
    "AttemptOverdue",
    "AttemptRefused",
    "CallsSent",
    "CommitsAbandoned",
    "CommitsUnanswered",
    "ConfigurationAccepted",
    "ConnectionFreed",
    "DrainBegan",
    "EndpointChanged",
    "EndpointDisconnected",
    "EndpointExpired",
    "EndpointRestarted",
    "EndpointUnreachable",
    "EraChanged",
    "FenceBegan",
    "FenceEnd",
    "FenceEnded",
    "FenceLifted",
    "FenceRelaxed",
    "FenceRenewed",
    "FenceSilent",
    "FenceUnattended",
    "FloorReceived",
    "ForwardedConnectionRefused",
    "HolderJoined",
    "HolderLeft",
    "HoldersBypassed",
    "KeepersChanged",
    "PendingOrderStuck",
    "PrimaryChanged",
    "PrimaryConfirmed",
    "PrimaryStalled",
    "PrimarySteppedDown",
    "PrimarySuspected",
    "ReplicaPaused",
    "ReplicaStuck",
    "ReplicasBehind",
    "ReplicationConfirmed",
    "ReplicationProven",
    "StatementAnswered",
    "StatusReceived",
    "TransactionLost",
    "WriteAcknowledged",
    "WriteStalled",
    "WritesHeld",
    "WritesReleased",
]


@record
class ConfigurationAccepted(Signal):
    """A newer configuration came into force at this host."""

    configuration: Configuration


@record
class EndpointChanged(Signal):
    """An endpoint's entry was added, changed or removed."""

    endpoint: EndpointRow


@record
class EndpointExpired(Signal):
    """An endpoint was dropped, as the grace period after its entry's removal ended."""

    endpoint: EndpointRow


@record
class EndpointRestarted(Signal):
    """An endpoint restarted under its name; `endpoint` is its new row.

    Nothing that a system knows of `previous` applies to `endpoint`.
    """

    previous: EndpointRow
    endpoint: EndpointRow


@record
class PrimaryChanged(Signal):
    """A group's assumed primary changed, or is now unknown."""

    group: GroupRow


@record
class ConnectionFreed(Signal):
    """A connection to an endpoint became idle, or a new one may be opened."""

    endpoint: EndpointRow


@record
class EndpointDisconnected(Signal):
    """An endpoint ended a direct connection: it may have crashed, or have restarted."""

    endpoint: EndpointRow


@record
class CallsSent(Signal):
    """Calls were sent on a connection, in one write."""

    connection: ConnectionRow


@record
class CommitsAbandoned(Signal):
    """This host closed a direct connection with commits in flight.

    The endpoint may not learn of that for a while.
    """

    endpoint: EndpointRow
    commits: tuple[Batch, ...]


@record
class CommitsUnanswered(Signal):
    """A direct connection ended, whichever way, with commits in flight."""

    endpoint: EndpointRow
    count: int


@record
class EndpointUnreachable(Signal):
    """An attempt to connect to an endpoint, started at `attempted_at`, failed.

    `is_gone` is true if its machine answered that no process listens at the address.
    """

    endpoint: EndpointRow
    why: str
    attempted_at: float
    is_gone: bool = False


@record
class ForwardedConnectionRefused(Signal):
    """A connection to an endpoint by way of another host could not be opened.

    `is_definitive` is true if that host refused it, or if no host runs at its address;
    it is false if no answer came. `is_unconnected` is true if that host has no
    connection to the endpoint: its process is gone, or it does not know the endpoint.
    """

    endpoint: EndpointRow
    host: str
    is_definitive: bool
    carries_fences: bool
    is_unconnected: bool


@record
class HolderJoined(Signal):
    """This host has become a holder of a service that had others before."""

    service: str


@record
class HolderLeft(Signal):
    """A host that held a service's endpoints has no entry any more."""

    service: str


@record
class HoldersBypassed(Signal):
    """This host begins to connect to an endpoint directly though it is no holder."""

    endpoint: EndpointRow


@record
class PrimarySteppedDown(Signal):
    """An endpoint answered that it is a replica to an order to step down."""

    endpoint: EndpointRow
    ordered_at: float
    received: LogPosition  # the end of its log


@record
class EraChanged(Signal):
    """The store was restored from a backup; writes after that backup are lost."""

    previous_era: int
    era: int


@record
class WriteStalled(Signal):
    """A primary has not answered a write in time; it may still answer reads."""

    endpoint: EndpointRow


@record
class WriteAcknowledged(Signal):
    """A group's primary acknowledged a write.

    `endpoint` and the `position` of its log are given if the write is of a caller of
    this host.
    """

    group: GroupRow
    endpoint: EndpointRow | None = None
    position: LogPosition | None = None


@record
class StatusReceived(Signal):
    """An endpoint reported its status in reply to an order of this host."""

    endpoint: EndpointRow
    status: EndpointStatus


@record
class WritesHeld(Signal):
    """Writes to a primary that is about to be replaced wait from now on."""

    endpoint: EndpointRow


@record
class WritesReleased(Signal):
    """Writes to a group's primary need not wait any more."""

    group: GroupRow


@record
class FenceBegan(Signal):
    """This host fences a service, as ordered."""

    service: str
    order: Fence


@record
class FenceRenewed(Signal):
    """The fence of a host lasts longer, or names another target."""

    service: str
    order: Fence


class FenceEnd(Enum):
    """Why a fence ended."""

    LEAD = "lead"  # its target is primary
    LIFTED = "lifted"  # by its owner
    EXPIRED = "expired"
    RELAXED = "relaxed"  # its owner lets writes run, and watches the target
    OVERTAKEN = "overtaken"  # its owner did not hold the newest claim
    REPLACED = "replaced"  # by that of a newer claim, as its owner may be gone
    UNNEEDED = "unneeded"  # its owner may be gone, and no order is pending


@record
class FenceEnded(Signal):
    """The fence of a host ended; one that was overtaken may be told of twice."""

    service: str
    owner: str
    reason: FenceEnd
    was_attended: bool = True  # its owner had renewed it in time


@record
class FenceLifted(Signal):
    """The host with the newest claim that is known keeps no fence of a primary."""

    group: GroupRow


@record
class FenceRelaxed(Signal):
    """The owner of a fence lets writes run through it for a moment more."""

    service: str
    owner: str


@record
class FenceSilent(Signal):
    """The owner of a fence has not renewed it for a while; it may be gone."""

    group: GroupRow
    owner: str


@record
class FenceUnattended(Signal):
    """A fence holds writes whose owner may be gone.

    Its owner may renew it within `grace` seconds.
    """

    group: GroupRow
    owner: str
    grace: float = 0.0


@record
class PendingOrderStuck(Signal):
    """A primary that answers is fenced for an order whose target does not receive."""

    group: GroupRow
    primary: str


@record
class PrimaryStalled(Signal):
    """A primary has answered none of several writes."""

    endpoint: EndpointRow


@record
class ReplicationConfirmed(Signal):
    """A replica received the log up to the position that the primary had reported.

    This proves that replication works, and that writes to the primary are acknowledged.
    """

    group: GroupRow


@record
class ReplicationProven(Signal):
    """A lease on writing to a group's primary began, or was prolonged."""

    group: GroupRow


@record
class FloorReceived(Signal):
    """Another host sent a position that a primary's log had at or after `asked_at`."""

    group: GroupRow
    position: LogPosition
    asked_at: float


@record
class KeepersChanged(Signal):
    """The hosts that keep the parts of rate limits may have changed."""


@record
class PrimarySuspected(Signal):
    """This host started to suspect a group's primary."""

    group: GroupRow


@record
class PrimaryConfirmed(Signal):
    """A group's primary proved that it still is primary and commits."""

    group: GroupRow


@record
class ReplicaStuck(Signal):
    """A replica has been behind for longer than replication lag normally lasts."""

    endpoint: EndpointRow


@record
class ReplicaPaused(Signal):
    """A replica answered that it is paused, by whichever host."""

    endpoint: EndpointRow


@record
class ReplicasBehind(Signal):
    """All replicas of a group have refused all reads for a while, as they are behind.

    Published again with each further refusal.
    """

    group: GroupRow


@record
class DrainBegan(Signal):
    """This host was asked to stop and started to drain."""


@record
class AttemptLost(Signal):
    """The connection that a statement was sent on, or needs, was lost."""

    request: RequestRow
    why: str


@record
class AttemptAbandoned(Signal):
    """An overdue read was abandoned at its endpoint, to be retried at another one."""

    request: RequestRow


@record
class AttemptOverdue(Signal):
    """A statement has been unanswered for a large part of its timeout."""

    request: RequestRow


@record
class AttemptRefused(Signal):
    """An endpoint refused a statement or its transaction; the statement did not run."""

    request: RequestRow
    endpoint: EndpointRow
    reply: EndpointReply


@record
class StatementAnswered(Signal):
    """A caller was sent the answer to its statement."""

    session: SessionRow
    state: SessionState


@record
class TransactionLost(Signal):
    """A transaction ended between two statements of its caller."""

    session: SessionRow
    why: str
