"""Store rows of the parts of rate limits, and a keeper's right to grant from a part."""

from __future__ import annotations

import math
from enum import Enum

from mallowpass.core.proxy.ratelimits.buckets import PART_COUNT
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.core.records import record

__all__ = ["RELEASED", "GrantRight", "PartEntry", "Stage", "key_of", "part_of"]

RELEASED = "-"  # in place of the keeper's name: the last keeper released the part


class Stage(Enum):
    """Describe what the keeper of a part, or its successor, must assume."""

    SETTLED = ""  # no other host has a full right; buckets may begin prefilled
    TAKING_OVER = "following"  # a previous keeper may still have a full right
    PREFILLED = "started"  # buckets began prefilled within the last window
    # Released while leases may be in force, and perhaps within a window of a prefill.
    # An earlier version does not read it, so it does not grant what is leased.
    LEASED = "leased"


@record
class PartEntry:
    """The content of a part's row; `era` is the store's era when it was written."""

    keeper: str
    stage: Stage = Stage.SETTLED
    era: int = 0

    @property
    def is_released(self) -> bool:
        """Return whether the last keeper released the part."""
        return self.keeper == RELEASED

    def encode(self) -> str:
        """Return the text of the row."""
        return f"{self.keeper} {self.era} {self.stage.value}".rstrip()

    @classmethod
    def decode(cls, text: str) -> PartEntry:
        """Parse the text of a row.

        Raise ValueError if the text is not an entry.
        """
        keeper, _, rest = text.partition(" ")
        era, _, stage = rest.partition(" ")
        if not keeper:
            raise ValueError("entry of a rate limit's part names no keeper")
        return cls(keeper, Stage(stage), int(era))


@record
class GrantRight:
    """A host's right to grant from a part; `since` is when it begins.

    A full right grants the part's share of the limit. Any other right grants only from
    a spare bucket, which the bounds allow beyond the limit. `is_prefilled` means that
    buckets begin at their initial level instead of empty. Until `leased_until`, leases
    that this host does not know may be in force.
    """

    part: int
    since: float
    is_full: bool
    is_prefilled: bool = False
    leased_until: float = -math.inf


def key_of(part: int) -> RowKey:
    """Return the key of a part's row."""
    return RowKey(Table.LIMITS, "", str(part))


def part_of(key: RowKey) -> int | None:
    """Return the part that a row describes; None if the row describes no part."""
    is_part = key.key.isascii() and key.key.isdigit() and int(key.key) < PART_COUNT
    return int(key.key) if is_part and not key.part else None
