"""The table of other hosts, and the merging of notices about them.

A notice contains the incarnation and the state of a host. Of two notices, the one with
the higher incarnation wins, and within one incarnation the one with the worse state.
So the result depends neither on the order of notices nor on duplicates, and all hosts
converge to the same table. Only a host itself raises its incarnation, which is how it
refutes a notice that it is suspected or dead.
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
# Seconds until rows of dead and leaving hosts are removed. The platform's list of hosts
# lags less, so it does not bring them back.
FORGET_AFTER = 900.0
FORGET_PERIOD = 60.0  # seconds

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
    """Return a notice for peers with the contents of a row."""
    return HostNotice(
        row.name,
        row.failure_domain,
        row.seat,
        row.address,
        row.incarnation,
        row.state.value,
    )


class HostTable:
    """Own the rows of other hosts: merge notices, compute digests, rank hosts."""

    __slots__ = (
        "_buckets",
        "_digest",
        "_gone_since",
        "_host_hashes",
        "_live",
        "_node",
        "_ranks",
        "_rows",
        "_suspected_since",
    )

    def __init__(self, node: Node) -> None:
        self._node = node
        self._rows = node.tables.hosts
        self._suspected_since: dict[str, float] = {}  # by host
        self._gone_since: dict[str, float] = {}  # dead and leaving hosts
        self._live: dict[str | None, list[HostRow]] = {}  # by failure domain
        self._ranks: dict[tuple[str, str | None], int] = {}
        self._buckets = [0] * BUCKETS
        self._digest = b""  # empty: to be computed
        self._host_hashes: dict[str, int] = {}  # each live host's part of its bucket
        node.timers.every(FORGET_PERIOD, self._remove_gone)

    @property
    def suspected_since(self) -> dict[str, float]:
        """Return the times since which hosts are suspected, by host."""
        return self._suspected_since

    @property
    def digest(self) -> bytes:
        """Return a hash over all live hosts, this one included."""
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
        """Return the other hosts that are alive or suspected."""
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
        """Return how many live hosts have a higher weight than this one for a key."""
        rank = self._ranks.get((key, failure_domain))
        if rank is None:
            own = rendezvous_weight(key, self._node.identity.name)
            rows = self.live_hosts(failure_domain)
            rank = sum(rendezvous_weight(key, row.name) > own for row in rows)
            self._ranks[key, failure_domain] = rank
        return rank

    def highest_ranked(self, key: str) -> str:
        """Return the name of the live host with the highest weight for a key."""
        names = [self._node.identity.name, *(row.name for row in self.live_hosts())]
        return max(names, key=lambda name: rendezvous_weight(key, name))

    def rows_in_buckets(self, numbers: Iterable[int]) -> Iterator[HostRow]:
        """Return all rows of some buckets, also of dead and leaving hosts."""
        wanted = frozenset(numbers)
        return (row for row in self._rows.values() if _bucket(row.name) in wanted)

    def differing_buckets(self, digest: HostsDigest) -> list[int]:
        """Return the buckets in which a peer's hashes differ from these."""
        pairs = zip(self._buckets, digest.buckets, strict=False)
        return [n for n, (mine, theirs) in enumerate(pairs) if mine != theirs]

    # -- Merging -------------------------------------------------------------

    def merge(self, notice: HostNotice) -> bool:
        """Merge a notice into the table; return whether the notice is newer.

        A host that others declared dead becomes suspected here. After a partition,
        each side has declared whole failure domains of the other side dead, and their
        hosts need time to refute before their work is reassigned.
        """
        state = HostState(notice.state)
        row = self._rows.get(notice.host)
        if row is None:
            return self._add(notice, state)
        before = (row.incarnation, _SEVERITY[row.state])
        if (notice.incarnation, _SEVERITY[state]) <= before:
            return False
        was_live = row.state in _LIVE
        row.failure_domain = notice.failure_domain
        row.seat = notice.seat
        row.address = notice.address
        row.incarnation = notice.incarnation
        if state is HostState.DEAD and was_live:
            state = HostState.SUSPECTED
            if before == (row.incarnation, _SEVERITY[state]):
                return False
        self._set_state(row, state)
        return True

    def suspect(self, row: HostRow) -> bool:
        """Begin to suspect a live host; return whether its state changed."""
        if row.state is not HostState.ALIVE:
            return False
        self._set_state(row, HostState.SUSPECTED)
        return True

    def mark_dead(self, row: HostRow) -> None:
        """Declare a suspected host dead."""
        self._set_state(row, HostState.DEAD)

    def note_contact(self, row: HostRow, beat: int = 0) -> None:
        """Record a message from a host, which ends the suspicion of its incarnation."""
        row.last_contact_at = self._node.timers.now
        row.beat = max(row.beat, beat)
        if row.state is HostState.SUSPECTED:
            self._set_state(row, HostState.ALIVE)

    def restart_suspicions(self) -> None:
        """Restart all suspicions, after a pause of this host."""
        now = self._node.timers.now
        for name in self._suspected_since:
            self._suspected_since[name] = now

    def update_own_digest(self, incarnation: int, leaving: bool) -> None:
        """Update this host's own part of the digest."""
        self._update_digest(self._node.identity.name, incarnation, not leaving)

    # -- Helpers -------------------------------------------------------------

    def _add(self, notice: HostNotice, state: HostState) -> bool:
        row = HostRow(
            notice.host,
            notice.failure_domain,
            notice.seat,
            notice.address,
            notice.incarnation,
            last_contact_at=self._node.timers.now,
        )
        self._rows[notice.host] = row
        self._set_state(row, state)
        return True

    def _set_state(self, row: HostRow, state: HostState) -> None:
        now = self._node.timers.now
        changed = row.state is not state
        row.state = state
        self._live.clear()
        self._ranks.clear()
        self._update_digest(row.name, row.incarnation, state in _LIVE)
        if state is HostState.SUSPECTED:
            self._suspected_since.setdefault(row.name, now)
        else:
            self._suspected_since.pop(row.name, None)
        if state in _LIVE:
            self._gone_since.pop(row.name, None)
        else:
            self._gone_since[row.name] = now
        if changed or state is HostState.ALIVE:
            self._publish(row)

    def _publish(self, row: HostRow) -> None:
        self._node.log(
            "info",
            "host_state",
            host=row.name,
            state=row.state.value,
            incarnation=row.incarnation,
        )
        self._node.count("hosts", state=row.state.value)
        self._node.publish(HostStateChanged(row.name))

    def _update_digest(self, name: str, incarnation: int, live: bool) -> None:
        part = xxhash.xxh64_intdigest(f"{name}\0{incarnation}".encode()) if live else 0
        number = _bucket(name)
        self._buckets[number] ^= self._host_hashes.pop(name, 0) ^ part
        if part:
            self._host_hashes[name] = part
        self._digest = b""

    def _remove_gone(self) -> None:
        limit = self._node.timers.now - FORGET_AFTER
        for name in [n for n, at in self._gone_since.items() if at < limit]:
            # A drain may take longer than FORGET_AFTER. While the host is linked, its
            # heartbeats need the row.
            if not self._rows[name].link:
                del self._gone_since[name]
                del self._rows[name]


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS
