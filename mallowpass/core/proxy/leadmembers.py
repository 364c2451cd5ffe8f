"""Members that could receive from the present primary, and are gone.

A member that lived under a primary may have received commits that no other member has,
whatever became of its entry: it was dropped, has left, or has started again under its
name. It stays on record here until it is back, so that no successor is ordered without
it, see `orderproofs`.

What the primary showed after a member was gone bounds what that member had. Its log
goes on at a member that has taken its address. Hosts tell one another of such members
as they confirm a fence, since a host that has started meanwhile knows of none.

While a primary is away and members are gone, hosts refuse what needs the primary as it
arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.policy.admission import retry_delay, retry_message
from mallowpass.core.proxy.signals import (
    EndpointChanged,
    EndpointExpired,
    EndpointRestarted,
    PrimaryChanged,
)
from mallowpass.core.proxy.statements import GoneMember, LeadEvidence
from mallowpass.core.proxy.tables import (
    EndpointRow,
    GroupRow,
    ProxySystem,
    RequestRow,
)

__all__ = ["PRIMARY_AWAY_MESSAGE", "LeadMembers"]

LEVEL_MEMBERS_MAX = 8  # of one lead that are kept on record
# Times are in seconds.
# Within which a member that reaches the store renews its entry.
RENEWAL_TIME = 1.5
# Until a refused caller is to try again: about as long as between two attempts to
# replace a primary.
RETRY_TIME = 2.0

PRIMARY_AWAY_MESSAGE = "its primary is out of reach and may not be replaced"


@dataclass(slots=True)
class _Gone:
    """A member whose entry is gone, or whose earlier run is."""

    endpoint: EndpointRow
    since: float
    has_restarted: bool = False
    # That the primary showed first after it was gone; None: not known.
    bound: LogPosition | None = None
    is_level: bool = False  # a member that is not gone has reached the bound


@dataclass(slots=True)
class _Lead:
    """The members that went while an endpoint was primary."""

    primary: str
    row: EndpointRow | None  # of the primary, as its lead began
    since: float
    # This host has known the members since the lead began, or what may be missing.
    is_whole: bool
    gone: dict[str, _Gone] = field(default_factory=dict)  # by member
    is_first: bool = False  # that this host has known
    # That the primary showed first after this host had come to know its lead.
    bound: LogPosition | None = None
    shown: LogPosition = ZERO_POSITION  # the newest that the primary showed


class LeadMembers(ProxySystem):
    """Record the members that may hold commits of a primary, and are gone."""

    __slots__ = ("_heartbeats", "_leads", "_renewed_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._leads: dict[str, _Lead] = {}  # by service
        # By endpoint, the count that its entry tells, and when it was renewed last.
        self._heartbeats: dict[str, int] = {}
        self._renewed_at: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to members that come and go, and to changes of primaries."""
        self._node.subscribe(EndpointChanged, self._on_changed)
        self._node.subscribe(EndpointExpired, self._on_expired)
        self._node.subscribe(EndpointRestarted, self._on_restarted)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    # -- Members -------------------------------------------------------------

    def gone(self, group: GroupRow) -> list[str]:
        """Return the members that are gone and may be ahead of all that are not."""
        return [
            member.name
            for member in self.evidence(group).gone
            if not (member.has_restarted or member.is_level)
        ]

    def evidence(self, group: GroupRow) -> LeadEvidence:
        """Return what this host knows of the members of a group that are gone."""
        lead = self._leads.get(group.service)
        if lead is None:
            return LeadEvidence()
        members = [
            self._gone_member(gone)
            for name, gone in sorted(lead.gone.items())
            if gone.has_restarted or name not in group.endpoints
        ]
        return LeadEvidence(tuple(members), lead.is_whole, lead.bound)

    def known_for(self, group: GroupRow) -> float:
        """Return the seconds since this host came to know a lead.

        Infinite if it has known the one before.
        """
        lead = self._leads.get(group.service)
        if lead is None:
            return 0.0
        return self.now - lead.since if lead.is_first else math.inf

    def _gone_member(self, gone: _Gone) -> GoneMember:
        endpoint = gone.endpoint
        renewed_at = self._renewed_at.get(endpoint.name, -math.inf)
        heard_at = max(renewed_at, endpoint.last_reply_at, gone.since - RENEWAL_TIME)
        return GoneMember(
            endpoint.name,
            self.now - min(heard_at, gone.since),
            endpoint.position,
            gone.bound,
            endpoint.entry.address,
            gone.has_restarted,
            gone.is_level,
        )

    def needs_bound(self, group: GroupRow) -> bool:
        """Return whether a position of the primary would bound what others have."""
        lead = self._leads.get(group.service)
        if lead is None:
            return True
        if not lead.is_whole and lead.bound is None:
            return True
        return any(gone.bound is None for gone in lead.gone.values())

    def note_position(
        self, endpoint: EndpointRow, position: LogPosition, asked_at: float
    ) -> None:
        """Record the position in a reply to a statement that was sent at a time.

        A member that is not gone has to be compared. So one that is gone is not ahead
        once such a member has all that the primary showed after it had gone.
        """
        group = self.tables.group(endpoint.entry.service)
        self._follow_primary(group)
        lead = self._leads.get(group.service)
        if lead is None:
            return
        if endpoint.name == lead.primary:
            # It may have a successor that this host knows, and not heard.
            if group.primary in ("", lead.primary):
                self._note_bound(lead, position, asked_at)
        elif endpoint.removed_at is None and self.tables.is_current(endpoint):
            self._note_received(lead, position)

    @staticmethod
    def _note_bound(lead: _Lead, position: LogPosition, asked_at: float) -> None:
        if position < lead.shown:
            return  # the primary has lost its log
        lead.shown = position
        if lead.bound is None and asked_at >= lead.since:
            lead.bound = position
        for gone in lead.gone.values():
            if gone.bound is None and asked_at >= gone.since:
                gone.bound = position

    @staticmethod
    def _note_received(lead: _Lead, position: LogPosition) -> None:
        if lead.bound is not None and position >= lead.bound:
            lead.is_whole = True
        for gone in lead.gone.values():
            if gone.is_level or gone.bound is None or position < gone.bound:
                continue
            gone.is_level = True
        level = [name for name, gone in lead.gone.items() if gone.is_level]
        for name in level[:-LEVEL_MEMBERS_MAX]:
            del lead.gone[name]

    def renewed_at(self, name: str) -> float:
        """Return when the entry of an endpoint was renewed last."""
        return self._renewed_at.get(name, -math.inf)

    def are_silent(self, group: GroupRow, names: list[str]) -> bool:
        """Return whether members may be dropped soon, as they renew no entries."""
        return all(
            group.endpoints[name].removed_at is not None
            or self.renewed_at(name) < self.now - RENEWAL_TIME
            for name in names
        )

    # -- Primaries that are away ---------------------------------------------

    def must_keep(self, endpoint: EndpointRow) -> bool:
        """Return whether a silent primary stays a member that may be asked for.

        One that was not used any more as its entry lapsed may have been replaced, and
        would be promoted by a question to the platform.
        """
        group = self.tables.group(endpoint.entry.service)
        lead = self._leads.get(group.service)
        is_last = lead is not None and lead.primary == endpoint.name
        is_used = group.primary == endpoint.name or endpoint.is_retired
        if not (is_last and is_used) or endpoint.entry.draining:
            return False
        return bool(self.gone(group))

    def refusal_on_arrival(self, request: RequestRow, group: GroupRow) -> str:
        """Return why a statement can't be run for now; empty if it may be."""
        last = group.endpoints.get(group.last_primary)
        if group.primary or last is None or not last.is_retired:
            return ""
        if not (request.primary_only and self.must_keep(last)):
            return ""
        spread = self._node.random.random()
        delay = retry_delay(RETRY_TIME, request.route.priority, spread)
        return retry_message(PRIMARY_AWAY_MESSAGE, delay)

    # -- Signals -------------------------------------------------------------

    def _on_changed(self, signal: EndpointChanged) -> None:
        endpoint = signal.endpoint
        entry = endpoint.entry
        if endpoint.removed_at is not None:
            self._note_gone(endpoint)
            return
        before = self._heartbeats.get(entry.name, entry.heartbeats)
        self._heartbeats[entry.name] = entry.heartbeats
        if entry.heartbeats != before:
            self._renewed_at[entry.name] = self.now
        lead = self._leads.get(entry.service)
        gone = None if lead is None else lead.gone.get(entry.name)
        if gone is not None and not gone.has_restarted:
            if gone.endpoint.entry.started_at == entry.started_at:
                del lead.gone[entry.name]
            else:
                gone.has_restarted = True

    def _on_expired(self, signal: EndpointExpired) -> None:
        """Record anew a member that was alive after its entry had gone."""
        endpoint = signal.endpoint
        lead = self._leads.get(endpoint.entry.service)
        gone = None if lead is None else lead.gone.get(endpoint.name)
        since = endpoint.removed_at if gone is None else gone.since
        if since is not None and endpoint.last_reply_at >= since:
            self._note_gone(endpoint)
        self._heartbeats.pop(endpoint.name, None)

    def _on_restarted(self, signal: EndpointRestarted) -> None:
        self._note_gone(signal.previous, has_restarted=True)

    def _note_gone(self, endpoint: EndpointRow, has_restarted: bool = False) -> None:
        """Record a member that has lived; an entry of another writer shows no life."""
        lead = self._leads.get(endpoint.entry.service)
        if lead is None or endpoint.name == lead.primary:
            return
        heard_at = max(self.renewed_at(endpoint.name), endpoint.last_reply_at)
        if math.isinf(heard_at):
            return
        gone = _Gone(endpoint, self.now, has_restarted)
        before = lead.gone.get(endpoint.name)
        if before is not None and before.has_restarted and not before.is_level:
            # It may have lost the log of the earlier run.
            gone.has_restarted = True
            if _shown(before.endpoint) > _shown(endpoint):
                gone.endpoint = before.endpoint
        lead.gone[endpoint.name] = gone

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        self._follow_primary(signal.group)

    def _follow_primary(self, group: GroupRow) -> None:
        """Begin a lead; who was gone before may receive from its primary as well.

        Another writer may name a primary that does not exist, and never answers.
        """
        before = self._leads.get(group.service)
        row = group.primary_row
        if row is None or (before and before.primary == group.primary):
            return
        if before is not None and math.isinf(row.last_reply_at):
            return
        is_first = before is None
        lead = _Lead(
            group.primary, row, self.now, is_whole=not is_first, is_first=is_first
        )
        self._leads[group.service] = lead
        if before is None:
            return
        for name, gone in before.gone.items():
            if name != group.primary:
                lead.gone[name] = _Gone(gone.endpoint, self.now, gone.has_restarted)
        if before.row is not None and before.primary not in group.endpoints:
            self._note_gone(before.row)
        for endpoint in group.endpoints.values():
            if endpoint.removed_at is not None:
                self._note_gone(endpoint)


def _shown(endpoint: EndpointRow) -> LogPosition:
    return endpoint.position or ZERO_POSITION
