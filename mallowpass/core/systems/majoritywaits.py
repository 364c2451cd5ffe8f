"""Waits of writes until a majority of a group's members holds a log position."""

from __future__ import annotations

from mallowpass.core.calls import LogPosition
from mallowpass.core.node import Node
from mallowpass.core.signals import MajorityPositionStalled
from mallowpass.core.systems.controlstreams import ControlStreams
from mallowpass.core.systems.groupview import GroupView, MajorityWaiter
from mallowpass.core.systems.positionawaits import PositionAwaits

__all__ = ["MajorityWaits"]


class MajorityWaits:
    """Queue the waits of one group, and ask its members for the awaited positions.

    Publish MajorityPositionStalled when writes wait and the majority position does not
    advance.
    """

    __slots__ = ("_awaits", "_node", "_view")

    def __init__(self, node: Node, control: ControlStreams, view: GroupView) -> None:
        self._node = node
        self._view = view
        self._awaits = PositionAwaits(node, control, view)

    @property
    def awaits_positions(self) -> bool:
        """Return whether members are asked for positions instead of watched closely."""
        return self._awaits.is_as_fast_as_watching

    @property
    def is_stalled(self) -> bool:
        """Return whether writes wait and the majority position does not advance."""
        return self._view.is_stalled and self._view.is_awaited

    def add(self, waiter: MajorityWaiter) -> None:
        """Add a wait, which is resolved once its outcome is known, maybe at once."""
        view = self._view
        if view.is_held_by_majority(waiter.position):
            waiter.resolve(True)
            return
        view.wait(waiter)
        view.resolve_waiters()
        self._schedule_progress_check()
        if view.awaits_positions:
            self._awaits.request(view.highest_awaited)

    def stop(self) -> None:
        """Stop asking members, and fail all waits."""
        self._awaits.stop()
        self._view.fail_waiters()

    def _schedule_progress_check(self) -> None:
        """Check later whether the majority position has advanced.

        A primary that has lost its replicas still answers writes and sends reports,
        but each write ends as UNKNOWN at its deadline.
        """
        view = self._view
        if view.stall_timer is None:
            delay = self._node.tuning.probe_interval
            held = view.row.majority_position
            view.stall_timer = self._node.timers.after(
                delay, self._check_progress, held
            )

    def _check_progress(self, previous: LogPosition) -> None:
        view = self._view
        view.stall_timer = None
        if not view.is_awaited:
            view.is_stalled = False
            return
        if view.row.majority_position == previous and not view.is_stalled:
            view.is_stalled = True
            self._node.publish(MajorityPositionStalled(view.row.key))
        self._schedule_progress_check()
