"""Claims: the right to replace a group's primary, kept in the store.

A claim is one row for each service, changed only under the condition that nobody else
changed it. Its token grows by one each time, and goes with each order as the fencing
token: the platform refuses orders of whoever was overtaken, also late ones. Each claim
takes over from the one before how far the group's commits may be acknowledged, and
which orders may still be carried out.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

from mallowpass.core.node import Node
from mallowpass.core.positions import ZERO_POSITION, LogPosition
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.signals import EraChanged
from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
)
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["Claim", "Claims"]

# A claim of another host is respected for so long: a promotion takes a second or so,
# and two hosts that promote by turns would each undo what the other compared. One that
# ordered a promotion is not given back sooner, so that orders of two hosts never come
# closer to each other.
CLAIM_TIME = 3.0  # seconds
# For how long its holder goes by a claim: what it sends then still arrives before
# another host may have one.
FRESH_TIME = 1.5  # seconds
# Tokens of one era of the store: those of a later one are above all of earlier ones.
_TOKENS_OF_ERA = 1 << 32
# Seconds over which hosts spread what they write again in a new era, and how often
# each tries.
RESTATE_TIME = 0.5
RESTATE_TRIES = 4
_KEY = "primary"
_NOBODY = "-"  # has the claim: it was given back


@record
class Claim:
    """Hold a claim; `time` is the store's clock in seconds when it was made."""

    token: int
    holder: str
    primary: str  # that is to be replaced; empty: none is known
    time: float
    must_hold: LogPosition = ZERO_POSITION  # that whoever leads must hold
    # Targets of orders that may still be carried out, and until when by that clock.
    ordered: tuple[tuple[str, float], ...] = ()

    @property
    def is_free(self) -> bool:
        """Tell whether it was given back."""
        return self.holder == _NOBODY

    def confirms_lead_of(self, primary: str) -> bool:
        """Tell whether a primary that led when this was made, or since, still leads.

        That is so as long as this is the newest claim. One that names another primary
        was made to replace it, or its successor: only if it ordered just this one is it
        the claim by which this one came to lead.
        """
        if self.primary in ("", primary):
            return self.is_free
        return {target for target, _ in self.ordered} == {primary}

    def encode(self) -> str:
        """Return the text that the store keeps."""
        position = self.must_hold.text
        text = f"{self.token} {self.holder} {self.primary} {self.time:.3f} {position}"
        orders = [f"{target}@{until:.3f}" for target, until in self.ordered]
        return f"{text} {','.join(orders)}" if orders else text

    @classmethod
    def decode(cls, text: str) -> Claim:
        """Read what the store keeps; ValueError if it is no claim."""
        token, holder, primary, time, position, *orders = text.split(" ")
        if len(orders) > 1:
            raise ValueError(f"too many fields: {text!r}")
        ordered = tuple(map(_decode_order, orders[0].split(","))) if orders else ()
        must_hold = LogPosition.parse(position)
        made_at = _decode_time(time)
        return cls(int(token), holder, primary, made_at, must_hold, ordered)


def _decode_time(text: str) -> float:
    time = float(text)
    if not math.isfinite(time):
        raise ValueError(f"no time: {text!r}")
    return time


def _decode_order(text: str) -> tuple[str, float]:
    target, _, until = text.rpartition("@")
    if not target:
        raise ValueError(f"an order without a target: {text!r}")
    return target, _decode_time(until)


# Called with the claim, None when another host has one or the store did not answer.
ClaimHandler = Callable[[Claim | None], None]
# Called with the newest claim, None if there is none, and with whether that is known.
LookHandler = Callable[[Claim | None, bool], None]


