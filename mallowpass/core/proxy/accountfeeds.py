"""Accounts of promotion orders, which relays pass on to the hosts that follow them.

Each call to the store is charged, and a call to a relay is not, see `relays`. So of the
hosts that had nothing at a replaced primary, the relays alone read the account of its
order. Their followers ask them for all accounts that they know of late, once for each
change. A relay of an earlier version refuses that.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress

from mallowpass.core.node import Node
from mallowpass.core.proxy.effects import AnswerFeed
from mallowpass.core.proxy.events import FeedAsked
from mallowpass.core.proxy.feeds import WAIT_MAX, Feeds
from mallowpass.core.proxy.orderaccounts import (
    ACCOUNT_AGE_MAX,
    OrderAccount,
    account_key,
    account_of,
)
from mallowpass.core.proxy.relays import Relays
from mallowpass.core.proxy.storage import (
    Row,
    StoreReply,
    StoreStatus,
    Table,
    WatchRows,
)
from mallowpass.core.proxy.store import CALL_TIMEOUT, Store
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.timers import Timer

__all__ = ["AccountFeeds"]

# Called with accounts by service; empty if the relay did not answer.
AccountsHandler = Callable[[Mapping[str, OrderAccount]], None]


class AccountFeeds(ProxySystem):
    """Ask a relay for the accounts that it knows, and answer followers that ask."""

    __slots__ = ("_accounts", "_feeds", "_is_reading", "_relays", "_store", "_waiting")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # With the time of the order, by service.
        self._accounts: dict[str, tuple[OrderAccount, float]] = {}
        self._is_reading = False
        # Calls of followers that wait until what is being read is known.
        self._waiting: dict[int, Timer] = {}

    def start(self) -> None:
        """Begin to answer followers."""
        self._feeds = self._node.system(Feeds)
        self._relays = self._node.system(Relays)
        self._store = self._node.system(Store)
        self._feeds.delegate(Table.CLAIMS, self._on_asked)

    @property
    def has_relay(self) -> bool:
        """Return whether this host asks relays, and not the store."""
        return self._relays.has_relays

    def ask(self, handler: AccountsHandler) -> None:
        """Ask a relay for the accounts of recent orders."""
        relay = self._relays.choose()
        if relay is None:
            handler({})
            return
        wait = CALL_TIMEOUT / 2

        def on_reply(reply: StoreReply) -> None:
            handler(_accounts(reply))

        call = WatchRows(Table.CLAIMS, 0, wait)
        self._store.ask_relay(relay, call, on_reply, CALL_TIMEOUT)

    # -- Followers of this host ----------------------------------------------

    def note(self, service: str, account: OrderAccount, ordered_at: float) -> None:
        """Keep the account of an order, to tell it to followers."""
        if account.encode(0.0).isprintable():
            self._accounts[service] = (account, ordered_at)

    def note_reading(self, is_reading: bool) -> None:
        """Have followers wait while accounts are being read."""
        self._is_reading = is_reading
        if not is_reading:
            waiting, self._waiting = self._waiting, {}
            for number, timer in waiting.items():
                timer.cancel()
                self._answer(number)

    def _on_asked(self, event: FeedAsked) -> None:
        if not self._is_reading:
            self._answer(event.feed)
            return
        wait = min(WAIT_MAX, max(0.0, event.wait))
        timer = self.timers.after(wait, self._on_wait_ended, event.feed)
        self._waiting[event.feed] = timer

    def _on_wait_ended(self, number: int) -> None:
        del self._waiting[number]
        self._answer(number)

    def _answer(self, number: int) -> None:
        earliest = self.now - ACCOUNT_AGE_MAX
        offset = (self._store.time or 0.0) - self.now
        rows = [
            Row(account_key(service), 1, account.encode(ordered_at + offset))
            for service, (account, ordered_at) in self._accounts.items()
            if ordered_at >= earliest
        ]
        reply = StoreReply(StoreStatus.DONE, tuple(rows))
        self._node.emit(AnswerFeed(number, reply))


def _accounts(reply: StoreReply) -> dict[str, OrderAccount]:
    """Return the accounts of a reply that are readable, by service."""
    accounts = {}
    for row in reply.rows:
        with suppress(ValueError):
            account = account_of(row)
            if account is not None:
                accounts[row.key.part] = account[0]
    return accounts
