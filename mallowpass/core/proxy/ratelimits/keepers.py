"""Keepers of the parts of rate limits, and their rights to grant.

A row of the store names a part's keeper. A new keeper writes its name there, and waits
until its predecessor's full right has expired: a keeper confirms periodically that the
row names it, and a keeper that could not confirm for `CONFIRMATION_TIMEOUT` grants only
from a spare bucket. So two hosts that both act as the keeper of a part never both grant
all of it, and no row changes while nothing fails. A keeper that stops releases its
part, so that another host claims the part at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from mallowpass.core.node import Node
from mallowpass.core.proxy.ratelimits.buckets import GRANT_VALIDITY, PART_COUNT
from mallowpass.core.proxy.ratelimits.parts import (
    RELEASED,
    GrantRight,
    PartEntry,
    Stage,
    key_of,
    part_of,
)
from mallowpass.core.proxy.signals import (
    ConfigurationAccepted,
    KeepersChanged,
)
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    StoreReply,
    StoreStatus,
    Table,
)
from mallowpass.core.proxy.store import CALL_TIMEOUT, ReplyHandler, Store
from mallowpass.core.proxy.tables import HostRow, ProxySystem
from mallowpass.core.proxy.unreadable import UnreadableRows

__all__ = ["Keepers"]

# How long a keeper may grant all of its part after it last confirmed that the part's
# row names it, and how often it confirms that, in seconds. Outages of the store that
# are shorter than the difference do not interrupt it.
CONFIRMATION_TIMEOUT = 12.0
CONFIRMATION_INTERVAL = 4.0
CHECK_INTERVAL = 0.5  # seconds between checks of all parts
# How long requests to a keeper must fail before it is replaced, in seconds. A host that
# gets no answer from any keeper uses the longer time: more likely, that host itself is
# cut off.
FAILURE_TIMEOUT = 2.0
ISOLATED_FAILURE_TIMEOUT = 10.0
# Backoff after a request that a keeper did not answer, in seconds: doubled by each
# further failure.
BACKOFF_MIN = 0.1
BACKOFF_MAX = 1.0
# How long a restarted host waits for the store to record that its buckets begin
# prefilled, in seconds.
PREFILL_TIMEOUT = 0.3
# Delay per rank before a candidate replaces a keeper, in seconds, so that preferred
# candidates come first.
CANDIDATE_DELAY = 2.0
# Number of candidates that probe the keeper, the preferred ones.
PROBING_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class _PartRow:
    """A part's entry, and the version of its row."""

    version: int
    entry: PartEntry


@dataclass(slots=True)
class _KeptPart:
    """A part that this host keeps."""

    since: float  # when this host began to keep it
    sole_from: float  # from this time on, no other host has a full right
    # When the last read of the row that named this host was sent; None: none yet.
    confirmed_at: float | None = None
    is_prefilled: bool = False  # buckets begin at their initial level


