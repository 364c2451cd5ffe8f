"""Times in which writes to a database waited and none was acknowledged."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["GapWatch"]


@dataclass(slots=True)
class GapWatch:
    """Follow one database's writes.

    A gap runs from the first write that waits after the newest acknowledgement to
    the next acknowledgement, so that a time without any write is none.
    """

    _waiting: dict[object, float] = field(default_factory=dict)  # since when
    _waited_since: float | None = None  # the earliest since the last acknowledgement
    _acknowledged_at: float = float("-inf")

    def began(self, write: object, at: float) -> None:
        """Note that a write was due, which may be long ago when its caller was busy."""
        self._waiting[write] = at
        if self._waited_since is None:
            self._waited_since = max(at, self._acknowledged_at)

    def acknowledged(self, write: object, at: float) -> tuple[float, float]:
        """Return when the gap that this ends began and ended."""
        began = self._waited_since
        self._waiting.pop(write, None)
        # What still waits has waited without an acknowledgement from now on.
        self._waited_since = at if self._waiting else None
        self._acknowledged_at = at
        return (at if began is None else min(began, at)), at

    def failed(self, write: object) -> None:
        """Note that a write ended otherwise; the gap goes on."""
        self._waiting.pop(write, None)

    def open_since(self) -> float | None:
        """Return since when writes wait, None when none does."""
        return self._waited_since
