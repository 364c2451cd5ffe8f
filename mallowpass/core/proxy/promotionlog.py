"""One line at each host for each promotion: who ordered it, and what was at stake here.

The host that ordered a promotion may be gone, and its log with it. Each host that knows
the service tells what it knows, holder or not: the fence that it was told of, or the
newest claim, and its own commits at the primary that was replaced.

Each call to the store is charged. A claim is read by a host that had commits at the
replaced primary and no fence until its target led, once for each change, and calls of
many hosts are spread. The others log the change at once, and tell of the order when
they know it: relays read it, and their followers ask these, see `accountfeeds`. Nothing
here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from zlib import crc32

from mallowpass.core.node import Node
from mallowpass.core.proxy.abandonmentlog import AbandonmentLog
from mallowpass.core.proxy.accountfeeds import AccountFeeds
from mallowpass.core.proxy.bypasslog import BypassLog
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.doubtfulcommits import (
    LINES_MAX,
    CommitsAtChange,
    DoubtfulCommits,
)
from mallowpass.core.proxy.fencelog import FenceLog, LoggedFence
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.logfields import present_fields
from mallowpass.core.proxy.orderaccounts import (
    AccountLearnt,
    OrderAccount,
    fence_account,
)
from mallowpass.core.proxy.recentcommits import RecentCommits
from mallowpass.core.proxy.signals import (
    FenceEnd,
    FenceEnded,
    PrimaryChanged,
    WriteAcknowledged,
)
from mallowpass.core.proxy.statements import Fence, host_of
from mallowpass.core.proxy.store import CALL_TIMEOUT, Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["PromotionLog"]

# Times are in seconds.
# Without a fence, commits acknowledged this long before a change of primary count.
RECENT_COMMITS_AGE = 5.0
CHANGES_MAX = 16  # changes of primary that are kept for each service
# Hosts read a claim within this time after a change, or longer in a large fleet.
READ_SPREAD_MIN = 0.3
READ_RATE_MAX = 100.0  # reads a second of all hosts because of one change
READS_MAX = 4  # claims that one host reads at once
READ_GRACE = 0.5  # after the timeout of a call; the line is logged without a reply
# Hosts ask a relay this long after a change, so that it may begin to read before.
RELAY_DELAY = 0.5
RELAY_RETRY_DELAY = 1.0
RELAY_ATTEMPTS_MAX = 2  # of one change; a relay may have ended with the primary
# Seconds after a change, until what is known of the order is told once more.
ACCOUNT_DELAY = 3.0
CLAIM_AGE_MAX = 30.0  # an order may be carried out this long after its claim was made
_NO_ORDER = {"known_by": "none", "ordered_by": "", "token": 0, "order": ""}


@record
class _InFlight:
    """What was open to a primary, and not answered by it, as it ceased to be one."""

    primary: str
    endpoint: EndpointRow | None  # None: this host has not known its entry
    ceased_at: float
    connections: int  # of this host itself
    is_bypassing: bool  # this host writes directly, and is no holder
    direct: int  # commits on connections of this host, also for other hosts
    forwarded: int  # commits by way of holders

    @property
    def is_empty(self) -> bool:
        """Return whether no commit was in flight."""
        return self.direct + self.forwarded == 0


@dataclass(slots=True, eq=False)
class _Line:
    """A line that waits for the newest claim."""

    group: GroupRow
    changed_at: float
    primary: str
    replaced: str
    fence: LoggedFence | None  # the newest one here
    is_repeated: bool  # what is told of the order is told once more
    commits: CommitsAtChange | None  # that this host had sent; None: none
    stake: dict[str, Any]  # what is lost if the promotion was too early
    fields: dict[str, Any]
    is_logged: bool = False
    is_read: bool = False  # the claim, with or without an answer
    attempts: int = 0  # to learn of the order from a relay
    account: OrderAccount | None = None  # None: not known so far
    is_repeat_due: bool = False

    @property
    def is_told(self) -> bool:
        """Return whether the newest fence here was for the change."""
        return self.fence is not None and self.fence.is_for(self.primary)

    def is_told_by(self, owner: str) -> bool:
        """Return whether that fence was of one host, and not of another attempt."""
        return self.is_told and self.fence.order.owner == owner


class PromotionLog(ProxySystem):
    """Log each change of a group's primary once, at every host."""

    __slots__ = (
        "_abandonment_log",
        "_account_feeds",
        "_bypass_log",
        "_changes",
        "_claims",
        "_commits",
        "_doubtful_commits",
        "_fence_log",
        "_holders",
        "_in_flight",
        "_primaries",
        "_reads",
        "_rows",
        "_store",
        "_unexplained",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._primaries: dict[str, str] = {}  # last known ones, by service
        self._rows: dict[str, EndpointRow | None] = {}  # of those, by service
        # Terms known at the last line, by service, replaced primary and successor.
        self._changes: dict[str, dict[tuple[str, str], int]] = {}
        # By service and endpoint.
        self._commits: dict[str, dict[str, RecentCommits]] = {}
        # By service, while no primary is known.
        self._in_flight: dict[str, _InFlight] = {}
        self._reads = 0  # claims that are being read, or will be
        self._unexplained: list[_Line] = []  # that wait for the reply of a relay

    def start(self) -> None:
        """Subscribe to commits, the ends of fences and changes of primaries.

        This system starts after `Fencing`, so it knows which fences a change ends.
        """
        self._abandonment_log = self._node.system(AbandonmentLog)
        self._account_feeds = self._node.system(AccountFeeds)
        self._bypass_log = self._node.system(BypassLog)
        self._claims = self._node.system(Claims)
        self._doubtful_commits = self._node.system(DoubtfulCommits)
        self._fence_log = self._node.system(FenceLog)
        self._holders = self._node.system(Holders)
        self._store = self._node.system(Store)
        subscribe = self._node.subscribe
        subscribe(FenceEnded, self._on_fence_ended)
        subscribe(PrimaryChanged, self._on_primary_changed)
        subscribe(WriteAcknowledged, self._on_acknowledged)

    # -- Commits -------------------------------------------------------------

    def _on_acknowledged(self, signal: WriteAcknowledged) -> None:
        if signal.endpoint is None:
            return
        by_endpoint = self._commits.setdefault(signal.group.service, {})
        commits = by_endpoint.get(signal.endpoint.name)
        if commits is None:
            commits = by_endpoint[signal.endpoint.name] = RecentCommits()
        commits.add(self.now, signal.position)

    def _on_fence_ended(self, signal: FenceEnded) -> None:
        for commits in self._commits.get(signal.service, {}).values():
            commits.split()

    def _count_in_flight(self, group: GroupRow, primary: str) -> _InFlight:
        endpoint = group.endpoints.get(primary, self._rows.get(group.service))
        connections = [] if endpoint is None else endpoint.connections.values()
        direct = sum(c.unanswered_commits for c in connections if not c.holder)
        forwarded = sum(c.unanswered_commits for c in connections if c.holder)
        return _InFlight(
            primary,
            endpoint,
            self.now,
            sum(not connection.holder for connection in connections),
            self._bypass_log.is_bypassing(group.service),
            direct,
            forwarded,
        )

    # -- Replaced primaries --------------------------------------------------

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        group = signal.group
        replaced = self._primaries.get(group.service, "")
        if not group.primary:
            if replaced:
                in_flight = self._count_in_flight(group, replaced)
                self._in_flight.setdefault(group.service, in_flight)
            return
        in_flight = self._in_flight.pop(group.service, None)
        if group.primary == replaced:
            return
        self._primaries[group.service] = group.primary
        if replaced and self._is_new(group, replaced):
            if in_flight is None:
                in_flight = self._count_in_flight(group, replaced)
            self._tell(group, in_flight)
        self._rows[group.service] = group.primary_row
        self._commits.pop(group.service, None)

    def _is_new(self, group: GroupRow, replaced: str) -> bool:
        """Return whether a change is not one that this host had taken back."""
        changes = self._changes.setdefault(group.service, {})
        key = (replaced, group.primary)
        is_new = changes.pop(key, None) != group.term
        changes[key] = group.term
        if len(changes) > CHANGES_MAX:
            del changes[next(iter(changes))]
        return is_new

    def _tell(self, group: GroupRow, in_flight: _InFlight) -> None:
        """Log a change, at once or as soon as the claim is read.

        Of several fences, it tells of the one that was renewed last.
        """
        replaced = in_flight.primary
        fences = self._fence_log.covering(group.service, replaced)
        fence = fences[-1] if fences else None
        commits = self._commits.get(group.service, {}).get(replaced, RecentCommits())
        total = commits.total
        sent_at = self._bypass_log.last_sent_at(group.service, replaced)
        stake = {
            "abandoned": self._abandonment_log.recent(replaced),
            "direct": in_flight.connections,
            "bypassing": in_flight.is_bypassing,
            "in_flight_direct": in_flight.direct,
            "in_flight_forwarded": in_flight.forwarded,
            "acknowledged": commits.since(self._unfenced_since(fence)).commits,
            "holder": self._holders.holds(group.service),
        }
        fields = {
            **self._fence_fields(fence),
            "fences": len(fences),
            "bypassed_ago": self._age(sent_at),
            "unknown_for": self._age(in_flight.ceased_at),
            "newest": "" if total.position is None else total.position.text,
            "newest_ago": self._age(total.last_at),
        }
        had_commits = total.last_at >= self.now - RECENT_COMMITS_AGE
        may_have_lost = bool(stake["abandoned"]) or not in_flight.is_empty
        has_stake = had_commits or may_have_lost
        is_told = fence is not None and fence.is_for(group.primary)
        if is_told and not fence.order.account:
            # Renewals of a fence wait for the commits in flight, which may be lost.
            is_told = not may_have_lost
        line = _Line(
            group,
            self.now,
            group.primary,
            replaced,
            fence,
            has_stake or in_flight.connections > 0,
            self._doubtful_commits.note_change(
                in_flight.endpoint, group.primary, in_flight.ceased_at, fences
            ),
            stake,
            fields,
        )
        if is_told or not (has_stake and self._can_read):
            self._log(line, "no")
        if line.account is None:
            self._learn(line)

    def _fence_fields(self, fence: LoggedFence | None) -> dict[str, Any]:
        if fence is None:
            fence = LoggedFence(Fence("", 0.0, ""), -math.inf, -math.inf)
        return {
            "fenced_by": fence.order.owner,
            "fence_target": fence.order.target or "",
            "fenced_ago": self._age(fence.began_at),
            "renewed_ago": self._age(fence.renewed_at),
            "fence_ended": "none" if fence.end is None else fence.end.value,
            "fence_ended_ago": self._age(fence.ended_at),
            "relaxed_ago": self._age(fence.relaxed_at),
        }

    def _unfenced_since(self, fence: LoggedFence | None) -> float:
        if fence is None:
            return self.now - RECENT_COMMITS_AGE
        return math.inf if fence.end in (None, FenceEnd.LEAD) else fence.ended_at

    def _age(self, time: float) -> float | str:
        return "never" if math.isinf(time) else round(self.now - time, 3)

    # -- Claims --------------------------------------------------------------

    @property
    def _can_read(self) -> bool:
        return self._reads < READS_MAX and self._store.failing_since is None

    def _learn(self, line: _Line) -> None:
        """Find out on what an order rested: at a relay, if the change was logged."""
        if line.is_logged and self._account_feeds.has_relay:
            self._await_relay(line, RELAY_DELAY)
        elif self._can_read and not line.is_read:
            self._count_reads(1)
            self.timers.after(self._read_delay(line.group), self._read_claim, line)

    def _count_reads(self, more: int) -> None:
        self._reads += more
        self._account_feeds.note_reading(self._reads > 0)

    def _read_delay(self, group: GroupRow) -> float:
        """Return this host's share of the time over which hosts spread their reads.

        It draws no random number, as a log line must not change what is drawn later.
        """
        spread = max(READ_SPREAD_MIN, len(self.tables.hosts) / READ_RATE_MAX)
        key = f"{self._node.identity.name} {group.service} {group.term}"
        return spread * crc32(key.encode()) / (1 << 32)

    def _read_claim(self, line: _Line) -> None:
        def on_claim(claim: Claim | None, is_current: bool) -> None:
            self._end_read(line, claim, is_current)

        self.timers.after(CALL_TIMEOUT + READ_GRACE, self._end_read, line, None, False)
        self._claims.read_newest(line.group.service, on_claim)

    def _end_read(self, line: _Line, claim: Claim | None, is_current: bool) -> None:
        if line.is_read:
            return
        line.is_read = True
        asked = "answered" if claim is not None or is_current else "unanswered"
        if line.is_told or not (claim and self._may_have_ordered(claim, line)):
            claim = None
        if line.is_logged:
            self._explain(line, *self._account(line, asked))
        else:
            self._log(line, asked, claim)
        self._count_reads(-1)
        if asked == "unanswered" and self._account_feeds.has_relay:
            self._await_relay(line, RELAY_DELAY)

    # -- Relays --------------------------------------------------------------

    def _await_relay(self, line: _Line, delay: float) -> None:
        """Ask a relay later on, once for all changes until then."""
        if line.attempts >= RELAY_ATTEMPTS_MAX:
            return
        line.attempts += 1
        self._unexplained.append(line)
        if len(self._unexplained) == 1:
            delay += self._read_delay(line.group)
            self.timers.after(delay, self._ask_relay)

    def _ask_relay(self) -> None:
        lines, self._unexplained = self._unexplained, []

        def on_accounts(accounts: Mapping[str, OrderAccount]) -> None:
            for line in lines:
                account = accounts.get(line.group.service)
                if account is not None and account.is_for(line.primary, line.replaced):
                    self._explain(line, account, line.changed_at)
                else:
                    self._await_relay(line, RELAY_RETRY_DELAY)

        self._account_feeds.ask(on_accounts)

    def _may_have_ordered(self, claim: Claim, line: _Line) -> bool:
        """Return whether a change may be due to an order under a claim.

        The order may be gone from the claim, as it was carried out.
        """
        if line.primary in dict(claim.ordered):
            return True
        is_young = self._claims.age(claim) <= CLAIM_AGE_MAX
        return is_young and claim.primary in ("", line.replaced)

    def _log(self, line: _Line, asked: str, claim: Claim | None = None) -> None:
        """Log a change with what tells of its order: a claim, or else a fence.

        What decides comes first, as the end of a line may be cut off.
        """
        line.is_logged = True
        account, ordered_at = self._account(line, asked)
        self._note_account(line, account, ordered_at)
        if claim is not None:
            order = self._claim_fields(claim)
            if account is not None:
                order["ordered_by"] = order["ordered_by"] or account.owner
        elif account is not None and not line.is_told_by(account.owner):
            order = _account_fields(account)
        elif line.fence is not None:
            order = _order_fields(line.fence.order)
        else:
            order = _NO_ORDER
        fields = {
            "version": self.tables.version,
            "ordered_by": order["ordered_by"],
            "proof": "" if account is None else account.proof,
            **line.stake,
            "account": "" if account is None else account.rest,
            "after": self._age(line.changed_at),
            "asked": asked,
            **order,
            "ordered_ago": round(line.changed_at - ordered_at, 3),
            **line.fields,
        }
        self._node.log(
            "warning",
            "primary_replaced",
            service=line.group.service,
            primary=line.primary,
            replaced=line.replaced,
            **present_fields(fields),
        )
        self._log_commits(line, LINES_MAX)
        if self._is_at_stake(line) or (account is not None and line.is_repeated):
            self._repeat_later(line)

    @staticmethod
    def _is_at_stake(line: _Line) -> bool:
        """Return whether commits of this host may be lost."""
        compared = None if line.account is None else line.account.compared
        return line.commits is not None and line.commits.is_at_stake(compared)

    def _log_commits(self, line: _Line, lines_max: int) -> None:
        if line.commits is not None:
            compared = None if line.account is None else line.account.compared
            self._doubtful_commits.log(line.commits, compared, lines_max)

    def _note_account(
        self, line: _Line, account: OrderAccount | None, ordered_at: float
    ) -> None:
        """Keep on what an order rested, also for the followers of this host."""
        line.account = account
        if account is not None:
            self._account_feeds.note(line.group.service, account, ordered_at)
            self._node.publish(AccountLearnt(line.group.service, account))

    def _explain(
        self, line: _Line, account: OrderAccount | None, ordered_at: float
    ) -> None:
        """Tell on what an order rested, as the change was logged without that."""
        self._note_account(line, account, ordered_at)
        if account is not None:
            self._repeat_later(line)

    def _repeat_later(self, line: _Line) -> None:
        if not line.is_repeat_due:
            line.is_repeat_due = True
            at = max(line.changed_at + ACCOUNT_DELAY, self.now)
            self.timers.at(at, self._repeat, line)

    def _repeat(self, line: _Line) -> None:
        """Tell once more what may be lost and why, after what the change brought."""
        line.is_repeat_due = False
        if line.account is not None:
            self._log_account(line, line.account)
        self._log_commits(line, 1)

    def _log_account(self, line: _Line, account: OrderAccount) -> None:
        self._node.log(
            "warning",
            "promotion_account",
            service=line.group.service,
            account=account.text,
            primary=line.primary,
            ordered_by=host_of(account.owner),
            replaced=line.replaced,
            token=account.token,
        )

    def _account(self, line: _Line, asked: str) -> tuple[OrderAccount | None, float]:
        """Return what is known of the order, and when it was sent; none is as now."""
        account = None
        if line.is_told:
            account = fence_account(line.fence.order)
            ordered_at = line.fence.ordered_at
        if account is None and asked == "answered":
            account, age = self._claims.account_read(line.group.service)
            ordered_at = self.now - age
        if account is None or not account.is_for(line.primary, line.replaced):
            return None, line.changed_at
        return account, ordered_at

    def _claim_fields(self, claim: Claim) -> dict[str, Any]:
        age = self._claims.age(claim)
        orders = [(t, round(until - claim.time - age, 3)) for t, until in claim.ordered]
        return {
            "known_by": "claim",
            "ordered_by": "" if claim.is_released else claim.holder,
            "token": claim.token,
            "order": ",".join(f"{target}:{left}" for target, left in orders),
            "claim_age": round(age, 3),
        }


def _account_fields(account: OrderAccount) -> dict[str, Any]:
    """Return the fields of an order that no claim names any more."""
    return {
        "known_by": "claim",
        "ordered_by": account.owner,
        "token": account.token,
        "order": account.target,
    }


def _order_fields(fence: Fence) -> dict[str, Any]:
    return {
        "known_by": "fence",
        "ordered_by": fence.owner,
        "token": fence.token,
        "order": fence.target or "",
    }
