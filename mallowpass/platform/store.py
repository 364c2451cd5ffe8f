"""The platform's metadata store: typed calls to and from its HTTP interface."""

from __future__ import annotations

import base64
import json
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
    decode_entry,
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
    "TABLES",
    "TABLE_NAMES",
    "StoreClient",
    "accepts_compressed",
    "decode_rows",
    "parse_watch",
    "render_rows",
]

FEED_PATH = "/v1/rows-feed"
# Between hosts long answers are compressed: the entries of a table are much alike, and
# a relay tells each of its followers all of them. The quickest level does that.
CODING = "deflate"
COMPRESSED_MIN = 512  # bytes
COMPRESSION_LEVEL = 1
_ACCEPTS = (("Accept-Encoding", CODING),)
_ERA_HEADER = b"store-era"  # as it is compared: in lower case
_WHOLE = "whole"  # a field between hosts: the rows are all that a table has
_ERA_DIGITS_MAX = 3
_DIGITS_MAX = 18  # of a number that another host sends
_UNAVAILABLE = 503

# The platform's own tables have fixed names; those of the fleet are ours to name.
TABLE_NAMES = {
    Table.CONFIGURATION: "op",
    Table.ENDPOINTS: "servers",
    Table.HOSTS: "mallowpass-hosts",
    Table.SUSPICIONS: "mallowpass-suspicions",
    Table.CLAIMS: "mallowpass-claims",
    Table.LIMITS: "mallowpass-limits",
}
TABLES = {name: table for table, name in TABLE_NAMES.items()}
_CONFIGURATION_KEY = "config"
# Rows of these tables mean something in no part only.
_WITHOUT_PARTS = (Table.CONFIGURATION, Table.ENDPOINTS)

_STATUSES = {
    200: StoreStatus.DONE,
    410: StoreStatus.HISTORY_GONE,
    412: StoreStatus.CONFLICT,
}
# Answers that promise that nothing was done; any other leaves it open.
_REFUSALS = frozenset({400, 403, 404, 429, 503, 507})


class StoreClient:
    """Carry out calls to the store, or to a host that tells of it."""

    __slots__ = ("_client", "_of_host")

    def __init__(self, address: Address, of_host: bool = False) -> None:
        self._client = HttpClient(address)
        self._of_host = of_host

    async def call(self, call: StoreCall, timeout: float) -> StoreReply:
        """Return the store's reply, also where there is none."""
        try:
            return await self._call(call, timeout)
        except HttpError as error:
            changed = error.sent and isinstance(call, ChangeRows)
            status = StoreStatus.UNKNOWN if changed else StoreStatus.REFUSED
            return StoreReply(status, message=str(error))
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            message = f"an answer that can't be read: {error!r}"
            return StoreReply(StoreStatus.UNKNOWN, message=message)

    @singledispatchmethod
    async def _call(self, call: StoreCall, timeout: float) -> StoreReply:
        raise TypeError(f"no such call: {type(call).__name__}")

    @_call.register
    async def _(self, call: ListRows, timeout: float) -> StoreReply:
        rows: list[Row] = []
        query = {"table": TABLE_NAMES[call.table], "part": call.part}
        while True:
            request = Request("GET", f"/v1/rows-get?{urlencode(query)}")
            response = await self._client.call(request, timeout)
            if response.status != 200:
                return _failure(response)
            body = json.loads(response.body)
            era = _era(response)
            rows += decode_rows(body, era)
            if not body.get("hasMore") or not rows:
                version = make_version(era, body["ver"])
                time = _time(body)
                done = StoreStatus.DONE
                return StoreReply(done, tuple(rows), version, time, era=era)
            if era != era_of(rows[0].version):
                # The first rows are of a time that the store has no memory of.
                return StoreReply(StoreStatus.REFUSED, message="a new era", era=era)
            # The least key above the last one.
            query["from"] = rows[-1].key.key + "\0"

    @_call.register
    async def _(self, call: WatchRows, timeout: float) -> StoreReply:
        query = {
            "table": TABLE_NAMES[call.table],
            "after": call.after if self._of_host else store_version(call.after),
            "waitMs": int(call.wait * 1000),
        }
        headers = _ACCEPTS if self._of_host else ()
        request = Request("GET", f"{FEED_PATH}?{urlencode(query)}", headers)
        response = await self._client.call(request, timeout)
        return _reply_of_host(response) if self._of_host else _reply(response)

    @_call.register
    async def _(self, call: ChangeRows, timeout: float) -> StoreReply:
        body = {
            "expected": [
                _key(key) | {"ver": store_version(version)}
                for key, version in call.expected
            ],
            "puts": [_key(key) | {"value": _encode(text)} for key, text in call.puts],
            "deletes": [_key(key) for key in call.deletes],
        }
        request = Request(
            "POST",
            "/v1/rows-tx",
            (("Content-Type", "application/json"),),
            json.dumps(body, separators=(",", ":")).encode(),
        )
        response = await self._client.call(request, timeout)
        return _reply(response)


# -- Replies -----------------------------------------------------------------