class Claims(ProxySystem):
    """Take claims."""

    __slots__ = ("_durability", "_holders", "_known", "_pending_orders", "_store")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._known: dict[str, tuple[int, Claim | None]] = {}  # version, by service

    def start(self) -> None:
        """Subscribe to eras of the store: claims of an earlier one may be gone."""
        self._holders = self._node.system(Holders)
        self._node.subscribe(EraChanged, self._on_era)
        self._durability = self._node.system(Durability)
        self._pending_orders = self._node.system(PendingOrders)
        self._store = self._node.system(Store)

    def take(
        self, service: str, primary: str, handler: ClaimHandler, quiet: float = 0.0
    ) -> None:
        """Claim the right to replace a primary, unless another host just did.

        With `quiet`, not if anybody did so within as many seconds.
        """
        if not self._store.is_settled:
            # Whoever gave an order before has yet to write that again.
            handler(None)
            return
        version, known = self._known.get(service, (0, None))
        # As the store will keep it: a claim that is read back is compared with this.
        time = round(self._store.time or 0.0, 3)
        if self._is_others(known, time) or self._is_recent(known, time, quiet):
            # Not asked for again before it is old: it is what several hosts wait for.
            handler(None)
            return
        token = self._token_after(known)
        must_hold = self.tables.group(service).must_hold
        name = self._node.identity.name
        ordered = self._ordered(service)
        claim = Claim(token, name, primary, time, must_hold, ordered)
        key = RowKey(Table.CLAIMS, service, _KEY)
        call = ChangeRows(((key, version),), ((key, claim.encode()),))

        def on_reply(reply: StoreReply) -> None:
            self._on_reply(service, claim, handler, reply, quiet)

        self._store.call(call, on_reply)

    def _token_after(self, known: Claim | None) -> int:
        """Return a token above all that hosts have claimed, also in earlier eras.

        A store that came back from a copy may have lost the newest claims, by which
        orders were given.
        """
        newest = 0 if known is None else known.token
        return max(newest, self._store.era * _TOKENS_OF_ERA) + 1

    def _is_of_era(self, claim: Claim) -> bool:
        return claim.token > self._store.era * _TOKENS_OF_ERA

    def read_newest(self, service: str, handler: LookHandler) -> None:
        """Read the newest claim; the handler learns whether it could be read."""

        def on_rows(reply: StoreReply) -> None:
            texts = [row.value for row in reply.rows if row.key.key == _KEY]
            try:
                claim = Claim.decode(str(texts[0])) if texts else None
            except ValueError:
                handler(None, False)
                return
            handler(claim, reply.status is StoreStatus.DONE and self._is_whole(claim))

        self._store.call(ListRows(Table.CLAIMS, service), on_rows)

    def is_fresh(self, claim: Claim) -> bool:
        """Tell whether this host may still act on its claim."""
        is_young = (self._store.time or 0.0) - claim.time < FRESH_TIME
        return is_young and self._is_of_era(claim)

    def demand(
        self,
        service: str,
        claim: Claim,
        position: LogPosition,
        handler: ClaimHandler,
    ) -> None:
        """Have all later claims know that whoever leads must hold a position.

        They know the orders that stand as well. The handler gets the claim as it is
        then; None if another host has overtaken it, or the store does not answer.
        """
        group = self.tables.group(service)
        self._durability.raise_must_hold(group, position)
        renewed = replace(
            claim, must_hold=group.must_hold, ordered=self._ordered(service)
        )
        version, known = self._known.get(service, (0, None))
        if known != claim:
            handler(None)
            return
        key = RowKey(Table.CLAIMS, service, _KEY)
        call = ChangeRows(((key, version),), ((key, renewed.encode()),))

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known[service] = (reply.version, renewed)
                handler(renewed)
            elif reply.status is StoreStatus.UNKNOWN:
                self._read_back(service, renewed, handler)
            else:
                self._learn(service, reply.rows)
                self._log(service, renewed, f"not renewed: {reply.status.value}")
                handler(None)

        self._store.call(call, on_reply)

    def release(self, service: str, claim: Claim) -> None:
        """Let others claim at once; the token stays, and none below it is accepted."""
        version, known = self._known.get(service, (0, None))
        if known != claim:
            return
        released = replace(claim, holder=_NOBODY)
        key = RowKey(Table.CLAIMS, service, _KEY)
        call = ChangeRows(((key, version),), ((key, released.encode()),))

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known[service] = (reply.version, released)
            self._log(service, released, f"released: {reply.status.value}")

        self._store.call(call, on_reply)

    # -- New eras of the store -----------------------------------------------

    def _is_whole(self, claim: Claim | None) -> bool:
        """Tell whether no newer claim may be lost than the one that was read."""
        if claim is not None and self._is_of_era(claim):
            return True
        return not self._store.has_been_restored

    def _on_era(self, signal: EraChanged) -> None:
        self._known.clear()
        for service in self.tables.groups:
            if self._holders.holds(service) and self._has_to_restate(service):
                pause = self._store.jitter(RESTATE_TIME)
                self.timers.after(pause, self._restate, service, RESTATE_TRIES)

    def _has_to_restate(self, service: str) -> bool:
        """Tell whether this host goes by more than the store may know.

        Where the platform does not take the lead from primaries, that nobody claimed
        one is a proof: it has to be known again that claims of this era are whole.
        """
        has_orders = bool(self._pending_orders.pending(service))
        return has_orders or not self.tables.promotion_fences_primary

    def _restate(self, service: str, tries: int) -> None:
        """Write again what stands, unless the store knows it."""
        if tries == 0 or not self._has_to_restate(service):
            return

        def on_rows(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known.pop(service, None)
                self._learn(service, reply.rows)
                self._write_again(service, tries)
            else:
                pause = self._store.jitter(RESTATE_TIME)
                self.timers.after(pause, self._restate, service, tries - 1)

        self._store.call(ListRows(Table.CLAIMS, service), on_rows)

    def _write_again(self, service: str, tries: int) -> None:
        version, known = self._known.get(service, (0, None))
        restated = self._restated(service, known)
        if restated == known:
            return
        key = RowKey(Table.CLAIMS, service, _KEY)
        call = ChangeRows(((key, version),), ((key, restated.encode()),))

        def on_reply(reply: StoreReply) -> None:
            if reply.status is StoreStatus.DONE:
                self._known[service] = (reply.version, restated)
                self._log(service, restated, "written again")
            else:
                self._restate(service, tries - 1)

        self._store.call(call, on_reply)

    def _restated(self, service: str, known: Claim | None) -> Claim:
        """Return a claim of this era that tells all that this host knows."""
        must_hold = self.tables.group(service).must_hold
        ordered = self._ordered(service)
        if known is not None and self._is_of_era(known):
            targets = {target for target, _ in ordered}
            if targets <= {target for target, _ in known.ordered}:
                return known
            return replace(known, must_hold=must_hold, ordered=ordered)
        primary = "" if known is None else known.primary
        token = self._token_after(known)
        time = round(self._store.time or 0.0, 3)
        return Claim(token, _NOBODY, primary, time, must_hold, ordered)

    def _is_others(self, claim: Claim | None, time: float) -> bool:
        if claim is None or claim.holder in (self._node.identity.name, _NOBODY):
            return False
        return time - claim.time < CLAIM_TIME

    @staticmethod
    def _is_recent(claim: Claim | None, time: float, quiet: float) -> bool:
        return claim is not None and time - claim.time < quiet

    def _on_reply(
        self,
        service: str,
        claim: Claim,
        handler: ClaimHandler,
        reply: StoreReply,
        quiet: float,
    ) -> None:
        if reply.status is StoreStatus.DONE:
            self._known[service] = (reply.version, claim)
            self._log(service, claim, "taken")
            handler(claim)
        elif reply.status is StoreStatus.CONFLICT:
            self._on_conflict(service, claim, handler, reply.rows, quiet)
        elif reply.status is StoreStatus.UNKNOWN:
            self._read_back(service, claim, handler)
        else:
            self._log(service, claim, reply.message)
            handler(None)

    def _on_conflict(
        self,
        service: str,
        claim: Claim,
        handler: ClaimHandler,
        rows: tuple[Row, ...],
        quiet: float,
    ) -> None:
        before = self._known.get(service)
        self._learn(service, rows)
        self._log(service, self._known.get(service, (0, None))[1], "it was taken")
        if self._known.get(service) == before:
            handler(None)
            return
        self.take(service, claim.primary, handler, quiet)

    def _read_back(self, service: str, claim: Claim, handler: ClaimHandler) -> None:
        """Learn whether a claim whose answer was lost is ours."""

        def on_rows(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                handler(None)
                return
            self._learn(service, reply.rows)
            known = self._known.get(service, (0, None))[1]
            handler(claim if known == claim else None)

        self._store.call(ListRows(Table.CLAIMS, service), on_rows)

    def _learn(self, service: str, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.key.key != _KEY:
                continue
            if not isinstance(row.value, str):
                self._known[service] = (0, None)
                continue
            claim = self._decode(row)
            self._known[service] = (row.version, claim)
            self._durability.raise_must_hold(
                self.tables.group(service), claim.must_hold
            )
            self._learn_orders(service, claim)

    def _ordered(self, service: str) -> tuple[tuple[str, float], ...]:
        """Return the orders that stand, as the store will keep them."""
        ahead = (self._store.time or 0.0) - self.now
        standing = self._pending_orders.pending(service).items()
        return tuple((target, round(until + ahead, 3)) for target, until in standing)

    def _learn_orders(self, service: str, claim: Claim) -> None:
        """Note orders of others; one whose target leads, or led, was carried out."""
        group = self.tables.group(service)
        ahead = (self._store.time or 0.0) - self.now
        for target, until in claim.ordered:
            if target not in (claim.primary, group.primary):
                self._pending_orders.learn(service, target, until - ahead)

    def _decode(self, row: Row) -> Claim:
        """Read a claim; one of another form counts as given back.

        Skipped, it would have each claim after it refused. Versions of the store grow
        with each change, so no token that it may have held is above its own.
        """
        try:
            return Claim.decode(row.value)
        except ValueError:
            self._node.log("error", "claim_unreadable", value=row.value)
            return Claim(row.version, _NOBODY, "", 0.0)

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
