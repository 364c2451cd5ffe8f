"""Fields of log lines whose end may be cut off."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

__all__ = ["age_text", "present_fields"]

_ABSENT = ("never", "none")


def present_fields(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Return the fields that tell something, in their order.

    Those that are zero, empty, false, "never" or "none" are left out.
    """
    return {k: v for k, v in fields.items() if v and v not in _ABSENT}


def age_text(now: float, time: float) -> float | str:
    """Return the seconds since a time, "never" if that is infinite."""
    return "never" if math.isinf(time) else round(now - time, 3)
