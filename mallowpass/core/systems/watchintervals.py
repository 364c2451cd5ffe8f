"""How closely a member is watched: as closely as its reports are needed."""

from __future__ import annotations

from mallowpass.core.calls import WatchCall
from mallowpass.core.node import Node, Tuning
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.tables import EndpointRow

__all__ = ["ACTIVE_TIME", "detection_margin", "choose_watch"]

# A database that this host did not use for so long is watched as an idle one.
ACTIVE_TIME = 2.0
IDLE_INTERVAL = 2.0
IDLE_GAP = 1.0
READ_INTERVAL = 0.5
READ_GAP = 0.05
# So many databases in use at once are watched at full pace; more share it.
CROWD = 4


def choose_watch(
    node: Node, view: GroupView, endpoint: EndpointRow, is_steward: bool, active: int
) -> WatchCall:
    """Choose how often a member reports; `active` databases are in use at this host.

    All hosts watching all members closely would cost more than the whole control
    budget: only who waits for positions needs each move of them, and only a primary
    that stewards or callers of this host depend on has to be found silent at once.
    """
    now, tuning = node.timers.now, node.tuning
    crowding = max(1.0, active / CROWD)
    pace = min(READ_INTERVAL * crowding, IDLE_INTERVAL)
    is_primary = endpoint.address == view.row.primary or not view.row.primary
    if is_primary and is_steward:
        pace = tuning.probe_interval
    # Before the silence is long enough for a promotion: the first question comes then,
    # and the one that counts finds it long enough.
    silence = tuning.detection - detection_margin(tuning)
    if now - view.last_write_at <= ACTIVE_TIME and not view.awaits_positions:
        return WatchCall(pace, tuning.report_gap, silence)
    if not view.row.primary:
        # Writes are held: the report of a new primary must not wait for a gap.
        return WatchCall(pace, tuning.report_gap, silence)
    if now - view.last_read_at <= ACTIVE_TIME:
        return WatchCall(pace, min(READ_GAP * crowding, IDLE_GAP), silence)
    if now - view.last_write_at <= ACTIVE_TIME:
        return WatchCall(pace, pace, silence)
    if not (is_primary and is_steward):
        pace = IDLE_INTERVAL
    return WatchCall(pace, IDLE_GAP, silence)


def detection_margin(tuning: Tuning) -> float:
    """Return how long before the detection time a member's silence is looked into."""
    return min(2 * tuning.probe_interval, tuning.detection / 2)
