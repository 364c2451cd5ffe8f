"""Status of this host and of the fleet as this host sees it, for operators."""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.operations import (
    DatabaseStatus,
    MemberStatus,
    PeerStatus,
    StatusAnswer,
)
from mallowpass.core.systems.configuration import Configuration
from mallowpass.core.systems.draining import Draining
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.platformclient import CircuitState, PlatformClient
from mallowpass.core.tables import ConnectionState, DatabaseRow, EndpointRow
from mallowpass.errors import ErrorCode

__all__ = ["status_of"]

_UNUSED = frozenset({ConnectionState.OPENING, ConnectionState.IDLE})
_Connections = dict[str, list[int]]  # address -> [open, used]


def status_of(node: Node) -> StatusAnswer:
    """Return the status of a node, with an error code if no configuration is known."""
    configuration = node.system(Configuration)
    tables = node.tables
    connections = _count_connections(node)
    return StatusAnswer(
        code="" if configuration.is_known else ErrorCode.PLATFORM_UNAVAILABLE.code,
        message="" if configuration.is_known else _CONFIGURATION_UNKNOWN,
        host=node.identity.name,
        failure_domain=node.identity.failure_domain,
        draining=node.system(Draining).is_draining,
        sessions=len(tables.sessions),
        requests=len(tables.requests),
        databases=tuple(
            _database_status(node, row, connections)
            for _, row in sorted(tables.databases.items())
        ),
        peers=tuple(
            PeerStatus(
                host=row.name,
                failure_domain=row.failure_domain,
                state=row.state.value,
            )
            for _, row in sorted(tables.hosts.items())
        ),
        services=tuple(
            (name, row.accepted.version)
            for name, row in sorted(tables.services.items())
        ),
        figures=_figures(node),
    )


def _figures(node: Node) -> dict[str, float]:
    configuration = node.system(Configuration)
    platform = node.system(PlatformClient)
    figures = {
        "configuration_known": float(configuration.is_known),
        "platform_circuit_closed": float(platform.circuit_state is CircuitState.CLOSED),
        "platform_calls_waiting": float(platform.queued_calls),
        "peers_linked": float(len(node.system(Membership).linked_hosts)),
        "incarnation": float(node.system(Membership).incarnation),
    }
    if platform.last_answer_at is not None:
        figures["platform_silence_seconds"] = node.timers.now - platform.last_answer_at
    if configuration.poll_age is not None:
        figures["configuration_poll_age_seconds"] = configuration.poll_age
    return figures


def _database_status(
    node: Node, row: DatabaseRow, connections: _Connections
) -> DatabaseStatus:
    from mallowpass.core.systems.pooling import Pooling

    primary = row.primary_row
    return DatabaseStatus(
        service=row.service,
        database=row.definition.name,
        term=row.term,
        primary=primary.name if primary else "",
        state=row.state.value,
        members=tuple(
            _member_status(node, endpoint, connections)
            for endpoint in row.endpoints.values()
        ),
        waiting=node.system(Pooling).queued_count(row.key),
        steward=node.system(Membership).highest_ranked(row.key),
    )


def _member_status(
    node: Node, row: EndpointRow, connections: _Connections
) -> MemberStatus:
    from mallowpass.core.systems.pooling import Pooling

    report = row.report
    open_count, in_use = connections.get(row.address, (0, 0))
    return MemberStatus(
        name=row.name,
        failure_domain=row.member.failure_domain,
        role=report.role.name.lower() if report else "",
        term=report.term if report else 0,
        received=report.received.position if report else 0,
        applied=report.applied.position if report else 0,
        connections_open=open_count,
        connections_used=in_use,
        connections_share=node.system(Pooling).share(row),
        report_age=node.timers.now - row.last_report_at if report else None,
        leaving=row.is_leaving,
    )


def _count_connections(node: Node) -> _Connections:
    counts: _Connections = {}
    for connection in node.tables.connections.values():
        count = counts.setdefault(connection.address, [0, 0])
        count[0] += 1
        count[1] += connection.state not in _UNUSED
    return counts


_CONFIGURATION_UNKNOWN = (
    "no configuration is known yet: since its start this host has reached neither the "
    "platform nor a peer that knows the configuration"
)
