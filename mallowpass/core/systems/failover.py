"""Replace primaries that are gone, and hand over in order."""

from __future__ import annotations

from mallowpass.core.calls import ControlReply, ProbeCall
from mallowpass.core.node import Node, System
from mallowpass.core.peering import GroupNotice
from mallowpass.core.signals import (
    DatabaseAdded,
    DatabaseChanged,
    DatabaseRemoved,
    EndpointReported,
    EndpointStateChanged,
    MajorityPositionStalled,
    PrimaryChanged,
)
from mallowpass.core.systems.groupfailover import GroupFailover, PromoteCallback
from mallowpass.core.systems.groupstable import keep_result
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.promotion import PromotionResult
from mallowpass.core.systems.stewards import Peers, find_membership, find_platform
from mallowpass.core.tables import DatabaseRow

__all__ = ["Failover"]


class Failover(System):
    """Look after all groups; all hosts may promote, and the members' terms decide."""

    __slots__ = ("_groups", "_liveness", "_membership", "_platform")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._groups: dict[str, GroupFailover] = {}
        self._membership: Peers | None = None

    def start(self) -> None:
        """Look after databases as they come into force."""
        self._liveness = self._node.system(Liveness)
        self._membership = find_membership(self._node)
        self._platform = find_platform(self._node)
        self._node.subscribe(DatabaseAdded, self._added)
        self._node.subscribe(DatabaseChanged, self._changed)
        self._node.subscribe(DatabaseRemoved, self._removed)
        self._node.subscribe(PrimaryChanged, self._primary_changed)
        self._node.subscribe(EndpointReported, self._reported)
        self._node.subscribe(EndpointStateChanged, self._state_changed)
        self._node.subscribe(MajorityPositionStalled, self._stalled)

    def use_membership(self, membership: Peers) -> None:
        """Take this host's ranks from it, and announce promotions through it."""
        self._membership = membership

    # -- For other systems ---------------------------------------------------

    def probe_primary(self, address: str, why: str) -> None:
        """Take a hint of the request path: look at an endpoint on a fresh stream."""
        group = self._group_of(address)
        if group is None or address != group.row.primary:
            return
        if (
            self._liveness.time_since_reply(address)
            < self._node.tuning.probe_interval / 2
        ):
            return
        name = group.row.primary_row.name
        self._node.record_decision("hint", group.row.key, f"{name}: {why}")
        self._liveness.open_second_stream(address)
        timeout = self._node.tuning.promise_timeout
        self._liveness.control_call(address, ProbeCall(), _ignore, timeout)

    def promote(
        self, database_key: str, member_name: str, callback: PromoteCallback
    ) -> None:
        """Hand a database over to a member; the callback gets (ok, term, why)."""
        group = self._groups.get(database_key)
        problem = self._why_not(group, database_key, member_name)
        if problem:
            self._node.record_decision("refusal", database_key, problem)
            callback(False, 0, problem)
            return
        row = group.row
        primary = row.primary_row
        if primary is not None and primary.name == member_name:
            callback(True, row.term, f"{member_name} leads already")
            return
        self._node.record_decision("order", database_key, f"promote {member_name}")
        group.begin(member_name, callback)

    @staticmethod
    def _why_not(
        group: GroupFailover | None, database_key: str, member_name: str
    ) -> str:
        if group is None:
            return f"database {database_key!r} is not served"
        names = [endpoint.name for endpoint in group.row.endpoints.values()]
        if member_name not in names:
            return f"database {database_key!r} has no member {member_name!r}"
        if group.promotion is not None:
            return f"term {group.promotion.term} is being promoted already"
        return ""

    # -- Databases -----------------------------------------------------------

    def _added(self, signal: DatabaseAdded) -> None:
        row = self.tables.databases[signal.database]
        group = GroupFailover(self._node, self._liveness, row, self._announce)
        self._groups[row.key] = group

    def _changed(self, signal: DatabaseChanged) -> None:
        group = self._groups.get(signal.database)
        if group is not None:
            group.forget_members(signal.removed)

    def _removed(self, signal: DatabaseRemoved) -> None:
        group = self._groups.pop(signal.database, None)
        if group is not None:
            group.stop()

    # -- Signals -------------------------------------------------------------

    def _primary_changed(self, signal: PrimaryChanged) -> None:
        group = self._groups.get(signal.database)
        if group is not None:
            group.primary_changed()

    def _reported(self, signal: EndpointReported) -> None:
        endpoint = self.tables.endpoints.get(signal.address)
        group = self._group_of(signal.address)
        if group is not None and endpoint.report is not None:
            group.reported(endpoint, endpoint.report)

    def _stalled(self, signal: MajorityPositionStalled) -> None:
        group = self._groups.get(signal.database)
        if group is not None:
            group.doubt()

    def _state_changed(self, signal: EndpointStateChanged) -> None:
        group = self._group_of(signal.address)
        if group is not None and signal.address == group.row.primary:
            group.review_leaving()

    def _group_of(self, address: str) -> GroupFailover | None:
        endpoint = self.tables.endpoints.get(address)
        return None if endpoint is None else self._groups.get(endpoint.database)

    # -- After a promotion ---------------------------------------------------

    def _announce(self, row: DatabaseRow, result: PromotionResult) -> None:
        self._node.count("promotions", database=row.key)
        self._node.log(
            "warning",
            "promoted",
            database=row.key,
            member=result.member,
            term=result.term,
        )
        address = next(
            e.address for e in row.endpoints.values() if e.name == result.member
        )
        host = self._node.identity.name
        if self._membership is not None:
            notice = GroupNotice(row.key, result.term, address, host)
            self._membership.broadcast(notice)
        if self._platform is not None:
            keep_result(self._platform, row.key, result)


def _ignore(reply: ControlReply | None) -> None:
    """Leave a reply to the report in it, which liveness takes anyway."""
