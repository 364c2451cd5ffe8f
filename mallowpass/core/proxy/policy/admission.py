"""Who waits for a full endpoint, and who is turned away.

The load: more statements than endpoints run, for seconds. A line that only grows makes
everybody late, and what waits to its timeout then runs for nobody. Who has waited for a
part of its objective is told at once that it did not run, with time left to come again.
"""

from __future__ import annotations

from collections.abc import Sequence

from mallowpass.core.proxy.tables import RequestRow

__all__ = ["held_until", "is_turned_away"]

# Share of the objective after which a statement that waits for a full endpoint is
# refused. Its caller has time for another attempt, and those that are served have not
# waited longer; all that waited until their timeouts were late or ran for nobody.
HOLD_SHARE = 0.25


def held_until(request: RequestRow) -> float:
    """Return until when a statement waits for a full endpoint."""
    return request.arrived_at + HOLD_SHARE * request.route.objective


def is_turned_away(request: RequestRow, line: Sequence[RequestRow], now: float) -> bool:
    """Tell whether a statement that no endpoint has room for should be refused.

    Not whoever is first in line: it runs as soon as any statement ends.
    """
    return line[0] is not request and now >= held_until(request)
