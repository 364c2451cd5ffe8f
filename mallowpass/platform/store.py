"""Client of the platform's metadata store: typed calls, and their form over HTTP.

Hosts also relay changes of rows to each other, in the form of the store's responses.
The era of the store is a number that grows each time that the store is restored from a
backup; `mallowpass.core.proxy.storage` combines eras and versions.
"""

from __future__ import annotations

import base64
import json
import math
import zlib
from functools import singledispatchmethod
from typing import Any
from urllib.parse import parse_qsl, urlencode

from mallowpass.core.proxy.storage import (
    ChangeRows,
    ListRows,
    Row,
    RowKey,
    StoreCall,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
    WatchRows,
    era_of,
    make_version,
    store_version,
)
from mallowpass.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_endpoint_entry,
)
from mallowpass.platform.http import (
    BODY_MAX,
    HttpClient,
    HttpError,
    Request,
    Response,
)
from mallowpass.platform.settings import Address

__all__ = [
    "FEED_PATH",
    "TABLES_BY_NAME",
    "TABLE_NAMES",
    "StoreClient",
    "accepts_compression",
    "decode_rows",
    "parse_watch",
    "render_rows",
]

FEED_PATH = "/v1/rows-feed"  # changes of rows, served by the store and by relays
# Long responses between hosts are compressed: a relay sends all rows of a table to each
# of its followers. The rows are so similar that the fastest level suffices.
_CONTENT_CODING = "deflate"
_MIN_COMPRESSED_BYTES = 512
_COMPRESSION_LEVEL = 1
_ACCEPT_HEADERS = (("Accept-Encoding", _CONTENT_CODING),)
_ERA_HEADER = b"store-era"  # lower case, as Response.header expects
# Between hosts: all rows of the table are sent, and the age of the sender's knowledge.
_SNAPSHOT_FIELD = "whole"
_AGE_FIELD = "ageMs"
_MAX_ERA_DIGITS = 3
_MAX_DIGITS = 18  # of a number that another host sends
_MAX_VERSION = 2**53  # with its era; above all that _MAX_ERA_DIGITS allow
_SERVICE_UNAVAILABLE = 503
_REASON_LENGTH_MAX = 200  # characters; a response may hold many thousands

# The platform defines the first two names; the others are chosen here.
TABLE_NAMES = {
    Table.CONFIGURATION: "op",
    Table.ENDPOINTS: "servers",
    Table.HOSTS: "mallowpass-hosts",
    Table.SUSPICIONS: "mallowpass-suspicions",
    Table.CLAIMS: "mallowpass-claims",
    Table.LIMITS: "mallowpass-limits",
    Table.WRITERS: "mallowpass-writers",
}
TABLES_BY_NAME = {name: table for table, name in TABLE_NAMES.items()}
_CONFIGURATION_KEY = "config"
# Rows of these tables are valid only if they belong to no part.
_UNPARTITIONED_TABLES = (Table.CONFIGURATION, Table.ENDPOINTS)

_STATUS_BY_HTTP_CODE = {
    200: StoreStatus.DONE,
    410: StoreStatus.HISTORY_GONE,
    412: StoreStatus.CONFLICT,
}
# What decoding a response of any form may raise: numbers may be too large, and values
# of another type or nested too deeply.
_DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
)
# Status codes which guarantee that nothing was changed. After any other failure, the
# outcome of a change is unknown.
_NOT_DONE_HTTP_CODES = frozenset({400, 403, 404, 429, 503, 507})


