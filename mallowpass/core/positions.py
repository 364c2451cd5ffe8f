"""Places in replication logs, and how statements use the data."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = ["ZERO_POSITION", "Access", "LogPosition"]


class LogPosition(NamedTuple):
    """Name a place in a group's replication log; compares by term first."""

    term: int
    position: int

    @property
    def text(self) -> str:
        """Return it as log lines have it."""
        return f"{self.term}.{self.position}"

    @classmethod
    def parse(cls, text: str) -> LogPosition:
        """Read what `text` returned; ValueError if it is no position."""
        term, _, position = text.partition(".")
        return cls(int(term), int(position))


ZERO_POSITION = LogPosition(0, 0)


class Access(Enum):
    """Say whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"
