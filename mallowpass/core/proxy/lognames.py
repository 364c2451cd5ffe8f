"""Names in fields of log lines, few enough for a line of a large fleet."""

from __future__ import annotations

from collections.abc import Collection

__all__ = ["NAMES_MAX", "names_text"]

NAMES_MAX = 5


def names_text(names: Collection[str]) -> str:
    """Return the first names in order, and how many others there are."""
    text = ",".join(sorted(names)[:NAMES_MAX])
    others = len(names) - NAMES_MAX
    return f"{text},+{others}" if others > 0 else text
