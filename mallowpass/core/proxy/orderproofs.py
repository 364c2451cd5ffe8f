"""What an order to promote a replica needs: that it loses no acknowledged commit.

A primary acknowledges an entry of its log once a member has received it. So an order
goes out only if its target has each entry that may be acknowledged, or if all members
that could receive from the primary were compared and the target has what each of them
has. This holds for each order of an attempt, whether the primary lives or has ended:

- A target has each such entry if it has the whole log: that of a primary which has
  stepped down, or all that the primary showed and as many entries more as commits were
  sent there, by what all hosts tell, that it has not answered.
- A member that is gone could receive as well, see `leadmembers`. It need not be
  compared if the target has all that it may have.
- A primary that may live acknowledges what its log holds as soon as a member receives
  it, whatever became of the connection that a commit came by. The target must have
  all that it is known to hold. What it showed to no host is waited for by
  `commitwaits`.

While the target lacks something that the primary holds, replicas receive. The first one
that has everything becomes the target. While members are gone, the attempt ends, and
another one begins as soon as one is back. A primary that is back leads on.

Limits of both waits are settings. A target that lacks what a living primary holds is
ordered after one only if all other replicas are seen to be paused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.lognames import gone_text
from mallowpass.core.proxy.ordergrounds import OrderGrounds, merged_members
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.signals import PrimaryChanged, WriteAcknowledged
from mallowpass.core.proxy.statements import GoneMember, LeadEvidence
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["UNKNOWN_MEMBERS", "OrderProofs"]

# Times are in seconds.
# Where the platform can't be asked, a primary lives that has sent a reply within this
# time, or has renewed its entry since.
ALIVE_TIMEOUT = 1.0
# From the last reply of an endpoint, until a renewal of its entry shows that it lives:
# one from before may take as long until it is known.
RENEWAL_DELAY = 0.1

# By which hosts differ in when a member was gone.
GONE_MARGIN = 2.0

# Stands for members that were gone before any host knew the primary's lead.
UNKNOWN_MEMBERS = "unknown members"


class OrderProofs(ProxySystem):
    """Forbid orders whose targets may lack acknowledged commits."""

    __slots__ = ("_doubted_since", "_lead_members", "_pending_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Since when members are gone that may be ahead of all others, by service.
        self._doubted_since: dict[str, float] = {}

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._lead_members = self._node.system(LeadMembers)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(WriteAcknowledged, self._on_acknowledged)

    def forbids(self, attempt: Replacement) -> bool:
        """Return whether an attempt must not order the promotion of its target now."""
        received = attempt.received.get(attempt.target, ZERO_POSITION)
        is_proven = received >= attempt.group.must_hold
        return not is_proven or self.lacks_log(attempt) or self.lacks_members(attempt)

    # -- The primary's log ---------------------------------------------------

    def lacks_log(self, attempt: Replacement) -> bool:
        """Return whether the target lacks too much of what a primary holds."""
        if not self.is_short(attempt):
            self._note_level(attempt)
            return False
        if attempt.short_since is None:
            attempt.short_since = self.now
            self._log(attempt, "target_short", "warning")
        if not self.is_overdue(attempt) or attempt.demoted_at < attempt.short_since:
            return True
        others = attempt.members - {attempt.target}
        if attempt.may_level or not others <= attempt.paused:
            return True
        self._log(attempt, "promotion_ordered_short", "warning")
        return False

    def is_short(self, attempt: Replacement) -> bool:
        """Return whether a primary that may live holds what the target lacks."""
        received = attempt.received.get(attempt.target, ZERO_POSITION)
        return received < attempt.known_log and self.may_live(attempt)

    def is_overdue(self, attempt: Replacement) -> bool:
        """Return whether the target has lacked something for too long."""
        since = attempt.short_since
        return since is not None and self.now >= since + self.tables.short_target_wait

    def has_sign_of_life(self, attempt: Replacement) -> bool:
        """Return whether a primary has renewed its entry since it answered last."""
        primary = self._primary(attempt)
        heard_at = -math.inf if primary is None else primary.last_reply_at
        renewed_at = self._lead_members.renewed_at(attempt.primary)
        return renewed_at > heard_at + RENEWAL_DELAY

    def may_live(self, attempt: Replacement) -> bool:
        """Return whether a primary may acknowledge commits.

        The platform can't be asked whether one runs where it checks no tokens, nor
        while an order may be pending. Its signs of life count then.
        """
        if attempt.is_primary_down:
            return False
        if self.tables.promotion_fences_primary and not self.is_unasked(attempt):
            return True
        return self._shows_life(attempt)

    def _shows_life(self, attempt: Replacement) -> bool:
        """Return whether a primary answers, or has renewed its entry since it did."""
        primary = self._primary(attempt)
        heard_at = -math.inf if primary is None else primary.last_reply_at
        heard_at = max(heard_at, attempt.reached_at)
        is_heard = heard_at > self.now - ALIVE_TIMEOUT
        return is_heard or self.has_sign_of_life(attempt)

    def is_unasked(self, attempt: Replacement) -> bool:
        """Return whether an order may be pending, so that the platform isn't asked."""
        has_orders = attempt.order_count or attempt.inherits_order
        return bool(has_orders or self._pending_orders.has_foreign(attempt.group))

    @staticmethod
    def _primary(attempt: Replacement) -> EndpointRow | None:
        return attempt.group.endpoints.get(attempt.primary)

    def _note_level(self, attempt: Replacement) -> None:
        if attempt.short_since is not None:
            waited = round(self.now - attempt.short_since, 3)
            self._log(attempt, "target_level", waited=waited)
            attempt.short_since = None

    # -- Members -------------------------------------------------------------

    def lacks_members(self, attempt: Replacement) -> bool:
        """Return whether a member that is gone may be ahead of the target."""
        service = attempt.group.service
        names = self.uncompared(attempt)
        limit = self.tables.missing_member_wait
        if not names:
            names = self.level(attempt)
            limit = self.tables.level_member_wait
        if not names or limit == 0.0:
            self._doubted_since.pop(service, None)
            return False
        since = self._doubted_since.setdefault(service, self.now)
        return self.now < since + limit

    def uncompared(self, attempt: Replacement) -> list[str]:
        """Return the members that are gone and may be ahead of the target.

        Hosts that all started after the primary had gone know none.
        """
        if attempt.has_whole_log or attempt.has_all_sent:
            return []
        received = attempt.received.get(attempt.target, ZERO_POSITION)
        evidence = self._evidence(attempt)
        bounds = _bounds(evidence)
        names = {
            name
            for name in self._gone(attempt, evidence)
            if name not in bounds or received < bounds[name]
        }
        if not any(each.is_whole for each in evidence):
            known = [each.bound for each in evidence if each.bound is not None]
            if not known or received < min(known):
                names.add(UNKNOWN_MEMBERS)
        return sorted(names)

    def level(self, attempt: Replacement) -> list[str]:
        """Return the members that are gone and had no more than the target has.

        One that lives may go on to receive from a primary that hosts do not reach.
        """
        if attempt.has_whole_log or attempt.has_all_sent:
            return []
        names = {
            member.name
            for each in self._evidence(attempt)
            for member in each.gone
            if not (member.has_restarted or self._is_compared(attempt, member))
        }
        return sorted(names - set(self.uncompared(attempt)))

    def _evidence(self, attempt: Replacement) -> list[LeadEvidence]:
        """Return what this host and others know of members that are gone."""
        own = self._lead_members.evidence(attempt.group)
        return [own, *attempt.lead_evidence.values()]

    def _gone(self, attempt: Replacement, evidence: list[LeadEvidence]) -> set[str]:
        """Return the members that are gone, and no other has their logs."""
        return {
            member.name
            for each in evidence
            for member in each.gone
            if not self._is_compared(attempt, member)
        }

    @staticmethod
    def _is_compared(attempt: Replacement, member: GoneMember) -> bool:
        """Return whether a member was compared, or one that has its log.

        One that has started again, or has taken its address, may have lost the log. It
        has it if it shows what the member had.
        """
        received = attempt.received
        if member.name in received and not member.has_restarted:
            return True
        at_order = attempt.received_at_order.get(member.name)
        target_position = received.get(attempt.target, ZERO_POSITION)
        if at_order is not None and at_order <= target_position:
            return True
        least = member.position or ZERO_POSITION
        return any(
            position >= least and _has_log_of(attempt, name, member)
            for name, position in received.items()
        )

    # -- Log lines -----------------------------------------------------------

    def grounds(self, attempt: Replacement) -> OrderGrounds:
        """Return why the primary may be replaced, and which members are gone."""
        evidence = self._evidence(attempt)
        gone = self.gone(attempt)
        is_whole = any(each.is_whole for each in evidence)
        return OrderGrounds(
            self._why(attempt),
            gone,
            "" if is_whole and not gone else self._exemption(attempt, gone),
            is_whole,
            self._lead_members.known_for(attempt.group),
        )

    def gone(self, attempt: Replacement) -> tuple[GoneMember, ...]:
        """Return all members that are known to have lived under a primary, and went."""
        told = [member for each in self._evidence(attempt) for member in each.gone]
        return tuple(
            member
            for member in merged_members(told)
            if member.name != attempt.target or member.has_restarted
            if member.name not in attempt.received or member.has_restarted
        )

    def note_order(self, attempt: Replacement) -> None:
        """Log and count an order that goes out beside members that may be ahead."""
        names = self.uncompared(attempt)
        if not names and self.tables.level_member_wait:
            names = self.level(attempt)
        if not names:
            return
        service = attempt.group.service
        waited = self.now - self._doubted_since.get(service, self.now)
        self._node.count("promotions_beside_members", service=service)
        self._log(
            attempt,
            "promotion_ordered_without_members",
            "warning",
            gone=",".join(names),
            members=gone_text(self.gone(attempt)),
            waited=round(waited, 3),
        )

    def _why(self, attempt: Replacement) -> str:
        """Return why a primary may be replaced: an answer of the platform, or signs."""
        if attempt.is_primary_down:
            return f"down {self.now - attempt.asked_at:.1f} s ago"
        if attempt.is_known_to_run:
            return "runs"
        if not attempt.reason.is_failure:
            return attempt.reason.value
        asked = "unanswered" if attempt.questions else "unasked"
        if self.is_unasked(attempt):
            asked = "unasked: order pending"
        return f"{asked}, {self._sign_of_life(attempt)}"

    def _sign_of_life(self, attempt: Replacement) -> str:
        primary = self._primary(attempt)
        if self._shows_life(attempt):
            return "alive"
        is_lapsed = primary is None or primary.removed_at is not None
        return "lapsed" if is_lapsed else "no sign of life"

    def _exemption(self, attempt: Replacement, gone: Iterable[GoneMember]) -> str:
        """Return why members that are gone are not compared."""
        if attempt.has_whole_log:
            return "whole log"
        if attempt.has_all_sent:
            return "all sent"
        if self.uncompared(attempt):
            since = self._doubted_since.get(attempt.group.service, self.now)
            is_over = self.now >= since + self.tables.missing_member_wait
            return "limit passed" if is_over else "members awaited"
        received = attempt.received.get(attempt.target, ZERO_POSITION)
        bounds = [member.bound for member in gone]
        is_bounded = all(bound is not None and received >= bound for bound in bounds)
        return "bound" if is_bounded else "compared"

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        self._doubted_since.pop(signal.group.service, None)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        if signal.group.primary:
            self._doubted_since.pop(signal.group.service, None)

    def _log(
        self, attempt: Replacement, event: str, level: str = "info", **fields: object
    ) -> None:
        received = attempt.received.get(attempt.target, ZERO_POSITION)
        attempt.log(
            self._node,
            event,
            level,
            target=attempt.target,
            has=received.text,
            known=attempt.known_log.text,
            paused=",".join(sorted(attempt.paused)),
            received=attempt.received_text,
            **fields,
        )


def _bounds(evidence: Iterable[LeadEvidence]) -> dict[str, LogPosition]:
    """Return what each member has at most that is gone, by what all hosts tell."""
    told: dict[str, list[GoneMember]] = {}
    for each in evidence:
        for member in each.gone:
            told.setdefault(member.name, []).append(member)
    bounds = {name: _bound(members) for name, members in told.items()}
    return {name: bound for name, bound in bounds.items() if bound is not None}


def _bound(told: Sequence[GoneMember]) -> LogPosition | None:
    """Return what a member has at most, None if that is not known.

    A host may have missed that the member was back since, or that another endpoint has
    become primary. What the member itself showed refutes a bound.
    """
    newest = min(member.gone_ago for member in told) + GONE_MARGIN
    shown = max(member.position or ZERO_POSITION for member in told)
    known = [m.bound for m in told if m.bound is not None and m.gone_ago <= newest]
    return min((bound for bound in known if bound >= shown), default=None)


def _has_log_of(attempt: Replacement, name: str, member: GoneMember) -> bool:
    """Return whether an endpoint goes on with the log of a member."""
    endpoint = attempt.group.endpoints.get(name)
    if endpoint is None:
        return False
    return name == member.name or endpoint.entry.address == member.address
