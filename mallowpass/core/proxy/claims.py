"""Claims: the right to replace a group's primary, kept in the store.

A claim is a lease: one row per service, written by compare-and-set on the row's
version. The token of a claim is above those of all earlier claims, and is sent with
each promotion order as the fencing token. A platform that checks fencing tokens refuses
an order whose token is older than one already seen, so a late order of a host that lost
the claim has no effect there. Each claim inherits two things from the claim before: the
log position that the next primary must hold, and the promotion orders that may still be
carried out.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.orderaccounts import (
    ACCOUNT_AGE_MAX,
    OrderAccount,
    account_key,
    account_of,
)
from mallowpass.core.proxy.pendingorders import (
    LATE_ORDER_MAX,
    LATE_ORDER_TIMEOUT,
    PendingOrders,
)
from mallowpass.core.proxy.signals import EraChanged
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    store_version,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["Claim", "Claims"]

# Seconds for which a claim keeps other hosts from claiming. A promotion takes about one
# second, and if two hosts ran promotions in turns, each would invalidate the other's
# comparison of replicas. A claim under which a promotion was ordered is not released
# earlier, as the next host would then send its orders sooner after those of this host.
CLAIM_TIMEOUT = 3.0
# Seconds for which entries of writers that were read after a claim name all of them.
# Hosts wait for `CLAIM_TIMEOUT` at most, by their own view of the store's clock.
CLAIM_VIEW_TIMEOUT = 2.5
# Seconds for which the holder of a claim may send orders under it. An order that is
# sent within this time arrives before another host can claim.
CLAIM_USE_TIMEOUT = 1.5
# Size of the token range of one era of the store. Each token of an era is above all
# tokens of earlier eras.
_TOKENS_PER_ERA = 1 << 32
# Seconds over which hosts spread their rewrites of claims after a new era has begun,
# and the number of attempts of each host.
REWRITE_DELAY_MAX = 0.5
REWRITE_ATTEMPTS_MAX = 4
_ROW_KEY = "primary"
_NO_HOLDER = "-"  # stored as the holder of a released claim


@record
class Claim:
    """Describe a claim; `time` is when it was made, in seconds of the store's clock."""

    token: int
    holder: str
    # The primary to replace; empty: none was known, or an order for it is pending.
    primary: str
    time: float
    must_hold: LogPosition = ZERO_POSITION  # that the next primary must hold
    # Targets of orders that may still be carried out, each with the time of the store's
    # clock until which its order is pending.
    ordered: tuple[tuple[str, float], ...] = ()

    @property
    def is_released(self) -> bool:
        """Return whether the claim was released."""
        return self.holder == _NO_HOLDER

    @property
    def intended_until(self) -> float:
        """Return until when an order may be pending that was not sent yet."""
        return round(self.time + CLAIM_TIMEOUT + LATE_ORDER_TIMEOUT, 3)

    def fenced_until(self, target: str) -> float:
        """Return until when hosts may not write because of an order for a target.

        An order that was sent replaces the intention to send it. A host that has not
        done so while its claim lasts has ended, or has not sent the order.
        """
        until = dict(self.ordered).get(target, 0.0)
        if until == self.intended_until:
            return self.time + CLAIM_TIMEOUT
        return until

    def rivals(self, primary: str, time: float | None) -> set[str]:
        """Return the targets that may replace a primary, by the store's time.

        An order may have been sent before the claim could tell that it was.
        """
        if time is None:
            time = self.time
        done = (primary, self.primary)
        return {t for t, until in self.ordered if until > time and t not in done}

    def confirms_primary(self, primary: str) -> bool:
        """Return whether this claim, if newest, proves `primary` to be the primary.

        The endpoint `primary` must have been primary when the claim was made, or later.
        A claim to replace `primary`, or to replace an unknown primary, proves this only
        if the claim was released: otherwise `primary` may be replaced at any moment. A
        claim to replace another endpoint concerns a predecessor or a successor of
        `primary`, and proves this only if `primary` is the only target that was ordered
        under the claim, not one that is only intended: a replaced primary may be.
        """
        if self.primary in ("", primary):
            return self.is_released
        until = dict(self.ordered)
        return until.keys() == {primary} and until[primary] != self.intended_until

    def encode(self) -> str:
        """Return the claim as it is stored."""
        position = self.must_hold.text
        text = f"{self.token} {self.holder} {self.primary} {self.time:.3f} {position}"
        orders = [f"{target}@{until:.3f}" for target, until in self.ordered]
        return f"{text} {','.join(orders)}" if orders else text

    @classmethod
    def decode(cls, text: str) -> Claim:
        """Parse a stored claim; raise ValueError if the text is malformed."""
        token, holder, primary, time, position, *orders = text.split(" ")
        if len(orders) > 1:
            raise ValueError(f"claim has more than 6 fields: {text!r}")
        ordered = tuple(map(_decode_order, orders[0].split(","))) if orders else ()
        must_hold = LogPosition.parse(position)
        made_at = _decode_time(time)
        return cls(int(token), holder, primary, made_at, must_hold, ordered)


