"""Transfer the state of a session to a connection: values and prepared statements."""

from __future__ import annotations

from collections.abc import Iterable

from mallowpass.core.proxy.statements import EndpointCall, Prepare, Reset, SetValue
from mallowpass.core.proxy.tables import ConnectionRow, PreparedStatement

__all__ = ["PREPARED_MAX", "SHAPES_LENGTH_MAX", "make_setup_calls"]

# Limits for the statements that are prepared on one connection. Sessions come and go
# on it, and a caller may prepare ever new statements.
PREPARED_MAX = 128
SHAPES_LENGTH_MAX = 1 << 18  # characters of all shapes; a single one may be longer


def make_setup_calls(
    connection: ConnectionRow,
    values: dict[str, str],
    prepared: Iterable[PreparedStatement],
) -> list[EndpointCall]:
    """Return the calls that set a connection to a session's state.

    `connection` is updated as if they had succeeded. They must be sent on it next.
    """
    calls = []
    needed = list(dict.fromkeys(prepared))
    extra = connection.values.keys() - values.keys()
    if extra or not _has_room(connection, needed):
        # A single value can't be unset, and a session must not see values that it
        # did not set.
        calls.append(EndpointCall(Reset()))
        connection.values = {}
        connection.prepared = {}
    for name, value in values.items():
        if connection.values.get(name) != value:
            calls.append(EndpointCall(SetValue(name, value)))
    connection.values = dict(values)
    for statement in needed:
        if statement not in connection.prepared:
            name = connection.name_statement(statement)
            prepare = Prepare(name, statement.access, statement.shape)
            calls.append(EndpointCall(prepare))
    return calls


def _has_room(connection: ConnectionRow, needed: list[PreparedStatement]) -> bool:
    """Return whether statements are prepared on a connection, or may be beside others.

    The others can be dropped only together.
    """
    missing = [each for each in needed if each not in connection.prepared]
    if not missing or not connection.prepared:
        return True
    statements = [*connection.prepared, *missing]
    shapes_length = sum(len(statement.shape) for statement in statements)
    return len(statements) <= PREPARED_MAX and shapes_length <= SHAPES_LENGTH_MAX
