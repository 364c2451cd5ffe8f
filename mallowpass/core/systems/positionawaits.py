"""Ask members for the places that this host's own writes wait for.

To watch every move of a log costs with the writes of all hosts together. A host that
asks for a place pays for its own writes alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from mallowpass.core.calls import (
    ZERO_POSITION,
    AwaitPositionCall,
    ControlReply,
    LogPosition,
)
from mallowpass.core.node import Node
from mallowpass.core.systems.controlstreams import ControlStreams
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.tables import EndpointRow
from mallowpass.core.timers import Timer

__all__ = ["PositionAwaits"]

GAP = 0.005  # seconds between two calls to a member; one stands for all before it
OUTSTANDING_MAX = 16  # at a member; more have to wait for an answer
# An answer comes later than a watch's report would by at most the shorter one of the
# ways to the primary and to the member and back: the call leaves when the primary
# has answered. Seconds that a round trip may take, much of it inside the two ends.
NEAR = 0.004


@dataclass(slots=True)
class _Member:
    wanted: LogPosition = ZERO_POSITION
    asked: LogPosition = ZERO_POSITION
    asked_at: float = float("-inf")
    outstanding: int = 0
    timer: Timer | None = None


class PositionAwaits:
    """Keep what one group's members were asked for, and ask no more than needed."""

    __slots__ = ("_control", "_members", "_node", "_view")

    def __init__(self, node: Node, control: ControlStreams, view: GroupView) -> None:
        self._node = node
        self._control = control
        self._view = view
        self._members: dict[str, _Member] = {}  # by address

    @property
    def is_as_fast_as_watching(self) -> bool:
        """Tell whether a majority can be asked without acknowledging later."""
        row = self._view.row
        is_near = self._control.round_trip(row.primary) <= NEAR
        able = sum(
            endpoint.address == row.primary
            or (self._knows(endpoint) and (is_near or self._is_near(endpoint)))
            for endpoint in row.endpoints.values()
        )
        return bool(row.primary) and able >= row.definition.majority

    def request(self, place: LogPosition) -> None:
        """Have all members report once they have reached a place."""
        for endpoint in self._view.row.endpoints.values():
            self._want(endpoint, place)

    def stop(self) -> None:
        """Ask nothing more."""
        for member in self._members.values():
            if member.timer is not None:
                member.timer.cancel()

    def _knows(self, endpoint: EndpointRow) -> bool:
        """Tell whether a member answers the call, and is there to answer it."""
        report = endpoint.report
        if report is None or not report.await_position:
            return False
        silence = self._control.time_since_reply(endpoint.address)
        return silence < self._node.tuning.detection + self._control.report_interval(
            endpoint.address
        )

    def _is_near(self, endpoint: EndpointRow) -> bool:
        return self._control.round_trip(endpoint.address) <= NEAR

    def _want(self, endpoint: EndpointRow, place: LogPosition) -> None:
        if endpoint.report is None or not endpoint.report.await_position:
            return
        member = self._members.setdefault(endpoint.address, _Member())
        member.wanted = max(member.wanted, place)
        self._review(endpoint.address, member)

    def _review(self, address: str, member: _Member) -> None:
        if member.timer is not None or member.outstanding >= OUTSTANDING_MAX:
            return
        if member.wanted <= member.asked or self._has(address, member.wanted):
            return
        wait = member.asked_at + GAP - self._node.timers.now
        if wait > 0:
            due = partial(self._on_gap, address, member)
            member.timer = self._node.timers.after(wait, due)
        else:
            self._ask(address, member)

    def _on_gap(self, address: str, member: _Member) -> None:
        member.timer = None
        self._review(address, member)

    def _has(self, address: str, place: LogPosition) -> bool:
        """Tell whether a member is known to hold a place of the present term."""
        view = self._view
        held = view.holders.get(address, 0)
        return place.term == view.row.term and held >= place.position

    def _ask(self, address: str, member: _Member) -> None:
        member.asked = member.wanted
        member.asked_at = self._node.timers.now
        member.outstanding += 1

        def answered(reply: ControlReply | None) -> None:
            # What it proves stands in its report, which liveness has taken already.
            member.outstanding -= 1
            self._review(address, member)

        call = AwaitPositionCall(member.asked)
        self._control.call(address, call, answered, self._node.tuning.silence)
