"""Load reports: how long statements wait at a holder, and when it tells other hosts.

Other hosts choose a holder for each connection. Without knowing how many statements of
other hosts wait there, they use the nearest holder whatever its queue, and learn of the
queue when the holder refuses. Reports travel in replies, also between regions, so they
are sent only when they tell something new.
"""

from __future__ import annotations

from mallowpass.core.proxy.statements import LoadReport

__all__ = ["CACHE_TIME", "REPORT_VALIDITY", "is_due"]

# Times in seconds.
# A report counts for this long from its arrival: a holder that is cut off or frozen
# sends none, and its queue of a second ago says nothing.
REPORT_VALIDITY = 1.0
# An unchanged report is repeated after this time, so that four arrive while one counts.
REPEAT_AFTER = 0.25
# Share by which a report must differ from the last one to be sent at once.
CHANGE_MIN = 0.25
# Wait from which on this share applies: differences of a few milliseconds are below
# what the choice of a holder takes into account.
WAIT_FLOOR = 0.012
# A report is computed once in this time for all links to an endpoint: counting 300
# links and 300 statements took 39 us for each reply.
CACHE_TIME = 0.01


def is_due(
    last: LoadReport | None, last_at: float, report: LoadReport, now: float
) -> bool:
    """Return whether to send a report after the `last` one, sent at `last_at`."""
    if last is None or now >= last_at + REPEAT_AFTER:
        return True
    if last.wait is not None and report.wait is not None:
        change = abs(report.wait - last.wait)
        return change > CHANGE_MIN * max(last.wait, WAIT_FLOOR)
    if last.wait is not None or report.wait is not None:
        return True
    return abs(report.queued - last.queued) > CHANGE_MIN * last.queued
