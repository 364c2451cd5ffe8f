"""Test decoding of rows: a row that can't be decoded does not affect other rows."""

from __future__ import annotations

import base64
import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.storage import EndpointEntry, Row, Table, Unreadable
from mallowpass.core.proxy.tables import HostRow
from mallowpass.platform.store import TABLE_NAMES, decode_rows
from tests.platform.test_documents import CONFIGURATION, ENTRY

VALID_ROWS = {
    Table.CONFIGURATION: ("config", json.dumps(CONFIGURATION).encode()),
    Table.ENDPOINTS: ("i-1", json.dumps(ENTRY).encode()),
    Table.HOSTS: ("host-1", b"casa 10.0.0.1:7440 1"),
    Table.SUSPICIONS: ("host-1", b"i-1 12.000"),
    Table.CLAIMS: ("primary", b"1 host-1 i-1 12.000"),
    Table.LIMITS: ("0", b"host-1"),
    Table.WRITERS: ("host-1", b"casa 10.0.0.1:7440 1 17"),
}


def _item(table: Table, key: str, value: bytes | str, part: str = "") -> dict:
    if isinstance(value, bytes):
        value = base64.b64encode(value).decode()
    names = {"table": TABLE_NAMES[table], "part": part, "key": key}
    return names | {"value": value, "ver": 7}


def _decode(*items: dict) -> list[Row]:
    return decode_rows({"rows": items})


def _readable(rows: list[Row]) -> list[str]:
    return [row.key.key for row in rows if not isinstance(row.value, Unreadable)]


@pytest.mark.parametrize("table", Table)
@given(data=st.binary())
def test_any_bytes_in_a_row_do_not_affect_other_rows(table, data):
    """Guard against a host that receives no more changes.

    Another program writes arbitrary bytes to one row. If that row made the whole
    response invalid, every later response would be invalid too.
    """
    key, valid = VALID_ROWS[table]
    rows = _decode(
        _item(table, key, valid), _item(table, "other", data), _item(table, key, valid)
    )
    assert [row.key.key for row in rows] == [key, "other", key]
    assert rows[0] == rows[2]
    assert not isinstance(rows[0].value, Unreadable)


@pytest.mark.parametrize("text", ["é", "AAA", "!", 7, None, ["AA=="]])
def test_invalid_base64_is_unreadable(text):
    valid = _item(Table.ENDPOINTS, *VALID_ROWS[Table.ENDPOINTS])
    rows = _decode(_item(Table.ENDPOINTS, "i-0", "") | {"value": text}, valid)
    assert isinstance(rows[0].value, Unreadable)
    assert _readable(rows) == ["i-1"]


def test_valid_row_after_an_unreadable_one_is_decoded():
    invalid = _item(Table.ENDPOINTS, "i-1", b"{")
    valid = _item(Table.ENDPOINTS, "i-1", VALID_ROWS[Table.ENDPOINTS][1])
    rows = _decode(invalid, valid)
    assert isinstance(rows[0].value, Unreadable)
    assert isinstance(rows[1].value, EndpointEntry)


def test_rows_in_other_parts_are_ignored():
    """Guard against an entry that is replaced by a row of another part."""
    for table in (Table.ENDPOINTS, Table.CONFIGURATION):
        assert _decode(_item(table, *VALID_ROWS[table], part="x")) == []


def test_reason_contains_field_and_value():
    value = json.dumps(ENTRY | {"state": "zombie"}).encode()
    (row,) = _decode(_item(Table.ENDPOINTS, "i-1", value))
    assert "state" in row.value.reason and "zombie" in row.value.reason


@given(st.text())
def test_any_text_in_a_host_row_raises_no_other_error(text):
    try:
        host = HostRow.decode("host-1", text)
    except ValueError:
        return
    assert 0.0 < host.capacity < float("inf")


@given(st.text() | st.from_regex(r"\S+ \S+ \S+ \S+", fullmatch=True))
def test_any_text_in_a_claim_raises_no_other_error(text):
    with contextlib.suppress(ValueError):
        Claim.decode(text)


@pytest.mark.parametrize("capacity", ["nan", "inf", "-1", "0", "1e999"])
def test_invalid_capacity_is_refused(capacity):
    with pytest.raises(ValueError, match="capacity"):
        HostRow.decode("host-1", f"casa 10.0.0.1:7440 {capacity}")
