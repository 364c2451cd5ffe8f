"""Credentials of callers: digests of their keys.

The keys themselves are known only where callers connect.
"""

from __future__ import annotations

import hashlib

__all__ = ["NO_CREDENTIAL", "credential_of"]

# Half of the SHA-256 digest: collisions are as unlikely as those of random UUIDs.
DIGEST_LENGTH = 16  # bytes

NO_CREDENTIAL = ""  # of a caller that presents no key


def credential_of(key: str) -> str:
    """Return the credential of a key, from which the key can't be derived."""
    if not key:
        return NO_CREDENTIAL
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.sha256(data).hexdigest()[: 2 * DIGEST_LENGTH]
