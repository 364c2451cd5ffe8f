"""Positions in replication logs, and the access modes of statements."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

__all__ = ["ZERO_POSITION", "Access", "LogPosition"]


class LogPosition(NamedTuple):
    """A position in the replication log of a group; ordered by term first."""

    term: int
    position: int

    @property
    def text(self) -> str:
        """Return the position as text, as in log events: "term.position"."""
        return f"{self.term}.{self.position}"

    @classmethod
    def parse(cls, text: str) -> LogPosition:
        """Parse "term.position"; raise ValueError for a text of another form."""
        term, _, position = text.partition(".")
        return cls(int(term), int(position))


ZERO_POSITION = LogPosition(0, 0)


class Access(Enum):
    """Whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"
