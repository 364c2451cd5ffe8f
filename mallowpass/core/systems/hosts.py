"""What this host believes of the others, and how beliefs are merged.

A belief is (incarnation, state). Of two beliefs the one with the higher incarnation
stands, and within one incarnation the worse state. Merging is therefore the same in
whatever order and however often news come, so that all hosts end with the same
table. Only the host itself raises its incarnation: that is how it refutes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import xxhash

from mallowpass.core.node import Node
from mallowpass.core.peering import HostNotice, HostsDigest
from mallowpass.core.signals import HostStateChanged
from mallowpass.core.tables import HostRow, HostState

__all__ = ["HostTable", "make_notice", "rendezvous_weight"]

BUCKETS = 64
FORGET_AFTER = 900.0  # seconds; longer than the platform's list lags
FORGET_PERIOD = 60.0

_SEVERITY = {
    HostState.ALIVE: 0,
    HostState.SUSPECTED: 1,
    HostState.DEAD: 2,
    HostState.LEAVING: 3,
}
_LIVE = frozenset({HostState.ALIVE, HostState.SUSPECTED})


def rendezvous_weight(key: str, host: str) -> int:
    """Return the weight of a host for a key; the highest weight ranks first."""
    return xxhash.xxh64_intdigest(f"{key}\0{host}".encode())


def make_notice(row: HostRow) -> HostNotice:
    """Return a row as a notice for peers."""
    return HostNotice(
        row.name,
        row.failure_domain,
        row.seat,
        row.address,
        row.incarnation,
        row.state.value,
    )


class HostTable:
    """Own the rows of other hosts: merge news, hash them, rank them."""

    __slots__ = (
        "_buckets",
        "_changed_at",
        "_digest",
        "_digests",
        "_live",
        "_node",
        "_ranks",
        "_rows",
        "_suspects",
    )

    def __init__(self, node: Node) -> None:
        self._node = node
        self._rows = node.tables.hosts
        self._suspects: dict[str, float] = {}  # name -> suspected since
        self._changed_at: dict[str, float] = {}  # dead and leaving ones
        self._live: dict[str | None, list[HostRow]] = {}  # by failure domain
        self._ranks: dict[tuple[str, str | None], int] = {}
        self._buckets = [0] * BUCKETS
        self._digest = b""  # empty: to be computed
        self._digests: dict[str, int] = {}  # what each name adds to its bucket
        node.timers.every(FORGET_PERIOD, self._forget_gone)

    @property
    def suspected_since(self) -> dict[str, float]:
        """Return who is suspected, and since when."""
        return self._suspects

    @property
    def digest(self) -> bytes:
        """Return a hash over all hosts believed alive, this one included."""
        if not self._digest:
            hashed = b"".join(bucket.to_bytes(8, "big") for bucket in self._buckets)
            self._digest = xxhash.xxh64_digest(hashed)
        return self._digest

    @property
    def buckets(self) -> tuple[int, ...]:
        """Return the hashes by bucket."""
        return tuple(self._buckets)

    # -- Reading -------------------------------------------------------------

    def live_hosts(self, failure_domain: str | None = None) -> list[HostRow]:
        """Return the live hosts, suspected ones included, without this one."""
        rows = self._live.get(failure_domain)
        if rows is None:
            rows = [
                row
                for row in self._rows.values()
                if row.state in _LIVE and failure_domain in (None, row.failure_domain)
            ]
            self._live[failure_domain] = rows
        return rows

    def rank(self, key: str, failure_domain: str | None) -> int:
        """Return how many live hosts weigh more than this one for a key."""
        rank = self._ranks.get((key, failure_domain))
        if rank is None:
            own = rendezvous_weight(key, self._node.identity.name)
            rows = self.live_hosts(failure_domain)
            rank = sum(rendezvous_weight(key, row.name) > own for row in rows)
            self._ranks[key, failure_domain] = rank
        return rank

    def highest_ranked(self, key: str) -> str:
        """Return the name of the live host that weighs most for a key."""
        names = [self._node.identity.name, *(row.name for row in self.live_hosts())]
        return max(names, key=lambda name: rendezvous_weight(key, name))

    def rows_in_buckets(self, numbers: Iterable[int]) -> Iterator[HostRow]:
        """Return all rows of some buckets, gone hosts included."""
        wanted = frozenset(numbers)
        return (row for row in self._rows.values() if _bucket(row.name) in wanted)

    def differing_buckets(self, digest: HostsDigest) -> list[int]:
        """Return the buckets in which a peer's hashes differ from these."""
        pairs = zip(self._buckets, digest.buckets, strict=False)
        return [n for n, (mine, theirs) in enumerate(pairs) if mine != theirs]

    # -- Merging -------------------------------------------------------------

    def merge(self, news: HostNotice) -> bool:
        """Take news over if they supersede what is believed; tell whether they do.

        A death that others declared counts as a suspicion here: after a partition
        whole failure domains are told dead by the other side, and hosts must get
        the moment it takes to refute before work is taken from them.
        """
        state = HostState(news.state)
        row = self._rows.get(news.host)
        if row is None:
            return self._add(news, state)
        before = (row.incarnation, _SEVERITY[row.state])
        if (news.incarnation, _SEVERITY[state]) <= before:
            return False
        was_live = row.state in _LIVE
        row.failure_domain = news.failure_domain
        row.seat = news.seat
        row.address = news.address
        row.incarnation = news.incarnation
        if state is HostState.DEAD and was_live:
            state = HostState.SUSPECTED
            if before == (row.incarnation, _SEVERITY[state]):
                return False
        self._set_state(row, state)
        return True

    def suspect(self, row: HostRow) -> bool:
        """Begin to suspect a live host; tell whether that is new."""
        if row.state is not HostState.ALIVE:
            return False
        self._set_state(row, HostState.SUSPECTED)
        return True

    def mark_dead(self, row: HostRow) -> None:
        """Take a suspected host for dead."""
        self._set_state(row, HostState.DEAD)

    def note_contact(self, row: HostRow, beat: int = 0) -> None:
        """Note a direct sign of life; suspicion of this incarnation ends."""
        row.last_contact_at = self._node.timers.now
        row.beat = max(row.beat, beat)
        if row.state is HostState.SUSPECTED:
            self._set_state(row, HostState.ALIVE)

    def restart_suspicions(self) -> None:
        """Start all suspicions over: the silence was this host's own."""
        now = self._node.timers.now
        for name in self._suspects:
            self._suspects[name] = now

    def update_own_digest(self, incarnation: int, leaving: bool) -> None:
        """Keep this host's own part of the digest."""
        self._rehash(self._node.identity.name, incarnation, not leaving)

    # -- Helpers -------------------------------------------------------------

    def _add(self, news: HostNotice, state: HostState) -> bool:
        row = HostRow(
            news.host,
            news.failure_domain,
            news.seat,
            news.address,
            news.incarnation,
            last_contact_at=self._node.timers.now,
        )
        self._rows[news.host] = row
        self._set_state(row, state)
        return True

    def _set_state(self, row: HostRow, state: HostState) -> None:
        now = self._node.timers.now
        changed = row.state is not state
        row.state = state
        self._live.clear()
        self._ranks.clear()
        self._rehash(row.name, row.incarnation, state in _LIVE)
        if state is HostState.SUSPECTED:
            self._suspects.setdefault(row.name, now)
        else:
            self._suspects.pop(row.name, None)
        if state in _LIVE:
            self._changed_at.pop(row.name, None)
        else:
            self._changed_at[row.name] = now
        if changed or state is HostState.ALIVE:
            self._tell(row)

    def _tell(self, row: HostRow) -> None:
        self._node.log(
            "info",
            "host_state",
            host=row.name,
            state=row.state.value,
            incarnation=row.incarnation,
        )
        self._node.count("hosts", state=row.state.value)
        self._node.publish(HostStateChanged(row.name))

    def _rehash(self, name: str, incarnation: int, live: bool) -> None:
        part = xxhash.xxh64_intdigest(f"{name}\0{incarnation}".encode()) if live else 0
        number = _bucket(name)
        self._buckets[number] ^= self._digests.pop(name, 0) ^ part
        if part:
            self._digests[name] = part
        self._digest = b""

    def _forget_gone(self) -> None:
        limit = self._node.timers.now - FORGET_AFTER
        for name in [n for n, at in self._changed_at.items() if at < limit]:
            # A drain may last longer; its host's heartbeats still look for the row.
            if not self._rows[name].link:
                del self._changed_at[name]
                del self._rows[name]


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS
