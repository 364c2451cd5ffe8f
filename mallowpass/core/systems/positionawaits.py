"""Ask members to report when they reach the positions that writes wait for.

The cost of watching each change of a log position grows with the writes of all hosts.
The cost of asking for positions grows with the writes of this host only.
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

# Seconds between two calls to a member. A call covers all positions before its own.
CALL_INTERVAL = 0.005
OUTSTANDING_MAX = 16  # unanswered calls to a member
# Round trip, in seconds, up to which a host or member counts as near; much of a short
# round trip is spent inside the two ends. A call leaves when the primary has replied.
# Its reply is therefore later than the report to a watch, by at most the shorter of the
# round trips to the primary and to the member.
NEAR_ROUND_TRIP = 0.004


@dataclass(slots=True)
class _Member:
    """The positions that one member is asked to report.

    `wanted` is the highest one, and `requested` that of the last call sent.
    """

    wanted: LogPosition = ZERO_POSITION
    requested: LogPosition = ZERO_POSITION
    requested_at: float = float("-inf")
    outstanding: int = 0
    timer: Timer | None = None


class PositionAwaits:
    """Ask the members of one group for positions, with as few calls as needed."""

    __slots__ = ("_control", "_members", "_node", "_view")

    def __init__(self, node: Node, control: ControlStreams, view: GroupView) -> None:
        self._node = node
        self._control = control
        self._view = view
        self._members: dict[str, _Member] = {}  # by address

    @property
    def is_as_fast_as_watching(self) -> bool:
        """Return whether asking a majority delays no acknowledgement."""
        row = self._view.row
        is_near = self._control.round_trip(row.primary) <= NEAR_ROUND_TRIP
        eligible_count = sum(
            endpoint.address == row.primary
            or (self._can_await(endpoint) and (is_near or self._is_near(endpoint)))
            for endpoint in row.endpoints.values()
        )
        return bool(row.primary) and eligible_count >= row.definition.majority

    def request(self, position: LogPosition) -> None:
        """Ask all members to report when they have reached a position."""
        for endpoint in self._view.row.endpoints.values():
            self._request(endpoint, position)

    def stop(self) -> None:
        """Cancel the calls that have not been sent."""
        for member in self._members.values():
            if member.timer is not None:
                member.timer.cancel()

    def _can_await(self, endpoint: EndpointRow) -> bool:
        """Return whether a member supports the call and has replied recently."""
        report = endpoint.report
        if report is None or not report.await_position:
            return False
        elapsed = self._control.time_since_reply(endpoint.address)
        return elapsed < self._node.tuning.detection + self._control.report_interval(
            endpoint.address
        )

    def _is_near(self, endpoint: EndpointRow) -> bool:
        return self._control.round_trip(endpoint.address) <= NEAR_ROUND_TRIP

    def _request(self, endpoint: EndpointRow, position: LogPosition) -> None:
        if endpoint.report is None or not endpoint.report.await_position:
            return
        member = self._members.setdefault(endpoint.address, _Member())
        member.wanted = max(member.wanted, position)
        self._review(endpoint.address, member)

    def _review(self, address: str, member: _Member) -> None:
        if member.timer is not None or member.outstanding >= OUTSTANDING_MAX:
            return
        if member.wanted <= member.requested or self._has_reached(
            address, member.wanted
        ):
            return
        delay = member.requested_at + CALL_INTERVAL - self._node.timers.now
        if delay > 0:
            due = partial(self._on_interval_over, address, member)
            member.timer = self._node.timers.after(delay, due)
        else:
            self._send(address, member)

    def _on_interval_over(self, address: str, member: _Member) -> None:
        member.timer = None
        self._review(address, member)

    def _has_reached(self, address: str, position: LogPosition) -> bool:
        """Return whether a member is known to hold a position of the current term."""
        view = self._view
        held = view.holders.get(address, 0)
        return position.term == view.row.term and held >= position.position

    def _send(self, address: str, member: _Member) -> None:
        member.requested = member.wanted
        member.requested_at = self._node.timers.now
        member.outstanding += 1

        def on_reply(reply: ControlReply | None) -> None:
            # Liveness has already handled the report that the reply contains.
            member.outstanding -= 1
            self._review(address, member)

        call = AwaitPositionCall(member.requested)
        self._control.call(address, call, on_reply, self._node.tuning.silence)
