"""Transfer the state of a session to a connection: values and prepared statements."""

from __future__ import annotations

from collections.abc import Iterable

from mallowpass.core.proxy.statements import EndpointCall, Prepare, Reset, SetValue
from mallowpass.core.proxy.tables import ConnectionRow, PreparedStatement

__all__ = ["make_setup_calls"]


def make_setup_calls(
    connection: ConnectionRow,
    values: dict[str, str],
    prepared: Iterable[PreparedStatement],
) -> list[EndpointCall]:
    """Return the calls that set a connection to a session's state.

    `connection` is updated as if they had succeeded. They must be sent on it next.
    """
    calls = []
    extra = connection.values.keys() - values.keys()
    if extra:
        # A single value can't be unset, and a session must not see values that it
        # did not set.
        calls.append(EndpointCall(Reset()))
        connection.values = {}
        connection.prepared = {}
    for name, value in values.items():
        if connection.values.get(name) != value:
            calls.append(EndpointCall(SetValue(name, value)))
    connection.values = dict(values)
    for statement in prepared:
        if statement not in connection.prepared:
            name = connection.name_statement(statement)
            prepare = Prepare(name, statement.access, statement.shape)
            calls.append(EndpointCall(prepare))
    return calls
