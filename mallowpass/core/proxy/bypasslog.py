"""Lines of hosts that write to endpoints directly though they are no holders.

Holders alone are told of a fence. Another host writes on connections of its own while
it is cut off from the holders, or for a moment after it has ceased to be one.

Nothing here decides anything, and no statement is sent for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.lognames import names_text
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.signals import CallsSent, HoldersBypassed
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.tables import ProxySystem

__all__ = ["BypassLog"]

# Times are in seconds.
LOG_INTERVAL = 10.0  # between two lines of one service that tell of a beginning
CHECK_INTERVAL = 0.25  # for the end of a bypass


@dataclass(slots=True, eq=False)
class _Bypass:
    """What this host sent directly for a service of which it is no holder."""

    connected_at: float = float("-inf")  # as it began to connect directly
    began_at: float = float("-inf")  # with the first commit
    logged_at: float = float("-inf")  # the newest line of a beginning
    is_active: bool = False
    is_logged: bool = False
    commits: int = 0  # since the last line of an end
    unlogged: int = 0  # that ended since then, and that no line tells of
    endpoint: str = ""  # to which the newest commit was sent
    sent_at: float = float("-inf")  # the newest commit


class BypassLog(ProxySystem):
    """Log the beginning and the end of writes that bypass the holders of a service."""

    __slots__ = ("_bypasses", "_holders", "_shares", "_store")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._bypasses: dict[str, _Bypass] = {}  # by service

    def start(self) -> None:
        """Subscribe to direct connections and to calls that are sent."""
        self._holders = self._node.system(Holders)
        self._shares = self._node.system(Shares)
        self._store = self._node.system(Store)
        self._node.subscribe(CallsSent, self._on_sent)
        self._node.subscribe(HoldersBypassed, self._on_holders_bypassed)

    # -- Queries -------------------------------------------------------------

    def is_bypassing(self, service: str) -> bool:
        """Return whether this host writes directly though it is no holder."""
        bypass = self._bypasses.get(service)
        return bypass is not None and bypass.is_active

    def last_sent_at(self, service: str, endpoint: str) -> float:
        """Return when a commit was last sent to an endpoint directly, by no holder."""
        bypass = self._bypasses.get(service)
        if bypass is None or bypass.endpoint != endpoint:
            return float("-inf")
        return bypass.sent_at

    # -- Beginning and end ---------------------------------------------------

    def _on_holders_bypassed(self, signal: HoldersBypassed) -> None:
        service = signal.endpoint.entry.service
        bypass = self._bypasses.setdefault(service, _Bypass())
        if not bypass.is_active:
            bypass.connected_at = self.now

    def _on_sent(self, signal: CallsSent) -> None:
        connection = signal.connection
        batch = connection.pending[-1]
        if connection.holder or not batch.commits:
            return
        service = connection.endpoint.entry.service
        if self._holders.holds(service):
            return
        bypass = self._bypasses.setdefault(service, _Bypass())
        bypass.commits += max(1, len(batch.writes))
        bypass.endpoint = connection.endpoint.name
        bypass.sent_at = self.now
        if not bypass.is_active:
            self._begin(service, bypass)

    def _begin(self, service: str, bypass: _Bypass) -> None:
        bypass.is_active = True
        bypass.began_at = self.now
        self._node.count("holders_bypassed", service=service)
        self._log_beginning(service, bypass)
        self.timers.after(CHECK_INTERVAL, self._check, service, bypass)

    def _check(self, service: str, bypass: _Bypass) -> None:
        """Log the end of a bypass, or a beginning that no line tells of yet."""
        if not self._is_over(service):
            self._log_beginning(service, bypass)
            self.timers.after(CHECK_INTERVAL, self._check, service, bypass)
            return
        bypass.is_active = False
        if not bypass.is_logged:
            bypass.unlogged += 1
            return
        self._log_end(service, bypass)
        bypass.is_logged = False
        bypass.commits = bypass.unlogged = 0

    def _is_over(self, service: str) -> bool:
        endpoints = self.tables.group(service).endpoints.values()
        return not any(map(self._shares.bypasses_holders, endpoints))

    # -- Lines ---------------------------------------------------------------

    def _log_beginning(self, service: str, bypass: _Bypass) -> None:
        if bypass.is_logged or self.now < bypass.logged_at + LOG_INTERVAL:
            return
        bypass.is_logged = True
        bypass.logged_at = self.now
        silent = self._holders.unanswering_holders(service)
        self._node.log(
            "warning",
            "holders_bypassed",
            service=service,
            endpoint=bypass.endpoint,
            began_ago=self._age(bypass.began_at),
            connected_ago=self._age(bypass.connected_at),
            holders=self._holders.holder_count(service),
            silent=len(silent),
            silent_holders=names_text(silent),
            store_reply_ago=self._age(self._store.last_reply_at),
            unlogged=bypass.unlogged,
        )

    def _log_end(self, service: str, bypass: _Bypass) -> None:
        self._node.log(
            "warning",
            "holders_bypass_ended",
            service=service,
            endpoint=bypass.endpoint,
            holder=self._holders.holds(service),
            lasted=self._age(bypass.began_at),
            commits=bypass.commits,
            last_commit_ago=self._age(bypass.sent_at),
            store_reply_ago=self._age(self._store.last_reply_at),
            unlogged=bypass.unlogged,
        )

    def _age(self, time: float) -> float | str:
        return "never" if time == float("-inf") else round(self.now - time, 3)
