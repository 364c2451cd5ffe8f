"""Time limits for following a table, so that each change arrives in time.

A host in touch with the store must know a change a fixed time after the store accepted
it, whatever happened to the relay that it follows. So each host counts the age of what
it knows from the latest answer of the store, also if a relay passed that answer on, and
asks the store itself before its knowledge is too old.
"""

from __future__ import annotations

import math

from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.core.records import record

__all__ = ["ASK_JITTER", "WATCH_SLACK", "FollowLimits", "follow_limits"]

WATCH_SLACK = 1.5  # seconds that the store may answer after the end of the wait
# Limits of the time that one call to the store waits for changes, in seconds. A long
# wait saves calls, which are charged.
STORE_WAIT_MAX = 29.0
STORE_WAIT_MIN = 1.0
# Seconds over which the followers of a relay that lost the store spread their calls.
ASK_JITTER = 0.1
ANSWER_TIME = 0.25  # seconds in which a store that is not disturbed answers
# Seconds by which a busy host may notice a timer, or handle a reply, late.
BUSY_DELAY = 0.15
# Seconds by which an answer to a relay may be late before its followers ask the store.
LATE_ANSWER_TIME = 0.3
# Relays that have to call the store more often than this, in seconds, would make about
# as many calls as they save.
RELAY_WAIT_MIN = 3.5


@record
class FollowLimits:
    """Limits for one table, in seconds."""

    change_time: float  # within which a host in touch must know a change
    store_wait: float  # that a call to the store waits for changes at most

    @property
    def age_max(self) -> float:
        """Return the age of a follower's knowledge at which it asks the store."""
        return self.change_time - (ASK_JITTER + ANSWER_TIME + BUSY_DELAY)

    @property
    def relay_wait(self) -> float:
        """Return how long a relay's call waits at most: its followers ask after that.

        A relay that calls the store less often would be left by followers whenever
        nothing changes.
        """
        return min(self.store_wait, self.age_max - LATE_ANSWER_TIME)

    @property
    def allows_relays(self) -> bool:
        """Return whether the limits leave relays enough time between their calls."""
        return self.relay_wait >= RELAY_WAIT_MIN


# A host that a table still lists is skipped as soon as it does not answer, and limits
# are shared by asking the host that keeps them.
_NOT_URGENT = FollowLimits(change_time=math.inf, store_wait=STORE_WAIT_MAX)


def follow_limits(tables: ProxyTables, table: Table) -> FollowLimits:
    """Return the limits for a table, from the settings that the systems share.

    Endpoints have to be known as soon as a host may rely on its state again.
    """
    change_times = {
        Table.CONFIGURATION: min(tables.apply_time, tables.key_lapse),
        Table.ENDPOINTS: tables.settle_time,
    }
    if table not in change_times:
        return _NOT_URGENT
    longest = min(tables.settle_time, tables.key_lapse) - WATCH_SLACK
    store_wait = min(STORE_WAIT_MAX, max(STORE_WAIT_MIN, longest))
    return FollowLimits(change_times[table], store_wait)
