"""What the host that ordered a promotion tells all others, in one short line.

That host may be gone, and its log with it. So what it knew goes to the holders with the
fence that each order renews, and to the other hosts with the claim.
"""

from __future__ import annotations

import re

from mallowpass.core.messages import Signal
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.statements import Fence
from mallowpass.core.proxy.storage import Row, RowKey, Table
from mallowpass.core.records import record

__all__ = [
    "ACCOUNT_AGE_MAX",
    "ACCOUNT_MAX",
    "NOT_FENCED",
    "PROOF_END",
    "WAITED",
    "AccountLearnt",
    "OrderAccount",
    "account_key",
    "account_of",
    "fence_account",
]

ACCOUNT_MAX = 200  # characters of the text
PROOF_END = "; "  # after the first part of the text, by which the order went out
NOT_FENCED = "not fenced"  # the proof of an order that replaces a primary that serves
WAITED = "waited "  # in the part that tells what ended the waits, after that
# Seconds after an order for which its account is stored, and told to others.
ACCOUNT_AGE_MAX = 30.0
_UNKNOWN = "-"
_ROW_KEY = "account"
_AGE = re.compile(r"[0-9.]+ s\b")


@record
class OrderAccount:
    """What a host knew as it ordered a promotion."""

    owner: str  # the host that ordered, and its run
    token: int
    primary: str  # that is replaced; empty: none was known
    target: str
    compared: LogPosition | None  # of the target; None: not known
    text: str

    @property
    def proof(self) -> str:
        """Return why the primary could be replaced, and what became of its fence."""
        return self.text.partition(PROOF_END)[0]

    @property
    def wait(self) -> str:
        """Return what ended the waits of an order, and how long they were."""
        parts = self.text.split(PROOF_END)
        return next((part for part in parts if WAITED in part), "")

    @property
    def is_fenced(self) -> bool:
        """Return whether hosts were told to write nothing to the replaced primary."""
        return not self.proof.startswith(NOT_FENCED)

    def is_for(self, primary: str, replaced: str) -> bool:
        """Return whether the order may have caused a change of primary."""
        return self.target == primary and self.primary in ("", replaced)

    def is_like(self, other: OrderAccount) -> bool:
        """Return whether another account is of the same order, and tells its proof.

        Ages in it don't count.
        """
        if (self.owner, self.token) != (other.owner, other.token):
            return False
        is_same = (self.primary, self.target) == (other.primary, other.target)
        return is_same and self._ageless_proof == other._ageless_proof

    @property
    def _ageless_proof(self) -> tuple[str, str]:
        return _AGE.sub("", self.proof), _AGE.sub("", self.wait)

    @property
    def rest(self) -> str:
        """Return the text without the proof."""
        return self.text.partition(PROOF_END)[2]

    @property
    def summary(self) -> str:
        """Return the part that a fence carries, whose other fields tell the rest."""
        compared = _UNKNOWN if self.compared is None else self.compared.text
        return f"{compared} {_printable(self.text)}"

    def encode(self, time: float) -> str:
        """Return the account as it is stored, with the store's time of the order."""
        primary = self.primary or _UNKNOWN
        fields = f"{self.token} {self.owner} {primary} {self.target} {time:.3f}"
        return f"{fields} {self.summary}"

    @classmethod
    def decode(cls, text: str) -> tuple[OrderAccount, float]:
        """Parse a stored account and its time; raise ValueError if it is malformed."""
        token, owner, primary, target, time, summary = text.split(" ", 5)
        primary = "" if primary == _UNKNOWN else primary
        compared, text = _split_summary(summary)
        return cls(owner, int(token), primary, target, compared, text), float(time)


@record
class AccountLearnt(Signal):
    """This host has come to know on what the order of a change of primary rested."""

    service: str
    account: OrderAccount


def account_key(service: str) -> RowKey:
    """Return the key of the row that has the account of a service's newest order."""
    return RowKey(Table.CLAIMS, service, _ROW_KEY)


def account_of(row: Row) -> tuple[OrderAccount, float] | None:
    """Return the account in a row, and its time; None if the row is for another use.

    Raise ValueError if it is malformed.
    """
    if row.key.key != _ROW_KEY or not isinstance(row.value, str):
        return None
    return OrderAccount.decode(row.value)


def fence_account(fence: Fence) -> OrderAccount | None:
    """Return the account that a fence carries; None if it has none that is readable."""
    try:
        compared, text = _split_summary(fence.account)
    except ValueError:
        return None
    target = fence.target or ""
    return OrderAccount(fence.owner, fence.token, fence.primary, target, compared, text)


def _split_summary(summary: str) -> tuple[LogPosition | None, str]:
    position, _, text = summary.partition(" ")
    if not text:
        raise ValueError(f"account has no text: {summary[:40]!r}")
    compared = None if position == _UNKNOWN else LogPosition.parse(position)
    return compared, text[:ACCOUNT_MAX]


def _printable(text: str) -> str:
    """Return a text that ends no line, of the greatest length or less."""
    cut = text[:ACCOUNT_MAX]
    return "".join(c if c.isascii() and c.isprintable() else "?" for c in cut)