class StoreClient:
    """Client of the store, or of a host that relays changes of the store."""

    __slots__ = ("_client", "_is_relay")

    def __init__(self, address: Address, is_relay: bool = False) -> None:
        self._client = HttpClient(address)
        self._is_relay = is_relay

    async def call(self, call: StoreCall, timeout: float) -> StoreReply:
        """Return the reply to a call; `timeout` applies to each HTTP request (seconds).

        A failure is returned as a reply, too. Its status is REFUSED only if the call
        has certainly not changed anything, otherwise UNKNOWN.
        """
        try:
            return await self._call(call, timeout)
        except HttpError as error:
            may_have_changed = error.sent and isinstance(call, ChangeRows)
            status = StoreStatus.UNKNOWN if may_have_changed else StoreStatus.REFUSED
            return StoreReply(status, message=str(error))
        except _DECODING_ERRORS as error:
            reason = str(error)[:_REASON_LENGTH_MAX]
            message = f"invalid response: {type(error).__name__}: {reason}"
            return StoreReply(StoreStatus.UNKNOWN, message=message)

    @singledispatchmethod
    async def _call(self, call: StoreCall, timeout: float) -> StoreReply:
        raise TypeError(f"unsupported call: {type(call).__name__}")

    @_call.register
    async def _(self, call: ListRows, timeout: float) -> StoreReply:
        rows: list[Row] = []
        query = {"table": TABLE_NAMES[call.table], "part": call.part}
        while True:
            request = Request("GET", f"/v1/rows-get?{urlencode(query)}")
            response = await self._client.call(request, timeout)
            if response.status != 200:
                return _failed_reply(response)
            body = json.loads(response.body)
            era = _parse_era(response)
            page = decode_rows(body, era)
            rows += page
            if not body.get("hasMore"):
                version = _parse_version(body["ver"], era)
                time = _parse_time(body)
                done = StoreStatus.DONE
                return StoreReply(done, tuple(rows), version, time, era=era)
            if not page or page[-1].key.key < query.get("from", ""):
                # The next page would be the same again.
                raise ValueError("a page with more to come does not go on")
            if era != era_of(rows[0].version):
                # The store was restored from a backup between two pages. The earlier
                # pages may have rows that the backup lacks.
                return StoreReply(
                    StoreStatus.REFUSED,
                    message="the store was restored while its rows were listed",
                    era=era,
                )
            # The next page begins at the smallest key above the last one.
            query["from"] = rows[-1].key.key + "\0"

    @_call.register
    async def _(self, call: WatchRows, timeout: float) -> StoreReply:
        query = {
            "table": TABLE_NAMES[call.table],
            "after": call.after if self._is_relay else store_version(call.after),
            "waitMs": int(call.wait * 1000),
        }
        headers = _ACCEPT_HEADERS if self._is_relay else ()
        request = Request("GET", f"{FEED_PATH}?{urlencode(query)}", headers)
        response = await self._client.call(request, timeout)
        return (
            _parse_relay_reply(response) if self._is_relay else _parse_reply(response)
        )

    @_call.register
    async def _(self, call: ChangeRows, timeout: float) -> StoreReply:
        body = {
            "expected": [
                _key_fields(key) | {"ver": store_version(version)}
                for key, version in call.expected
            ],
            "puts": [
                _key_fields(key) | {"value": _encode_value(text)}
                for key, text in call.puts
            ],
            "deletes": [_key_fields(key) for key in call.deletes],
        }
        request = Request(
            "POST",
            "/v1/rows-tx",
            (("Content-Type", "application/json"),),
            json.dumps(body, separators=(",", ":")).encode(),
        )
        response = await self._client.call(request, timeout)
        return _parse_reply(response)


# -- Replies -----------------------------------------------------------------


def _parse_reply(response: Response) -> StoreReply:
    if response.status not in _STATUS_BY_HTTP_CODE:
        return _failed_reply(response)
    body = json.loads(_decompressed_body(response)) if response.body else {}
    era = _parse_era(response)
    return StoreReply(
        _STATUS_BY_HTTP_CODE[response.status],
        tuple(decode_rows(body, era)),
        _parse_version(body.get("ver", 0), era),
        _parse_time(body),
        era=era,
    )


def _parse_relay_reply(response: Response) -> StoreReply:
    """Parse the response of a relay; its versions include their eras."""
    if response.status not in _STATUS_BY_HTTP_CODE:
        return _failed_reply(response)
    body = json.loads(_decompressed_body(response))
    rows = tuple(decode_rows(body))
    version = _parse_version(body["ver"])
    is_snapshot = body.get(_SNAPSHOT_FIELD) is True
    era = era_of(version)
    status = _STATUS_BY_HTTP_CODE[response.status]
    # Hosts of an earlier version do not send the age.
    age = max(0, int(body.get(_AGE_FIELD, 0))) / 1000.0
    return StoreReply(status, rows, version, is_snapshot=is_snapshot, era=era, age=age)