def _reply(response: Response) -> StoreReply:
    if response.status not in _STATUSES:
        return _failure(response)
    body = json.loads(_plain(response)) if response.body else {}
    era = _era(response)
    return StoreReply(
        _STATUSES[response.status],
        tuple(decode_rows(body, era)),
        make_version(era, body.get("ver", 0)),
        _time(body),
        era=era,
    )


def _reply_of_host(response: Response) -> StoreReply:
    """Read what another host tells: its versions hold their eras."""
    if response.status not in _STATUSES:
        return _failure(response)
    body = json.loads(_plain(response))
    rows = tuple(decode_rows(body))
    version = body["ver"]
    whole = body.get(_WHOLE) is True
    era = era_of(version)
    status = _STATUSES[response.status]
    return StoreReply(status, rows, version, is_snapshot=whole, era=era)


def _era(response: Response) -> int:
    """Return the store's era; 0 for one that tells of none."""
    text = response.header(_ERA_HEADER)
    return int(text) if text.isdigit() and len(text) <= _ERA_DIGITS_MAX else 0


def _plain(response: Response) -> bytes:
    """Return an answer's body as it was before it was compressed.

    Whatever a host sends, it takes no more memory than an answer of the store may.
    """
    if response.content_encoding != CODING:
        return response.body
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(response.body, BODY_MAX)
    if not unpacker.eof:
        raise ValueError(f"a body of more than {BODY_MAX} bytes, or cut off")
    return body


def decode_rows(body: dict[str, Any], era: int = 0) -> list[Row]:
    """Return the rows of an answer; one that can't be read says so itself.

    Their versions are those of an era; 0: they hold it already.
    """
    rows = []
    for item in body.get("rows", ()):
        table = TABLES.get(item["table"])
        part = item.get("part", "")
        if table is None or (part and table in _WITHOUT_PARTS):
            continue
        key = RowKey(table, part, item["key"])
        if item.get("removed") or "value" not in item:
            rows.append(Row(key, make_version(era, item.get("ver", 0))))
        else:
            encoded = item["value"] if isinstance(item["value"], str) else ""
            version = make_version(era, item["ver"])
            rows.append(Row(key, version, _value(key, item["value"]), encoded))
    return rows


# -- What other hosts are told, in the form of the store's own answers ---------


def parse_watch(target: str) -> WatchRows | None:
    """Read what another host waits for; None if it is not as `StoreClient` asks."""
    path, _, query = target.partition("?")
    fields = dict(parse_qsl(query))
    table = TABLES.get(fields.get("table", ""))
    after, wait = fields.get("after", ""), fields.get("waitMs", "")
    if path != FEED_PATH or table is None:
        return None
    if not (_is_number(after) and _is_number(wait)):
        return None
    return WatchRows(table, int(after), int(wait) / 1000.0)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _DIGITS_MAX


def render_rows(reply: StoreReply, compressed: bool = False) -> Response:
    """Return the answer that tells another host of rows."""
    if reply.status is not StoreStatus.DONE:
        return Response(_UNAVAILABLE)
    rows = [_item(row) for row in reply.rows]
    body = {"rows": rows, "ver": reply.version, _WHOLE: reply.is_snapshot}
    data = json.dumps(body, separators=(",", ":")).encode()
    if compressed and len(data) >= COMPRESSED_MIN:
        return Response(200, zlib.compress(data, COMPRESSION_LEVEL), CODING)
    return Response(200, data)


def accepts_compressed(request: Request) -> bool:
    """Tell whether another host reads compressed answers; an older one may not."""
    return CODING in request.header("accept-encoding")


def _item(row: Row) -> dict[str, Any]:
    item = _key(row.key) | {"ver": row.version}
    if row.value is None:
        return item | {"removed": True}
    return item | {"value": row.encoded}


def _failure(response: Response) -> StoreReply:
    status = StoreStatus.UNKNOWN
    if response.status in _REFUSALS:
        status = StoreStatus.REFUSED
    return StoreReply(status, message=f"status {response.status}", era=_era(response))


def _time(body: dict[str, Any]) -> float:
    # The store's steady clock, no time of day.
    return body.get("nowMs", 0) / 1000.0


def _key(key: RowKey) -> dict[str, Any]:
    return {"table": TABLE_NAMES[key.table], "part": key.part, "key": key.key}


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _value(key: RowKey, text: Any) -> Any:
    """Return a row's value; other rows are read on whatever one of them holds.

    An error that left here would have the whole answer count as none. It would come
    again each time that the rows are asked for, and this host learn of nothing more.
    """
    try:
        data = base64.b64decode(text, validate=True)
    except (TypeError, ValueError):
        return Unreadable("no base64")
    try:
        return _decode(key, data)
    except DocumentError as error:
        return Unreadable(str(error))
    except UnicodeDecodeError:
        return Unreadable("no UTF-8 text")


def _decode(key: RowKey, data: bytes) -> Any:
    if key.table is Table.ENDPOINTS:
        return decode_entry(key.key, data)
    if key.table is not Table.CONFIGURATION:
        return data.decode()
    return decode_configuration(data) if key.key == _CONFIGURATION_KEY else ""
