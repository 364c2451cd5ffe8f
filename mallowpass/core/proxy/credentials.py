"""Credentials of callers: digests of their keys, which are known at the edge only."""

from __future__ import annotations

import hashlib

__all__ = ["NO_CREDENTIAL", "credential_of"]

# Half of the digest: as unlikely to be met twice as a random UUID.
DIGEST_LENGTH = 16  # bytes

NO_CREDENTIAL = ""  # of a caller that shows no key


def credential_of(key: str) -> str:
    """Return the credential that a key stands for; it does not tell the key."""
    if not key:
        return NO_CREDENTIAL
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.sha256(data).hexdigest()[: 2 * DIGEST_LENGTH]
