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

BEAT = Heartbeat("casa-0", 7, 12, b"12345678", True, b"87654321")
VERSION = ServiceVersion("claims-core", 3, make_service(), "c3", "amina")


def test_services_come_back_as_they_were():
    assert decode_service(encode_service(VERSION)) == VERSION
    deleted = dataclasses.replace(VERSION, service=None)
    assert decode_service(encode_service(deleted)) == deleted


@given(st.data())
def test_every_message_comes_back_as_it_was(data):
    names = [name for name in peering.__all__ if name != "PeerMessage"]
    name = data.draw(st.sampled_from(names))
    message = data.draw(st.from_type(getattr(peering, name)))
    assert decode_message(encode_message(message)) == message


def test_fields_of_a_newer_version_are_ignored():
    """
    Symptom: during an upgrade, hosts of the old version drop all heartbeats.
    Sequence: a newer host adds a field to Heartbeat; an older one decodes it.
    Cause: a field that the decoder doesn't know was taken for a fault.
    """
    parts = cbor2.loads(encode_message(BEAT))
    assert decode_message(cbor2.dumps([*parts, "new", {"more": 1}])) == BEAT


def test_fields_of_an_older_version_get_their_defaults():
    parts = cbor2.loads(encode_message(BEAT))
    older = decode_message(cbor2.dumps(parts[:-2]))
    assert older == dataclasses.replace(BEAT, draining=False, hosts=b"")


@pytest.mark.parametrize("head", [[1, "Invented", 3], [2, "Heartbeat", "x"]])
def test_unknown_kinds_and_formats_are_none(head):
    assert decode_message(cbor2.dumps(head)) is None


def test_false_types_are_refused_with_a_code():
    """
    Symptom: a host crashes, or believes that True is an incarnation.
    Sequence: a message comes whose fields don't have their types.
    Cause: decoded values went into the tables unchecked.
    """
    parts = cbor2.loads(encode_message(BEAT))
    notice = cbor2.loads(encode_message(ServiceNotice(VERSION)))
    faulty: list[object] = [
        [*parts[:3], True, *parts[4:]],
        [*parts[:3], "7", *parts[4:]],
        parts[:4],
        [*notice[:2], {"name": "x"}],
        [*notice[:2], ["x", 1, [["name"]]]],
        {},
        [],
    ]
    for value in faulty:
        with pytest.raises(MallowpassError) as caught:
            decode_message(cbor2.dumps(value))
        assert caught.value.error_code is ErrorCode.MALFORMED_MESSAGE


@given(st.binary(max_size=200))
def test_no_bytes_escape_the_code(data):
    for decode in (decode_message, decode_service):
        try:
            decode(data)
        except MallowpassError as error:
            assert error.error_code is ErrorCode.MALFORMED_MESSAGE
