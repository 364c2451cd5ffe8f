"""Replacement of failed primaries, and switchover to another member."""

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
from mallowpass.core.systems.groupstable import record_result
from mallowpass.core.systems.liveness import Liveness
from mallowpass.core.systems.promotion import PromotionResult
from mallowpass.core.systems.stewards import Peers, find_membership, find_platform
from mallowpass.core.tables import DatabaseRow

__all__ = ["Failover"]


class Failover(System):
    """Run the failover of all groups.

    Every host may promote; the terms that the members promise decide which one does.
    """

    __slots__ = ("_groups", "_liveness", "_membership", "_platform")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._groups: dict[str, GroupFailover] = {}
        self._membership: Peers | None = None

    def start(self) -> None:
        """Subscribe to changes of databases, members and primaries."""
        self._liveness = self._node.system(Liveness)
        self._membership = find_membership(self._node)
        self._platform = find_platform(self._node)
        self._node.subscribe(DatabaseAdded, self._on_added)
        self._node.subscribe(DatabaseChanged, self._on_changed)
        self._node.subscribe(DatabaseRemoved, self._on_removed)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(EndpointReported, self._on_reported)
        self._node.subscribe(EndpointStateChanged, self._on_state_changed)
        self._node.subscribe(MajorityPositionStalled, self._on_stalled)

    def use_membership(self, membership: Peers) -> None:
        """Announce promotions through the membership."""
        self._membership = membership

    # -- For other systems ---------------------------------------------------

    def probe_primary(self, address: str, why: str) -> None:
        """Probe a primary on a second stream, unless it has just replied.

        The request path calls this when a connection to an endpoint fails. Endpoints
        that are not a primary are ignored.
        """
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
        """Promote a member in a switchover; the callback gets (ok, term, why)."""
        group = self._groups.get(database_key)
        problem = self._find_problem(group, database_key, member_name)
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
    def _find_problem(
        group: GroupFailover | None, database_key: str, member_name: str
    ) -> str:
        if group is None:
            return f"database {database_key!r} is not served"
        names = [endpoint.name for endpoint in group.row.endpoints.values()]
        if member_name not in names:
            return f"database {database_key!r} has no member {member_name!r}"
        if group.promotion is not None:
            return f"a promotion in term {group.promotion.term} is in progress"
        return ""

    # -- Databases -----------------------------------------------------------

    def _on_added(self, signal: DatabaseAdded) -> None:
        row = self.tables.databases[signal.database]
        group = GroupFailover(self._node, self._liveness, row, self._announce)
        self._groups[row.key] = group

    def _on_changed(self, signal: DatabaseChanged) -> None:
        group = self._groups.get(signal.database)
        if group is not None:
            group.remove_members(signal.removed)

    def _on_removed(self, signal: DatabaseRemoved) -> None:
        group = self._groups.pop(signal.database, None)
        if group is not None:
            group.stop()

    # -- Signals -------------------------------------------------------------

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = self._groups.get(signal.database)
        if group is not None:
            group.on_primary_changed()

    def _on_reported(self, signal: EndpointReported) -> None:
        endpoint = self.tables.endpoints.get(signal.address)
        group = self._group_of(signal.address)
        if group is not None and endpoint.report is not None:
            group.on_report(endpoint, endpoint.report)

    def _on_stalled(self, signal: MajorityPositionStalled) -> None:
        group = self._groups.get(signal.database)
        if group is not None:
            group.check_isolation()

    def _on_state_changed(self, signal: EndpointStateChanged) -> None:
        group = self._group_of(signal.address)
        if group is not None and signal.address == group.row.primary:
            group.check_leaving()

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
            record_result(self._platform, row.key, result)


def _ignore(reply: ControlReply | None) -> None:
    """Ignore the reply itself: liveness processes the report in it."""
