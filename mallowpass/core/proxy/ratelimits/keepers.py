"""Which host keeps each part of the limits, and whether it may still grant.

A row of the store names a part's keeper. Whoever names itself there waits until its
predecessor can't grant any more: a keeper looks at the row now and then, and one that
could not for some time grants only what the bounds allow beyond the limit. So two that
both believe to keep a part never grant it twice, and no row changes while nothing
fails. A keeper that stops leaves its part, which another one takes at once.
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

# How long a keeper grants without having seen its row, in seconds, and how often it
# looks. It goes on while the store is away for less than the difference.
CONFIRMATION_TIMEOUT = 12.0
CONFIRMATION_INTERVAL = 4.0
CHECK_INTERVAL = 0.5  # seconds between looks at what is to be done
# A keeper that answers nobody for so long is replaced, in seconds; by whom nobody
# answers, only after the longer time: it is more likely cut off itself.
FAILURE_TIMEOUT = 2.0
ISOLATED_FAILURE_TIMEOUT = 10.0
# How long a keeper that did not answer is passed over, in seconds: doubled by each
# further failure.
BACKOFF_MIN = 0.1
BACKOFF_MAX = 1.0
# How long a host that starts again waits for the store to note that, in seconds.
PREFILL_TIMEOUT = 0.3
# Seconds that each in line leaves to the one before to replace a keeper, and how many
# of them ask it whether it answers.
CANDIDATE_DELAY = 2.0
PROBING_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class _PartRow:
    """Hold a part's entry, and the version of its row."""

    version: int
    entry: PartEntry


@dataclass(slots=True)
class _KeptPart:
    """Hold a part that this host keeps."""

    since: float
    sole_from: float  # no predecessor grants from then on
    confirmed_at: float | None = (
        None  # when its row was last asked for that named this host
    )
    is_prefilled: bool = False


