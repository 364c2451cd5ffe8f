"""Time limits for following a table, so that each change arrives in time.

A host in touch with the store must know a change a fixed time after the store accepted
it, whatever happened to the relay that it follows. So each host counts the age of what
it knows from the latest answer of the store, also if a relay passed that answer on, and
asks the store itself before its knowledge is too old.

A host that was cut off from the store, or a store that was disturbed, must be up to
date a fixed time after that. So the limits of waits and backoffs are what the other
steps on the way leave of that time.
"""

from __future__ import annotations

import math

from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.core.records import record

__all__ = [
    "ASK_JITTER",
    "BACKOFF_MIN",
    "PROBE_WAIT",
    "RELAYED_BACKOFF_MIN",
    "RELAY_SLACK",
    "RESUME_JITTER",
    "WATCH_SLACK",
    "FollowLimits",
    "follow_limits",
]

# Limits of the time that one call to the store waits for changes, in seconds. A long
# wait saves calls, which are charged.
STORE_WAIT_MAX = 29.0
STORE_WAIT_MIN = 0.25
WATCH_SLACK = 0.6  # seconds that the store may answer after the end of the wait
RELAY_SLACK = 0.5  # the same for a relay
# Seconds that a call waits for changes while the store does not answer: the reply to a
# call with a short wait soon shows that the store answers again.
PROBE_WAIT = 0.05
BACKOFF_MIN = 0.1  # seconds after a first failure; doubled by each further one
BACKOFF_MAX = 2.0
# Longer for hosts that follow relays, as the relays retry as well.
RELAYED_BACKOFF_MIN = 0.5
RELAYED_BACKOFF_MAX = 3.0
# Seconds over which the calls of waiting watches are spread once the store answers.
RESUME_JITTER = 0.3
# Seconds over which the followers of a relay that lost the store spread their calls.
ASK_JITTER = 0.1
ANSWER_TIME = 0.2  # seconds in which a store that is not disturbed answers
# Seconds by which a busy host may notice a timer, or handle a reply, late.
BUSY_DELAY = 0.15
# Seconds by which an answer to a relay may be late before its followers ask the store.
LATE_ANSWER_TIME = 0.3
# Relays that have to call the store more often than this, in seconds, would make about
# as many calls as they save.
RELAY_STORE_WAIT_MIN = 3.5

# Seconds until a host knows that a short call to the store got no answer.
_FAILED_PROBE_TIME = PROBE_WAIT + WATCH_SLACK
# Seconds until a follower that misses changes has tried a relay, and asks the store.
_RELAY_TRY_TIME = PROBE_WAIT + RELAY_SLACK + ASK_JITTER
# Seconds from a probe that the store answers until all watches know its answers.
_RESUME_TIME = PROBE_WAIT + ANSWER_TIME + RESUME_JITTER + ANSWER_TIME + BUSY_DELAY


@record
class FollowLimits:
    """Limits for one table, in seconds."""

    change_time: float  # within which a host in touch must know a change
    # After the end of a disturbance within which a host must know all changes.
    settle_time: float

    @property
    def can_be_kept(self) -> bool:
        """Return whether the settings leave time for the shortest waits."""
        return self.settle_time >= _FAILED_PROBE_TIME + BACKOFF_MIN + _RESUME_TIME

    @property
    def age_max(self) -> float:
        """Return the age of a follower's knowledge at which it asks the store."""
        return self.change_time - (ASK_JITTER + ANSWER_TIME + BUSY_DELAY)

    @property
    def store_wait(self) -> float:
        """Return how long a call to the store waits for changes at most.

        The store may never answer a call that arrived during a disturbance, so that
        only the end of the wait shows that changes are missed.
        """
        retry_time = WATCH_SLACK + BACKOFF_MIN + ANSWER_TIME + BUSY_DELAY
        return _clip(self.settle_time - retry_time, STORE_WAIT_MIN, STORE_WAIT_MAX)

    @property
    def relay_store_wait(self) -> float:
        """Return how long a relay may wait for the store's answer at most.

        Followers would leave a relay that calls the store less often whenever nothing
        changes.
        """
        return min(self.store_wait, self.age_max - LATE_ANSWER_TIME)

    @property
    def follower_store_wait(self) -> float:
        """Return how long a call of a host that has relays waits at most.

        After a failure, it tries a relay before it calls the store again.
        """
        retry_time = RELAYED_BACKOFF_MIN - BACKOFF_MIN + _RELAY_TRY_TIME
        return max(STORE_WAIT_MIN, self.store_wait - retry_time)

    @property
    def allows_relays(self) -> bool:
        """Return whether the limits leave relays enough time between their calls."""
        return self.relay_store_wait >= RELAY_STORE_WAIT_MIN

    @property
    def backoff_max(self) -> float:
        """Return the longest backoff of a host that follows the store itself."""
        longest = self.settle_time - (_FAILED_PROBE_TIME + _RESUME_TIME)
        return _clip(longest, BACKOFF_MIN, BACKOFF_MAX)

    @property
    def relayed_backoff_max(self) -> float:
        """Return the longest backoff of a host that has relays.

        The watch that retries on behalf of all tries a relay first, and so do those
        that it resumes.
        """
        resume_time = _RESUME_TIME + 2 * _RELAY_TRY_TIME
        longest = self.settle_time - (_FAILED_PROBE_TIME + resume_time)
        return _clip(longest, RELAYED_BACKOFF_MIN, RELAYED_BACKOFF_MAX)


# A host that a table still lists is skipped as soon as it does not answer, and limits
# are shared by asking the host that keeps them.
_NOT_URGENT = FollowLimits(change_time=math.inf, settle_time=math.inf)


def follow_limits(tables: ProxyTables, table: Table) -> FollowLimits:
    """Return the limits for a table, from the settings that the systems share.

    Endpoints have to be known as soon as a host may rely on its state again. Keys must
    not lapse at a host that the store answers.
    """
    change_times = {
        Table.CONFIGURATION: min(tables.apply_time, tables.key_lapse),
        Table.ENDPOINTS: tables.settle_time,
    }
    if table not in change_times:
        return _NOT_URGENT
    settle_time = min(tables.settle_time, tables.key_lapse)
    return FollowLimits(change_times[table], settle_time)


def _clip(value: float, least: float, most: float) -> float:
    return min(most, max(least, value))
