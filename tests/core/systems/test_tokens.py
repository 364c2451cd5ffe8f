"""Session tokens: decoding returns the encoded floors, or refuses the token."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.calls import LogPosition
from mallowpass.core.systems.tokens import decode_token, encode_token
from mallowpass.errors import AuthenticationError

KEY = b"the fleet's key"
POSITIONS = st.builds(LogPosition, st.integers(0, 2**63 - 1), st.integers(0, 2**63 - 1))
FLOORS = st.dictionaries(st.text(max_size=20), POSITIONS, max_size=5)


@given(FLOORS)
def test_decoded_token_has_the_encoded_floors(floors):
    assert decode_token(KEY, encode_token(KEY, floors)) == floors


@given(FLOORS, st.data())
def test_changed_token_is_refused(floors, data):
    """A session reads from a replica that lacks the session's own writes.

    A caller, or a fault in transit, lowers a floor in the token. Only the token
    states what the session must see on any host.
    """
    token = bytearray(encode_token(KEY, floors))
    index = data.draw(st.integers(0, len(token) - 1))
    token[index] ^= data.draw(st.integers(1, 255))
    with pytest.raises(AuthenticationError):
        decode_token(KEY, bytes(token))


@given(st.binary(max_size=100))
def test_random_bytes_are_refused(token):
    with pytest.raises(AuthenticationError):
        decode_token(KEY, token)


def test_token_of_another_fleet_is_refused():
    with pytest.raises(AuthenticationError):
        decode_token(KEY, encode_token(b"another key", {}))
