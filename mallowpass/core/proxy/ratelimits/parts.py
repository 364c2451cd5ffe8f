"""What the store's rows say of the parts of rate limits, and the rights to grant."""

from __future__ import annotations

from enum import Enum

from mallowpass.core.proxy.ratelimits.buckets import PART_COUNT
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.core.records import record

__all__ = ["LEFT", "PartEntry", "Right", "Stage", "key_of", "part_of"]

LEFT = "-"  # stands for the keeper of a part that was left


class Stage(Enum):
    """Say what a part's keeper, or whoever left it, has to go by."""

    ALONE = ""  # nobody else grants, and what it began with counts no more
    FOLLOWING = "following"  # a predecessor may still grant
    STARTED = "started"  # it began of late, with something to grant


@record
class PartEntry:
    """Hold what a part's row says, and the era of the store that it was written in."""

    keeper: str
    stage: Stage = Stage.ALONE
    era: int = 0

    @property
    def is_left(self) -> bool:
        """Tell whether nobody keeps the part."""
        return self.keeper == LEFT

    def encode(self) -> str:
        """Return the text that the store keeps."""
        return f"{self.keeper} {self.era} {self.stage.value}".rstrip()

    @classmethod
    def decode(cls, text: str) -> PartEntry:
        """Read what the store keeps; ValueError if it is no entry."""
        keeper, _, rest = text.partition(" ")
        era, _, stage = rest.partition(" ")
        if not keeper:
            raise ValueError("no keeper of a part")
        return cls(keeper, Stage(stage), int(era))


@record
class Right:
    """Say by which right a host grants from a part, and since when it has it.

    Without a full one it grants what the bounds allow beyond the limit. `filled` tells
    that it began with something to grant.
    """

    part: int
    since: float
    is_full: bool
    filled: bool = False


def key_of(part: int) -> RowKey:
    """Return the key of a part's row."""
    return RowKey(Table.LIMITS, "", str(part))


def part_of(key: RowKey) -> int | None:
    """Return the part that a row is of, None for other rows."""
    is_part = key.key.isascii() and key.key.isdigit() and int(key.key) < PART_COUNT
    return int(key.key) if is_part and not key.part else None
