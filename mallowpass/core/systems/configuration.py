"""Versions of the services in force on this host, and their distribution.

A version comes from the platform's table, from an operator's change that this host
accepted, or from a peer. Versions only increase, in whatever order they arrive. Each
host relays a new version to all its neighbours, so that the version crosses the fleet
in a few hops; digests in heartbeats reveal what a neighbour has missed. Deleted
services stay as tombstones: without these an old notice would restore a deleted
service.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from mallowpass.core.node import Node, System
from mallowpass.core.operations import ChangeServiceRequest, ServiceChangedAnswer
from mallowpass.core.peering import Digest, Heartbeat, ServiceNotice, ServicesCall
from mallowpass.core.services import ServiceVersion
from mallowpass.core.signals import ServiceAccepted
from mallowpass.core.systems.changes import Change
from mallowpass.core.systems.databases import DatabaseRows
from mallowpass.core.systems.digestdifference import NO_DIFFERENCE, DigestDifference
from mallowpass.core.systems.membership import Membership
from mallowpass.core.systems.servicepoll import ServicePoll
from mallowpass.core.systems.validation import find_problems
from mallowpass.core.tables import ServiceRow
from mallowpass.errors import ErrorCode

__all__ = ["Configuration"]

# Consecutive heartbeats with a differing digest that count as a gap: while the digests
# stay the same, and while they keep changing.
GAP_HEARTBEATS_UNCHANGED = 2
GAP_HEARTBEATS_CHANGING = 8
REPAIR_INTERVAL = 2.0  # seconds at least between two repairs
CHANGE_ID_LENGTH_MAX = 200
UNKNOWN_DIGEST = b""  # of a host that does not know the fleet's services yet

Callback = Callable[[ServiceChangedAnswer], None]


class Configuration(System):
    """Maintain services, databases and endpoints as operators declared them."""

    __slots__ = (
        "_database_rows",
        "_differences",
        "_digest",
        "_is_known",
        "_poll",
        "_repaired_at",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._database_rows = DatabaseRows(node)
        self._poll = ServicePoll(node, self.accept, self._on_complete)
        self._digest = 0
        self._is_known = False
        self._differences: dict[str, DigestDifference] = {}  # by host
        self._repaired_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Return whether this host knows all services of the fleet.

        False after a start, until this host has read the whole table or agrees with a
        peer that knows all services. Until then a service that is missing here may
        still exist.
        """
        return self._is_known

    @property
    def digest(self) -> bytes:
        """Return a hash of all versions in force, empty until they are known."""
        return self._digest.to_bytes(8, "big") if self._is_known else UNKNOWN_DIGEST

    @property
    def poll_age(self) -> float | None:
        """Return the seconds since this host last read the table, None for never."""
        return self._poll.age

    @property
    def _membership(self) -> Membership:
        return self._node.system(Membership)

    def start(self) -> None:
        """Subscribe to peers' messages and begin to poll."""
        membership = self._membership
        membership.set_service_digest(lambda: self.digest)
        membership.on_message(Heartbeat, self._on_heartbeat)
        membership.on_message(Digest, self._on_digest)
        membership.on_message(ServicesCall, self._on_services_call)
        membership.on_message(ServiceNotice, self._on_service_notice)
        self._poll.start()

    # -- Operators -----------------------------------------------------------

    def change(self, request: ChangeServiceRequest, callback: Callback) -> None:
        """Create, change or delete a service; the callback gets one answer."""
        row = self.tables.services.get(request.name)
        known = row.accepted if row is not None else None
        # A repeated change was valid when it was accepted. Another service may have
        # taken over one of its addresses since; the answer must stay the same.
        is_repeated = Change.is_recorded(known, request.change_id)
        problems = [] if is_repeated else self._problems(request)
        if problems:
            code = ErrorCode.INVALID_SERVICE
            message = f"{code.meaning} " + "; ".join(problems)
            answer = ServiceChangedAnswer(
                accepted=False, code=code.code, message=message
            )
            callback(answer)
            return
        started_at = self.now

        def finish(answer: ServiceChangedAnswer) -> None:
            self._record(request, answer, started_at)
            callback(answer)

        Change(self._node, request, self.accept, finish).start(known)

    def _problems(self, request: ChangeServiceRequest) -> list[str]:
        problems = []
        if not 1 <= len(request.change_id) <= CHANGE_ID_LENGTH_MAX:
            problems.append(
                f"change_id: {request.change_id!r} is not 1 to "
                f"{CHANGE_ID_LENGTH_MAX} characters long"
            )
        if request.from_version < 0:
            problems.append(f"from_version: {request.from_version} is negative")
        if request.service is None:
            if request.from_version == 0:
                problems.append(
                    "from_version: 0 means that no service exists to delete"
                )
            return problems
        domains = (domain.name for domain in self._node.identity.domains)
        rows = self.tables.services.values()
        service_problems = find_problems(request.name, request.service, domains, rows)
        return problems + [str(problem) for problem in service_problems]

    def _record(
        self,
        request: ChangeServiceRequest,
        answer: ServiceChangedAnswer,
        started_at: float,
    ) -> None:
        result = "accepted" if answer.accepted else answer.code
        self._node.record_decision(
            "configuration",
            request.name,
            f"change {request.change_id} by {request.operator} from version "
            f"{request.from_version}: {result} {answer.message}",
        )
        if answer.accepted:
            self._node.observe("configuration_seconds", self.now - started_at)

    # -- Versions ------------------------------------------------------------

    def accept(self, version: ServiceVersion, source: str = "") -> None:
        """Put a version in force and relay it, if it is newer than the current one."""
        row = self.tables.services.get(version.name)
        previous = row.accepted if row is not None else None
        if previous is not None and version.version <= previous.version:
            self._check_conflict(previous, version)
            return
        if row is None:
            self.tables.services[version.name] = ServiceRow(version)
        else:
            row.accepted = version
        if previous is not None:
            self._digest ^= _hash(previous)
        self._digest ^= _hash(version)
        self._log(version, source)
        self._membership.broadcast(ServiceNotice(version), exclude=source)
        self._database_rows.apply(previous.service if previous else None, version)
        self._node.publish(ServiceAccepted(version.name))

    def _check_conflict(
        self, previous: ServiceVersion, version: ServiceVersion
    ) -> None:
        # The table gives each version number to one change. Two changes with the same
        # number show that the table was recreated or written by another program.
        if version.version == previous.version and version != previous:
            self._node.log(
                "error",
                "service_version_twice",
                service=version.name,
                version=version.version,
                kept=previous.change_id,
                dropped=version.change_id,
            )

    def _log(self, version: ServiceVersion, source: str) -> None:
        state = "in force" if version.service is not None else "deleted"
        self._node.log(
            "info",
            "service_accepted",
            service=version.name,
            version=version.version,
            state=state,
            change_id=version.change_id,
            changed_by=version.changed_by,
            source=source or "platform",
        )
        self._node.record_decision(
            "configuration",
            version.name,
            f"version {version.version} {state}: change {version.change_id} by "
            f"{version.changed_by}, received from {source or 'the platform'}",
        )

    def _on_complete(self) -> None:
        self._is_known = True

    # -- Peers ---------------------------------------------------------------

    def _on_service_notice(self, host: str, notice: ServiceNotice) -> None:
        self.accept(notice.service, host)

    def _on_heartbeat(self, host: str, heartbeat: Heartbeat) -> None:
        own = self._digest.to_bytes(8, "big")
        if heartbeat.digest == UNKNOWN_DIGEST:
            self._differences.pop(host, None)
            return
        if heartbeat.digest == own:
            self._differences.pop(host, None)
            self._is_known = True
            return
        previous = self._differences.get(host, NO_DIFFERENCE)
        self._differences[host] = previous.after(own, heartbeat.digest)
        has_gap = self._differences[host].is_gap(
            GAP_HEARTBEATS_UNCHANGED, GAP_HEARTBEATS_CHANGING
        )
        if (
            has_gap or not self._is_known
        ) and self.now - self._repaired_at >= REPAIR_INTERVAL:
            self._repaired_at = self.now
            del self._differences[host]
            self._node.count("configuration_repairs")
            self._membership.send(host, self._own_versions())

    def _own_versions(self) -> Digest:
        rows = self.tables.services.values()
        return Digest(tuple((r.accepted.name, r.accepted.version) for r in rows))

    def _on_digest(self, host: str, digest: Digest) -> None:
        peer_versions = dict(digest.versions)
        for name, row in self.tables.services.items():
            if row.accepted.version > peer_versions.get(name, 0):
                self._membership.send(host, ServiceNotice(row.accepted))
        outdated = [n for n, v in digest.versions if v > self._version(n)]
        if outdated:
            self._membership.send(host, ServicesCall(tuple(outdated)))

    def _on_services_call(self, host: str, call: ServicesCall) -> None:
        for name in call.names or tuple(self.tables.services):
            row = self.tables.services.get(name)
            if row is not None:
                self._membership.send(host, ServiceNotice(row.accepted))

    def _version(self, name: str) -> int:
        row = self.tables.services.get(name)
        return row.accepted.version if row is not None else 0


def _hash(version: ServiceVersion) -> int:
    return xxhash.xxh64_intdigest(f"{version.name}\0{version.version}".encode())
