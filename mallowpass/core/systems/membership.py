"""Membership of the fleet: heartbeats, failure detection and relayed notices.

A host exchanges heartbeats with its few neighbours only, and learns of all other
hosts from relayed notices. Each host relays a notice once, when the notice is new to
it: an event costs each host one message per link, whatever the size of the fleet.
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

# A tick that is late by this fraction of the heartbeat interval shows that this host
# was paused.
PAUSE_SHARE = 1.0
# Consecutive heartbeats with differing tables of hosts that count as a gap: while the
# tables stay the same, and while they keep changing.
GAP_HEARTBEATS_UNCHANGED = 3
GAP_HEARTBEATS_CHANGING = 30
REPAIR_INTERVAL = 2.0  # seconds at least between two repairs
AVOID_TIME = 60.0  # seconds without a link to a host that only this host cannot reach
DIALLED_LINK_TIME = 10.0  # seconds that a link dialled for a message stays

_STATES = frozenset(state.value for state in HostState)
_M = TypeVar("_M", bound=PeerMessage)
Handler = Callable[[str, _M], None]


class Membership(System):
    """Maintain the table of hosts, and carry messages between hosts."""

    __slots__ = (
        "_digest",
        "_endpoint_notices",
        "_handlers",
        "_heartbeats_sent",
        "_host_list",
        "_hosts",
        "_incarnation",
        "_is_draining",
        "_links",
        "_repaired_at",
        "_suspected_incarnations",
        "_tick_due",
        "_timer",
        "_unsent",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._hosts = HostTable(node)
        self._links = HostLinks(node, self._hosts, self._on_unreachable)
        self._endpoint_notices = EndpointNotices(node, self)
        self._host_list = HostList(
            node, self._hosts, self._merge_and_relay, self._links.probe
        )
        self._handlers: dict[type, list[Callable[..., None]]] = {}
        # By host, until the link that is being dialled is up.
        self._unsent: dict[str, list[PeerMessage]] = {}
        # The incarnation in which this host itself suspected another, by its name.
        self._suspected_incarnations: dict[str, int] = {}
        self._incarnation = node.identity.incarnation
        self._heartbeats_sent = 0
        self._digest: Callable[[], bytes] = bytes
        self._is_draining = False
        self._repaired_at = float("-inf")
        self._tick_due = 0.0
        self._timer: Timer | None = None

    @property
    def incarnation(self) -> int:
        """Return this host's incarnation; each refutation increments it."""
        return self._incarnation

    @property
    def linked_hosts(self) -> list[str]:
        """Return the names of the hosts that this host has a link to."""
        return [link.host for link in self._links.established]

    def start(self) -> None:
        """Subscribe to events of links, start heartbeats and dial peers."""
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
        self._endpoint_notices.start()
        self._host_list.start()
        # A random phase: hosts that start together would otherwise send all their
        # heartbeats at the same moments.
        first = node.random.uniform(0, node.tuning.heartbeat)
        self._tick_due = self.now + first
        self._timer = self.timers.every(node.tuning.heartbeat, self._tick, first=first)
        self.timers.after(0.0, self._links.maintain)

    def stop(self) -> None:
        """Close all links."""
        if self._timer is not None:
            self._timer.cancel()
        self._links.close_all()

    # -- For other systems ---------------------------------------------------

    def live_hosts(self, failure_domain: str | None = None) -> list[HostRow]:
        """Return the other live hosts, including suspected ones.

        The list is shared and must not be modified.
        """
        return self._hosts.live_hosts(failure_domain)

    def rank(self, key: str, failure_domain: str | None = None) -> int:
        """Return this host's rank for a key among live hosts; 0 is the highest."""
        return self._hosts.rank(key, failure_domain)

    def highest_ranked(self, key: str) -> str:
        """Return the name of the live host with the highest rank for a key."""
        return self._hosts.highest_ranked(key)

    def on_message(self, kind: type[_M], handler: Handler[_M]) -> None:
        """Call a handler with the sender's name and each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, host: str, message: PeerMessage) -> bool:
        """Send a message over the link to a host; return False without a link."""
        link = self._links.link_to(host)
        if link is None:
            return False
        self._links.send(link, message)
        return True

    def send_or_dial(self, host: str, message: PeerMessage) -> bool:
        """Send a message to a host, over a temporary link if there is none.

        Return False if the host is unknown. A message to a host that cannot be
        dialled in time is dropped.
        """
        row = self.tables.hosts.get(host)
        if row is None:
            return False
        link = self._links.get_or_dial(row, DIALLED_LINK_TIME)
        if link is None:
            self._unsent.setdefault(host, []).append(message)
            self.timers.after(DIALLED_LINK_TIME, self._unsent.pop, host, None)
        else:
            self._links.send(link, message)
        return True

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send a message to all neighbours but `exclude`, its sender."""
        for link in tuple(self._links.established):
            if link.host != exclude and not link.temporary_until:
                self._links.send(link, message)

    def set_service_digest(self, digest: Callable[[], bytes]) -> None:
        """Set the function that returns the digest of services for heartbeats."""
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
            self._note_contact(link)
            for handler in self._handlers.get(type(message), ()):
                handler(link.host, message)

    def _note_contact(self, link: HostLink) -> None:
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
        self._merge_and_relay(alive, exclude=greeting.host)
        row = self.tables.hosts[greeting.host]
        if not self._links.establish(link, greeting.host):
            return
        self._note_contact(link)
        if row.state in (HostState.DEAD, HostState.LEAVING):
            # The host is connected: its state is wrong, or belongs to its previous
            # process. The host refutes the state once it gets the notice.
            self._links.send(link, make_notice(row))
        self._links.send(link, self._heartbeat())
        self._endpoint_notices.sync_peer(greeting.host)
        for message in self._unsent.pop(greeting.host, ()):
            self._links.send(link, message)

    def _on_own_name(self, link: HostLink, greeting: Greeting) -> None:
        if greeting.address != self._node.identity.peers_address:
            self._node.log(
                "error", "host_name_taken", name=greeting.host, by=greeting.address
            )
        self._links.close(link)

    # -- Heartbeats ----------------------------------------------------------

    def _tick(self) -> None:
        lateness = self.now - self._tick_due
        interval = self._node.tuning.heartbeat
        self._tick_due = self.now + interval
        if lateness > interval * PAUSE_SHARE:
            self._restart_detection(lateness)
        self._heartbeats_sent += 1
        heartbeat = self._heartbeat()
        for link in tuple(self._links.established):
            self._links.send(link, heartbeat)
        self._check_links()
        self._expire_suspicions()
        self._links.maintain()

    def _restart_detection(self, lateness: float) -> None:
        # After a pause, timers run before the messages that arrived during the pause
        # are read, so every peer seems to have failed. Without a restart of the
        # detection this host would declare the whole fleet dead.
        self._node.log("warning", "paused", seconds=lateness)
        for link in self._links.established:
            link.last_message_at = self.now
        self._hosts.restart_suspicions()

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._node.identity.name,
            self._incarnation,
            self._heartbeats_sent,
            self._digest(),
            self._is_draining,
            self._hosts.digest,
        )

    def _check_links(self) -> None:
        tuning = self._node.tuning
        for link in tuple(self._links.established):
            elapsed = self.now - link.last_message_at
            if elapsed > tuning.suspicion:
                self._suspect(link.host)
            if elapsed > tuning.death:
                self._links.close(link)

    def _expire_suspicions(self) -> None:
        grace = self._node.tuning.death - self._node.tuning.suspicion
        for name, since in tuple(self._hosts.suspected_since.items()):
            if self.now - since > grace:
                row = self.tables.hosts[name]
                self._hosts.mark_dead(row)
                self._node.record_decision(
                    "membership",
                    name,
                    f"declared dead: no refutation of incarnation {row.incarnation}",
                )
                self.broadcast(make_notice(row))

    def _on_unreachable(self, row: HostRow) -> None:
        if self.now - row.last_contact_at > self._node.tuning.suspicion:
            self._suspect(row.name)

    def _suspect(self, name: str) -> None:
        row = self.tables.hosts[name]
        if self._hosts.suspect(row):
            self._suspected_incarnations[name] = row.incarnation
            self.broadcast(make_notice(row))

    def _on_heartbeat(self, host: str, heartbeat: Heartbeat) -> None:
        row = self.tables.hosts[host]
        state = HostState.LEAVING if heartbeat.draining else HostState.ALIVE
        if (row.incarnation, row.state) != (heartbeat.incarnation, state):
            self._merge_self_reported_state(row, heartbeat.incarnation, state)
        self._hosts.note_contact(row, heartbeat.beat)
        link = self._links.link_to(host)
        if link is not None:
            self._compare_hosts(link, heartbeat)

    # -- Notices of hosts ----------------------------------------------------

    def _merge_and_relay(self, notice: HostNotice, exclude: str = "") -> None:
        if not self._hosts.merge(notice):
            return
        row = self.tables.hosts[notice.host]
        suspected = self._suspected_incarnations.get(notice.host)
        if suspected is not None and notice.incarnation > suspected:
            del self._suspected_incarnations[notice.host]
            if exclude != notice.host:
                self._avoid_link(notice.host)
        self.broadcast(make_notice(row), exclude=exclude)

    def _avoid_link(self, host: str) -> None:
        # Other hosts still get the host's messages: only the path between the two
        # hosts is cut. If the broken link were kept, this host would suspect the other
        # and be refuted at every heartbeat, each time with two notices to the fleet.
        link = self._links.link_to(host)
        if link is not None:
            self._links.close(link)
        self._links.avoid(host, AVOID_TIME)

    def _on_host_notice(self, host: str, notice: HostNotice) -> None:
        if notice.state not in _STATES:
            return
        if notice.host == self._node.identity.name:
            self._refute(notice)
        else:
            self._merge_and_relay(notice, exclude=host)

    def _refute(self, notice: HostNotice) -> None:
        is_leaving = notice.state == HostState.LEAVING.value
        if (
            notice.incarnation < self._incarnation
            or notice.state == HostState.ALIVE.value
        ):
            return
        if is_leaving and self._is_draining and notice.incarnation == self._incarnation:
            return
        self._incarnation = notice.incarnation + 1
        self._hosts.update_own_digest(self._incarnation, self._is_draining)
        self._node.record_decision(
            "membership",
            self._node.identity.name,
            f"refuted the state {notice.state} with incarnation {self._incarnation}",
        )
        self.broadcast(self._own_notice())

    def _own_notice(self) -> HostNotice:
        identity = self._node.identity
        state = HostState.LEAVING if self._is_draining else HostState.ALIVE
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
            self._merge_self_reported_state(row, goodbye.incarnation, HostState.LEAVING)

    def _merge_self_reported_state(
        self, row: HostRow, incarnation: int, state: HostState
    ) -> None:
        notice = dataclasses.replace(
            make_notice(row), incarnation=incarnation, state=state.value
        )
        self._merge_and_relay(notice, exclude=row.name)

    def _on_drain(self, signal: DrainBegan) -> None:
        self._is_draining = True
        self._hosts.update_own_digest(self._incarnation, leaving=True)
        self._host_list.leave()
        self.broadcast(Goodbye(self._node.identity.name, self._incarnation))

    def _on_host_changed(self, signal: HostStateChanged) -> None:
        self._links.on_hosts_changed()

    # -- Repair of gaps ------------------------------------------------------

    def _compare_hosts(self, link: HostLink, heartbeat: Heartbeat) -> None:
        link.difference = link.difference.after(self._hosts.digest, heartbeat.hosts)
        if not link.difference.heartbeats:
            return
        # A host that knows at most one other asks at once. After a partition hosts find
        # each other one by one; a repair without delay would make all of them refute at
        # the same moment.
        is_new = len(self._hosts.live_hosts()) <= 1
        has_gap = link.difference.is_gap(
            GAP_HEARTBEATS_UNCHANGED, GAP_HEARTBEATS_CHANGING
        )
        is_due = self.now - self._repaired_at >= REPAIR_INTERVAL
        if is_new or (has_gap and is_due):
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
