"""Which version of each service is in force here, and how it comes and goes.

Versions come from the platform's table, from an operator's change accepted here, or
from peers; they only go up, whatever order they come in. What is new here is passed
on to all neighbours, so that it crosses the fleet in a few hops; digests in the
heartbeats find what a neighbour missed. Deleted services stay as markers: without
them an old notice would bring a deleted service back.
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

# Heartbeats that digests must differ for before a repair, at rest and under changes.
REPAIR_BEATS = 2
RESTLESS_BEATS = 8
REPAIR_GAP = 2.0  # seconds between two repairs
CHANGE_ID_LENGTH_MAX = 200
NOTHING_KNOWN = b""

Callback = Callable[[ServiceChangedAnswer], None]


class Configuration(System):
    """Keep services, databases and endpoints as operators declared them."""

    __slots__ = (
        "_differing",
        "_digest",
        "_known",
        "_poll",
        "_repaired_at",
        "_rows",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._rows = DatabaseRows(node)
        self._poll = ServicePoll(node, self.accept, self._on_complete)
        self._digest = 0
        self._known = False
        self._differing: dict[str, DigestDifference] = {}  # by host
        self._repaired_at = float("-inf")

    @property
    def is_known(self) -> bool:
        """Tell whether this host has learnt what the fleet serves.

        False after a start until the platform or a peer that knows has told all:
        a service that is missing here may then exist all the same.
        """
        return self._known

    @property
    def digest(self) -> bytes:
        """Return a hash over all versions in force, empty while nothing is known."""
        return self._digest.to_bytes(8, "big") if self._known else NOTHING_KNOWN

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
        # A repeated change was sound when it was accepted; by now another service
        # may have taken an address over, which must not turn its answer round.
        repeated = Change.is_recorded(known, request.change_id)
        faults = [] if repeated else self._faults(request)
        if faults:
            code = ErrorCode.INVALID_SERVICE
            message = f"{code.meaning} " + "; ".join(faults)
            answer = ServiceChangedAnswer(
                accepted=False, code=code.code, message=message
            )
            callback(answer)
            return
        began = self.now

        def finish(answer: ServiceChangedAnswer) -> None:
            self._record(request, answer, began)
            callback(answer)

        Change(self._node, request, self.accept, finish).start(known)

    def _faults(self, request: ChangeServiceRequest) -> list[str]:
        faults = []
        if not 1 <= len(request.change_id) <= CHANGE_ID_LENGTH_MAX:
            faults.append(f"change_id: {request.change_id!r} is empty or too long")
        if request.from_version < 0:
            faults.append(f"from_version: {request.from_version} is negative")
        if request.service is None:
            if request.from_version == 0:
                faults.append("from_version: 0 names nothing to delete")
            return faults
        domains = (domain.name for domain in self._node.identity.domains)
        rows = self.tables.services.values()
        found = find_problems(request.name, request.service, domains, rows)
        return faults + [str(fault) for fault in found]

    def _record(
        self, request: ChangeServiceRequest, answer: ServiceChangedAnswer, began: float
    ) -> None:
        result = "accepted" if answer.accepted else answer.code
        self._node.record_decision(
            "configuration",
            request.name,
            f"change {request.change_id} by {request.operator} from version "
            f"{request.from_version}: {result} {answer.message}",
        )
        if answer.accepted:
            self._node.observe("configuration_seconds", self.now - began)

    # -- Versions ------------------------------------------------------------

    def accept(self, version: ServiceVersion, source: str = "") -> None:
        """Put a version in force if it is newer than what is; pass it on."""
        row = self.tables.services.get(version.name)
        before = row.accepted if row is not None else None
        if before is not None and version.version <= before.version:
            self._check_same(before, version)
            return
        if row is None:
            self.tables.services[version.name] = ServiceRow(version)
        else:
            row.accepted = version
        if before is not None:
            self._digest ^= _hash(before)
        self._digest ^= _hash(version)
        self._log(version, source)
        self._membership.broadcast(ServiceNotice(version), exclude=source)
        self._rows.apply(before.service if before else None, version)
        self._node.publish(ServiceAccepted(version.name))

    def _check_same(self, before: ServiceVersion, version: ServiceVersion) -> None:
        # The table gives each version to one change; two with the same number mean
        # that it was set up anew or written by something else.
        if version.version == before.version and version != before:
            self._node.log(
                "error",
                "service_version_twice",
                service=version.name,
                version=version.version,
                kept=before.change_id,
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
            f"{version.changed_by}, learnt from {source or 'the platform'}",
        )

    def _on_complete(self) -> None:
        self._known = True

    # -- Peers ---------------------------------------------------------------

    def _on_service_notice(self, host: str, notice: ServiceNotice) -> None:
        self.accept(notice.service, host)

    def _on_heartbeat(self, host: str, beat: Heartbeat) -> None:
        mine = self._digest.to_bytes(8, "big")
        if beat.digest == NOTHING_KNOWN:
            self._differing.pop(host, None)
            return
        if beat.digest == mine:
            self._differing.pop(host, None)
            self._known = True
            return
        before = self._differing.get(host, NO_DIFFERENCE)
        self._differing[host] = before.after(mine, beat.digest)
        gap = self._differing[host].is_gap(REPAIR_BEATS, RESTLESS_BEATS)
        if (gap or not self._known) and self.now - self._repaired_at >= REPAIR_GAP:
            self._repaired_at = self.now
            del self._differing[host]
            self._node.count("configuration_repairs")
            self._membership.send(host, self._versions())

    def _versions(self) -> Digest:
        rows = self.tables.services.values()
        return Digest(tuple((r.accepted.name, r.accepted.version) for r in rows))

    def _on_digest(self, host: str, digest: Digest) -> None:
        theirs = dict(digest.versions)
        for name, row in self.tables.services.items():
            if row.accepted.version > theirs.get(name, 0):
                self._membership.send(host, ServiceNotice(row.accepted))
        missing = [n for n, v in digest.versions if v > self._version(n)]
        if missing:
            self._membership.send(host, ServicesCall(tuple(missing)))

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
