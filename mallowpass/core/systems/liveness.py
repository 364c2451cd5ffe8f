"""What this host knows of endpoints: health, roles, positions; all from reports."""

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

TRAFFIC_INTERVAL = 10.0


class Liveness(System):
    """Watch endpoints and tell what their reports prove."""

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
            node, self._replied, lambda: self._pause.awake_since
        )
        self._activity = Activity(node, self._control, self._views, self.steward_rank)
        self._primaries = Primaries(node, self._activity.update_watches)
        self._counted = (0, 0, 0)
        self._noticed_terms: dict[str, int] = {}
        self._membership: Peers | None = None

    @property
    def traffic(self) -> ControlTraffic:
        """Return the counters of what control streams cost."""
        return self._control.traffic

    @property
    def awake_since(self) -> float:
        """Return when this host's last pause ended, by its clock in seconds."""
        return self._pause.awake_since

    def start(self) -> None:
        """Watch databases as they come into force."""
        self._node.subscribe(DatabaseAdded, self._added)
        self._node.subscribe(DatabaseChanged, self._changed)
        self._node.subscribe(DatabaseRemoved, self._removed)
        self._node.subscribe(EndpointReplied, self._endpoint_replied)
        self._node.subscribe(HostStateChanged, self._activity.on_hosts_changed)
        self.timers.every(TRAFFIC_INTERVAL, self._count_traffic)
        membership = find_membership(self._node)
        if membership is not None:
            self.use_membership(membership)

    def use_membership(self, membership: Peers) -> None:
        """Listen to notices of promotions, and take this host's ranks from it."""
        self._membership = membership
        membership.on_message(GroupNotice, self._noticed)

    # -- For other systems ---------------------------------------------------

    def control_call(
        self, address: str, call: ControlCall, callback: ReplyCallback, timeout: float
    ) -> None:
        """Make a control call; the callback gets None without a reply in time."""
        self._control.call(address, call, callback, timeout)

    def look_up_floor(self, database: DatabaseRow, callback: FloorCallback) -> None:
        """Learn a floor above all writes acknowledged before now; None: no majority."""
        self._read(database.key)
        rounds = self._rounds.get(database.key)
        if rounds is None:
            self.timers.after(0.0, callback, None)
        else:
            rounds.learn(callback)

    def age_floor(
        self, database: DatabaseRow, accepted_age: float
    ) -> LogPosition | None:
        """Return a floor for data of at most an age; None: no record so new."""
        view = self._read(database.key)
        if view is None:
            return None
        floor = self._rounds[database.key].at_age(accepted_age)
        if floor is None:
            return None
        # A record may hold entries that no majority had and a promotion dropped.
        # Whatever was acknowledged is in the log where the next term starts.
        return view.dropped_by(floor) or floor

    def wait_for_majority(
        self,
        database: DatabaseRow,
        position: LogPosition,
        callback: Callable[[bool], None],
    ) -> MajorityWaiter:
        """Wait until a majority holds a position; False when its term is over.

        The callback may run before this returns.
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
        """Tell whether writes wait while what a majority holds stands still."""
        waits = self._waits.get(database.key)
        return waits is not None and waits.is_stalled

    def watch_closely(self, database: DatabaseRow) -> None:
        """Have all members report each move for a while."""
        view = self._views.get(database.key)
        if view is not None:
            self._activity.note_write(view, awaits_positions=False)

    def minority_since(self, database: DatabaseRow) -> float | None:
        """Return since when no majority of members is heard; None: one is."""
        view = self._views.get(database.key)
        return None if view is None else view.minority_since

    def note_reach(self, database: DatabaseRow, has_majority: bool) -> None:
        """Note whether a majority of members answers this host."""
        view = self._views.get(database.key)
        if view is None:
            return
        if has_majority:
            view.minority_since = None
        elif view.minority_since is None:
            view.minority_since = self.now

    def has_reached(self, endpoint: EndpointRow, position: LogPosition) -> bool:
        """Tell whether a member's newest report proves that reads see a position."""
        view = self._read(endpoint.database)
        if position.position == 0:
            return True
        if view is None or endpoint.report is None:
            return False
        return view.contains(endpoint.report.applied, position)

    def predicted_replica_wait(
        self, endpoint: EndpointRow, position: LogPosition
    ) -> float | None:
        """Return in how many seconds reads should see a position; None: unknown."""
        if self.has_reached(endpoint, position):
            return 0.0
        view = self._views.get(endpoint.database)
        return None if view is None else view.predict(self.now, endpoint, position)

    def is_floor_lost(self, database: DatabaseRow, position: LogPosition) -> bool:
        """Tell whether a promotion dropped a position from the log."""
        view = self._views.get(database.key)
        return view is not None and view.dropped_by(position) is not None

    def contains(
        self, database: DatabaseRow, end: LogPosition, position: LogPosition
    ) -> bool:
        """Tell whether a log that ends at `end` is proven to contain a position."""
        view = self._views.get(database.key)
        return view is not None and view.contains(end, position)

    def last_primary(self, database: DatabaseRow) -> str:
        """Return the address of the newest primary, also when it was lost since."""
        view = self._views.get(database.key)
        return "" if view is None else view.last_primary

    def steward_rank(self, database: DatabaseRow) -> int:
        """Return this host's place among a group's stewards, 0 first."""
        primary = self.last_primary(database)
        return steward_rank(self._node, self._membership, database, primary)

    def time_since_reply(self, address: str) -> float:
        """Return for how long an endpoint was silent, this host's pauses excluded."""
        return self._control.time_since_reply(address)

    def watch_interval(self, address: str) -> float:
        """Return how often an endpoint is asked to report, in seconds."""
        return self._control.report_interval(address)

    def open_second_stream(self, address: str) -> None:
        """Open a second control stream beside one that may be silent for good."""
        self._control.open_second_stream(address)

    # -- Databases -----------------------------------------------------------

    def _added(self, signal: DatabaseAdded) -> None:
        row = self.tables.databases[signal.database]
        view = GroupView(row)
        self._views[row.key] = view
        self._rounds[row.key] = FloorRounds(self._node, self._control, row)
        self._waits[row.key] = MajorityWaits(self._node, self._control, view)
        self._activity.update_watches(view)

    def _changed(self, signal: DatabaseChanged) -> None:
        view = self._views.get(signal.database)
        if view is None:
            return
        for address in signal.removed:
            self._control.remove(address)
            view.holders.pop(address, None)
            view.members.pop(address, None)
        if view.row.primary not in view.row.endpoints:
            self._primaries.lose(view, "its primary is not a member any more")
        self._activity.update_watches(view)

    def _removed(self, signal: DatabaseRemoved) -> None:
        view = self._views.pop(signal.database, None)
        if view is None:
            return
        self._rounds.pop(signal.database).stop()
        self._noticed_terms.pop(signal.database, None)
        self._activity.forget(view)
        for address in view.row.endpoints:
            self._control.remove(address)
        self._waits.pop(signal.database).stop()

    def _read(self, key: str) -> GroupView | None:
        """Return a database's view, noted as read by this host."""
        view = self._views.get(key)
        if view is not None:
            self._activity.note_read(view)
        return view

    # -- Reports -------------------------------------------------------------

    def _endpoint_replied(self, event: EndpointReplied) -> None:
        connection = self.tables.connections.get(event.connection)
        if connection is None:
            return
        endpoint = self.tables.endpoints.get(connection.address)
        if endpoint is None:
            return
        endpoint.last_reply_at = self.now
        if connection.sequence == event.reply.sequence:
            self._take_answer(endpoint, event.reply)

    def _take_answer(self, endpoint: EndpointRow, reply: EndpointReply) -> None:
        """Count what a member answers on a connection like a report of it.

        The primary's word on a write comes with the write's own answer; to ask it
        again would cost a round trip.
        """
        view = self._views.get(endpoint.database)
        if view is None or reply.code is not EndpointCode.OK:
            return
        view.mark(self.now, reply.applied)
        if view.count_answer(endpoint.address, reply.term, reply.applied):
            self._primaries.advance_held(view)

    def _replied(self, endpoint: EndpointRow, reply: ControlReply) -> None:
        view = self._views.get(endpoint.database)
        if reply.report is not None and view is not None:
            self._take_report(view, endpoint, reply.report)

    def _take_report(
        self, view: GroupView, endpoint: EndpointRow, report: Report
    ) -> None:
        endpoint.report = report
        endpoint.last_report_at = self.now
        endpoint.misses = 0
        view.history.learn(report)
        view.mark(self.now, report.received)
        view.note_applied(self.now, endpoint.address, report.applied)
        self._primaries.note_role(view, endpoint, report)
        if view.count_holder(endpoint.address, report):
            self._primaries.advance_held(view)
        self._node.publish(EndpointReported(endpoint.address))

    def lose_primary(self, database: DatabaseRow, why: str) -> None:
        """Send no more writes to the present primary until it is heard again."""
        view = self._views.get(database.key)
        if view is not None:
            self._primaries.lose(view, why)

    def bar_primary(self, database: DatabaseRow, why: str) -> None:
        """Send no more writes to a primary though it is heard, until it is admitted."""
        view = self._views.get(database.key)
        if view is not None:
            self._primaries.bar(view, why)

    def is_barred(self, database: DatabaseRow) -> bool:
        """Tell whether the newest primary gets no writes though it is heard."""
        view = self._views.get(database.key)
        return view is not None and view.is_barred

    def admit_primary(self, database: DatabaseRow) -> None:
        """Let a primary that was barred have writes again."""
        view = self._views.get(database.key)
        if view is not None:
            self._primaries.admit(view)

    # -- Notices and counters ------------------------------------------------

    def _noticed(self, host_name: str, notice: GroupNotice) -> None:
        """Ask the members at once: their reports decide, the notice does not."""
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
    """Leave a reply to the report in it, which is taken anyway."""
