"""Who else is there: heartbeats, suspicion, farewells, and the relaying of news.

Each host hears its few neighbours directly and of all others through relayed
notices. A notice is relayed by each host once, when it is new to it, so an event
costs each host as many messages as it has links, however large the fleet is.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TypeVar

from mallowpass.core.events import PeerConnected, PeerLost, PeerMessageReceived
from mallowpass.core.node import Node, System
from mallowpass.core.peering import (
    Goodbye,
    Greeting,
    Heartbeat,
    HostNotice,
    HostsDigest,
    PeerMessage,
)
from mallowpass.core.signals import DrainBegan, HostStateChanged
from mallowpass.core.systems.digestdifference import NO_DIFFERENCE
from mallowpass.core.systems.endpointnotices import EndpointNotices
from mallowpass.core.systems.hostlinks import HostLink, HostLinks
from mallowpass.core.systems.hostlist import HostList
from mallowpass.core.systems.hosts import HostTable, make_notice
from mallowpass.core.tables import HostRow, HostState
from mallowpass.core.timers import Timer

__all__ = ["Membership"]

LATE_SHARE = 1.0  # of a heartbeat: a tick this late means that this host was paused
# Heartbeats that hosts must differ for before a repair, at rest and under changes.
REPAIR_BEATS = 3
RESTLESS_BEATS = 30
REPAIR_GAP = 2.0
SHUN = 60.0
REACH = 10.0

_STATES = frozenset(state.value for state in HostState)
_M = TypeVar("_M", bound=PeerMessage)
Handler = Callable[[str, _M], None]


class Membership(System):
    """Keep the table of hosts true, and carry messages between hosts."""

    __slots__ = (
        "_beat",
        "_digest",
        "_doubted",
        "_draining",
        "_endpoints",
        "_handlers",
        "_hosts",
        "_incarnation",
        "_links",
        "_list",
        "_parked",
        "_repaired_at",
        "_tick_due",
        "_timer",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._hosts = HostTable(node)
        self._links = HostLinks(node, self._hosts, self._on_unreachable)
        self._endpoints = EndpointNotices(node, self)
        self._list = HostList(node, self._hosts, self._learn, self._links.probe)
        self._handlers: dict[type, list[Callable[..., None]]] = {}
        self._parked: dict[str, list[PeerMessage]] = {}  # for links being dialled
        self._doubted: dict[str, int] = {}  # name -> incarnation suspected from here
        self._incarnation = node.identity.incarnation
        self._beat = 0
        self._digest: Callable[[], bytes] = bytes
        self._draining = False
        self._repaired_at = float("-inf")
        self._tick_due = 0.0
        self._timer: Timer | None = None

    @property
    def incarnation(self) -> int:
        """Return this host's incarnation; it grows when rumours are refuted."""
        return self._incarnation

    @property
    def linked_hosts(self) -> list[str]:
        """Return the names of the hosts that there is a link to."""
        return [link.host for link in self._links.established]

    def start(self) -> None:
        """Subscribe to links and timers, and look for peers."""
        node = self._node
        node.subscribe(PeerConnected, self._on_connected)
        node.subscribe(PeerLost, self._on_lost)
        node.subscribe(PeerMessageReceived, self._on_received)
        node.subscribe(HostStateChanged, self._on_host_changed)
        node.subscribe(DrainBegan, self._on_drain)
        self.on_message(Heartbeat, self._on_heartbeat)
        self.on_message(Goodbye, self._on_goodbye)
        self.on_message(HostNotice, self._on_host_notice)
        self.on_message(HostsDigest, self._on_hosts_digest)
        self._hosts.update_own_digest(self._incarnation, leaving=False)
        self._endpoints.start()
        self._list.start()
        # Hosts that start together must not beat in step for ever.
        first = node.random.uniform(0, node.tuning.heartbeat)
        self._tick_due = self.now + first
        self._timer = self.timers.every(node.tuning.heartbeat, self._tick, first=first)
        self.timers.after(0.0, self._links.maintain)

    def stop(self) -> None:
        """End all links."""
        if self._timer is not None:
            self._timer.cancel()
        self._links.close_all()

    # -- For other systems ---------------------------------------------------

    def live_hosts(self, failure_domain: str | None = None) -> list[HostRow]:
        """Return the other live hosts; suspected ones are among them.

        The list is shared: don't change it.
        """
        return self._hosts.live_hosts(failure_domain)

    def rank(self, key: str, failure_domain: str | None = None) -> int:
        """Return this host's rank for a key among live hosts, 0 for the first."""
        return self._hosts.rank(key, failure_domain)

    def highest_ranked(self, key: str) -> str:
        """Return the name of the live host that ranks first for a key."""
        return self._hosts.highest_ranked(key)

    def on_message(self, kind: type[_M], handler: Handler[_M]) -> None:
        """Have a handler called with the sender's name and each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, host: str, message: PeerMessage) -> bool:
        """Send a message to a host that there is a link to; tell whether there is."""
        link = self._links.link_to(host)
        if link is None:
            return False
        self._links.send(link, message)
        return True

    def send_or_dial(self, host: str, message: PeerMessage) -> bool:
        """Send a message to any live host, over a link made for it if need be."""
        row = self.tables.hosts.get(host)
        if row is None:
            return False
        link = self._links.get_or_dial(row, REACH)
        if link is None:
            self._parked.setdefault(host, []).append(message)
            self.timers.after(REACH, self._parked.pop, host, None)
        else:
            self._links.send(link, message)
        return True

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send a message to all neighbours, except to the one that it came from."""
        for link in tuple(self._links.established):
            if link.host != exclude and not link.temporary_until:
                self._links.send(link, message)

    def set_service_digest(self, digest: Callable[[], bytes]) -> None:
        """Have heartbeats carry the digest of this host's services."""
        self._digest = digest

    # -- Links ---------------------------------------------------------------

    def _on_connected(self, event: PeerConnected) -> None:
        link = self._links.on_connected(event.link, event.address)
        identity = self._node.identity
        greeting = Greeting(
            identity.name,
            identity.failure_domain,
            identity.seat,
            identity.peers_address,
            self._incarnation,
        )
        self._links.send(link, greeting)

    def _on_lost(self, event: PeerLost) -> None:
        self._links.on_lost(event.link)

    def _on_received(self, event: PeerMessageReceived) -> None:
        link = self._links.get(event.link)
        message = event.message
        kind = type(message).__name__
        self._node.count("peer_messages", direction="received", kind=kind)
        if link is None:
            return
        if isinstance(message, Greeting):
            self._on_greeting(link, message)
        elif link.host:
            self._hear(link)
            for handler in self._handlers.get(type(message), ()):
                handler(link.host, message)

    def _hear(self, link: HostLink) -> None:
        link.last_message_at = self.now
        row = self.tables.hosts.get(link.host)
        if row is not None:
            self._hosts.note_contact(row)

    def _on_greeting(self, link: HostLink, greeting: Greeting) -> None:
        if greeting.host == self._node.identity.name:
            self._on_own_name(link, greeting)
            return
        alive = HostNotice(
            greeting.host,
            greeting.failure_domain,
            greeting.seat,
            greeting.address,
            greeting.incarnation,
            HostState.ALIVE.value,
        )
        self._learn(alive, exclude=greeting.host)
        row = self.tables.hosts[greeting.host]
        if not self._links.establish(link, greeting.host):
            return
        self._hear(link)
        if row.state in (HostState.DEAD, HostState.LEAVING):
            # It is here, so the rumour is wrong or its last life's: let it refute.
            self._links.send(link, make_notice(row))
        self._links.send(link, self._heartbeat())
        self._endpoints.sync_peer(greeting.host)
        for message in self._parked.pop(greeting.host, ()):
            self._links.send(link, message)

    def _on_own_name(self, link: HostLink, greeting: Greeting) -> None:
        if greeting.address != self._node.identity.peers_address:
            self._node.log(
                "error", "host_name_taken", name=greeting.host, by=greeting.address
            )
        self._links.close(link)

    # -- Heartbeats ----------------------------------------------------------

    def _tick(self) -> None:
        late = self.now - self._tick_due
        period = self._node.tuning.heartbeat
        self._tick_due = self.now + period
        if late > period * LATE_SHARE:
            self._forgive_silence(late)
        self._beat += 1
        heartbeat = self._heartbeat()
        for link in tuple(self._links.established):
            self._links.send(link, heartbeat)
        self._watch_silence()
        self._bury_silent()
        self._links.maintain()

    def _forgive_silence(self, late: float) -> None:
        # Paused hosts wake to timers first and to their peers' messages after: all
        # peers look silent. Acting on that would tell the fleet that all are dead.
        self._node.log("warning", "paused", seconds=late)
        for link in self._links.established:
            link.last_message_at = self.now
        self._hosts.restart_suspicions()

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._node.identity.name,
            self._incarnation,
            self._beat,
            self._digest(),
            self._draining,
            self._hosts.digest,
        )

    def _watch_silence(self) -> None:
        tuning = self._node.tuning
        for link in tuple(self._links.established):
            silence = self.now - link.last_message_at
            if silence > tuning.suspicion:
                self._doubt(link.host)
            if silence > tuning.death:
                self._links.close(link)

    def _bury_silent(self) -> None:
        grace = self._node.tuning.death - self._node.tuning.suspicion
        for name, since in tuple(self._hosts.suspected_since.items()):
            if self.now - since > grace:
                row = self.tables.hosts[name]
                self._hosts.mark_dead(row)
                self._node.record_decision(
                    "membership", name, f"silent, incarnation {row.incarnation}: dead"
                )
                self.broadcast(make_notice(row))

    def _on_unreachable(self, row: HostRow) -> None:
        if self.now - row.last_contact_at > self._node.tuning.suspicion:
            self._doubt(row.name)

    def _doubt(self, name: str) -> None:
        row = self.tables.hosts[name]
        if self._hosts.suspect(row):
            self._doubted[name] = row.incarnation
            self.broadcast(make_notice(row))

    def _on_heartbeat(self, host: str, beat: Heartbeat) -> None:
        row = self.tables.hosts[host]
        state = HostState.LEAVING if beat.draining else HostState.ALIVE
        if (row.incarnation, row.state) != (beat.incarnation, state):
            self._learn_own_word(row, beat.incarnation, state)
        self._hosts.note_contact(row, beat.beat)
        link = self._links.link_to(host)
        if link is not None:
            self._compare_hosts(link, beat)

    # -- News of hosts -------------------------------------------------------

    def _learn(self, news: HostNotice, exclude: str = "") -> None:
        if not self._hosts.merge(news):
            return
        row = self.tables.hosts[news.host]
        doubted = self._doubted.get(news.host)
        if doubted is not None and news.incarnation > doubted:
            del self._doubted[news.host]
            if exclude != news.host:
                self._use_another_way(news.host)
        self.broadcast(make_notice(row), exclude=exclude)

    def _use_another_way(self, host: str) -> None:
        # Others hear it and this host does not: only the way between is cut. Over
        # the silent link it would be doubted and refute again with every heartbeat,
        # each time with two notices to the whole fleet.
        link = self._links.link_to(host)
        if link is not None:
            self._links.close(link)
        self._links.avoid(host, SHUN)

    def _on_host_notice(self, host: str, news: HostNotice) -> None:
        if news.state not in _STATES:
            return
        if news.host == self._node.identity.name:
            self._refute(news)
        else:
            self._learn(news, exclude=host)

    def _refute(self, news: HostNotice) -> None:
        leaving = news.state == HostState.LEAVING.value
        if news.incarnation < self._incarnation or news.state == HostState.ALIVE.value:
            return
        if leaving and self._draining and news.incarnation == self._incarnation:
            return
        self._incarnation = news.incarnation + 1
        self._hosts.update_own_digest(self._incarnation, self._draining)
        self._node.record_decision(
            "membership",
            self._node.identity.name,
            f"told {news.state}, refuted with incarnation {self._incarnation}",
        )
        self.broadcast(self._own_notice())

    def _own_notice(self) -> HostNotice:
        identity = self._node.identity
        state = HostState.LEAVING if self._draining else HostState.ALIVE
        return HostNotice(
            identity.name,
            identity.failure_domain,
            identity.seat,
            identity.peers_address,
            self._incarnation,
            state.value,
        )

    def _on_goodbye(self, host: str, goodbye: Goodbye) -> None:
        row = self.tables.hosts.get(host)
        if row is not None and goodbye.host == host:
            self._learn_own_word(row, goodbye.incarnation, HostState.LEAVING)

    def _learn_own_word(self, row: HostRow, incarnation: int, state: HostState) -> None:
        news = dataclasses.replace(
            make_notice(row), incarnation=incarnation, state=state.value
        )
        self._learn(news, exclude=row.name)

    def _on_drain(self, signal: DrainBegan) -> None:
        self._draining = True
        self._hosts.update_own_digest(self._incarnation, leaving=True)
        self._list.leave()
        self.broadcast(Goodbye(self._node.identity.name, self._incarnation))

    def _on_host_changed(self, signal: HostStateChanged) -> None:
        self._links.on_hosts_changed()

    # -- Repair of gaps ------------------------------------------------------

    def _compare_hosts(self, link: HostLink, beat: Heartbeat) -> None:
        link.difference = link.difference.after(self._hosts.digest, beat.hosts)
        if not link.difference.heartbeats:
            return
        # A newcomer asks at once. After a partition hosts find each other one by
        # one; a repair that came sooner would have all of them refute at once.
        newcomer = len(self._hosts.live_hosts()) <= 1
        gap = link.difference.is_gap(REPAIR_BEATS, RESTLESS_BEATS)
        due = self.now - self._repaired_at >= REPAIR_GAP
        if newcomer or (gap and due):
            self._repaired_at = self.now
            link.difference = NO_DIFFERENCE
            self._links.send(link, HostsDigest(self._hosts.buckets))

    def _on_hosts_digest(self, host: str, digest: HostsDigest) -> None:
        link = self._links.link_to(host)
        if link is None:
            return
        differing = self._hosts.differing_buckets(digest)
        for row in self._hosts.rows_in_buckets(differing):
            self._links.send(link, make_notice(row))
        if differing and not digest.answer:
            self._links.send(link, HostsDigest(self._hosts.buckets, answer=True))
