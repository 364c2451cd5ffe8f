"""The links of this host to its peers: few, chosen by rendezvous, repaired.

The number of links does not depend on the size of the fleet, and with it neither
does the control traffic. Neighbours are chosen by a weight that both ends of a pair
compute alike, some in the own failure domain and some elsewhere, so that news cross
the fleet in few hops and a failure domain that is cut off stays connected inside.
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
DIAL_TIMEOUT = 3.0
DIALS_AT_ONCE = 4
RETRY_MIN = 1.0
RETRY_MAX = 30.0
UNWANTED_LINGER = 10.0  # seconds that a link nobody chose may stay
CHOOSE_GAP = 1.0  # seconds between two choices of neighbours
REJOIN_PERIOD = 2.0
SEEDS_AT_ONCE = 2
FAILURES_TO_DOUBT = 2
CHECK = 3.0  # seconds that a link made for news stays


@dataclass(slots=True, eq=False)
class HostLink:
    """Hold one link; `host` is empty until its Greeting came."""

    number: int
    address: str
    opened_at: float
    outgoing: bool
    up: bool = False
    host: str = ""
    last_message_at: float = float("-inf")
    temporary_until: float = 0.0
    difference: DigestDifference = NO_DIFFERENCE  # of the two ends' tables of hosts


@dataclass(slots=True)
class _Retry:
    """Hold when an address may be dialled again."""

    at: float
    failures: int


class HostLinks:
    """Own the links: dial, choose, prune, send."""

    __slots__ = (
        "_by_host",
        "_checked",
        "_chosen_at",
        "_dirty",
        "_hosts",
        "_links",
        "_node",
        "_on_unreachable",
        "_rejoin_at",
        "_retries",
        "_shunned",
        "_wanted",
    )

    def __init__(
        self, node: Node, hosts: HostTable, on_unreachable: Callable[[HostRow], None]
    ) -> None:
        self._node = node
        self._hosts = hosts
        self._on_unreachable = on_unreachable
        self._links: dict[int, HostLink] = {}
        self._by_host: dict[str, HostLink] = {}
        self._wanted: dict[str, HostRow] = {}
        self._checked: dict[str, HostRow] = {}  # dialled for news, by address
        self._retries: dict[str, _Retry] = {}  # by address
        self._shunned: dict[str, float] = {}  # name -> until
        self._dirty = True
        self._chosen_at = float("-inf")
        self._rejoin_at = float("-inf")

    @property
    def established(self) -> Iterable[HostLink]:
        """Return the links whose host is known; one a host."""
        return self._by_host.values()

    @property
    def _now(self) -> float:
        return self._node.timers.now

    def __iter__(self) -> Iterator[HostLink]:
        return iter(tuple(self._links.values()))

    def get(self, number: int) -> HostLink | None:
        """Return a link by number, None when it is gone."""
        return self._links.get(number)

    def link_to(self, host: str) -> HostLink | None:
        """Return the link to a host, None when there is none."""
        return self._by_host.get(host)

    def send(self, link: HostLink, message: PeerMessage) -> None:
        """Send a message on a link."""
        kind = type(message).__name__
        self._node.count("peer_messages", direction="sent", kind=kind)
        self._node.emit(SendPeer(link.number, message))

    # -- Life of a link ------------------------------------------------------

    def on_connected(self, number: int, address: str) -> HostLink:
        """Note that a link is up, whoever made it."""
        link = self._links.get(number)
        if link is None:
            link = HostLink(number, address, self._now, outgoing=False)
            self._links[number] = link
        link.up = True
        link.last_message_at = self._now
        return link

    def establish(self, link: HostLink, host: str) -> bool:
        """Bind a link to its host; tell whether the link is kept.

        Two hosts may dial each other at the same moment. Both ends keep the link
        that the host with the lower name made, else each might close the other's.
        """
        link.host = host
        earlier = self._by_host.get(host)
        if earlier is not None and earlier is not link:
            if self._preferred(earlier, host) and not self._preferred(link, host):
                self.close(link)
                return False
            self.close(earlier)
        self._by_host[host] = link
        self._forget_failures(link.address)
        row = self._node.tables.hosts.get(host)
        if row is not None:
            row.link = link.number
            self._forget_failures(row.address)
        self._make_room(link)
        return link.number in self._links

    def on_lost(self, number: int) -> None:
        """Note that a link ended, or could not be made."""
        link = self._links.get(number)
        if link is None:
            return
        self._forget(link)
        if link.outgoing and not link.host:
            self._dial_failed(link.address)

    def close(self, link: HostLink) -> None:
        """End a link."""
        self._node.emit(ClosePeer(link.number))
        self._forget(link)

    def close_all(self) -> None:
        """End all links."""
        for link in tuple(self._links.values()):
            self.close(link)

    # -- Choice --------------------------------------------------------------

    def on_hosts_changed(self) -> None:
        """Choose neighbours anew at the next tick."""
        self._dirty = True

    def avoid(self, host: str, seconds: float) -> None:
        """Choose another neighbour in place of this host for a while."""
        self._shunned[host] = self._now + seconds
        self._dirty = True

    def get_or_dial(self, row: HostRow, seconds: float) -> HostLink | None:
        """Return the link to a host; without one, dial it for a while.

        The link that is dialled is not up yet: None, ask again when it is.
        """
        link = self._by_host.get(row.name)
        if link is None:
            self._retries.pop(row.address, None)
            self._dial(row.address, temporary=seconds)
            return None
        if link.temporary_until:
            link.temporary_until = self._now + seconds
        return link

    def probe(self, row: HostRow) -> None:
        """Dial a host to hear from itself how it is; in vain, it is unreachable."""
        if row.name not in self._by_host:
            self._checked[row.address] = row
            self._dial(row.address, temporary=CHECK)

    def maintain(self) -> None:
        """Dial the neighbours that lack a link, drop what nobody wants."""
        self._drop_stuck_dials()
        if self._dirty and self._now - self._chosen_at >= CHOOSE_GAP:
            self._choose()
        for row in self._wanted.values():
            if row.name not in self._by_host and row.state is not HostState.LEAVING:
                self._dial(row.address)
        self._rejoin()
        self._prune()

    def _choose(self) -> None:
        self._dirty = False
        self._chosen_at = self._now
        self._shunned = {n: t for n, t in self._shunned.items() if t > self._now}
        tuning = self._node.tuning
        own = self._node.identity.failure_domain
        near = self._best(self._candidates(own))[: tuning.peers_in_domain]
        far = self._best_elsewhere(own)[: tuning.peers_elsewhere]
        self._wanted = {row.name: row for row in (*near, *far)}

    def _candidates(self, failure_domain: str) -> list[HostRow]:
        rows = self._hosts.live_hosts(failure_domain)
        return [row for row in rows if row.name not in self._shunned]

    def _best(self, rows: Iterable[HostRow]) -> list[HostRow]:
        return sorted(rows, key=self._weight, reverse=True)

    def _best_elsewhere(self, own: str) -> list[HostRow]:
        # One of each failure domain first: two links to the same one would leave
        # another unheard of when these two are cut.
        domains = {row.failure_domain for row in self._hosts.live_hosts()} - {own}
        ranked = [self._best(self._candidates(name)) for name in sorted(domains)]
        count = self._node.tuning.peers_elsewhere
        firsts = self._best(rows[0] for rows in ranked if rows)
        seconds = self._best(row for rows in ranked for row in rows[1 : count + 1])
        return [*firsts, *seconds]

    def _weight(self, row: HostRow) -> int:
        first, second = sorted((row.name, self._node.identity.name))
        return rendezvous_weight(first, second)

    def _preferred(self, link: HostLink, host: str) -> bool:
        own_is_lower = self._node.identity.name < host
        return link.up and link.outgoing == own_is_lower

    # -- Dialling ------------------------------------------------------------

    def _dial(self, address: str, temporary: float = 0.0) -> None:
        if address == self._node.identity.peers_address or not address:
            return
        if self._dials_pending() >= DIALS_AT_ONCE:
            return
        if any(link.address == address for link in self._links.values()):
            return
        retry = self._retries.get(address)
        if retry is not None and self._now < retry.at:
            return
        number = self._node.next_number()
        until = self._now + temporary if temporary else 0.0
        link = HostLink(
            number, address, self._now, outgoing=True, temporary_until=until
        )
        self._links[number] = link
        self._node.emit(ConnectPeer(number, address))

    def _dials_pending(self) -> int:
        return sum(not link.up for link in self._links.values())

    def _dial_failed(self, address: str) -> None:
        retry = self._retries.setdefault(address, _Retry(0.0, 0))
        retry.failures += 1
        backoff = min(RETRY_MAX, RETRY_MIN * 2 ** (retry.failures - 1))
        retry.at = self._now + backoff * self._node.random.uniform(0.5, 1.0)
        if retry.failures < FAILURES_TO_DOUBT:
            return
        for row in (*self._wanted.values(), self._checked.pop(address, None)):
            if row is not None and row.address == address:
                self._on_unreachable(row)

    def _forget_failures(self, address: str) -> None:
        self._retries.pop(address, None)
        self._checked.pop(address, None)

    def _drop_stuck_dials(self) -> None:
        # An adapter's connect that hangs would keep its address from being dialled
        # ever again, and its place among the dials at once from being used.
        limit = self._now - DIAL_TIMEOUT
        for link in tuple(self._links.values()):
            if not link.host and link.opened_at < limit:
                self.close(link)
                if link.outgoing:
                    self._dial_failed(link.address)

    def _rejoin(self) -> None:
        """Dial seeds and hosts taken for dead: a partition may have ended.

        Each side of a partition buries the other. Without these dials the two
        halves would stay apart after it, each content with its own neighbours.
        """
        if self._now < self._rejoin_at:
            return
        pause = REJOIN_PERIOD * self._node.random.uniform(0.75, 1.25)
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
        doubtful = sorted({*dead, *(seed for seed in seeds if seed not in known)})
        if doubtful:
            self._dial(self._node.random.choice(doubtful))

    # -- Pruning -------------------------------------------------------------

    def _prune(self) -> None:
        for link in tuple(self._by_host.values()):
            if link.temporary_until:
                if self._now > link.temporary_until and link.host not in self._wanted:
                    self.close(link)
            elif self._is_unwanted(link) and link.outgoing:
                self.close(link)

    def _is_unwanted(self, link: HostLink) -> bool:
        lingered = self._now - link.opened_at > UNWANTED_LINGER
        return lingered and bool(self._wanted) and link.host not in self._wanted

    def _make_room(self, newest: HostLink) -> None:
        if len(self._by_host) <= LINKS_MAX:
            return
        unwanted = [k for k in self._by_host.values() if k.host not in self._wanted]
        # The oldest goes: a host that has just started needs its first link most.
        self.close(min(unwanted, key=lambda k: k.opened_at, default=newest))

    def _forget(self, link: HostLink) -> None:
        self._links.pop(link.number, None)
        if self._by_host.get(link.host) is link:
            del self._by_host[link.host]
            row = self._node.tables.hosts.get(link.host)
            if row is not None and row.link == link.number:
                row.link = 0
