"""Which databases this host uses, and so how closely their members are watched."""

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

STEWARD_COUNT = 3  # so many hosts of the lowest ranks watch a group's primary closely
RANK_REVIEW = 0.2


class Activity:
    """Note each use of a database, and watch closely for a while after it."""

    __slots__ = ("_active", "_control", "_node", "_rank_review", "_turn", "_views")

    def __init__(
        self,
        node: Node,
        control: ControlStreams,
        views: Mapping[str, GroupView],
        turn: Callable[[DatabaseRow], int],
    ) -> None:
        self._node = node
        self._control = control
        self._views = views
        self._turn = turn  # of this host among a group's stewards
        self._active = 0  # databases in use
        self._rank_review: Timer | None = None

    def note_read(self, view: GroupView) -> None:
        """Note that positions of a database were asked for."""
        view.last_read_at = self._node.timers.now
        self._note(view)

    def note_write(self, view: GroupView, *, awaits_positions: bool) -> None:
        """Note that a write waits for a majority, by asking for its place or not."""
        now = self._node.timers.now
        is_first = now - view.last_write_at > ACTIVE_TIME
        view.last_write_at = now
        is_other_way = view.awaits_positions != awaits_positions
        view.awaits_positions = awaits_positions
        if is_first or is_other_way:
            self.update_watches(view)
        self._note(view)

    def update_watches(self, view: GroupView) -> None:
        """Have all members of a group report as often as is needed now."""
        is_steward = self._turn(view.row) < STEWARD_COUNT
        for endpoint in view.row.endpoints.values():
            watch = choose_watch(self._node, view, endpoint, is_steward, self._active)
            self._control.add(endpoint, watch)
            self._control.watch(endpoint.address, watch)

    def forget(self, view: GroupView) -> None:
        """Drop a database that is not served any more."""
        if view.activity_timer is not None:
            view.activity_timer.cancel()
            self._active -= 1

    def on_hosts_changed(self, signal: HostStateChanged) -> None:
        """Review this host's ranks soon: they may have moved."""
        # Many hosts come and go together: one review for all.
        if self._rank_review is None:
            review = self._review_ranks
            self._rank_review = self._node.timers.after(RANK_REVIEW, review)

    def _note(self, view: GroupView) -> None:
        if view.activity_timer is None:
            self._active += 1
            view.activity_timer = self._node.timers.after(
                ACTIVE_TIME, self._review, view
            )
            self.update_watches(view)

    def _review(self, view: GroupView) -> None:
        view.activity_timer = None
        newest = max(view.last_read_at, view.last_write_at)
        if self._node.timers.now - newest <= ACTIVE_TIME:
            view.activity_timer = self._node.timers.after(
                ACTIVE_TIME, self._review, view
            )
        else:
            self._active -= 1
        self.update_watches(view)

    def _review_ranks(self) -> None:
        self._rank_review = None
        for view in self._views.values():
            self.update_watches(view)
