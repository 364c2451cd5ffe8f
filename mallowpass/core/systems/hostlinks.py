"""Links of this host to a few neighbours, chosen by rendezvous hashing.

The number of links, and so the control traffic of a host, does not depend on the size
of the fleet. Neighbours are chosen by a weight that both hosts of a pair compute
alike, some in this host's failure domain and some in others. Notices therefore cross
the fleet in few hops, and the hosts of a failure domain that is cut off stay
connected with each other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from mallowpass.core.effects import ClosePeer, ConnectPeer, SendPeer
from mallowpass.core.node import Node
from mallowpass.core.peering import PeerMessage
from mallowpass.core.systems.digestdifference import NO_DIFFERENCE, DigestDifference
from mallowpass.core.systems.hosts import HostTable, rendezvous_weight
from mallowpass.core.tables import HostRow, HostState

__all__ = ["HostLink", "HostLinks"]

LINKS_MAX = 24
DIAL_TIMEOUT = 3.0  # seconds
DIALS_AT_ONCE = 4
# Seconds after a first failed dial, at most; doubled by each further one.
BACKOFF_MIN = 1.0
BACKOFF_MAX = 30.0
UNWANTED_LINK_TIME = 10.0  # seconds until a link to a non-neighbour is closed
CHOICE_INTERVAL = 1.0  # seconds at least between two choices of neighbours
REJOIN_INTERVAL = 2.0  # seconds on average between dials of seeds and dead hosts
SEEDS_AT_ONCE = 2
FAILURES_TO_SUSPECT = 2  # failed dials after which a host is reported as unreachable
PROBE_LINK_TIME = 3.0  # seconds that a link dialled as a probe stays


@dataclass(slots=True, eq=False)
class HostLink:
    """A link to a peer; `host` is empty until its Greeting arrives."""

    number: int
    address: str
    opened_at: float
    is_outgoing: bool
    is_up: bool = False
    host: str = ""
    last_message_at: float = float("-inf")
    temporary_until: float = 0.0  # 0: not temporary
    # Between this host's table of hosts and the peer's.
    difference: DigestDifference = NO_DIFFERENCE


@dataclass(slots=True)
class _Backoff:
    """The backoff of an address after failed dials."""

    retry_at: float
    failures: int


class HostLinks:
    """Dial, choose and close this host's links, and send over them."""

    __slots__ = (
        "_avoided_until",
        "_backoffs",
        "_by_host",
        "_chosen_at",
        "_has_to_choose",
        "_hosts",
        "_links",
        "_neighbours",
        "_node",
        "_on_unreachable",
        "_probed",
        "_rejoin_at",
    )

    def __init__(
        self, node: Node, hosts: HostTable, on_unreachable: Callable[[HostRow], None]
    ) -> None:
        self._node = node
        self._hosts = hosts
        self._on_unreachable = on_unreachable
        self._links: dict[int, HostLink] = {}
        self._by_host: dict[str, HostLink] = {}
        self._neighbours: dict[str, HostRow] = {}
        self._probed: dict[str, HostRow] = {}  # dialled as a probe, by address
        self._backoffs: dict[str, _Backoff] = {}  # by address
        self._avoided_until: dict[str, float] = {}  # by host
        self._has_to_choose = True
        self._chosen_at = float("-inf")
        self._rejoin_at = float("-inf")

    @property
    def established(self) -> Iterable[HostLink]:
        """Return the links whose host is known, at most one per host."""
        return self._by_host.values()

    @property
    def _now(self) -> float:
        return self._node.timers.now

    def __iter__(self) -> Iterator[HostLink]:
        return iter(tuple(self._links.values()))

    def get(self, number: int) -> HostLink | None:
        """Return a link by number, or None if it is closed."""
        return self._links.get(number)

    def link_to(self, host: str) -> HostLink | None:
        """Return the link to a host, or None."""
        return self._by_host.get(host)

    def send(self, link: HostLink, message: PeerMessage) -> None:
        """Send a message on a link."""
        kind = type(message).__name__
        self._node.count("peer_messages", direction="sent", kind=kind)
        self._node.emit(SendPeer(link.number, message))

    # -- Lifecycle of a link -------------------------------------------------

    def on_connected(self, number: int, address: str) -> HostLink:
        """Note that a link is up, dialled by either end."""
        link = self._links.get(number)
        if link is None:
            link = HostLink(number, address, self._now, is_outgoing=False)
            self._links[number] = link
        link.is_up = True
        link.last_message_at = self._now
        return link

    def establish(self, link: HostLink, host: str) -> bool:
        """Bind a link to its host; return whether the link is kept.

        Two hosts may dial each other at the same moment. Both ends keep the link
        that the host with the lower name dialled: with any other rule each end might
        close the link that the other keeps.
        """
        link.host = host
        existing = self._by_host.get(host)
        if existing is not None and existing is not link:
            if self._is_preferred(existing, host) and not self._is_preferred(
                link, host
            ):
                self.close(link)
                return False
            self.close(existing)
        self._by_host[host] = link
        self._forget_failures(link.address)
        row = self._node.tables.hosts.get(host)
        if row is not None:
            row.link = link.number
            self._forget_failures(row.address)
        self._make_room(link)
        return link.number in self._links

    def on_lost(self, number: int) -> None:
        """Note that a link was lost, or that a dial failed."""
        link = self._links.get(number)
        if link is None:
            return
        self._remove(link)
        if link.is_outgoing and not link.host:
            self._on_dial_failed(link.address)

    def close(self, link: HostLink) -> None:
        """Close a link."""
        self._node.emit(ClosePeer(link.number))
        self._remove(link)

    def close_all(self) -> None:
        """Close all links."""
        for link in tuple(self._links.values()):
            self.close(link)

    # -- Choice --------------------------------------------------------------

    def on_hosts_changed(self) -> None:
        """Choose neighbours anew at the next maintenance."""
        self._has_to_choose = True

    def avoid(self, host: str, seconds: float) -> None:
        """Don't choose a host as a neighbour for some seconds."""
        self._avoided_until[host] = self._now + seconds
        self._has_to_choose = True

    def get_or_dial(self, row: HostRow, seconds: float) -> HostLink | None:
        """Return the link to a host, or dial a temporary one and return None.

        `seconds` is how long a temporary link stays.
        """
        link = self._by_host.get(row.name)
        if link is None:
            self._backoffs.pop(row.address, None)
            self._dial(row.address, temporary=seconds)
            return None
        if link.temporary_until:
            link.temporary_until = self._now + seconds
        return link

    def probe(self, row: HostRow) -> None:
        """Dial a host to get its state from the host itself.

        A host that does not answer is reported as unreachable.
        """
        if row.name not in self._by_host:
            self._probed[row.address] = row
            self._dial(row.address, temporary=PROBE_LINK_TIME)

    def maintain(self) -> None:
        """Dial neighbours without a link, and close links that are not needed."""
        self._drop_stuck_dials()
        if self._has_to_choose and self._now - self._chosen_at >= CHOICE_INTERVAL:
            self._choose()
        for row in self._neighbours.values():
            if row.name not in self._by_host and row.state is not HostState.LEAVING:
                self._dial(row.address)
        self._rejoin()
        self._prune()

    def _choose(self) -> None:
        self._has_to_choose = False
        self._chosen_at = self._now
        self._avoided_until = {
            n: t for n, t in self._avoided_until.items() if t > self._now
        }
        tuning = self._node.tuning
        own = self._node.identity.failure_domain
        near = self._by_weight(self._candidates(own))[: tuning.peers_in_domain]
        far = self._by_weight_elsewhere(own)[: tuning.peers_elsewhere]
        self._neighbours = {row.name: row for row in (*near, *far)}

    def _candidates(self, failure_domain: str) -> list[HostRow]:
        rows = self._hosts.live_hosts(failure_domain)
        return [row for row in rows if row.name not in self._avoided_until]

    def _by_weight(self, rows: Iterable[HostRow]) -> list[HostRow]:
        return sorted(rows, key=self._weight, reverse=True)

    def _by_weight_elsewhere(self, own: str) -> list[HostRow]:
        # One host of each failure domain comes first. With all links to one failure
        # domain, the loss of that one would cut this host off from the others too.
        domains = {row.failure_domain for row in self._hosts.live_hosts()} - {own}
        ranked = [self._by_weight(self._candidates(name)) for name in sorted(domains)]
        count = self._node.tuning.peers_elsewhere
        firsts = self._by_weight(rows[0] for rows in ranked if rows)
        seconds = self._by_weight(row for rows in ranked for row in rows[1 : count + 1])
        return [*firsts, *seconds]

    def _weight(self, row: HostRow) -> int:
        first, second = sorted((row.name, self._node.identity.name))
        return rendezvous_weight(first, second)

    def _is_preferred(self, link: HostLink, host: str) -> bool:
        own_is_lower = self._node.identity.name < host
        return link.is_up and link.is_outgoing == own_is_lower

    # -- Dialling ------------------------------------------------------------

    def _dial(self, address: str, temporary: float = 0.0) -> None:
        if address == self._node.identity.peers_address or not address:
            return
        if self._pending_dials() >= DIALS_AT_ONCE:
            return
        if any(link.address == address for link in self._links.values()):
            return
        entry = self._backoffs.get(address)
        if entry is not None and self._now < entry.retry_at:
            return
        number = self._node.next_number()
        until = self._now + temporary if temporary else 0.0
        link = HostLink(
            number, address, self._now, is_outgoing=True, temporary_until=until
        )
        self._links[number] = link
        self._node.emit(ConnectPeer(number, address))

    def _pending_dials(self) -> int:
        return sum(not link.is_up for link in self._links.values())

    def _on_dial_failed(self, address: str) -> None:
        entry = self._backoffs.setdefault(address, _Backoff(0.0, 0))
        entry.failures += 1
        backoff = min(BACKOFF_MAX, BACKOFF_MIN * 2 ** (entry.failures - 1))
        entry.retry_at = self._now + backoff * self._node.random.uniform(0.5, 1.0)
        if entry.failures < FAILURES_TO_SUSPECT:
            return
        for row in (*self._neighbours.values(), self._probed.pop(address, None)):
            if row is not None and row.address == address:
                self._on_unreachable(row)

    def _forget_failures(self, address: str) -> None:
        self._backoffs.pop(address, None)
        self._probed.pop(address, None)

    def _drop_stuck_dials(self) -> None:
        # A dial of the adapter that hangs would otherwise block its address, and one
        # of the concurrent dials, for good.
        limit = self._now - DIAL_TIMEOUT
        for link in tuple(self._links.values()):
            if not link.host and link.opened_at < limit:
                self.close(link)
                if link.is_outgoing:
                    self._on_dial_failed(link.address)

    def _rejoin(self) -> None:
        """Dial seeds and dead hosts, in case a partition has ended.

        Each side of a partition declares the other side dead. Without these dials
        both sides would keep to their own neighbours after the partition.
        """
        if self._now < self._rejoin_at:
            return
        pause = REJOIN_INTERVAL * self._node.random.uniform(0.75, 1.25)
        self._rejoin_at = self._now + pause
        identity = self._node.identity
        seeds = list(identity.seeds)
        if not self._by_host:
            self._node.random.shuffle(seeds)
            for address in seeds[:SEEDS_AT_ONCE]:
                self._dial(address)
            return
        dead = [
            row.address
            for row in self._node.tables.hosts.values()
            if row.state is HostState.DEAD
        ]
        known = {row.address for row in self._hosts.live_hosts()}
        candidates = sorted({*dead, *(seed for seed in seeds if seed not in known)})
        if candidates:
            self._dial(self._node.random.choice(candidates))

    # -- Pruning -------------------------------------------------------------

    def _prune(self) -> None:
        for link in tuple(self._by_host.values()):
            if link.temporary_until:
                if (
                    self._now > link.temporary_until
                    and link.host not in self._neighbours
                ):
                    self.close(link)
            elif self._is_unwanted(link) and link.is_outgoing:
                self.close(link)

    def _is_unwanted(self, link: HostLink) -> bool:
        is_old = self._now - link.opened_at > UNWANTED_LINK_TIME
        return is_old and bool(self._neighbours) and link.host not in self._neighbours

    def _make_room(self, newest: HostLink) -> None:
        if len(self._by_host) <= LINKS_MAX:
            return
        unwanted = [k for k in self._by_host.values() if k.host not in self._neighbours]
        # The oldest link is closed, not the newest: a host that has just started needs
        # its first link most.
        self.close(min(unwanted, key=lambda k: k.opened_at, default=newest))

    def _remove(self, link: HostLink) -> None:
        self._links.pop(link.number, None)
        if self._by_host.get(link.host) is link:
            del self._by_host[link.host]
            row = self._node.tables.hosts.get(link.host)
            if row is not None and row.link == link.number:
                row.link = 0