def _decode_time(text: str) -> float:
    time = float(text)
    if not math.isfinite(time):
        raise ValueError(f"time of a claim or order is not finite: {text!r}")
    return time


def _decode_order(text: str) -> tuple[str, float]:
    target, _, until = text.rpartition("@")
    if not target:
        raise ValueError(f"promotion order has no target: {text!r}")
    return target, _decode_time(until)


# Called with the claim, or None if another host holds one or the store did not answer.
ClaimHandler = Callable[[Claim | None], None]
# Called with the newest claim or None, and with whether that is certain to be current.
NewestClaimHandler = Callable[[Claim | None, bool], None]


class Claims(ProxySystem):
    """Take, renew and release claims of this host."""

    __slots__ = (
        "_accounts",
        "_accounts_read",
        "_accounts_told",
        "_durability",
        "_holders",
        "_known",
        "_logged_orders",
        "_newest_tokens",
        "_own_tokens",
        "_pending_orders",
        "_store",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Of the newest order of this host, with the store's time of it, by service.
        self._accounts: dict[str, tuple[OrderAccount, float]] = {}
        # That was stored last, or was to be, by service.
        self._accounts_told: dict[str, OrderAccount] = {}
        self._accounts_read: dict[str, tuple[OrderAccount, float]] = {}  # by service
        # Version of the row and newest known claim, by service.
        self._known: dict[str, tuple[int, Claim | None]] = {}
        # Token and targets of the claim whose orders were logged last, by service.
        self._logged_orders: dict[str, tuple[int, frozenset[str]]] = {}
        self._own_tokens: dict[str, int] = {}  # of the newest claim that it made
        self._newest_tokens: dict[str, int] = {}  # of any claim that it has read

    def start(self) -> None:
        """Subscribe to new eras of the store, which may lack claims of earlier eras."""
        self._holders = self._node.system(Holders)
        self._node.subscribe(EraChanged, self._on_era_changed)
        self._durability = self._node.system(Durability)
        self._pending_orders = self._node.system(PendingOrders)
        self._store = self._node.system(Store)

    def take(
        self,
        service: str,
        primary: str,
        handler: ClaimHandler,
        min_age: float = 0.0,
        target: str = "",
        gone: str = "",
    ) -> None:
        """Claim the right to replace a primary, unless another host holds a claim.

        Fails as well if the newest claim, of any host, is younger than `min_age`
        seconds. An order to promote `target` may be sent under the claim without
        another call to the store, as later claims inherit it already. The claim of a
        host that is known to be `gone` does not count.
        """
        if not self._store.is_settled:
            # Hosts may not yet have stored again the orders that they sent in the
            # earlier era.
            handler(None)
            return
        version, known = self._known.get(service, (0, None))
        # Rounded as in the store, since a claim that is read back must equal this one.
        time = round(self._store.time or 0.0, 3)
        is_held = self._is_held_by_other_host(known, time, gone)
        if is_held or self._is_younger_than(known, time, min_age):
            # Several hosts wait for the same claim, so it is not read before it
            # expires.
            handler(None)
            return
        token = self._next_token(service, known)
        must_hold = self.tables.group(service).must_hold
        name = self._node.identity.name
        ordered = dict(self._orders_to_store(service))
        if primary in ordered:
            primary = ""  # its order is pending, and was not carried out by this claim
        if target:
            intended = Claim(token, name, primary, time).intended_until
            ordered[target] = max(intended, ordered.get(target, 0.0))
        orders = tuple(ordered.items())
        claim = Claim(token, name, primary, time, must_hold, orders)
        call = self._change(service, version, claim)

        def on_reply(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.CONFLICT:
                self._own_tokens[service] = token
            if reply.status is StoreStatus.CONFLICT:
                retry = partial(
                    self.take, service, primary, handler, min_age, target, gone
                )
                self._on_conflict(service, handler, reply.rows, version, retry)
            else:
                self._on_reply(service, claim, handler, reply)

        self._store.call(call, on_reply)

    def _change(self, service: str, version: int, claim: Claim) -> ChangeRows:
        """Return the call that stores a claim, with the account of a recent order.

        The account has a row of its own, as earlier versions refuse claims with more
        fields.
        """
        key = RowKey(Table.CLAIMS, service, _ROW_KEY)
        puts = [(key, claim.encode())]
        account, time = self._accounts.get(service, (None, 0.0))
        if account is not None and claim.time <= time + ACCOUNT_AGE_MAX:
            puts.append(self._account_row(service))
        return ChangeRows(((key, version),), tuple(puts))

    def _account_row(self, service: str) -> tuple[RowKey, str]:
        account, time = self._accounts[service]
        self._accounts_told[service] = account
        return account_key(service), account.encode(time)

    def note_account(self, service: str, account: OrderAccount) -> None:
        """Store an account of an order with the claim, whenever that is changed."""
        self._accounts[service] = (account, round(self._store.time or 0.0, 3))

    def store_account(self, service: str, account: OrderAccount) -> None:
        """Store an account of an order that is sent, unless the one stored tells it.

        One that was stored ahead tells no proof, and the claim is not written again
        before others read it.
        """
        self.note_account(service, account)
        told = self._accounts_told.get(service)
        if told is None or not told.is_like(account):
            call = ChangeRows(puts=(self._account_row(service),))
            self._store.call(call, lambda reply: None)

    def account_read(self, service: str) -> tuple[OrderAccount | None, float]:
        """Return the account that was read last, and its age; None if not of late."""
        account, time = self._accounts_read.get(service, (None, 0.0))
        age = (self._store.time or 0.0) - time
        return (account if age <= ACCOUNT_AGE_MAX else None), age

    def _note_account_read(self, service: str, rows: tuple[Row, ...]) -> None:
        """Record the account among the rows of a service, if it is readable."""
        self._accounts_read.pop(service, None)
        for row in rows:
            with suppress(ValueError):
                read = account_of(row)
                if read is not None:
                    self._accounts_read[service] = read

    def _next_token(self, service: str, known: Claim | None) -> int:
        """Return a token above the tokens of all claims, also of earlier eras.

        A store that was restored from a backup may have lost the newest claims, under
        which orders were sent, and another writer may have deleted them.
        """
        newest = 0 if known is None else known.token
        newest = max(newest, self._newest_tokens.get(service, 0))
        return max(newest, self._store.era * _TOKENS_PER_ERA) + 1

    def is_held(self, claim: Claim) -> bool:
        """Return whether another host may still act on its claim."""
        return self._is_held_by_other_host(claim, self._store.time or 0.0)

    def is_of_current_era(self, claim: Claim) -> bool:
        """Return whether the store can't have lost a claim by a restore."""
        return claim.token > self._store.era * _TOKENS_PER_ERA

    def age_of_newest(self, service: str) -> float:
        """Return the seconds since the newest known claim was made."""
        known = self._known.get(service, (0, None))[1]
        return math.inf if known is None else self.age(known)

    def version_of_newest(self, service: str) -> int:
        """Return the version of the store with which the newest known claim came."""
        return self._known.get(service, (0, None))[0]

    def read_newest(self, service: str, handler: NewestClaimHandler) -> None:
        """Read the newest claim; the handler gets it, and whether it is current."""

        def on_claim(claim: Claim | None, is_read: bool) -> None:
            handler(claim, is_read and self._is_known_newest(claim))

        self.read(service, on_claim)

    def read(self, service: str, handler: NewestClaimHandler) -> None:
        """Read the claim in the store, of whichever era; tell whether it was read."""

        def on_rows(reply: StoreReply) -> None:
            self._note_account_read(service, reply.rows)
            texts = [row.value for row in reply.rows if row.key.key == _ROW_KEY]
            try:
                claim = Claim.decode(str(texts[0])) if texts else None
            except ValueError:
                handler(None, False)
                return
            handler(claim, reply.status is StoreStatus.DONE)

        self._store.call(ListRows(Table.CLAIMS, service), on_rows)

    def is_fresh(self, claim: Claim) -> bool:
        """Return whether this host may still act on its claim."""
        is_young = (self._store.time or 0.0) - claim.time < CLAIM_USE_TIMEOUT
        return is_young and self.is_of_current_era(claim)

    def names_order(self, service: str, claim: Claim, target: str) -> bool:
        """Return whether later claims know of an order that is sent now.

        They treat it as pending for at least as long as it may be carried out.
        """
        if self._known.get(service, (0, None))[1] != claim:
            return False
        until = dict(claim.ordered).get(target, 0.0)
        is_long_enough = until >= (self._store.time or 0.0) + LATE_ORDER_MAX
        return is_long_enough and self.is_of_current_era(claim)

    def is_view_outdated(self, claim: Claim) -> bool:
        """Return whether hosts that were unknown after a claim may write by now."""
        return self.age(claim) >= CLAIM_VIEW_TIMEOUT

    def age(self, claim: Claim) -> float:
        """Return the seconds since a claim was made."""
        return (self._store.time or 0.0) - claim.time

    def raise_must_hold(
        self,
        service: str,
        claim: Claim,
        position: LogPosition,
        handler: ClaimHandler,
    ) -> None:
        """Store that the next primary must hold a position, and the pending orders.

        Later claims inherit both. The handler gets the renewed claim, or None if
        another host has claimed since or the store does not answer.
        """
        group = self.tables.group(service)
        self._durability.raise_must_hold(group, position)
        renewed = replace(
            claim, must_hold=group.must_hold, ordered=self._orders_to_store(service)
        )
        self._renew(service, claim, renewed, handler)

    def prolong(self, service: str, claim: Claim, handler: ClaimHandler) -> None:
        """Keep other hosts from claiming for longer, before a claim expires.

        The handler gets the renewed claim, or None as in `raise_must_hold`.
        """
        time = self._store.time or claim.time
        ordered = self._orders_to_store(service)
        renewed = replace(claim, time=time, ordered=ordered)
        self._renew(service, claim, renewed, handler)

    def _renew(
        self, service: str, claim: Claim, renewed: Claim, handler: ClaimHandler
    ) -> None:
        version, known = self._known.get(service, (0, None))
        if known != claim:
            handler(None)
            return
        call = self._change(service, version, renewed)

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known[service] = (reply.version, renewed)
                handler(renewed)
            elif reply.status is StoreStatus.UNKNOWN:
                self._verify_written(service, renewed, handler)
            else:
                self._record(service, reply.rows)
                self._log(service, renewed, f"renewal failed: {reply.status.value}")
                handler(None)

        self._store.call(call, on_reply)

    def release(self, service: str, claim: Claim) -> None:
        """Let other hosts claim at once.

        The token stays: the next claim gets a higher one, and the platform accepts no
        lower one.
        """
        ordered = self._orders_to_store(service)
        released = replace(claim, holder=_NO_HOLDER, ordered=ordered)
        self._replace(service, claim, released, "release")

    def release_unneeded(self, service: str, claim: Claim, primary: str) -> None:
        """Let other hosts claim at once, as a primary leads and has not to be replaced.

        The claim names it, as one that names none would confirm each former primary.
        While an order is pending, the claim only withdraws the target that it names.
        """
        if self._orders_to_store(service):
            self.withdraw_target(service, claim)
            return
        released = replace(claim, holder=_NO_HOLDER, primary=primary, ordered=())
        self._replace(service, claim, released, "release")

    def withdraw_target(self, service: str, claim: Claim) -> None:
        """Tell other hosts that no order was sent, and keep them from claiming."""
        ordered = self._orders_to_store(service)
        if ordered != claim.ordered:
            withdrawn = replace(claim, ordered=ordered)
            self._replace(service, claim, withdrawn, "target withdrawn")

    def withdraw_void_orders(self, service: str) -> None:
        """Tell other hosts that orders in this host's claim are not pending any more.

        They were carried out, or the platform refuses them by now.
        """
        claim = self._known.get(service, (0, None))[1]
        if claim is not None and claim.holder == self._node.identity.name:
            self.withdraw_target(service, claim)

    def _replace(self, service: str, claim: Claim, by: Claim, what: str) -> None:
        """Replace this host's claim, if it is the newest one."""
        version, known = self._known.get(service, (0, None))
        if known != claim:
            return
        call = self._change(service, version, by)

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known[service] = (reply.version, by)
            self._log(service, by, f"{what}: {reply.status.value}")

        self._store.call(call, on_reply)

    # -- New eras of the store -----------------------------------------------

    def _is_known_newest(self, claim: Claim | None) -> bool:
        """Return whether the store cannot have lost a claim newer than `claim`."""
        if claim is not None and self.is_of_current_era(claim):
            return True
        return not self._store.has_been_restored

    def _on_era_changed(self, signal: EraChanged) -> None:
        self._known.clear()
        for service in self.tables.groups:
            if self._holders.holds(service) and self._must_rewrite(service):
                delay = self._store.jitter(REWRITE_DELAY_MAX)
                self.timers.after(
                    delay, self._begin_rewrite, service, REWRITE_ATTEMPTS_MAX
                )

    def _must_rewrite(self, service: str) -> bool:
        """Return whether this host has to write a claim in the new era.

        A claim is needed if orders are pending, which the store may have lost. A claim
        is also needed if promotions do not fence the earlier primary: hosts then take
        the absence of a newer claim as proof that a primary was not replaced, and that
        absence is certain only once the newest claim is of the current era.
        """
        has_orders = bool(self._pending_orders.pending(service))
        return has_orders or not self.tables.promotion_fences_primary

    def _begin_rewrite(self, service: str, attempts: int) -> None:
        """Read the stored claim, then write what the store lacks of it."""
        if attempts == 0 or not self._must_rewrite(service):
            return

        def on_rows(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known.pop(service, None)
                self._record(service, reply.rows)
                self._rewrite(service, attempts)
            else:
                delay = self._store.jitter(REWRITE_DELAY_MAX)
                self.timers.after(delay, self._begin_rewrite, service, attempts - 1)

        self._store.call(ListRows(Table.CLAIMS, service), on_rows)

    def _rewrite(self, service: str, attempts: int) -> None:
        version, known = self._known.get(service, (0, None))
        rewritten = self._claim_to_rewrite(service, known)
        if rewritten == known:
            return
        call = self._change(service, version, rewritten)

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known[service] = (reply.version, rewritten)
                self._log(service, rewritten, "rewritten in a new era")
            else:
                self._begin_rewrite(service, attempts - 1)

        self._store.call(call, on_reply)

    def _claim_to_rewrite(self, service: str, known: Claim | None) -> Claim:
        """Return a claim of the current era with all that this host knows."""
        must_hold = self.tables.group(service).must_hold
        ordered = self._orders_to_store(service)
        if known is not None and self.is_of_current_era(known):
            targets = {target for target, _ in ordered}
            if targets <= {target for target, _ in known.ordered}:
                return known
            return replace(known, must_hold=must_hold, ordered=ordered)
        primary = "" if known is None else known.primary
        if primary in dict(ordered):
            primary = ""  # see `take`
        token = self._next_token(service, known)
        time = round(self._store.time or 0.0, 3)
        return Claim(token, _NO_HOLDER, primary, time, must_hold, ordered)

    def _is_held_by_other_host(
        self, claim: Claim | None, time: float, gone: str = ""
    ) -> bool:
        if claim is None or claim.holder in (self._node.identity.name, _NO_HOLDER):
            return False
        if claim.holder == gone:
            return False
        return time - claim.time < CLAIM_TIMEOUT

    @staticmethod
    def _is_younger_than(claim: Claim | None, time: float, min_age: float) -> bool:
        return claim is not None and time - claim.time < min_age

    def _on_reply(
        self,
        service: str,
        claim: Claim,
        handler: ClaimHandler,
        reply: StoreReply,
    ) -> None:
        if reply.status is StoreStatus.DONE:
            self._known[service] = (reply.version, claim)
            self._newest_tokens[service] = claim.token
            self._log(service, claim, "taken")
            handler(claim)
        elif reply.status is StoreStatus.UNKNOWN:
            self._verify_written(service, claim, handler)
        else:
            self._log(service, claim, reply.message)
            handler(None)

    def _on_conflict(
        self,
        service: str,
        handler: ClaimHandler,
        rows: tuple[Row, ...],
        expected: int,
        retry: Callable[[], None],
    ) -> None:
        """Try again, unless nothing newer is known than the version that was expected.

        A renewal by this host may have been under way.
        """
        self._record(service, rows)
        version, known = self._known.get(service, (0, None))
        self._log(service, known, "changed meanwhile")
        if version == expected:
            handler(None)
            return
        retry()

    def _verify_written(
        self, service: str, claim: Claim, handler: ClaimHandler
    ) -> None:
        """Find out whether a claim was stored although the store's reply was lost."""

        def on_rows(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                handler(None)
                return
            self._record(service, reply.rows)
            known = self._known.get(service, (0, None))[1]
            handler(claim if known == claim else None)

        self._store.call(ListRows(Table.CLAIMS, service), on_rows)

    def _record(self, service: str, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.key.key != _ROW_KEY:
                continue
            is_deleted = store_version(row.version) == 0
            if row.version < self._known.get(service, (0, None))[0] and not is_deleted:
                continue  # an answer that a newer one has overtaken
            if not isinstance(row.value, str):
                self._known[service] = (0, None)
                continue
            claim = self._decode(row)
            self._known[service] = (row.version, claim)
            newest = self._newest_tokens.get(service, 0)
            self._newest_tokens[service] = max(newest, claim.token)
            self._durability.raise_must_hold(
                self.tables.group(service), claim.must_hold
            )
            self._record_orders(service, claim)

    def _orders_to_store(self, service: str) -> tuple[tuple[str, float], ...]:
        """Return the pending orders, as they will be stored."""
        offset = (self._store.time or 0.0) - self.now
        pending = self._pending_orders.pending(service).items()
        return tuple((target, round(until + offset, 3)) for target, until in pending)

    def _record_orders(self, service: str, claim: Claim) -> None:
        """Record the orders of a claim, except those that were carried out.

        An order was carried out if its target is the group's primary, or the primary
        that the claim replaces. A claim without a primary may name an order for the
        present one.
        """
        group = self.tables.group(service)
        offset = (self._store.time or 0.0) - self.now
        carried_out = (claim.primary, group.primary) if claim.primary else ()
        is_own = claim.token == self._own_tokens.get(service)
        is_own = is_own and claim.holder == self._node.identity.name
        ordered = {t: until for t, until in claim.ordered if t not in carried_out}
        # Where this host intends an order, the claim no longer tells until when earlier
        # ones for the same target are pending.
        intended = {
            t
            for t, until in ordered.items()
            if is_own and until == claim.intended_until
        }
        orders = {
            t: until - offset for t, until in ordered.items() if t not in intended
        }
        self._pending_orders.note_foreign_orders(
            service, orders, claim.token, unchanged=intended
        )
        if claim.holder != self._node.identity.name:
            self._log_foreign_orders(service, claim)

    def _log_foreign_orders(self, service: str, claim: Claim) -> None:
        """Log the pending orders that another host has stored, once for each claim."""
        logged = (claim.token, frozenset(target for target, _ in claim.ordered))
        if self._logged_orders.get(service) == logged:
            return
        self._logged_orders[service] = logged
        now = self._store.time or 0.0
        pending = [(t, round(until - now, 3)) for t, until in claim.ordered]
        orders = ",".join(f"{t}:{left}" for t, left in pending if left > 0.0)
        if orders:
            self._node.log(
                "warning",
                "foreign_order",
                service=service,
                holder=claim.holder,
                token=claim.token,
                claim_age=round(self.age(claim), 3),
                primary=claim.primary,
                pending=orders,
            )

    def _decode(self, row: Row) -> Claim:
        """Parse a stored claim; a malformed one counts as released.

        If it were skipped, its version would not be known, and each later claim would
        be refused. Versions of the store grow with each change, so the version is at
        least as high as any token that the malformed claim held.
        """
        try:
            return Claim.decode(row.value)
        except ValueError:
            self._node.log("error", "claim_unreadable", value=row.value)
            return Claim(row.version, _NO_HOLDER, "", 0.0)

    def _log(self, service: str, claim: Claim | None, what: str) -> None:
        self._node.log(
            "info",
            "claim",
            service=service,
            what=what,
            holder=claim.holder if claim else "",
            token=claim.token if claim else 0,
            primary=claim.primary if claim else "",
            must_hold=claim.must_hold.text if claim else "",
        )
