"""Waits for a majority to hold a place, and the notice that none holds more."""

from __future__ import annotations

from mallowpass.core.calls import LogPosition
from mallowpass.core.node import Node
from mallowpass.core.signals import MajorityPositionStalled
from mallowpass.core.systems.controlstreams import ControlStreams
from mallowpass.core.systems.groupview import GroupView, MajorityWaiter
from mallowpass.core.systems.positionawaits import PositionAwaits

__all__ = ["MajorityWaits"]


class MajorityWaits:
    """Queue the waits of one group, and ask its members for what they wait for."""

    __slots__ = ("_awaits", "_node", "_view")

    def __init__(self, node: Node, control: ControlStreams, view: GroupView) -> None:
        self._node = node
        self._view = view
        self._awaits = PositionAwaits(node, control, view)

    @property
    def awaits_positions(self) -> bool:
        """Tell whether members should be asked for places, not watched."""
        return self._awaits.is_as_fast_as_watching

    @property
    def is_stalled(self) -> bool:
        """Tell whether writes wait while what a majority holds stands still."""
        return self._view.is_stalled and self._view.is_awaited

    def add(self, waiter: MajorityWaiter) -> None:
        """Resolve a wait once it is known how it ends; maybe at once."""
        view = self._view
        if view.is_held_by_majority(waiter.position):
            waiter.resolve(True)
            return
        view.wait(waiter)
        view.resolve_waiters()
        self._expect_progress()
        if view.awaits_positions:
            self._awaits.request(view.highest_awaited)

    def stop(self) -> None:
        """Ask nothing more; all waits end without a majority."""
        self._awaits.stop()
        self._view.fail_waiters()

    def _expect_progress(self) -> None:
        """Notice when writes wait and no majority holds more for a while.

        A primary that has lost its replicas answers writes and reports as ever. One
        sees each of them end UNKNOWN at its deadline.
        """
        view = self._view
        if view.stall_timer is None:
            delay = self._node.tuning.probe_interval
            held = view.row.majority_position
            view.stall_timer = self._node.timers.after(delay, self._review, held)

    def _review(self, before: LogPosition) -> None:
        view = self._view
        view.stall_timer = None
        if not view.is_awaited:
            view.is_stalled = False
            return
        if view.row.majority_position == before and not view.is_stalled:
            view.is_stalled = True
            self._node.publish(MajorityPositionStalled(view.row.key))
        self._expect_progress()
