"""Strategies for every class that a trace may hold, from their type hints."""

from __future__ import annotations

import dataclasses
import functools
import types
import typing
from enum import Enum
from typing import Any

from hypothesis import strategies as st

from mallowpass.core.calls import LogPosition
from mallowpass.core.effects import Effect
from mallowpass.core.events import Event
from mallowpass.trace.encoding import kinds_under
from mallowpass.trace.redaction import Opaque

NUMBERS = st.integers(0, 2**63)
SCALARS = {
    int: NUMBERS,
    float: st.floats(allow_nan=False),
    str: st.text(st.characters(exclude_categories=["Cs"]), max_size=8),
    bytes: st.binary(max_size=8),
    bool: st.booleans(),
}
MARKERS = st.builds(Opaque, st.binary(min_size=8, max_size=8), st.integers(1, 9))
OPAQUE = {"rows": st.none() | MARKERS, "outcome_rows": st.none() | MARKERS}


def concrete(base: type) -> list[type]:
    """Return the classes under a base that are no bases themselves."""
    return [kind for kind in kinds_under(base).values() if not kind.__subclasses__()]


BOUNDARY = concrete(Event) + concrete(Effect)


@functools.cache
def instances(kind: type) -> st.SearchStrategy[Any]:
    """Return values of a class with values for every field."""
    hints = typing.get_type_hints(kind)
    return st.builds(
        kind,
        **{
            field.name: _values(hints[field.name], field.name)
            for field in dataclasses.fields(kind)
        },
    )


def _values(hint: Any, name: str) -> st.SearchStrategy[Any]:
    if hint is Any:
        return OPAQUE.get(name, st.just(()) | MARKERS)
    if hint in SCALARS:
        return SCALARS[hint]
    if hint is LogPosition:
        return st.builds(LogPosition, NUMBERS, NUMBERS)
    if dataclasses.is_dataclass(hint):
        return st.one_of(*map(instances, concrete(hint)))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return st.sampled_from(hint)
    return _composed(hint, name)


def _composed(hint: Any, name: str) -> st.SearchStrategy[Any]:
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return st.none() | _values(arguments[0], name)
    if origin is dict:
        return st.dictionaries(SCALARS[str], SCALARS[float], max_size=2)
    if arguments[-1] is Ellipsis:
        return st.lists(_values(arguments[0], name), max_size=2).map(tuple)
    if Any in arguments:  # a log line's label
        return st.tuples(SCALARS[str], st.one_of(*SCALARS.values(), st.none()))
    return st.tuples(*[_values(argument, name) for argument in arguments])
