"""What a fleet's live hosts tell of their services: counts, objectives, decisions."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass, field

import grpc

from mallowpass.adapters.channels import open_channel
from mallowpass.adapters.client import OPERATOR_TIMEOUT, OperatorClient
from mallowpass.adapters.operators import (
    CODE_METADATA,
    KEY_METADATA,
    OPERATOR_METADATA,
)
from mallowpass.core.services import Objectives, Service
from mallowpass.errors import ErrorCode, MallowpassError, error_for
from mallowpass.report.recording import RecordedDecision, Recording
from mallowpass.report.wire import recording_from_wire
from mallowpass.schema import operators_pb2, operators_pb2_grpc

__all__ = ["Declared", "decisions_about", "declared_services", "history_of"]

DECISIONS_MAX = 1_000  # of one database


@dataclass(frozen=True, slots=True)
class Declared:
    """Hold what operators declared of the services."""

    services: tuple[Service, ...] = field(default=())

    @property
    def objectives(self) -> dict[str, Objectives]:
        """Return the objectives by service."""
        return {service.name: service.objectives for service in self.services}

    @property
    def databases(self) -> frozenset[str]:
        """Return the names of all databases."""
        return frozenset(
            database.name for service in self.services for database in service.databases
        )


async def declared_services(client: OperatorClient) -> Declared:
    """Return the services in force."""
    answer = await client.list_services()
    found = (version.service for version in answer.services)
    return Declared(tuple(service for service in found if service is not None))


async def decisions_about(
    client: OperatorClient, databases: Iterable[str], since: float = 0.0
) -> list[RecordedDecision]:
    """Return what the fleet decided about databases since a Unix time, in order."""
    found: set[RecordedDecision] = set()
    for database in databases:
        answer = await client.explain("database", database, DECISIONS_MAX)
        now = time.time()
        found.update(
            RecordedDecision(
                now - each.at, each.host, each.kind, each.subject, each.text
            )
            for each in answer.decisions
        )
    kept = (each for each in found if each.at >= since)
    return sorted(kept, key=lambda each: each.at)


async def history_of(address: str, operator: str, key: bytes) -> Recording:
    """Return what one host counted; refusals are raised with their codes."""
    channel = open_channel(address)
    stub = operators_pb2_grpc.OperatorsStub(channel)
    metadata = ((OPERATOR_METADATA, operator), (KEY_METADATA, key))
    try:
        answer = await stub.History(
            operators_pb2.HistoryCall(), metadata=metadata, timeout=OPERATOR_TIMEOUT
        )
    except grpc.aio.AioRpcError as error:
        raise _refusal(address, error) from None
    finally:
        await channel.close()
    return recording_from_wire(answer)


def _refusal(address: str, error: grpc.aio.AioRpcError) -> MallowpassError:
    code = dict(error.trailing_metadata() or ()).get(CODE_METADATA, "")
    if code:
        found = ErrorCode.by_code(str(code))
    elif error.code() is grpc.StatusCode.UNIMPLEMENTED:
        return error_for(
            ErrorCode.MALFORMED_MESSAGE,
            "The host keeps no history; it runs an older version.",
            address=address,
        )
    else:
        found = ErrorCode.HOST_UNREACHABLE
    return error_for(found, error.details() or error.code().name, address=address)
