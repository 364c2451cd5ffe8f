"""Log lines of refusals because a database does not exist, bounded in number.

Callers of a database that is gone may try again without end, and a stranger may try
names without end. Their refusals would hide all other lines.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from mallowpass.core.node import Node
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["UnknownDatabases"]

# Times are in seconds.
LINE_INTERVAL = 60.0  # between two lines of one database
FORGET_AFTER = 180.0  # without a line; the count of refusals without one is dropped
KEPT_MAX = 256  # the refusals of further databases are logged as those of one


@dataclass(slots=True)
class _Lines:
    """The lines of one event and database."""

    version: int  # of the configuration, at the last line
    logged_at: float
    repeated: int = 0  # refusals since then


class UnknownDatabases(ProxySystem):
    """Log the first refusal of each database, and then some."""

    __slots__ = ("_lines",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # By event and database, the one that was logged last at the end.
        self._lines: OrderedDict[tuple[str, str], _Lines] = OrderedDict()

    def log(self, event: str, database: str, **fields: Any) -> None:
        """Log a refusal, unless one of the same database was logged shortly before.

        The first one under each version of the configuration is logged.
        """
        self._forget_old()
        version = self.tables.configuration.version
        key = (event, database)
        if key not in self._lines and len(self._lines) >= KEPT_MAX:
            key = (event, "")
        lines = self._lines.get(key)
        is_known = lines is not None and lines.version == version
        if is_known and self.now < lines.logged_at + LINE_INTERVAL:
            lines.repeated += 1
            return
        repeated = 0 if lines is None else lines.repeated
        self._lines[key] = _Lines(version, self.now)
        self._lines.move_to_end(key)
        self._node.log("info", event, database=database, **fields, repeated=repeated)

    def _forget_old(self) -> None:
        while self._lines:
            key, lines = next(iter(self._lines.items()))
            if self.now < lines.logged_at + FORGET_AFTER:
                return
            del self._lines[key]
