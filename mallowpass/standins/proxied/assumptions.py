"""What hosts take for granted about a platform, and a stand-in that does otherwise.

Each field tells one thing that a replacement of a primary may rest on. The defaults are
what the stand-in does; another value has it break the assumption.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields, replace

__all__ = ["ALL_HOLD", "LINGER", "WORST", "Assumptions"]

LINGER = 3.0  # seconds that an endpoint keeps a connection whose other end is cut off


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Tell which assumptions about members and their platform hold."""

    # -- Stepping down ---------------------------------------------------------

    # A primary that was ordered to step down does not replicate any more, and
    # acknowledges no commit that waits. Else it does both until a successor leads.
    step_down_ends_commits: bool = True
    # It begins no commit either. Else it goes on as a primary in all but its status.
    step_down_refuses_commits: bool = True
    # From then on its status shows all of its log. Else it shows what replicas have.
    step_down_shows_log: bool = True
    # The platform makes it lead again. Else it takes it for the primary that it was,
    # and does nothing.
    step_down_is_known: bool = True

    # -- Pauses ----------------------------------------------------------------

    # Seconds until a pause ends by itself.
    pause_time: float = math.inf
    # A replica that is paused receives nothing of what was sent before.
    pause_covers_way: bool = True
    # Other replicas stay paused as a promotion begins.
    promotion_keeps_pauses: bool = True

    # -- Connections -----------------------------------------------------------

    # A commit whose connection has ended is not acknowledged.
    close_ends_commits: bool = True
    # Share of the resets that get lost: the endpoint learns of the end as of a cut.
    reset_loss: float = 0.0
    # A reset that the way has held up ends a commit as it arrives. Else the endpoint
    # takes it for a close, and finishes what it has begun. The stand-in does.
    held_reset_ends_commits: bool = False
    # Seconds that an endpoint keeps a connection whose other end is cut off.
    linger: float = LINGER
    # A connection is refused only where no process listens. Else a cut refuses it too.
    refused_means_ended: bool = True

    # -- The platform ----------------------------------------------------------

    # An order for a member that runs is not refused. Else one for the primary is.
    refusal_means_ended: bool = True
    # An order for the primary changes nothing. Else it leads the next term.
    order_for_primary_is_void: bool = True
    # A primary loses the lead as its successor begins to lead. Else it goes on until it
    # has reached its successor for a while.
    successor_ends_lead: bool = True
    # Seconds by which lists of rows may be outdated at the store.
    store_read_age: float = 0.0

    # -- Logs ------------------------------------------------------------------

    # A replica leads with all that it has received. Else with what it has applied.
    leads_with_received: bool = True
    # It leads with what it receives while its promotion is under way as well. Else it
    # leads with what it had as the promotion was called.
    promotion_keeps_late_entries: bool = True
    # Entries at the end of its log that a replica loses as it starts again.
    restart_loss: int = 0
    # Seconds for which a member answers with the status that it has told last.
    status_age: float = 0.0

    def combine(self, other: Assumptions) -> Assumptions:
        """Return assumptions that break what either breaks; the other's values win."""
        changes = {
            field.name: getattr(other, field.name)
            for field in fields(other)
            if getattr(other, field.name) != field.default
        }
        return replace(self, **changes)


ALL_HOLD = Assumptions()

# The worst that the platform's pages allow: a commit that waits outlives both its
# primary's step-down and its connection.
WORST = Assumptions(step_down_ends_commits=False, close_ends_commits=False)
