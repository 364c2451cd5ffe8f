"""Reuse of request ids: digests of requests, and the ids that are kept."""

from __future__ import annotations

from collections import OrderedDict

import pytest

from mallowpass.core.calls import Access, ExecuteRequest
from mallowpass.core.systems.requestreuse import (
    RECENT_MAX,
    RecentRequests,
    digest_of_begin,
    digest_of_statement,
)
from mallowpass.schema.values_pb2 import Value


def _digest(sql: str = "s", *parameters: object, database: str = "d") -> bytes:
    request = ExecuteRequest(
        request_id="r",
        database=database,
        sql=sql,
        parameters=parameters,
        access=Access.WRITE,
    )
    return digest_of_statement(database, request)


def _text(text: str) -> Value:
    return Value(text=text)


def test_copies_of_a_statement_have_one_digest():
    parameters = (_text("a"), Value(integer=1), Value(real=0.5), Value(null=True))
    copies = tuple(Value.FromString(each.SerializeToString()) for each in parameters)
    assert _digest("s", *parameters) == _digest("s", *copies)


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (_digest("ab", _text("c")), _digest("a", _text("bc"))),
        (_digest("s", _text("1")), _digest("s", Value(integer=1))),
        (_digest("s", _text("a"), _text("b")), _digest("s", _text("ab"))),
        (_digest("s", _text("a,b")), _digest("s", _text("a"), _text("b"))),
        (_digest("s", database="ds"), _digest("ss", database="d")),
        (_digest("begin"), digest_of_begin("begin")),
    ],
)
def test_different_requests_have_different_digests(one: bytes, other: bytes):
    assert one != other


def test_number_of_kept_ids_is_bounded_and_the_newest_are_kept():
    recent = RecentRequests(OrderedDict())
    for number in range(RECENT_MAX + 1):
        assert not recent.is_reused(str(number), b"first")
    assert recent.is_reused(str(RECENT_MAX), b"other")
    assert not recent.is_reused("0", b"other")
