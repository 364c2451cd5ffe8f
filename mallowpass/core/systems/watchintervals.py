"""Choice of how often a member of a group sends reports to this host."""

from __future__ import annotations

from mallowpass.core.calls import WatchCall
from mallowpass.core.node import Node, Tuning
from mallowpass.core.systems.groupview import GroupView
from mallowpass.core.tables import EndpointRow

__all__ = ["ACTIVE_TIME", "detection_margin", "choose_watch"]

# Intervals are the longest times between two reports, and gaps the shortest; seconds.
ACTIVE_TIME = 2.0  # seconds after its last use until a database counts as idle
IDLE_INTERVAL = 2.0
IDLE_GAP = 1.0
READ_INTERVAL = 0.5
READ_GAP = 0.05
# Databases in use that are watched at the full rate; more databases share that rate.
FULL_RATE_DATABASES = 4


def choose_watch(
    node: Node, view: GroupView, endpoint: EndpointRow, is_steward: bool, active: int
) -> WatchCall:
    """Return the watch call for a member; `active` is the number of databases in use.

    If all hosts watched all members closely, the control traffic would exceed its
    whole budget. Only a host that waits for log positions needs each new one, and only
    the failure of a primary that stewards or callers of this host depend on has to be
    detected at once.
    """
    now, tuning = node.timers.now, node.tuning
    slowdown = max(1.0, active / FULL_RATE_DATABASES)
    interval = min(READ_INTERVAL * slowdown, IDLE_INTERVAL)
    is_primary = endpoint.address == view.row.primary or not view.row.primary
    if is_primary and is_steward:
        interval = tuning.probe_interval
    # Members report that they receive nothing from the primary shortly before the
    # detection time has passed. The first round of probes follows then, and at the
    # decisive round the whole detection time has passed.
    silence = tuning.detection - detection_margin(tuning)
    if now - view.last_write_at <= ACTIVE_TIME and not view.awaits_positions:
        return WatchCall(interval, tuning.report_gap, silence)
    if not view.row.primary:
        # Writes wait for a primary: the report of a new one must not be delayed.
        return WatchCall(interval, tuning.report_gap, silence)
    if now - view.last_read_at <= ACTIVE_TIME:
        return WatchCall(interval, min(READ_GAP * slowdown, IDLE_GAP), silence)
    if now - view.last_write_at <= ACTIVE_TIME:
        return WatchCall(interval, interval, silence)
    if not (is_primary and is_steward):
        interval = IDLE_INTERVAL
    return WatchCall(interval, IDLE_GAP, silence)


def detection_margin(tuning: Tuning) -> float:
    """Return how long before the detection time an unresponsive primary is checked.

    In seconds.
    """
    return min(2 * tuning.probe_interval, tuning.detection / 2)
