"""Activity of databases on this host, and the watch calls to their members."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mallowpass.core.node import Node
from mallowpass.core.signals import HostStateChanged
from mallowpass.core.systems.controlstreams import ControlStreams
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.systems.watchintervals import ACTIVE_TIME, choose_watch
from mallowpass.core.tables import DatabaseRow
from mallowpass.core.timers import Timer

__all__ = ["STEWARD_COUNT", "Activity"]

# Hosts of the first ranks, from 0, that watch a group's primary closely.
STEWARD_COUNT = 3
RANK_REVIEW_DELAY = 0.2  # seconds after a host's state changed


class Activity:
    """Note each use of a database, and watch its members closely for a while after."""

    __slots__ = (
        "_active_databases",
        "_control",
        "_node",
        "_rank_timer",
        "_steward_rank",
        "_views",
    )

    def __init__(
        self,
        node: Node,
        control: ControlStreams,
        views: Mapping[str, GroupView],
        steward_rank: Callable[[DatabaseRow], int],
    ) -> None:
        self._node = node
        self._control = control
        self._views = views
        self._steward_rank = steward_rank  # of this host for a group
        self._active_databases = 0
        self._rank_timer: Timer | None = None

    def note_read(self, view: GroupView) -> None:
        """Note that a read needs log positions of a database."""
        view.last_read_at = self._node.timers.now
        self._mark_active(view)

    def note_write(self, view: GroupView, *, awaits_positions: bool) -> None:
        """Note that a write waits for a majority.

        `awaits_positions` is whether members are asked for the write's log position.
        """
        now = self._node.timers.now
        was_idle = now - view.last_write_at > ACTIVE_TIME
        view.last_write_at = now
        has_changed = view.awaits_positions != awaits_positions
        view.awaits_positions = awaits_positions
        if was_idle or has_changed:
            self.update_watches(view)
        self._mark_active(view)

    def update_watches(self, view: GroupView) -> None:
        """Set how often each member of a group reports."""
        is_steward = self._steward_rank(view.row) < STEWARD_COUNT
        for endpoint in view.row.endpoints.values():
            watch = choose_watch(
                self._node, view, endpoint, is_steward, self._active_databases
            )
            self._control.add(endpoint, watch)
            self._control.watch(endpoint.address, watch)

    def forget(self, view: GroupView) -> None:
        """Drop a database that is no longer served."""
        if view.activity_timer is not None:
            view.activity_timer.cancel()
            self._active_databases -= 1

    def on_hosts_changed(self, signal: HostStateChanged) -> None:
        """Schedule a review of this host's ranks among stewards."""
        # Many hosts start and stop together: one review covers all of them.
        if self._rank_timer is None:
            review = self._review_ranks
            self._rank_timer = self._node.timers.after(RANK_REVIEW_DELAY, review)

    def _mark_active(self, view: GroupView) -> None:
        if view.activity_timer is None:
            self._active_databases += 1
            view.activity_timer = self._node.timers.after(
                ACTIVE_TIME, self._review_activity, view
            )
            self.update_watches(view)

    def _review_activity(self, view: GroupView) -> None:
        view.activity_timer = None
        last_use = max(view.last_read_at, view.last_write_at)
        if self._node.timers.now - last_use <= ACTIVE_TIME:
            view.activity_timer = self._node.timers.after(
                ACTIVE_TIME, self._review_activity, view
            )
        else:
            self._active_databases -= 1
        self.update_watches(view)

    def _review_ranks(self) -> None:
        self._rank_timer = None
        for view in self._views.values():
            self.update_watches(view)
