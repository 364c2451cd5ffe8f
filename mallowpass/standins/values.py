"""Translate between SQL values and the messages of values.proto."""

from __future__ import annotations

from collections.abc import Iterator

from mallowpass.schema import values_pb2
from mallowpass.standins.log import Position
from mallowpass.standins.storage import Result

__all__ = ["parts", "place_of", "position_of", "rows_of", "sql_values"]


def position_of(place: Position) -> values_pb2.LogPosition:
    return values_pb2.LogPosition(term=place.term, position=place.position)


def place_of(position: values_pb2.LogPosition) -> Position:
    return Position(position.term, position.position)


def sql_values(values) -> tuple:
    return tuple(_sql_value(value) for value in values)


def rows_of(result: Result) -> values_pb2.Rows:
    rows = values_pb2.Rows(columns=result.columns, affected=result.affected)
    for row in result.rows:
        rows.rows.add(values=[_message_of(value) for value in row])
    return rows


def parts(rows: values_pb2.Rows, chunk_rows: int) -> Iterator[values_pb2.Rows]:
    """Split an answer; the first part has the columns, 0 rows a chunk: one part."""
    if not chunk_rows or len(rows.rows) <= chunk_rows:
        yield rows
        return
    columns = rows.columns
    for start in range(0, len(rows.rows), chunk_rows):
        chunk = rows.rows[start : start + chunk_rows]
        yield values_pb2.Rows(columns=columns, rows=chunk, affected=rows.affected)
        columns = ()


def _sql_value(value: values_pb2.Value):
    kind = value.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(value, kind)


def _message_of(value) -> values_pb2.Value:
    if value is None:
        return values_pb2.Value(null=True)
    if isinstance(value, int):
        return values_pb2.Value(integer=value)
    if isinstance(value, float):
        return values_pb2.Value(real=value)
    if isinstance(value, str):
        return values_pb2.Value(text=value)
    return values_pb2.Value(blob=value)
