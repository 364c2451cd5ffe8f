"""Tests of the CBOR encoding of services and peer messages."""

from __future__ import annotations

import dataclasses

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core import peering
from mallowpass.core.codec import (
    decode_message,
    decode_service,
    encode_message,
    encode_service,
)
from mallowpass.core.peering import Heartbeat, ServiceNotice
from mallowpass.core.services import ServiceVersion
from mallowpass.errors import ErrorCode, MallowpassError
from tests.fakes.controlpath import make_service

HEARTBEAT = Heartbeat("casa-0", 7, 12, b"12345678", True, b"87654321")
VERSION = ServiceVersion("claims-core", 3, make_service(), "c3", "amina")


def test_decoded_service_equals_the_encoded_one():
    assert decode_service(encode_service(VERSION)) == VERSION
    deleted = dataclasses.replace(VERSION, service=None)
    assert decode_service(encode_service(deleted)) == deleted


@given(st.data())
def test_every_decoded_message_equals_the_encoded_one(data):
    names = [name for name in peering.__all__ if name != "PeerMessage"]
    name = data.draw(st.sampled_from(names))
    message = data.draw(st.from_type(getattr(peering, name)))
    assert decode_message(encode_message(message)) == message


def test_fields_of_a_newer_version_are_ignored():
    """An older host drops the heartbeats of newer hosts during an upgrade.

    A newer host adds a field to Heartbeat, and the older host's decoder takes the
    unknown field for an error.
    """
    parts = cbor2.loads(encode_message(HEARTBEAT))
    assert decode_message(cbor2.dumps([*parts, "new", {"more": 1}])) == HEARTBEAT


def test_fields_that_an_older_version_lacks_get_their_defaults():
    parts = cbor2.loads(encode_message(HEARTBEAT))
    older = decode_message(cbor2.dumps(parts[:-2]))
    assert older == dataclasses.replace(HEARTBEAT, draining=False, hosts=b"")


@pytest.mark.parametrize("head", [[1, "Invented", 3], [2, "Heartbeat", "x"]])
def test_unknown_kinds_and_formats_are_none(head):
    assert decode_message(cbor2.dumps(head)) is None


def test_values_of_wrong_types_raise_malformed_message():
    """A host crashes, or takes True for an incarnation number.

    The fields of a message do not have their declared types, and the decoded values
    are stored in the tables unchecked.
    """
    parts = cbor2.loads(encode_message(HEARTBEAT))
    notice = cbor2.loads(encode_message(ServiceNotice(VERSION)))
    malformed: list[object] = [
        [*parts[:3], True, *parts[4:]],
        [*parts[:3], "7", *parts[4:]],
        parts[:4],
        [*notice[:2], {"name": "x"}],
        [*notice[:2], ["x", 1, [["name"]]]],
        {},
        [],
    ]
    for value in malformed:
        with pytest.raises(MallowpassError) as caught:
            decode_message(cbor2.dumps(value))
        assert caught.value.error_code is ErrorCode.MALFORMED_MESSAGE


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message_raise_malformed_message(data):
    for decode in (decode_message, decode_service):
        try:
            decode(data)
        except MallowpassError as error:
            assert error.error_code is ErrorCode.MALFORMED_MESSAGE
