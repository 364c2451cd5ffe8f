"""Health, roles and log positions of endpoints, as their reports show them."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.calls import (
    ControlCall,
    ControlReply,
    EndpointCode,
    EndpointReply,
    LogPosition,
    ProbeCall,
    Report,
)
from mallowpass.core.events import EndpointReplied
from mallowpass.core.node import Node, System
from mallowpass.core.peering import GroupNotice
from mallowpass.core.signals import (
    DatabaseAdded,
    DatabaseChanged,
    DatabaseRemoved,
    EndpointReported,
    HostStateChanged,
)
from mallowpass.core.systems.activity import Activity
from mallowpass.core.systems.controlstreams import (
    ControlStreams,
    ControlTraffic,
    ReplyCallback,
)
from mallowpass.core.systems.floors import FloorCallback, FloorRounds
from mallowpass.core.systems.groupview import GroupView, MajorityWaiter
from mallowpass.core.systems.hostpause import HostPause
from mallowpass.core.systems.majoritywaits import MajorityWaits
from mallowpass.core.systems.primaries import Primaries
from mallowpass.core.systems.stewards import Peers, find_membership, steward_rank
from mallowpass.core.tables import DatabaseRow, EndpointRow

__all__ = ["Liveness"]

TRAFFIC_COUNT_INTERVAL = 10.0  # seconds


class Liveness(System):
    """Watch endpoints, and derive group state and log positions from their reports."""

    __slots__ = (
        "_activity",
        "_control",
        "_counted",
        "_membership",
        "_noticed_terms",
        "_pause",
        "_primaries",
        "_rounds",
        "_views",
        "_waits",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._views: dict[str, GroupView] = {}
        self._rounds: dict[str, FloorRounds] = {}
        self._waits: dict[str, MajorityWaits] = {}
        self._pause = HostPause(node)
        self._control = ControlStreams(
            node, self._on_control_reply, lambda: self._pause.awake_since
        )
        self._activity = Activity(node, self._control, self._views, self.steward_rank)
        self._primaries = Primaries(node, self._activity.update_watches)
        self._counted = (0, 0, 0)  # calls, replies, bytes
        self._noticed_terms: dict[str, int] = {}  # by database key
        self._membership: Peers | None = None

    @property
    def traffic(self) -> ControlTraffic:
        """Return the counters of the control streams' traffic."""
        return self._control.traffic

    @property
    def awake_since(self) -> float:
        """Return when this host's last pause ended, by its clock in seconds."""
        return self._pause.awake_since

    def start(self) -> None:
        """Watch the databases that are served, as they are added and removed."""
        self._node.subscribe(DatabaseAdded, self._on_added)
        self._node.subscribe(DatabaseChanged, self._on_changed)
        self._node.subscribe(DatabaseRemoved, self._on_removed)
        self._node.subscribe(EndpointReplied, self._on_endpoint_replied)
        self._node.subscribe(HostStateChanged, self._activity.on_hosts_changed)
        self.timers.every(TRAFFIC_COUNT_INTERVAL, self._count_traffic)
        membership = find_membership(self._node)
        if membership is not None:
            self.use_membership(membership)

    def use_membership(self, membership: Peers) -> None:
        """Receive notices of promotions and this host's ranks from the membership."""
        self._membership = membership
        membership.on_message(GroupNotice, self._on_notice)

    # -- For other systems ---------------------------------------------------

    def control_call(
        self, address: str, call: ControlCall, callback: ReplyCallback, timeout: float
    ) -> None:
        """Make a control call; without a reply in time, the callback gets None."""
        self._control.call(address, call, callback, timeout)

    def look_up_floor(self, database: DatabaseRow, callback: FloorCallback) -> None:
        """Ask the members for a floor that covers all writes acknowledged before now.

        The callback gets None if no majority of the members answers.
        """
        self._view_for_read(database.key)
        rounds = self._rounds.get(database.key)
        if rounds is None:
            self.timers.after(0.0, callback, None)
        else:
            rounds.request(callback)

    def age_floor(
        self, database: DatabaseRow, accepted_age: float
    ) -> LogPosition | None:
        """Return a floor for an accepted age, None if no record is recent enough."""
        view = self._view_for_read(database.key)
        if view is None:
            return None
        floor = self._rounds[database.key].at_age(accepted_age)
        if floor is None:
            return None
        # The recorded position may include entries that no majority had and that a
        # promotion discarded. The log contains all acknowledged writes at the position
        # at which the next term starts.
        return view.discarded_by(floor) or floor

    def wait_for_majority(
        self,
        database: DatabaseRow,
        position: LogPosition,
        callback: Callable[[bool], None],
    ) -> MajorityWaiter:
        """Wait until a majority holds a position.

        The callback gets False if the position's term ends first. It may be called
        before this method returns.
        """
        waiter = MajorityWaiter(position, callback)
        waits = self._waits.get(database.key)
        if waits is None:
            waiter.resolve(False)
        else:
            view = self._views[database.key]
            self._activity.note_write(view, awaits_positions=waits.awaits_positions)
            waits.add(waiter)
        return waiter

    def is_stalled(self, database: DatabaseRow) -> bool:
        """Return whether writes wait and the majority position does not advance."""
        waits = self._waits.get(database.key)
        return waits is not None and waits.is_stalled

    def watch_closely(self, database: DatabaseRow) -> None:
        """Have all members report each change of position for a while."""
        view = self._views.get(database.key)
        if view is not None:
            self._activity.note_write(view, awaits_positions=False)

    def minority_since(self, database: DatabaseRow) -> float | None:
        """Return since when no majority of members is reachable, None if one is."""
        view = self._views.get(database.key)
        return None if view is None else view.minority_since

    def note_reach(self, database: DatabaseRow, has_majority: bool) -> None:
        """Record whether a majority of members is reachable from this host."""
        view = self._views.get(database.key)
        if view is None:
            return
        if has_majority:
            view.minority_since = None
        elif view.minority_since is None:
            view.minority_since = self.now

    def has_reached(self, endpoint: EndpointRow, position: LogPosition) -> bool:
        """Return whether a member's newest report proves that it applied a position."""
        view = self._view_for_read(endpoint.database)
        if position.position == 0:
            return True
        if view is None or endpoint.report is None:
            return False
        return view.contains(endpoint.report.applied, position)

    def predicted_replica_wait(
        self, endpoint: EndpointRow, position: LogPosition
    ) -> float | None:
        """Return in how many seconds reads should see a position, None if unknown."""
        if self.has_reached(endpoint, position):
            return 0.0
        view = self._views.get(endpoint.database)
        return None if view is None else view.predict(self.now, endpoint, position)

    def is_floor_lost(self, database: DatabaseRow, position: LogPosition) -> bool:
        """Return whether a promotion discarded a position from the log."""
        view = self._views.get(database.key)
        return view is not None and view.discarded_by(position) is not None

    def contains(
        self, database: DatabaseRow, end: LogPosition, position: LogPosition
    ) -> bool:
        """Return whether a log that ends at `end` is proven to contain a position."""
        view = self._views.get(database.key)
        return view is not None and view.contains(end, position)

    def last_primary(self, database: DatabaseRow) -> str:
        """Return the address of the newest primary, even if it was lost since."""
        view = self._views.get(database.key)
        return "" if view is None else view.last_primary

    def steward_rank(self, database: DatabaseRow) -> int:
        """Return this host's rank among a group's stewards, 0 first."""
        primary = self.last_primary(database)
        return steward_rank(self._node, self._membership, database, primary)

    def time_since_reply(self, address: str) -> float:
        """Return the seconds since an endpoint's last reply.

        Time before the end of this host's last pause does not count.
        """
        return self._control.time_since_reply(address)

    def report_interval(self, address: str) -> float:
        """Return the interval at which an endpoint is asked to report, in seconds."""
        return self._control.report_interval(address)

    def open_second_stream(self, address: str) -> None:
        """Open a second control stream beside one that may be broken."""
        self._control.open_second_stream(address)

    # -- Databases -----------------------------------------------------------

    def _on_added(self, signal: DatabaseAdded) -> None:
        row = self.tables.databases[signal.database]
        view = GroupView(row)
        self._views[row.key] = view
        self._rounds[row.key] = FloorRounds(self._node, self._control, row)
        self._waits[row.key] = MajorityWaits(self._node, self._control, view)
        self._activity.update_watches(view)

    def _on_changed(self, signal: DatabaseChanged) -> None:
        view = self._views.get(signal.database)
        if view is None:
            return
        for address in signal.removed:
            self._control.remove(address)
            view.holders.pop(address, None)
            view.members.pop(address, None)
        if view.row.primary not in view.row.endpoints:
            self._primaries.mark_lost(view, "the primary was removed from the group")
        self._activity.update_watches(view)

    def _on_removed(self, signal: DatabaseRemoved) -> None:
        view = self._views.pop(signal.database, None)
        if view is None:
            return
        self._rounds.pop(signal.database).stop()
        self._noticed_terms.pop(signal.database, None)
        self._activity.forget(view)
        for address in view.row.endpoints:
            self._control.remove(address)
        self._waits.pop(signal.database).stop()

    def _view_for_read(self, key: str) -> GroupView | None:
        """Return a database's view, and record that this host reads the database."""
        view = self._views.get(key)
        if view is not None:
            self._activity.note_read(view)
        return view

    # -- Reports -------------------------------------------------------------

    def _on_endpoint_replied(self, event: EndpointReplied) -> None:
        connection = self.tables.connections.get(event.connection)
        if connection is None:
            return
        endpoint = self.tables.endpoints.get(connection.address)
        if endpoint is None:
            return
        endpoint.last_reply_at = self.now
        if connection.sequence == event.reply.sequence:
            self._process_answer(endpoint, event.reply)

    def _process_answer(self, endpoint: EndpointRow, reply: EndpointReply) -> None:
        """Count a member's answer on a connection like one of its reports.

        The answer to a write carries the primary's own position, so no further round
        trip is needed to get the position.
        """
        view = self._views.get(endpoint.database)
        if view is None or reply.code is not EndpointCode.OK:
            return
        view.record_received(self.now, reply.applied)
        if view.count_answer(endpoint.address, reply.term, reply.applied):
            self._primaries.advance_majority_position(view)

    def _on_control_reply(self, endpoint: EndpointRow, reply: ControlReply) -> None:
        view = self._views.get(endpoint.database)
        if reply.report is not None and view is not None:
            self._process_report(view, endpoint, reply.report)

    def _process_report(
        self, view: GroupView, endpoint: EndpointRow, report: Report
    ) -> None:
        endpoint.report = report
        endpoint.last_report_at = self.now
        endpoint.misses = 0
        view.history.add(report)
        view.record_received(self.now, report.received)
        view.note_applied(self.now, endpoint.address, report.applied)
        self._primaries.note_role(view, endpoint, report)
        if view.count_holder(endpoint.address, report):
            self._primaries.advance_majority_position(view)
        self._node.publish(EndpointReported(endpoint.address))

    def mark_primary_lost(self, database: DatabaseRow, why: str) -> None:
        """Send no more writes to the primary until it reports again."""
        view = self._views.get(database.key)
        if view is not None:
            self._primaries.mark_lost(view, why)

    def block_primary(self, database: DatabaseRow, why: str) -> None:
        """Send no more writes to a primary, even if it reports, until unblocked."""
        view = self._views.get(database.key)
        if view is not None:
            self._primaries.block(view, why)

    def is_blocked(self, database: DatabaseRow) -> bool:
        """Return whether the newest primary gets no writes, even if it reports."""
        view = self._views.get(database.key)
        return view is not None and view.is_blocked

    def unblock_primary(self, database: DatabaseRow) -> None:
        """Allow writes to a blocked primary again."""
        view = self._views.get(database.key)
        if view is not None:
            self._primaries.unblock(view)

    # -- Notices and counters ------------------------------------------------

    def _on_notice(self, host_name: str, notice: GroupNotice) -> None:
        """Probe the members at once: only their reports show who leads."""
        row = self.tables.databases.get(notice.database)
        known = self._noticed_terms.get(notice.database, 0)
        if row is None or notice.term <= max(known, row.term):
            return
        self._noticed_terms[notice.database] = notice.term
        if self._membership is not None:
            self._membership.broadcast(notice, exclude=host_name)
        for address in row.endpoints:
            self._control.call(address, ProbeCall(), _ignore, self._node.tuning.silence)

    def _count_traffic(self) -> None:
        traffic = self._control.traffic
        counted = (traffic.calls, traffic.replies, traffic.bytes)
        names = ("control_calls", "control_replies", "control_bytes")
        for name, value, before in zip(names, counted, self._counted, strict=True):
            self._node.count(name, value - before)
        self._counted = counted


def _ignore(reply: ControlReply | None) -> None:
    """Ignore the reply itself: the report in it is processed in any case."""
