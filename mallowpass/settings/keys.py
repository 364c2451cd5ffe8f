"""Read secret keys from where the settings say they are."""

from __future__ import annotations

import hashlib
import hmac
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from mallowpass.errors import ErrorCode, MallowpassError

from . import kinds
from .kinds import Section

if TYPE_CHECKING:
    from .findings import KeyPath
    from .host import FleetSection, OperatorSection
    from .reader import Checker

__all__ = ["KeySource", "OperatorKeys", "load_fleet_key", "load_operator_keys"]

KEY_LENGTH_MIN = 16


@dataclass(frozen=True, slots=True)
class KeySource(Section):
    """Say where a key is: in a file or in an environment variable."""

    key_file: str = kinds.text(default="")
    key_environment: str = kinds.text(
        r"[A-Za-z_][A-Za-z0-9_]*", "the name of an environment variable", default=""
    )

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Find a key that is given nowhere or twice."""
        _check_one_of(checker, path, self, ("key_file", "key_environment"))


class OperatorKeys:
    """Tell operators by their keys without keeping any key."""

    __slots__ = ("_digests",)

    def __init__(self, digests: Mapping[str, bytes]) -> None:
        self._digests = dict(digests)

    def operator_of(self, key: bytes) -> str | None:
        """Return the operator's name, or None for a key that nobody has.

        Every digest is compared in constant time: a comparison that stopped early
        would tell a caller by its duration how much of a guessed key was right.
        """
        digest = hashlib.sha256(key).digest()
        found = None
        for operator, known in self._digests.items():
            if hmac.compare_digest(digest, known):
                found = operator
        return found


def load_fleet_key(
    fleet: FleetSection, environ: Mapping[str, str] = os.environ
) -> bytes:
    """Return the key that hosts sign peers' messages and session tokens with."""
    return _load(fleet, environ)


def load_operator_keys(
    operators: tuple[OperatorSection, ...], environ: Mapping[str, str] = os.environ
) -> OperatorKeys:
    """Return the operators' keys, kept as digests only."""
    return OperatorKeys({op.name: _digest(op, environ) for op in operators})


def _digest(operator: OperatorSection, environ: Mapping[str, str]) -> bytes:
    if operator.key_sha256:
        return bytes.fromhex(operator.key_sha256)
    return hashlib.sha256(_load(operator, environ)).digest()


def _load(source: KeySource, environ: Mapping[str, str]) -> bytes:
    place = source.key_file or source.key_environment
    try:
        key = _read(source, environ).strip()
    except (OSError, KeyError) as error:
        raise MallowpassError(ErrorCode.KEY_UNREADABLE, place=place) from error
    # A key cut short or left empty would let anybody guess it.
    if len(key) < KEY_LENGTH_MIN:
        raise MallowpassError(
            ErrorCode.KEY_UNREADABLE, place=place, length=len(key), least=KEY_LENGTH_MIN
        )
    return key


def _read(source: KeySource, environ: Mapping[str, str]) -> bytes:
    if source.key_file:
        return Path(source.key_file).read_bytes()
    return environ[source.key_environment].encode()


def _check_one_of(
    checker: Checker, path: KeyPath, section: Section, keys: tuple[str, ...]
) -> None:
    given = [key for key in keys if getattr(section, key)]
    if len(given) != 1:
        message = f"needs exactly one of {', '.join(keys)}, not {len(given)}"
        code = ErrorCode.INVALID_VALUE if given else ErrorCode.MISSING_KEY
        checker.add(code, path, message)