def _parse_version(value: Any, era: int = 0) -> int:
    """Return a version with its era; `era` is 0 if the version already includes it."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError("a version is not an integer")
    if not 0 <= value <= _MAX_VERSION or (era and store_version(value) != value):
        raise ValueError("a version is out of range")
    return make_version(era, value)


def _parse_era(response: Response) -> int:
    """Return the era of the store; 0 if the response has no valid era."""
    text = response.header(_ERA_HEADER)
    return int(text) if text.isdigit() and len(text) <= _MAX_ERA_DIGITS else 0


def _decompressed_body(response: Response) -> bytes:
    """Return the body of a response, decompressed if necessary.

    Raises ValueError for a body above BODY_MAX, the limit for responses of the store,
    so that a response of another host can't exhaust memory.
    """
    if response.content_encoding != _CONTENT_CODING:
        return response.body
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(response.body, BODY_MAX)
    if not decompressor.eof:
        raise ValueError(
            f"compressed body is truncated, or larger than {BODY_MAX} bytes"
        )
    return body


def decode_rows(body: dict[str, Any], era: int = 0) -> list[Row]:
    """Return the rows of a response; a value that can't be decoded is `Unreadable`.

    `era` is added to the versions of the rows; 0 if the versions already include eras.
    """
    rows = []
    for item in body.get("rows", ()):
        table = TABLES_BY_NAME.get(item["table"])
        part = item.get("part", "")
        if not (isinstance(part, str) and isinstance(item["key"], str)):
            raise TypeError("a key or part is not a text")
        if table is None or (part and table in _UNPARTITIONED_TABLES):
            continue
        key = RowKey(table, part, item["key"])
        if item.get("removed") or "value" not in item:
            rows.append(Row(key, _parse_version(item.get("ver", 0), era)))
        else:
            encoded = item["value"] if isinstance(item["value"], str) else ""
            version = _parse_version(item["ver"], era)
            rows.append(Row(key, version, _decode_value(key, item["value"]), encoded))
    return rows


# -- Relaying rows to other hosts, in the form of the store's responses ----------


def parse_watch(target: str) -> WatchRows | None:
    """Parse a request of another host for changes.

    Returns None if the request does not have the form that `StoreClient` sends.
    """
    path, _, query = target.partition("?")
    fields = dict(parse_qsl(query))
    table = TABLES_BY_NAME.get(fields.get("table", ""))
    after, wait = fields.get("after", ""), fields.get("waitMs", "")
    if path != FEED_PATH or table is None:
        return None
    if not (_is_number(after) and _is_number(wait)):
        return None
    return WatchRows(table, int(after), int(wait) / 1000.0)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS


def render_rows(reply: StoreReply, compressed: bool = False) -> Response:
    """Return the response that sends the rows of a reply to another host."""
    if reply.status is not StoreStatus.DONE:
        return Response(_SERVICE_UNAVAILABLE)
    rows = [_row_fields(row) for row in reply.rows]
    body = {
        "rows": rows,
        "ver": reply.version,
        _SNAPSHOT_FIELD: reply.is_snapshot,
        _AGE_FIELD: math.ceil(reply.age * 1000),
    }
    data = json.dumps(body, separators=(",", ":")).encode()
    if compressed and len(data) >= _MIN_COMPRESSED_BYTES:
        return Response(200, zlib.compress(data, _COMPRESSION_LEVEL), _CONTENT_CODING)
    return Response(200, data)


def accepts_compression(request: Request) -> bool:
    """Return whether the host that sent a request can read compressed responses.

    Hosts of an earlier version do not request compression.
    """
    return _CONTENT_CODING in request.header("accept-encoding")


def _row_fields(row: Row) -> dict[str, Any]:
    item = _key_fields(row.key) | {"ver": row.version}
    if row.value is None:
        return item | {"removed": True}
    if not row.encoded and isinstance(row.value, str):
        return item | {"value": _encode_value(row.value)}
    return item | {"value": row.encoded}


def _failed_reply(response: Response) -> StoreReply:
    status = StoreStatus.UNKNOWN
    if response.status in _NOT_DONE_HTTP_CODES:
        status = StoreStatus.REFUSED
    return StoreReply(
        status, message=f"HTTP status {response.status}", era=_parse_era(response)
    )


def _parse_time(body: dict[str, Any]) -> float:
    # The monotonic clock of the store, not the time of day.
    time = body.get("nowMs", 0) / 1000.0
    if not math.isfinite(time):
        raise ValueError("the time is not finite")
    return time


def _key_fields(key: RowKey) -> dict[str, Any]:
    return {"table": TABLE_NAMES[key.table], "part": key.part, "key": key.key}


def _encode_value(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode_value(key: RowKey, text: Any) -> Any:
    """Return the value of a row; `Unreadable` if it can't be decoded.

    No error may leave this function: the error would invalidate the whole response,
    each time that the rows are requested, and this host would receive no more changes.
    """
    try:
        data = base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return Unreadable("not valid base64")
    try:
        return _decode_by_table(key, data)
    except DocumentError as error:
        return Unreadable(str(error))
    except UnicodeDecodeError:
        return Unreadable("not valid UTF-8")


def _decode_by_table(key: RowKey, data: bytes) -> Any:
    if key.table is Table.ENDPOINTS:
        return decode_endpoint_entry(key.key, data)
    if key.table is not Table.CONFIGURATION:
        return data.decode()
    return decode_configuration(data) if key.key == _CONFIGURATION_KEY else ""
