"""Session tokens: the floors of a session, which its caller sends with each request.

Hosts do not share sessions, so only the token follows a session from host to host. The
token is signed, as a forged floor could make the session miss its own writes.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from hashlib import blake2b

import cbor2

from mallowpass.core.calls import LogPosition
from mallowpass.errors import AuthenticationError, ErrorCode

__all__ = ["TOKEN_LENGTH_MAX", "decode_token", "encode_token"]

TOKEN_LENGTH_MAX = 16 * 1024

_VERSION = b"\x01"
_SIGNATURE_LENGTH = 16
_KEY_LENGTH_MAX = 64
_PURPOSE = b"mallowpass-token"


def encode_token(key: bytes, floors: Mapping[str, LogPosition]) -> bytes:
    """Return the signed token of floors, which are given by database key."""
    body = _VERSION + cbor2.dumps(
        [[name, floor.term, floor.position] for name, floor in floors.items()]
    )
    return _signature(key, body) + body


def decode_token(key: bytes, token: bytes) -> dict[str, LogPosition]:
    """Return the floors of a token.

    Raises AuthenticationError if the token was not signed with the fleet's key.
    """
    signature = token[:_SIGNATURE_LENGTH]
    body = token[_SIGNATURE_LENGTH:]
    if len(token) > TOKEN_LENGTH_MAX or body[:1] != _VERSION:
        raise _invalid(token)
    if not hmac.compare_digest(signature, _signature(key, body)):
        raise _invalid(token)
    entries = cbor2.loads(body[1:])
    return {name: LogPosition(term, position) for name, term, position in entries}


def _signature(key: bytes, body: bytes) -> bytes:
    return blake2b(
        body,
        key=key[:_KEY_LENGTH_MAX],
        digest_size=_SIGNATURE_LENGTH,
        person=_PURPOSE,
    ).digest()


def _invalid(token: bytes) -> AuthenticationError:
    return AuthenticationError(
        ErrorCode.SESSION_TOKEN_INVALID, token=token[:32].hex(), length=len(token)
    )
