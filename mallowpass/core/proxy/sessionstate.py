"""The state of a session on a connection: its values and prepared statements."""

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
    """Return the calls that bring a connection to a session's state."""
    calls = []
    extra = connection.values.keys() - values.keys()
    if extra:
        # There is no way to unset one value: left over, it would be seen by a
        # session that never set it.
        calls.append(EndpointCall(Reset()))
        connection.values = {}
        connection.prepared = set()
    for name, value in values.items():
        if connection.values.get(name) != value:
            calls.append(EndpointCall(SetValue(name, value)))
    connection.values = dict(values)
    for statement in prepared:
        name = statement.shared_name
        if name not in connection.prepared:
            prepare = Prepare(name, statement.access, statement.shape)
            calls.append(EndpointCall(prepare))
            connection.prepared.add(name)
    return calls