class Keepers(ProxySystem):
    """Own the parts that this host keeps, and find the keepers of all parts."""

    __slots__ = (
        "_answered_at",
        "_are_rows_known",
        "_backoff_until",
        "_failing_since",
        "_failures",
        "_is_confirming",
        "_is_stopping",
        "_is_watching",
        "_kept",
        "_pending_writes",
        "_rows",
        "_store",
        "_unreadable",
        "_vacant_since",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._rows: dict[int, _PartRow] = {}  # by part
        self._kept: dict[int, _KeptPart] = {}
        self._are_rows_known = False
        self._is_watching = False
        self._is_confirming = False
        self._is_stopping = False
        self._pending_writes: set[int] = set()  # parts whose row is being written
        self._vacant_since: dict[int, float] = {}  # by part without a keeper
        # By keeper: its first failure since its last answer, its failures since then,
        # when it last answered, and until when no request is sent to it.
        self._failing_since: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._answered_at: dict[str, float] = {}
        self._backoff_until: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to configurations; the first with limits starts the watch."""
        self._store = self._node.system(Store)
        self._unreadable = UnreadableRows(self._node, "limits_part_unreadable")
        self._node.subscribe(ConfigurationAccepted, self._on_configuration)

    def _on_configuration(self, signal: ConfigurationAccepted) -> None:
        customers = signal.configuration.customers.values()
        if self._is_watching or not any(customer.is_limited for customer in customers):
            return
        self._is_watching = True
        self._store.watch(Table.LIMITS, self._on_rows)
        self.timers.every(CHECK_INTERVAL, self._check_parts)

    # -- Look-ups ------------------------------------------------------------

    @property
    def are_known(self) -> bool:
        """Return whether this host has read the rows of the parts."""
        return self._are_rows_known

    def grant_right(self, part: int) -> GrantRight | None:
        """Return this host's right to grant from a part; None if it has none."""
        kept = self._kept.get(part)
        if kept is None or kept.confirmed_at is None:
            return None
        if (
            self.now < kept.sole_from
            or self.now >= kept.confirmed_at + CONFIRMATION_TIMEOUT
        ):
            return GrantRight(part, kept.since, is_full=False)
        return GrantRight(
            part, kept.sole_from, is_full=True, is_prefilled=kept.is_prefilled
        )

    def is_sole_keeper(self, part: int) -> bool:
        """Return whether this host may grant all of a part."""
        right = self.grant_right(part)
        return right is not None and right.is_full

    def nearest_keepers(self) -> list[tuple[int, HostRow]]:
        """Return parts with their keepers, nearest keepers first.

        Keepers in backoff are left out.
        """
        usable = []
        for part in range(PART_COUNT):
            host = self._keeper(part)
            if host is not None and self._is_usable(host):
                usable.append((part, host))
        return sorted(usable, key=self._distance)

    def _keeper(self, part: int) -> HostRow | None:
        row = self._rows.get(part)
        return None if row is None else self.tables.hosts.get(row.entry.keeper)

    def _is_usable(self, host: HostRow) -> bool:
        return self._backoff_until.get(host.name, 0.0) <= self.now

    def _distance(self, keeper: tuple[int, HostRow]) -> tuple[bool, int]:
        identity = self._node.identity
        part, host = keeper
        is_far = identity.region_of(host.domain) != identity.region
        return (is_far, crc32(f"{identity.name} {part}".encode()))

    def record_answer(self, host: str) -> None:
        """Record that a keeper answered, which ends its failures.

        If no keeper has answered since the first failure, for as long as it takes to
        replace one, this host was cut off, which says nothing about the other keepers.
        """
        first_failure_at = min(self._failing_since.values(), default=self.now)
        last_answer_at = max(self._answered_at.values(), default=float("-inf"))
        if last_answer_at < first_failure_at <= self.now - FAILURE_TIMEOUT:
            self._failing_since.clear()
            self._failures.clear()
        self._answered_at[host] = self.now
        self._failing_since.pop(host, None)
        self._failures.pop(host, None)

    def record_failure(self, host: str) -> None:
        """Back off from a host that did not answer, or does not keep the part."""
        self._failing_since.setdefault(host, self.now)
        failures = self._failures[host] = self._failures.get(host, 0) + 1
        pause = min(BACKOFF_MAX, BACKOFF_MIN * 2 ** (failures - 1))
        self._backoff_until[host] = self.now + pause

    @property
    def is_any_failing(self) -> bool:
        """Return whether any keeper left the last request unanswered."""
        return any(
            row.entry.keeper in self._failing_since for row in self._rows.values()
        )

    @property
    def may_recover_soon(self) -> bool:
        """Return whether any keeper is worth waiting for.

        Its requests do not fail, or have failed for less than `FAILURE_TIMEOUT`.
        """
        if not self._rows:
            return False
        since = [
            self._failing_since.get(row.entry.keeper) for row in self._rows.values()
        ]
        return any(at is None or at > self.now - FAILURE_TIMEOUT for at in since)

    # -- Rows ----------------------------------------------------------------

    def _on_rows(self, rows: tuple[Row, ...], complete: bool) -> None:
        before = dict(self._rows)
        if complete:
            self._are_rows_known = True
            self._rows.clear()
        for row in rows:
            part = part_of(row.key)
            if part is not None:
                self._set_row(part, row, before.get(part))
        for part in range(PART_COUNT):
            self._sync_kept_part(part)
        self._node.publish(KeepersChanged())

    def _set_row(self, part: int, row: Row, before: _PartRow | None) -> None:
        if before is not None and row.version < before.version:
            # A relay sent an older row after this host had written a newer one.
            self._rows[part] = before
            return
        if row.value is None:
            self._rows.pop(part, None)
            return
        try:
            entry = PartEntry.decode(row.value)
        except (ValueError, AttributeError) as error:
            self._unreadable.note(row.key, str(error))
            if before is not None:
                # The keeper that the last readable row names stays the keeper.
                self._rows[part] = before
            return
        self._unreadable.clear(row.key)
        self._rows[part] = _PartRow(row.version, entry)
        self._backoff_until.pop(entry.keeper, None)

    def _sync_kept_part(self, part: int) -> None:
        """Begin or stop keeping a part, as its row says."""
        if part in self._pending_writes:
            return
        row = self._rows.get(part)
        is_own = row is not None and row.entry.keeper == self._node.identity.name
        if is_own and part not in self._kept and not self._is_stopping:
            # This host kept the part before it restarted, or its claim got no reply.
            stage = self._stage(row.entry)
            if stage is Stage.SETTLED:
                self._resume(part)
            else:
                self._keep(part, stage)
        elif not is_own and self._kept.pop(part, None) is not None:
            self._node.log("info", "limits_part_lost", part=part)

    def _stage(self, entry: PartEntry) -> Stage:
        """Return the stage from which the next keeper of a part begins.

        A row of an earlier era may come from a backup of the store: other hosts may
        have kept the part since the backup was taken.
        """
        return entry.stage if entry.era == self._store.era else Stage.TAKING_OVER

    def _keep(self, part: int, stage: Stage) -> None:
        """Begin to keep a part with empty buckets, as soon as its row is confirmed."""
        wait = CONFIRMATION_TIMEOUT if stage is Stage.TAKING_OVER else 0.0
        self._kept[part] = _KeptPart(self.now, self.now + wait)
        self._confirm_rows()

    def _resume(self, part: int) -> None:
        """Keep a part again after a restart of this host, with prefilled buckets.

        The store has to record the prefill first, so that another restart within the
        window does not prefill them again. If that fails, the buckets begin empty.
        """

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._kept[part] = _KeptPart(
                    self.now, self.now, sent_at, is_prefilled=True
                )
            else:
                self._keep(part, Stage.PREFILLED)
            self._node.publish(KeepersChanged())

        sent_at = self.now
        entry = PartEntry(self._node.identity.name, Stage.PREFILLED, self._store.era)
        self._write(part, entry, on_reply, PREFILL_TIMEOUT)

    def _write(
        self,
        part: int,
        entry: PartEntry,
        handler: ReplyHandler,
        timeout: float = CALL_TIMEOUT,
    ) -> None:
        """Write a part's row, on condition that it has not changed since it was read.

        The handler gets the store's reply.
        """
        row = self._rows.get(part)
        key = key_of(part)
        expected = ((key, 0 if row is None else row.version),)
        call = ChangeRows(expected, puts=((key, entry.encode()),))

        def on_reply(reply: StoreReply) -> None:
            self._pending_writes.discard(part)
            if reply.status is StoreStatus.DONE:
                self._rows[part] = _PartRow(reply.version, entry)
            handler(reply)

        self._pending_writes.add(part)
        self._store.call(call, on_reply, timeout)

    # -- Claims --------------------------------------------------------------

    def _check_parts(self) -> None:
        """Claim parts that need a keeper, settle rows, and confirm kept parts."""
        if not self._are_rows_known or self.tables.hosts_version == 0:
            return
        for part in range(PART_COUNT):
            if self._should_claim(part):
                self._claim(part)
            elif self._is_unsettled(part):
                self._settle(part)
        due = self.now - CONFIRMATION_INTERVAL
        kept = self._kept.values()
        if any(part.confirmed_at is None or part.confirmed_at <= due for part in kept):
            self._confirm_rows()

    def _should_claim(self, part: int) -> bool:
        if not self._needs_keeper(part, 0.0):
            return False
        rank = self._candidate_rank(part)
        return rank is not None and self._needs_keeper(part, rank * CANDIDATE_DELAY)

    def _is_unsettled(self, part: int) -> bool:
        """Return whether the stage in the row of a kept part is out of date."""
        if (
            part in self._pending_writes
            or not self.is_sole_keeper(part)
            or part not in self._rows
        ):
            return False
        stage = self._stage(self._rows[part].entry)
        if stage is Stage.PREFILLED:
            # Before this time, a window may contain operations of the initial level.
            counted_for = GRANT_VALIDITY + self.tables.rate_bounds.window
            return self.now >= self._kept[part].sole_from + counted_for
        return stage is Stage.TAKING_OVER

    def candidates(self, part: int) -> list[str]:
        """Return the hosts that may replace a part's keeper, in order of preference."""
        identity = self._node.identity
        regions = sorted({domain.region for domain in identity.domains})
        home_region = regions[part % len(regions)] if regions else identity.region
        row = self._rows.get(part)
        keeper = "" if row is None else row.entry.keeper

        def rank(host: HostRow) -> tuple[bool, float, int]:
            is_away = identity.region_of(host.domain) != home_region
            return (is_away, -host.capacity, _weight(part, host))

        hosts = sorted(self.tables.hosts.values(), key=rank)
        return [host.name for host in hosts if host.name != keeper]

    def _candidate_rank(self, part: int) -> int | None:
        """Return this host's place among the candidates; None if it is none of them."""
        names = self.candidates(part)
        name = self._node.identity.name
        return names.index(name) if name in names else None

    def is_probing_candidate(self, part: int) -> bool:
        """Return whether this host is among the candidates that probe a keeper."""
        rank = self._candidate_rank(part)
        return rank is not None and rank < PROBING_CANDIDATES

    def _needs_keeper(self, part: int, wait: float) -> bool:
        """Return whether a part has needed a keeper for at least `wait` seconds."""
        if part in self._pending_writes or part in self._kept or self._is_stopping:
            return False
        row = self._rows.get(part)
        if row is None or row.entry.is_released:
            # No failure timeout: a part without a keeper has no failure to detect.
            since = self._vacant_since.setdefault(part, self.now)
            return self.now >= since + wait
        self._vacant_since.pop(part, None)
        keeper = row.entry.keeper
        if keeper not in self.tables.hosts:
            # The keeper left the list of hosts without releasing the part.
            self._failing_since.setdefault(keeper, self.now)
        since = self._failing_since.get(keeper)
        if since is None:
            return False
        last_answer_at = max(self._answered_at.values(), default=float("-inf"))
        is_isolated = last_answer_at < self.now - FAILURE_TIMEOUT
        timeout = ISOLATED_FAILURE_TIMEOUT if is_isolated else FAILURE_TIMEOUT
        return self.now >= since + timeout + wait

    def _claim(self, part: int) -> None:
        """Write this host's name to a part's row, then begin to keep the part."""
        row = self._rows.get(part)
        before = PartEntry("") if row is None else row.entry
        stage = Stage.TAKING_OVER
        if before.is_released and self._stage(before) is not Stage.TAKING_OVER:
            stage = Stage.PREFILLED
        elif (
            row is None
            and self.tables.first_start
            and not self._store.has_been_restored
        ):
            # While the whole fleet starts for the first time, no host can have kept the
            # part before.
            stage = Stage.SETTLED
        is_prefilled = stage is Stage.PREFILLED and before.stage is Stage.SETTLED
        sent_at = self.now

        def on_reply(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                # The write may have been done although it got no reply: the row names
                # the keeper.
                self._confirm_rows()
                return
            wait = CONFIRMATION_TIMEOUT if stage is Stage.TAKING_OVER else 0.0
            self._kept[part] = _KeptPart(
                self.now, self.now + wait, sent_at, is_prefilled
            )
            self._node.log("info", "limits_part_taken", part=part, before=before.keeper)
            self._node.publish(KeepersChanged())

        name = self._node.identity.name
        self._write(part, PartEntry(name, stage, self._store.era), on_reply)

    def _settle(self, part: int) -> None:
        """Mark a part's row as settled; a restarted keeper may prefill its buckets."""
        entry = PartEntry(self._node.identity.name, era=self._store.era)
        self._write(part, entry, lambda reply: None)

    def release_parts(self) -> None:
        """Stop granting, and release the parts that this host is the sole keeper of.

        The rows of other parts stay as they are: another host may still grant from
        them, and a successor has to wait for it.
        """
        self._is_stopping = True
        released = [part for part in self._kept if self.is_sole_keeper(part)]
        self._kept.clear()
        for part in released:
            is_prefilled = self._rows[part].entry.stage is Stage.PREFILLED
            stage = Stage.PREFILLED if is_prefilled else Stage.SETTLED
            entry = PartEntry(RELEASED, stage, self._store.era)
            self._write(part, entry, self._on_released)

    def _on_released(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            # Another host claims the part once this host has not answered for the
            # failure timeout.
            self._node.log("warning", "limits_part_not_left", why=reply.message)

    def _confirm_rows(self) -> None:
        """Read all rows to confirm that they still name this host for kept parts."""
        if self._is_confirming:
            return
        self._is_confirming = True
        sent_at = self.now

        def on_reply(reply: StoreReply) -> None:
            self._is_confirming = False
            if reply.status is not StoreStatus.DONE:
                return
            self._on_rows(reply.rows, complete=True)
            for part, kept in self._kept.items():
                self._confirm(part, kept, sent_at)

        self._store.call(ListRows(Table.LIMITS), on_reply)

    def _confirm(self, part: int, kept: _KeptPart, sent_at: float) -> None:
        """Record that a part's row, asked for at `sent_at`, names this host."""
        has_lapsed = (
            kept.confirmed_at is not None
            and sent_at >= kept.confirmed_at + CONFIRMATION_TIMEOUT
        )
        if has_lapsed and self._rows[part].entry.era != self._store.era:
            # Another host may have kept the part until the store was restored from a
            # backup.
            kept.sole_from = self.now + CONFIRMATION_TIMEOUT
        kept.confirmed_at = max(sent_at, kept.confirmed_at or sent_at)


def _weight(part: int, host: HostRow) -> int:
    return crc32(f"limits {part} {host.name}".encode())
