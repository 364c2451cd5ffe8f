"""Waits for a majority to hold a place, and the notice that none holds more."""

from __future__ import annotations

from mallowpass.core.calls import LogPosition
from mallowpass.core.node import Node
from mallowpass.core.signals import MajorityPositionStalled
from mallowpass.core.systems.awaiting import PlaceAwaits
from mallowpass.core.systems.controlstreams import ControlStreams
from mallowpass.core.systems.groupview import GroupView, HeldWaiter

__all__ = ["HeldWaits"]


class HeldWaits:
    """Queue the waits of one group, and ask its members for what they wait for."""

    __slots__ = ("_awaits", "_node", "_view")

    def __init__(self, node: Node, control: ControlStreams, view: GroupView) -> None:
        self._node = node
        self._view = view
        self._awaits = PlaceAwaits(node, control, view)

    @property
    def awaits_places(self) -> bool:
        """Tell whether members should be asked for places, not watched."""
        return self._awaits.are_as_fast

    @property
    def is_stalled(self) -> bool:
        """Tell whether writes wait while what a majority holds stands still."""
        return self._view.stalled and self._view.is_awaited

    def add(self, waiter: HeldWaiter) -> None:
        """Resolve a wait once it is known how it ends; maybe at once."""
        view = self._view
        if view.is_held(waiter.position):
            waiter.resolve(True)
            return
        view.wait(waiter)
        view.resolve_waiters()
        self._expect_progress()
        if view.awaits_places:
            self._awaits.want(view.awaited)

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
        if view.stall is None:
            delay = self._node.tuning.probe_interval
            held = view.row.majority_position
            view.stall = self._node.timers.after(delay, self._review, held)

    def _review(self, before: LogPosition) -> None:
        view = self._view
        view.stall = None
        if not view.is_awaited:
            view.stalled = False
            return
        if view.row.majority_position == before and not view.stalled:
            view.stalled = True
            self._node.publish(MajorityPositionStalled(view.row.key))
        self._expect_progress()