class Keepers(ProxySystem):
    """Own this host's parts, and know the keepers of all."""

    __slots__ = (
        "_pending_writes",
        "_failing_since",
        "_failures",
        "_answered_at",
        "_kept",
        "_rows_known",
        "_confirming",
        "_vacant_since",
        "_backoff_until",
        "_rows",
        "_is_stopping",
        "_store",
        "_unreadable",
        "_is_watching",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._rows: dict[int, _PartRow] = {}  # by part
        self._kept: dict[int, _KeptPart] = {}
        self._rows_known = False
        self._is_watching = False
        self._confirming = False
        self._is_stopping = False
        self._pending_writes: set[int] = set()
        self._vacant_since: dict[int, float] = {}  # by part that nobody keeps
        self._failing_since: dict[str, float] = {}  # by keeper
        self._failures: dict[str, int] = {}  # in a row, by keeper
        self._answered_at: dict[str, float] = {}
        self._backoff_until: dict[str, float] = {}  # until when

    def start(self) -> None:
        """Wait for a configuration that holds limits."""
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

    # -- Questions -----------------------------------------------------------

    @property
    def are_known(self) -> bool:
        """Tell whether the rows of the parts were learnt."""
        return self._rows_known

    def grant_right(self, part: int) -> GrantRight | None:
        """Return by which right this host grants from a part, None: by none."""
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
        """Tell whether this host may grant all of a part."""
        right = self.grant_right(part)
        return right is not None and right.is_full

    def nearest_keepers(self) -> list[tuple[int, HostRow]]:
        """Return parts with their keepers, those first that are nearest.

        Keepers that do not answer are left out.
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

    def _distance(self, rank_of_host: tuple[int, HostRow]) -> tuple[bool, int]:
        identity = self._node.identity
        part, host = rank_of_host
        is_far = identity.region_of(host.domain) != identity.region
        return (is_far, crc32(f"{identity.name} {part}".encode()))

    def record_answer(self, host: str) -> None:
        """Note that a keeper answered."""
        self._answered_at[host] = self.now
        self._failing_since.pop(host, None)
        self._failures.pop(host, None)

    def record_failure(self, host: str) -> None:
        """Pass a keeper over for a while that did not answer, or is none."""
        self._failing_since.setdefault(host, self.now)
        failures = self._failures[host] = self._failures.get(host, 0) + 1
        pause = min(BACKOFF_MAX, BACKOFF_MIN * 2 ** (failures - 1))
        self._backoff_until[host] = self.now + pause

    @property
    def may_recover_soon(self) -> bool:
        """Tell whether a keeper that does not answer has done so of late."""
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
            self._rows_known = True
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
            # A relay tells it after this host wrote a newer one.
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
                # Whoever keeps the part by it goes on.
                self._rows[part] = before
            return
        self._unreadable.clear(row.key)
        self._rows[part] = _PartRow(row.version, entry)
        self._backoff_until.pop(entry.keeper, None)

    def _sync_kept_part(self, part: int) -> None:
        """Begin or end to keep a part, as its row says."""
        if part in self._pending_writes:
            return
        row = self._rows.get(part)
        is_own = row is not None and row.entry.keeper == self._node.identity.name
        if is_own and part not in self._kept and not self._is_stopping:
            # This host kept it before it started, or its claim got no answer.
            stage = self._stage(row.entry)
            if stage is Stage.SETTLED:
                self._resume(part)
            else:
                self._keep(part, stage)
        elif not is_own and self._kept.pop(part, None) is not None:
            self._node.log("info", "limits_part_lost", part=part)

    def _stage(self, entry: PartEntry) -> Stage:
        """Return what a row says to whoever keeps the part from now on.

        One of an earlier era may be of a copy: others may have kept the part since.
        """
        return entry.stage if entry.era == self._store.era else Stage.TAKING_OVER

    def _keep(self, part: int, stage: Stage) -> None:
        wait = CONFIRMATION_TIMEOUT if stage is Stage.TAKING_OVER else 0.0
        self._kept[part] = _KeptPart(self.now, self.now + wait)
        self._confirm_rows()

    def _resume(self, part: int) -> None:
        """Begin to keep a part with something to grant, unless it began so of late."""

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._kept[part] = _KeptPart(
                    self.now, self.now, asked_at, is_prefilled=True
                )
            else:
                self._keep(part, Stage.PREFILLED)
            self._node.publish(KeepersChanged())

        asked_at = self.now
        entry = PartEntry(self._node.identity.name, Stage.PREFILLED, self._store.era)
        self._write(part, entry, on_reply, PREFILL_TIMEOUT)

    def _write(
        self,
        part: int,
        entry: PartEntry,
        handler: ReplyHandler,
        timeout: float = CALL_TIMEOUT,
    ) -> None:
        """Change a part's row unless it has changed; the handler gets the reply."""
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

    # -- Keeping -------------------------------------------------------------

    def _check_parts(self) -> None:
        if not self._rows_known or self.tables.hosts_version == 0:
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
        rank_of_host = self._candidate_rank(part)
        return rank_of_host is not None and self._needs_keeper(
            part, rank_of_host * CANDIDATE_DELAY
        )

    def _is_unsettled(self, part: int) -> bool:
        """Tell whether a part's row says what is not true any more."""
        if (
            part in self._pending_writes
            or not self.is_sole_keeper(part)
            or part not in self._rows
        ):
            return False
        stage = self._stage(self._rows[part].entry)
        if stage is Stage.PREFILLED:
            counts_for = GRANT_VALIDITY + self.tables.rate_bounds.window
            return self.now >= self._kept[part].sole_from + counts_for
        return stage is Stage.TAKING_OVER

    def candidates(self, part: int) -> list[str]:
        """Return the hosts that may keep a part, whoever is first to do so first."""
        identity = self._node.identity
        regions = sorted({domain.region for domain in identity.domains})
        home = regions[part % len(regions)] if regions else identity.region
        row = self._rows.get(part)
        keeper = "" if row is None else row.entry.keeper

        def rank(host: HostRow) -> tuple[bool, float, int]:
            is_away = identity.region_of(host.domain) != home
            return (is_away, -host.capacity, _weight(part, host))

        hosts = sorted(self.tables.hosts.values(), key=rank)
        return [host.name for host in hosts if host.name != keeper]

    def _candidate_rank(self, part: int) -> int | None:
        names = self.candidates(part)
        name = self._node.identity.name
        return names.index(name) if name in names else None

    def is_candidate(self, part: int) -> bool:
        """Tell whether this host is among the first to replace a part's keeper."""
        rank_of_host = self._candidate_rank(part)
        return rank_of_host is not None and rank_of_host < PROBING_CANDIDATES

    def _needs_keeper(self, part: int, wait: float) -> bool:
        """Tell whether a part needs another keeper, for longer than `wait` s."""
        if part in self._pending_writes or part in self._kept or self._is_stopping:
            return False
        row = self._rows.get(part)
        if row is None or row.entry.is_released:
            # A part that nobody keeps needs no time to tell that its keeper is silent.
            since = self._vacant_since.setdefault(part, self.now)
            return self.now >= since + wait
        self._vacant_since.pop(part, None)
        keeper = row.entry.keeper
        if keeper not in self.tables.hosts:
            # It left without leaving the part.
            self._failing_since.setdefault(keeper, self.now)
        since = self._failing_since.get(keeper)
        if since is None:
            return False
        last_answer_at = max(self._answered_at.values(), default=float("-inf"))
        is_isolated = last_answer_at < self.now - FAILURE_TIMEOUT
        timeout_least = ISOLATED_FAILURE_TIMEOUT if is_isolated else FAILURE_TIMEOUT
        return self.now >= since + timeout_least + wait

    def _claim(self, part: int) -> None:
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
            # Where the whole fleet starts, nobody can have kept the part before.
            stage = Stage.SETTLED
        is_prefilled = stage is Stage.PREFILLED and before.stage is Stage.SETTLED
        asked_at = self.now

        def on_reply(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                # Whether or not it was done, the row says who keeps it.
                self._confirm_rows()
                return
            wait = CONFIRMATION_TIMEOUT if stage is Stage.TAKING_OVER else 0.0
            self._kept[part] = _KeptPart(
                self.now, self.now + wait, asked_at, is_prefilled
            )
            self._node.log("info", "limits_part_taken", part=part, before=before.keeper)
            self._node.publish(KeepersChanged())

        name = self._node.identity.name
        self._write(part, PartEntry(name, stage, self._store.era), on_reply)

    def _settle(self, part: int) -> None:
        """Have a part's row say that this host has it alone: it may start again."""
        entry = PartEntry(self._node.identity.name, era=self._store.era)
        self._write(part, entry, lambda reply: None)

    def release_parts(self) -> None:
        """Leave all parts to others; nothing is granted from them any more."""
        self._is_stopping = True
        left = [part for part in self._kept if self.is_sole_keeper(part)]
        self._kept.clear()
        for part in left:
            started = self._rows[part].entry.stage is Stage.PREFILLED
            stage = Stage.PREFILLED if started else Stage.SETTLED
            entry = PartEntry(RELEASED, stage, self._store.era)
            self._write(part, entry, self._on_released)

    def _on_released(self, reply: StoreReply) -> None:
        if reply.status is not StoreStatus.DONE:
            # Another host takes the part once this one is silent.
            self._node.log("warning", "limits_part_not_left", why=reply.message)

    def _confirm_rows(self) -> None:
        if self._confirming:
            return
        self._confirming = True
        asked_at = self.now

        def on_reply(reply: StoreReply) -> None:
            self._confirming = False
            if reply.status is not StoreStatus.DONE:
                return
            self._on_rows(reply.rows, complete=True)
            for part, kept in self._kept.items():
                self._confirm(part, kept, asked_at)

        self._store.call(ListRows(Table.LIMITS), on_reply)

    def _confirm(self, part: int, kept: _KeptPart, asked_at: float) -> None:
        """Note that a part's row was found to name this host."""
        lapsed = (
            kept.confirmed_at is not None
            and asked_at >= kept.confirmed_at + CONFIRMATION_TIMEOUT
        )
        if lapsed and self._rows[part].entry.era != self._store.era:
            # Another host may have kept it until the store came back from a copy.
            kept.sole_from = self.now + CONFIRMATION_TIMEOUT
        kept.confirmed_at = max(asked_at, kept.confirmed_at or asked_at)


def _weight(part: int, host: HostRow) -> int:
    return crc32(f"limits {part} {host.name}".encode())
