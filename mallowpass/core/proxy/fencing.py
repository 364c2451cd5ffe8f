"""Fences of primaries at this host, while a successor is promoted.

A failed primary that returns, or that some hosts still reach, goes on to acknowledge
commits, as one does that is replaced as planned. Until its successor leads, no order to
the primary itself is certain to arrive, so each holder holds its own writes to it,
which the successor runs instead. It also closes the connections on which a commit is in
flight for too long, whether or not the primary answers other statements: an answer that
comes later reaches no caller. A primary that leaves, and answers, has longer.

The host that replaces a primary may not know the one that this host writes to: an
earlier order may have been carried out meanwhile, or a new endpoint may have inherited
the role. So its fence covers all endpoints of the service except the target of the
promotion, whichever this host has for the primary now or later.

Several hosts may replace a primary at once. Each has a fence of its own, and writes are
held until the last one ends. A host that was overtaken may not learn of it soon, and
its fence would cover a primary that another host has promoted. So the fence of a new
primary ends if its owner does not hold the newest claim. See `fenceorders` for when
fences begin.

The owner of a fence may be gone, and its order may be carried out later. So a fence
that was neither renewed nor lifted in time does not end: it is unattended, and holds
writes until the store shows that no order is pending, see `takeovers`. The owner
relaxes a fence while nothing can be lost: writes run through it, see `guardedwrites`,
and are held again if it does not renew that in a moment. A host that has started again
is another owner than before, and lifts no fence of its earlier run.

Whoever holds a newer claim knows of the orders of the claims before, and keeps a fence
of its own for as long as one is pending. So its fence replaces unattended earlier ones.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.durability import COMMITS_MAX
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.pendingorders import (
    ACCEPTED_ORDER_TIMEOUT,
    LATE_ORDER_TIMEOUT,
)
from mallowpass.core.proxy.signals import (
    FenceBegan,
    FenceEnd,
    FenceEnded,
    FenceLifted,
    FenceRelaxed,
    FenceRenewed,
    FenceSilent,
    FenceUnattended,
    PrimaryChanged,
)
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.statements import Fence, FenceEvidence, host_of
from mallowpass.core.proxy.store import CALL_TIMEOUT
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
from mallowpass.core.proxy.unansweredcommits import UnansweredCommits
from mallowpass.core.proxy.waitingcommits import WaitingCommits
from mallowpass.core.proxy.writeholds import DrainedHandler, HoldReason, WriteHolds
from mallowpass.core.timers import Timer

__all__ = ["FENCE_DURATION", "OWNER_RELAX_DURATION", "RELAX_DURATION", "Fencing"]

# Times are in seconds.
# A fence is renewed with each order that the platform accepts, and expires if its
# promotion is not carried out and not ordered again.
FENCE_DURATION = ACCEPTED_ORDER_TIMEOUT + 0.5
# For the commits in flight at a primary that is fenced again; see `_abandon_soon`.
DRAIN_TIMEOUT = 0.05
# Without a renewal, until this host finds out whether the owner is gone. An order that
# was accepted is carried out within this time, or the owner renews its fence.
OWNER_SILENCE = 1.0
# For which writes run beside a pending order, unless the owner of the fence renews it.
RELAX_DURATION = 0.6
# The same at the owner, which renews it in each round: it holds writes again if it
# stood still, before it handles what arrived meanwhile.
OWNER_RELAX_DURATION = 0.3
# Without a reply of a fenced primary. Within this time all holders have forwarded the
# order to step down, and the primary has answered if one of them reaches it.
SILENCE_TIMEOUT = 0.2
# From the beginning of a fence until its owner has taken a claim, or has failed to.
CLAIM_TIME = CALL_TIMEOUT + 0.1


@dataclass(slots=True, eq=False)
class _Fence:
    """The fence of one host."""

    primary: str
    target: str | None  # None: the fence covers the named primary alone
    until: float
    began_at: float
    is_overtaken: bool = False  # its owner did not hold the newest claim
    is_relaxed: bool = False  # its owner lets writes run
    is_unattended: bool = False  # its owner has not renewed it in time
    unattended_at: float = 0.0
    token: int = 0  # of the owner's claim; 0: not taken yet

    def covers(self, name: str) -> bool:
        """Return whether writes to an endpoint are held."""
        return not self.is_relaxed and self._concerns(name)

    def guards(self, name: str) -> bool:
        """Return whether writes to an endpoint run through its owner."""
        return self.is_relaxed and self._concerns(name)

    def _concerns(self, name: str) -> bool:
        if self.is_overtaken:
            return False
        if self.target is None:
            return name == self.primary
        return name != self.target

    def is_of_earlier_claim(self, token: int) -> bool:
        """Return whether the claim of its owner is older than another one.

        It may be newer if its owner had not taken it yet as it was heard of last.
        """
        return 0 < self.token < token

    def is_ended_by(self, primary: str) -> bool:
        """Return whether the fence ends as another endpoint becomes primary."""
        if self.target is None:
            return primary != self.primary
        return primary == self.target


class Fencing(ProxySystem):
    """Keep hosts from writing to primaries that are being replaced."""

    __slots__ = (
        "_claims",
        "_connections",
        "_fences",
        "_lead_members",
        "_newest_tokens",
        "_stalls",
        "_timers",
        "_unanswered_commits",
        "_waiting_commits",
        "_write_holds",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._timers: dict[str, Timer] = {}  # at the end of the next fence, by service
        # By service, and by the host that owns the fence.
        self._fences: dict[str, dict[str, _Fence]] = {}
        self._newest_tokens: dict[str, int] = {}  # of fences, by service

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._claims = self._node.system(Claims)
        self._connections = self._node.system(Connections)
        self._lead_members = self._node.system(LeadMembers)
        self._stalls = self._node.system(Stalls)
        self._unanswered_commits = self._node.system(UnansweredCommits)
        self._waiting_commits = self._node.system(WaitingCommits)
        self._write_holds = self._node.system(WriteHolds)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    def fence(
        self,
        primary: EndpointRow,
        duration: float,
        owner: str,
        handler: DrainedHandler = lambda: None,
    ) -> None:
        """Fence one primary at this host for `duration` seconds.

        The handler is called once none of this host's commits is in flight there.
        """
        group = self.tables.group(primary.entry.service)
        order = Fence(primary.name, duration, owner)
        self.fence_service(group, order, handler)

    def fence_service(
        self, group: GroupRow, order: Fence, handler: DrainedHandler = lambda: None
    ) -> None:
        """Fence the primary of a service at this host, as ordered.

        The handler is called once none of this host's commits is in flight there.
        """
        fences = self._fences.setdefault(group.service, {})
        if not self._in_force(group.service):
            self._log_other_primary(group, order)
        known = fences.get(order.owner)
        if known is not None and known.is_overtaken and known.until > self.now:
            self._fence_if_newest(group, order, handler)
            return
        until, began_at = self.now + order.duration, self.now
        if known is not None and known.until > self.now:
            began_at = known.began_at
            if not known.is_unattended:
                until = max(until, known.until)
        fence = _Fence(order.primary, order.target, until, began_at, token=order.token)
        fences[order.owner] = fence
        is_renewed = began_at < self.now and not known.is_relaxed
        began = FenceRenewed if is_renewed else FenceBegan
        self._node.publish(began(group.service, order))
        self._replace_earlier(group.service, order.token)
        self.timers.after(
            OWNER_SILENCE, self._report_silence, group, order.owner, fence
        )
        covered = self._covered(group, fence)
        self._hold(covered, until)
        if known is not None and known.is_relaxed:
            self._abandon_soon(covered)
        self._update(group)
        self._await_drained(covered, handler)

    def _covered(self, group: GroupRow, fence: _Fence) -> list[EndpointRow]:
        """Return the endpoints that this host may write to and a fence covers."""
        rows = (group.endpoints.get(fence.primary), group.primary_row)
        return [row for row in rows if row is not None and fence.covers(row.name)]

    def _abandon_soon(self, covered: list[EndpointRow]) -> None:
        """Abandon the commits that are in flight as a relaxed fence holds writes again.

        The target does not receive any more, so they would be acknowledged as soon as
        another replica receives them.
        """
        for endpoint in covered:
            self.timers.after(DRAIN_TIMEOUT, self.abandon_commits, endpoint)

    def relax_service(self, group: GroupRow, order: Fence) -> None:
        """Let writes run for as long as the owner of a fence renews this."""
        fences = self._fences.setdefault(group.service, {})
        known = fences.get(order.owner)
        if known is not None and known.is_unattended and known.until > self.now:
            return  # its owner was held up, and may not know what happened since
        if known is not None and not known.is_relaxed:
            relaxed = FenceEnded(group.service, order.owner, FenceEnd.RELAXED)
            self._node.publish(relaxed)
        began_at = self.now if known is None else known.began_at
        until = self.now + order.duration
        fence = _Fence(
            order.primary,
            order.target,
            until,
            began_at,
            is_relaxed=True,
            token=order.token,
        )
        fences[order.owner] = fence
        self._node.publish(FenceRelaxed(group.service, order.owner))
        self._replace_earlier(group.service, order.token)
        self._update(group)

    def _replace_earlier(self, service: str, token: int) -> None:
        """End the unattended fences of earlier claims."""
        self._newest_tokens[service] = max(self._newest_tokens.get(service, 0), token)
        fences = self._fences[service]
        for owner, fence in list(fences.items()):
            if fence.is_unattended and fence.is_of_earlier_claim(token):
                self._end(service, owner, FenceEnd.REPLACED)

    def leave_unattended(self, group: GroupRow, order: Fence, grace: float) -> None:
        """Fence a service for a pending order whose host may be gone.

        If that host is not, it renews its own fence within `grace` seconds.
        """
        until = self.now + order.duration
        fence = _Fence(order.primary, order.target, until, self.now, token=order.token)
        fence.is_unattended = True
        fence.unattended_at = self.now
        self._fences.setdefault(group.service, {})[order.owner] = fence
        self._node.publish(FenceBegan(group.service, order))
        self._hold(self._covered(group, fence), until)
        self._update(group)
        self._node.publish(FenceUnattended(group, order.owner, grace))

    def _report_silence(self, group: GroupRow, owner: str, fence: _Fence) -> None:
        """Publish that the owner of a fence has not renewed it for a while."""
        is_current = self._fences[group.service].get(owner) is fence
        if is_current and not fence.is_relaxed and self._outlasts_owner(group, fence):
            self._node.publish(FenceSilent(group, owner))

    def note_gone(self, group: GroupRow, host: str) -> None:
        """Leave the fences of a host that has ended unattended."""
        for owner, fence in list(self._fences.get(group.service, {}).items()):
            if host_of(owner) == host and self._outlasts_owner(group, fence):
                fence.is_relaxed = False
                self._prolong(group, owner, fence)
        self._update(group)

    def has_unattended(self, service: str) -> bool:
        """Return whether writes are held by a fence whose owner may be gone."""
        return any(fence.is_unattended for fence in self._in_force(service))

    def unattended_targets(self, service: str) -> dict[str, float]:
        """Return the targets of fences whose owners may be gone, each with its end."""
        fences = self._in_force(service)
        return {f.target: f.until for f in fences if f.is_unattended and f.target}

    def is_attended(self, service: str, token: int) -> bool:
        """Return whether a host keeps a fence, relaxed or not, by a claim or later."""
        return any(
            fence.token >= token and not fence.is_unattended
            for fence in self._in_force(service)
        )

    def end_unattended(self, group: GroupRow, asked_at: float) -> None:
        """End the fences whose owners may be gone, as no order of theirs is pending.

        Those that became unattended after the store was asked stay.
        """
        for owner, fence in list(self._fences.get(group.service, {}).items()):
            if fence.is_unattended and fence.unattended_at <= asked_at:
                self._end(group.service, owner, FenceEnd.UNNEEDED)
        self._update(group)

    def _hold(self, endpoints: Iterable[EndpointRow], until: float) -> None:
        for endpoint in endpoints:
            service = endpoint.entry.service
            held = self._write_holds.held(service, HoldReason.FENCE)
            is_held = any(other.name == endpoint.name for other in held)
            # Longer than the fence: it is released once no fence covers it any more.
            duration = until + LATE_ORDER_TIMEOUT - self.now
            self._write_holds.hold(endpoint, duration, HoldReason.FENCE)
            if not is_held:
                self._begin_to_abandon(endpoint)
                self._await_reply(endpoint)

    def _begin_to_abandon(self, endpoint: EndpointRow) -> None:
        """Abandon the commits that should have ended, or find out the way to them.

        That a reset arrives shows only if the endpoint has answered a moment before.
        """
        if endpoint.connections and not self._waiting_commits.is_reached(endpoint):
            self._connections.grow(endpoint, beyond_share=True)
        elif self._is_silent(endpoint):
            self.abandon_commits(endpoint)
        elif not endpoint.entry.draining:
            self.abandon_commits(endpoint, self.now - SILENCE_TIMEOUT)

    def _await_drained(
        self, endpoints: list[EndpointRow], handler: DrainedHandler
    ) -> None:
        """Call a handler once no commit is in flight at any of some endpoints."""
        if not endpoints:
            handler()
            return
        first, *others = endpoints
        self._write_holds.await_drained(
            first, lambda: self._await_drained(others, handler)
        )

    def _log_other_primary(self, group: GroupRow, order: Fence) -> None:
        """Warn of a fence while this host writes to another endpoint."""
        if group.primary not in ("", order.primary, order.target):
            self._node.log(
                "warning",
                "fence_of_another_primary",
                service=group.service,
                fenced=order.primary,
                primary=group.primary,
                owner=order.owner,
            )

    def evidence(self, group: GroupRow, order: Fence) -> FenceEvidence:
        """Return what this host knows of the logs that a fence is to protect.

        Commits count whichever endpoint acknowledged them.
        """
        primaries = {order.primary, group.primary} - {order.target}
        rows = [group.endpoints[name] for name in primaries if name in group.endpoints]
        shown = max(
            (row.position or ZERO_POSITION for row in rows), default=ZERO_POSITION
        )
        commits = [c for e in group.endpoints.values() for c in e.shown_before_commits]
        newest = tuple(sorted(commits)[-COMMITS_MAX:])
        # A former primary may acknowledge what was given up there as well.
        former = [e for e in group.endpoints.values() if e.name != order.target]
        abandoned = self._waiting_commits.abandoned(former)
        restarted_ago = self._waiting_commits.restarted_ago(rows)
        answered = self._unanswered_commits.answered_log(order.primary)
        reached_at = max((row.answered_sent_at for row in rows), default=-math.inf)
        return FenceEvidence(
            shown,
            group.must_hold,
            newest,
            abandoned,
            restarted_ago,
            answered,
            None if math.isinf(reached_at) else self.now - reached_at,
            self._waiting_commits.sent_ago(rows),
            self._lead_members.evidence(group),
        )

    def _is_silent(self, primary: EndpointRow) -> bool:
        """Return whether a statement waits for a primary that has not replied since."""
        waiting = [
            connection.pending[0].sent_at
            for connection in primary.connections.values()
            if connection.pending and not connection.holder
        ]
        if not waiting:
            return False
        since = max(min(waiting), primary.last_direct_reply_at)
        return since < self.now - SILENCE_TIMEOUT

    def has_own_fence(self, service: str) -> bool:
        """Return whether this host fences a primary of a service by itself."""
        return any(fence.target is None for fence in self._in_force(service))

    def guard_of(self, endpoint: EndpointRow) -> str | None:
        """Return the host that relaxes a fence of an endpoint, None if there is none.

        Of several, the one with the newest claim knows of the orders of all others.
        """
        fences = self._fences.get(endpoint.entry.service)
        if not fences:
            return None
        guards = [
            (fence.token, host_of(owner))
            for owner, fence in fences.items()
            if fence.guards(endpoint.name)
        ]
        return max(guards)[1] if guards else None

    def is_fenced(self, primary: EndpointRow) -> bool:
        """Return whether a primary is fenced at this host."""
        fences = self._in_force(primary.entry.service)
        is_covered = any(fence.covers(primary.name) for fence in fences)
        return is_covered and self._write_holds.is_held(primary)

    def _in_force(self, service: str) -> list[_Fence]:
        """Return the fences of a service, without those that have ended."""
        group, fences = self.tables.group(service), self._fences.get(service, {})
        for owner, fence in list(fences.items()):
            if fence.until > self.now:
                continue
            if self._outlasts_owner(group, fence):
                self._prolong(group, owner, fence)
            else:
                self._end(service, owner, FenceEnd.EXPIRED)
        return list(fences.values())

    def _prolong(self, group: GroupRow, owner: str, fence: _Fence) -> None:
        """Have a fence hold writes that its owner has not renewed in time."""
        if fence.is_relaxed:
            fence.is_relaxed = False
            fence.until = self.now + FENCE_DURATION
            order = Fence(fence.primary, FENCE_DURATION, owner, fence.target)
            self._node.publish(FenceBegan(group.service, order))
            covered = self._covered(group, fence)
            self._hold(covered, fence.until)
            self._abandon_soon(covered)
            self.timers.after(0.0, self._report_silence, group, owner, fence)
            return
        fence.is_unattended = True
        fence.unattended_at = self.now
        fence.until = self.now + LATE_ORDER_TIMEOUT
        self._hold(self._covered(group, fence), fence.until)
        self.timers.after(0.0, self._on_unattended, group, owner, fence)

    def _outlasts_owner(self, group: GroupRow, fence: _Fence) -> bool:
        """Return whether an order may be pending that a fence was to protect.

        Where the platform checks no tokens, a later order does not end an earlier one,
        so nobody could end the fence.
        """
        is_over = fence.is_unattended or fence.is_overtaken
        newest = self._newest_tokens.get(group.service, 0)
        is_replaced = fence.is_of_earlier_claim(newest)
        if is_over or is_replaced or fence.target is None:
            return False
        is_done = fence.target == group.primary
        return self.tables.promotion_fences_primary and not is_done

    def _on_unattended(self, group: GroupRow, owner: str, fence: _Fence) -> None:
        if fence.is_unattended and self._fences[group.service].get(owner) is fence:
            self._node.publish(FenceUnattended(group, owner))

    def lift(self, primary: EndpointRow, owner: str) -> None:
        """End a host's fence of a primary at this host; those of others stay."""
        self.lift_service(self.tables.group(primary.entry.service), owner)

    def lift_service(self, group: GroupRow, owner: str, token: int = 0) -> None:
        """End a host's fence of a service at this host; those of others stay.

        `token` is that of the host's claim; 0: it has none.
        """
        if owner in self._fences.get(group.service, {}):
            self._end(group.service, owner, FenceEnd.LIFTED)
        self._update(group)
        if token and token >= self._newest_tokens.get(group.service, 0):
            self._newest_tokens[group.service] = token
            self._node.publish(FenceLifted(group))

    def _end(self, service: str, owner: str, reason: FenceEnd) -> None:
        fence = self._fences[service].pop(owner)
        is_attended = not fence.is_unattended
        self._node.publish(FenceEnded(service, owner, reason, is_attended))

    def _update(self, group: GroupRow) -> None:
        """Release the writes that no fence in force covers."""
        fences = self._in_force(group.service)
        for endpoint in self._write_holds.held(group.service, HoldReason.FENCE):
            if not any(fence.covers(endpoint.name) for fence in fences):
                self._write_holds.release(endpoint, HoldReason.FENCE)
        timer = self._timers.pop(group.service, None)
        if timer is not None:
            timer.cancel()
        if fences:
            due = min(fence.until for fence in fences)
            self._timers[group.service] = self.timers.at(due, self._update, group)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Have the writes that are held wait for a first one at the successor.

        This system starts before `WriteHolds`, so this precedes their release.
        """
        group = signal.group
        if not group.primary:
            return
        fences = self._fences.get(group.service, {})
        is_fenced = any(
            name != group.primary and self.is_fenced(endpoint)
            for name, endpoint in group.endpoints.items()
        )
        if is_fenced:
            self._log_primary(group)
        # Where a promotion fences the earlier primary, nothing keeps the successor's
        # replicas from receiving at once.
        if is_fenced and not self.tables.promotion_fences_primary:
            self._stalls.await_acknowledgement(group)
        for owner, fence in list(fences.items()):
            if fence.is_ended_by(group.primary):
                self._end(group.service, owner, FenceEnd.LEAD)
        primary = group.primary_row
        ends = [
            fence.until
            for fence in self._in_force(group.service)
            if fence.covers(group.primary)
        ]
        if primary is not None and ends:
            self._hold([primary], max(ends))
            self._check_owners(group)
        self._update(group)

    def _check_owners(self, group: GroupRow) -> None:
        """End the fences of other hosts that do not hold the newest claim.

        The orders of such a host are refused by now, or are known to the host that has
        claimed since, which fences the primary as long as they are pending.
        """

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            if claim is None or not is_known:
                return
            holders = (claim.holder, self._node.identity.name)
            began_before = self.now - CLAIM_TIME
            for owner, fence in self._fences.get(group.service, {}).items():
                is_earlier = fence.began_at < began_before
                is_attended = is_earlier and not fence.is_unattended
                if host_of(owner) not in holders and is_attended:
                    fence.is_overtaken = True
                    overtaken = FenceEnded(group.service, owner, FenceEnd.OVERTAKEN)
                    self._node.publish(overtaken)
            self._update(group)

        self._claims.read_newest(group.service, on_claim)

    def _fence_if_newest(
        self, group: GroupRow, order: Fence, handler: DrainedHandler
    ) -> None:
        """Fence as ordered if the owner holds the newest claim by now.

        Otherwise the order is not confirmed, so that its owner repeats it.
        """

        def on_claim(claim: Claim | None, is_known: bool) -> None:
            if claim is not None and is_known and claim.holder == order.host:
                self._fences[group.service].pop(order.owner, None)
                self.fence_service(group, order, handler)

        self._claims.read_newest(group.service, on_claim)

    def _log_primary(self, group: GroupRow) -> None:
        """Tell which fences a new primary ends, and which ones cover it."""
        fences = self._fences[group.service]
        ended = {o: f for o, f in fences.items() if f.is_ended_by(group.primary)}
        kept = {o: f for o, f in fences.items() if o not in ended}
        self._node.log(
            "warning" if kept else "info",
            "fence_kept" if kept else "fence_ended",
            service=group.service,
            primary=group.primary,
            fenced=",".join(sorted({fence.primary for fence in fences.values()})),
            ended=self._owners_text(ended),
            kept=self._owners_text(kept),
        )

    def _owners_text(self, fences: dict[str, _Fence]) -> str:
        """Return the owners of fences, each as OWNER:SECONDS_LEFT."""
        return ",".join(
            f"{host_of(owner)}:{round(fence.until - self.now, 3)}"
            for owner, fence in sorted(fences.items())
        )

    def _await_reply(self, primary: EndpointRow) -> None:
        self.timers.after(SILENCE_TIMEOUT, self._check_reply, primary, self.now)

    def _check_reply(self, primary: EndpointRow, since: float) -> None:
        """Abandon the commits in flight at a primary that does not end them.

        One that leaves, and answers, acknowledges them yet.
        """
        if not self.is_fenced(primary):
            return
        if not primary.entry.draining or primary.last_direct_reply_at < since:
            self.abandon_commits(primary)
        self._await_reply(primary)

    def abandon_commits(
        self, primary: EndpointRow, sent_before: float = math.inf
    ) -> None:
        """Close the connections to a fenced primary with a commit in flight."""
        if not self.is_fenced(primary):
            return
        for connection in list(primary.connections.values()):
            is_overdue = (
                connection.has_commit_in_flight
                and connection.pending[0].sent_at < sent_before
            )
            if is_overdue:
                self._connections.close(connection, "its primary is being replaced")
