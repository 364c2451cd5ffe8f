"""Window credits: grants beyond a bucket, and the rows that announce them.

A row of the store names each customer to whom the keeper of a part may have granted
more than its bucket had. Its key is `PART.CUSTOMER`, its value the keeper's name and
the store's era. See `windows` for what a keeper that finds such a row has to do.

A row is written on condition that the part's row has not changed. So a predecessor
writes no row after its part was claimed, and the rows that a new keeper reads after its
claim are complete. A row is deleted on condition that it has not changed: a deletion
that the store carries out late does not affect a row that was written since.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.configuration import Customer
from mallowpass.core.proxy.ratelimits.buckets import (
    PART_COUNT,
    BucketSize,
    TokenBucket,
    full_size,
)
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.parts import GrantRight, key_of
from mallowpass.core.proxy.ratelimits.windows import (
    GrantWindow,
    may_end,
    may_extend,
    span_of,
    window_limit,
)
from mallowpass.core.proxy.signals import (
    ConfigurationAccepted,
    EraChanged,
    KeepersChanged,
)
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["Extension", "WindowCredits"]

CHECK_INTERVAL = 0.25  # seconds between checks of all credits
# Rows of one part. Each row is sent to all hosts, as the rows of the parts are.
CREDITS_MAX = 100
WRITE_BACKOFF = 1.0  # seconds after a write that failed or got no answer
# Pause in answers while the store is asked to confirm a credit, in seconds. The store
# usually answers within some 10 ms.
CONFIRMING_PAUSE = 0.02


@record
class Extension:
    """How many operations may be granted, and the time until the window has room."""

    operations: int
    pause: float = math.inf


@dataclass(slots=True)
class _Credit:
    """A customer whose row exists, or may exist."""

    part: int
    name: str
    # None: the row was found, and nothing was granted beyond the bucket since.
    bucket: TokenBucket | None = None
    window: GrantWindow | None = None
    version: int = 0  # of the row; 0: not known
    is_confirmed: bool = False  # operations may be granted beyond the bucket
    is_pending: bool = False  # a call to the store has not been answered
    may_exist: bool = False
    is_lost: bool = False  # the store was restored: the row has to be written again
    retry_at: float = 0.0
    level_since: float | None = None  # from when on the level was at least 0

    @property
    def key(self) -> RowKey:
        """Return the key of the row."""
        return RowKey(Table.LIMITS, "", f"{self.part}.{self.name}")


class WindowCredits(ProxySystem):
    """Decide what is granted beyond buckets, and keep the rows that announce it."""

    __slots__ = (
        "_credits",
        "_forbidden_until",
        "_found",
        "_is_checking",
        "_keepers",
        "_reading",
        "_span",
        "_store",
        "_windows",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._span = span_of(self.tables.rate_bounds)
        self._credits: dict[tuple[int, str], _Credit] = {}  # by part and customer
        # By part: the customers whose rows existed when the part was taken. Parts
        # whose rows have not been read are missing.
        self._found: dict[int, frozenset[str]] = {}
        # Parts whose rows are being read by the latest call.
        self._reading: set[int] = set()
        self._windows: dict[tuple[str, GrantRight], GrantWindow] = {}
        self._forbidden_until: dict[tuple[int, str], float] = {}
        self._is_checking = False

    def start(self) -> None:
        """Subscribe to changes of keepers, configurations and eras."""
        self._keepers = self._node.system(Keepers)
        self._store = self._node.system(Store)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)
        self._node.subscribe(KeepersChanged, self._on_keepers_changed)
        self._store.subscribe_to_eras(self._on_era)

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        customers = signal.configuration.customers.values()
        if not self._is_checking and any(each.is_limited for each in customers):
            self._is_checking = True
            self.timers.every(CHECK_INTERVAL, self._check)

    # -- Decisions -----------------------------------------------------------

    def right_for(self, name: str, right: GrantRight) -> GrantRight | None:
        """Return the right that a customer's bucket begins with.

        A customer whose earlier grants are not known uses a spare bucket for a span.
        Return None while the rows that name such customers have not been read.
        """
        if not right.is_full:
            return right
        found = self._found.get(right.part)
        if found is None:
            return None
        if name not in found and not right.follows_restore:
            return right
        begins_at = right.since + self._span
        if self.now <= begins_at:
            return GrantRight(right.part, right.since, is_full=False)
        return GrantRight(right.part, begins_at, is_full=True)

    def extend(
        self,
        customer: Customer,
        right: GrantRight,
        bucket: TokenBucket,
        size: BucketSize,
        needed: int,
        operations: int,
    ) -> Extension:
        """Return how many operations to grant if the bucket has `operations`.

        They count as granted.
        """
        if not right.is_full or not customer.is_limited:
            return Extension(operations)
        window = self._windows.get((customer.name, right))
        if window is None:
            window = GrantWindow(self._span)
            self._windows[customer.name, right] = window
        limit = window.least_limit(window_limit(size, self._span), self.now)
        beyond, pause = 0, math.inf
        if operations < needed and self._may_extend(customer.name, right.part):
            beyond = min(needed, window.room(limit, self.now)) - operations
            if beyond > 0:
                credit = self._confirmed_credit(customer.name, right.part)
                if credit is None:
                    beyond, pause = 0, self._begin(customer.name, right, bucket, window)
                else:
                    credit.bucket, credit.window = bucket, window
                    credit.level_since = None
                    self._node.count("operations_beyond_bucket", beyond)
        granted = operations + max(0, beyond)
        window.add(granted, self.now)
        if self.is_in_force(right.part, customer.name):
            pause = window.time_until_room(limit, self.now)
        return Extension(granted, pause)

    def is_in_force(self, part: int, name: str) -> bool:
        """Return whether a customer may be granted operations beyond its bucket."""
        return self._confirmed_credit(name, part) is not None

    def forbid(self, part: int, name: str, until: float) -> None:
        """Grant a customer nothing beyond its bucket until a span after a time.

        Meanwhile other hosts may begin operations that no window here counts.
        """
        before = self._forbidden_until.get((part, name), until)
        self._forbidden_until[part, name] = max(before, until)

    def _confirmed_credit(self, name: str, part: int) -> _Credit | None:
        credit = self._credits.get((part, name))
        return credit if credit is not None and credit.is_confirmed else None

    def _may_extend(self, name: str, part: int) -> bool:
        right = self._keepers.grant_right(part)
        if right is None or not right.is_full or part not in self._found:
            return False
        counted_from = self._forbidden_until.get((part, name), right.since)
        since = max(right.since, counted_from)
        return may_extend(since, self._span, self.now)

    # -- Rows ----------------------------------------------------------------

    def _begin(
        self, name: str, right: GrantRight, bucket: TokenBucket, window: GrantWindow
    ) -> float:
        """Write a customer's row unless it is being written; return the pause."""
        credit = self._credits.get((right.part, name))
        if credit is None:
            if sum(part == right.part for part, _ in self._credits) >= CREDITS_MAX:
                return math.inf
            credit = self._credits[right.part, name] = _Credit(right.part, name)
        credit.bucket, credit.window = bucket, window
        credit.level_since = None  # the customer still needs the row
        if credit.is_pending:
            return CONFIRMING_PAUSE
        if self.now < credit.retry_at:
            return math.inf
        self._write(credit)
        return CONFIRMING_PAUSE

    def _write(self, credit: _Credit) -> None:
        """Write a row on condition that this host still keeps the part."""

        def on_reply(reply: StoreReply) -> None:
            credit.is_pending = False
            if reply.status is not StoreStatus.DONE:
                credit.retry_at = self.now + WRITE_BACKOFF
                if reply.status is not StoreStatus.CONFLICT:
                    credit.may_exist, credit.version = True, 0
                return
            credit.may_exist, credit.version = True, reply.version
            if self._credits.get((credit.part, credit.name)) is not credit:
                return
            credit.is_confirmed, credit.is_lost = True, False
            credit.level_since = None
            self._sync_lost()
            self._node.log(
                "info",
                "window_credit_began",
                part=credit.part,
                customer=credit.name,
            )
            self._node.count("window_credits")

        credit.is_pending = True
        value = f"{self._node.identity.name} {self._store.era}"
        expected = ((key_of(credit.part), self._keepers.row_version(credit.part)),)
        call = ChangeRows(expected, puts=((credit.key, value),))
        self._store.call(call, on_reply)

    def _delete(self, credit: _Credit) -> None:
        """Delete a row; nothing is granted beyond the bucket from now on."""

        def on_reply(reply: StoreReply) -> None:
            credit.is_pending = False
            if reply.status is StoreStatus.DONE:
                self._remove(credit)
            elif reply.status is StoreStatus.CONFLICT:
                versions = [row.version for row in reply.rows if row.key == credit.key]
                credit.version = versions[0] if versions else 0
                if credit.version == 0:
                    self._remove(credit)
            else:
                credit.retry_at = self.now + WRITE_BACKOFF

        if credit.is_confirmed:
            self._node.log(
                "info",
                "window_credit_ended",
                part=credit.part,
                customer=credit.name,
            )
        credit.is_confirmed = credit.is_lost = False
        credit.is_pending = True
        expected = ((credit.key, credit.version),)
        call = ChangeRows(expected, deletes=(credit.key,))
        self._store.call(call, on_reply)

    def _remove(self, credit: _Credit) -> None:
        if self._credits.get((credit.part, credit.name)) is credit:
            del self._credits[credit.part, credit.name]

    def _check(self) -> None:
        """Delete rows that are no longer needed, and write lost rows again."""
        for credit in list(self._credits.values()):
            right = self._keepers.grant_right(credit.part)
            is_due = not credit.is_pending and self.now >= credit.retry_at
            if right is None or not right.is_full or not is_due:
                continue
            if not credit.may_exist:
                self._remove(credit)
            elif self._may_end(credit, right):
                self._delete(credit)
            elif credit.is_lost:
                self._write(credit)
        self._sync_lost()
        for key, window in list(self._windows.items()):
            if window.granted(self.now) == 0:
                del self._windows[key]
        for name, until in list(self._forbidden_until.items()):
            if may_extend(until, self._span, self.now):
                del self._forbidden_until[name]
        self._read_rows()

    def _may_end(self, credit: _Credit, right: GrantRight) -> bool:
        """Return whether a customer's row is no longer needed."""
        if credit.bucket is None or credit.window is None:
            return self.now > right.since + self._span
        configuration = self.tables.configuration
        customers = {} if configuration is None else configuration.customers
        customer = customers.get(credit.name)
        granted = credit.window.granted(self.now)
        level = -math.inf
        if customer is not None:
            size = full_size(customer, credit.part, self.tables.rate_bounds)
            credit.bucket.refill(size, self.now)
            credit.bucket.raise_to(min(0.0, size.burst - granted))
            level = credit.bucket.refill(size, self.now)
        if level < 0.0:
            credit.level_since = None
        elif credit.level_since is None:
            credit.level_since = self.now
        return may_end(level, credit.level_since, granted, self.now)

    def _on_era(self, signal: EraChanged) -> None:
        """Confirm all rows again, as the restored store may lack them."""
        for credit in self._credits.values():
            credit.is_lost = credit.is_lost or credit.may_exist
            credit.is_confirmed = False
            credit.version = 0
            credit.retry_at = self.now
        self._sync_lost()

    def _sync_lost(self) -> None:
        """Tell which parts' rows may not name the new era yet."""
        lost = {credit.part for credit in self._credits.values() if credit.is_lost}
        self._keepers.parts_with_lost_credits = lost

    # -- Rows of earlier keepers ---------------------------------------------

    def _on_keepers_changed(self, signal: KeepersChanged) -> None:
        for part in range(PART_COUNT):
            if not self._keepers.is_named(part):
                self._forget(part)
        self._read_rows()

    def _forget(self, part: int) -> None:
        """Forget the credits of a part that this host does not keep.

        Their rows remain for the part's next keeper.
        """
        self._found.pop(part, None)
        self._reading.discard(part)
        for key in [key for key in self._credits if key[0] == part]:
            del self._credits[key]
        for key in [key for key in self._windows if key[1].part == part]:
            del self._windows[key]

    def _read_rows(self) -> None:
        """Read the rows of parts whose row names this host, from the store itself.

        A relay may lack rows that were written before the part's row.
        """
        parts = range(PART_COUNT)
        unread = {part for part in parts if self._keepers.is_named(part)}
        unread -= set(self._found)
        if not unread or self._reading:
            return

        def on_reply(reply: StoreReply) -> None:
            read = sorted(unread)  # without parts that were lost since
            unread.clear()
            if reply.status is StoreStatus.DONE:
                for part in read:
                    self._note_found(part, reply.rows)
                self._read_rows()

        self._reading = unread
        self._store.call(ListRows(Table.LIMITS), on_reply)

    def _note_found(self, part: int, rows: tuple[Row, ...]) -> None:
        prefix = f"{part}."
        names = set()
        for row in rows:
            # Whatever the row's value is: a row that can't be read counts as well.
            if row.key.key.startswith(prefix) and row.version:
                name = row.key.key[len(prefix) :]
                names.add(name)
                self._credits[part, name] = _Credit(
                    part, name, version=row.version, may_exist=True
                )
        self._found[part] = frozenset(names)
