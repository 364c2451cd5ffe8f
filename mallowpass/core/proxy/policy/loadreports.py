"""Load reports: how long statements wait at a holder, and when it tells other hosts.

Other hosts choose a holder for each connection. Without knowing how many statements of
other hosts wait there, they use the nearest holder whatever its queue, and learn of the
queue when the holder refuses. Reports travel in replies, also between regions, so they
are sent only when they tell something new.
"""

from __future__ import annotations

from mallowpass.core.proxy.policy.waitestimate import DrainRate, expected_wait
from mallowpass.core.proxy.statements import LoadReport

__all__ = ["REPORT_VALIDITY", "QueueDrain", "is_due"]

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
# The rate at which a queue drains is not used once nothing has waited for this time.
DRAIN_MAX_AGE = 2.0


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


class QueueDrain:
    """Estimate the wait in one queue, from how fast it drained while something waited.

    Statements that are sent without waiting say nothing about the rate, and neither
    does the time without a queue: counted, they would make the queue of a short burst
    look as slow as the load before it was low.
    """

    __slots__ = ("_busy_time", "_rate", "_sent_at")

    def __init__(self) -> None:
        self._rate = DrainRate()
        self._busy_time = 0.0  # during which something waited, until `_sent_at`
        self._sent_at = float("-inf")  # when a statement that had waited was last sent

    def note_sent(self, since: float, now: float) -> None:
        """Record that a statement that waited since `since` is sent."""
        if since < now:
            self._busy_time = self._busy_until(since, now)
            self._sent_at = now
            self._rate.note_sent(self._busy_time)

    def wait(self, queued: int, since: float, now: float) -> float | None:
        """Return the wait behind `queued` statements, None if it can't be estimated.

        The first of these statements has waited since `since`.
        """
        if not queued:
            return 0.0
        if now - self._sent_at > DRAIN_MAX_AGE:
            return None
        return expected_wait(queued, self._rate.rate(self._busy_until(since, now)))

    def _busy_until(self, since: float, now: float) -> float:
        return self._busy_time + max(0.0, now - max(self._sent_at, since))
