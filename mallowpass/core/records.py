"""Frozen data classes that take little time to define.

A process defines about a hundred of them at its start, and callers wait for a host that
restarts. `dataclass` generates and compiles six methods for each class. Here all
classes share these methods, except `__init__`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import MISSING, FrozenInstanceError, dataclass, fields
from typing import Any, TypeVar, dataclass_transform

__all__ = ["record"]

_T = TypeVar("_T")


@dataclass_transform(frozen_default=True)
def record(cls: type[_T]) -> type[_T]:
    """Make a class a frozen data class with slots, compared by its fields."""
    record_class = dataclass(init=False, eq=False, repr=False, slots=True)(cls)
    record_class.__init__ = _make_init(record_class)
    record_class.__setattr__ = _refuse_assignment
    record_class.__delattr__ = _refuse_deletion
    record_class.__getstate__ = _field_values
    record_class.__setstate__ = _set_field_values
    record_class.__eq__ = _is_equal
    record_class.__hash__ = _hash
    record_class.__repr__ = _repr
    return record_class


def _make_init(cls: type) -> Callable[..., None]:
    """Generate the `__init__` method of a class from its fields."""
    scope: dict[str, Any] = {"_set": object.__setattr__, "_missing": MISSING}
    parameters = ["self"]
    statements = []
    for field in fields(cls):
        name = value = field.name
        if field.default is not MISSING:
            scope[f"_default_{name}"] = field.default
            parameters.append(f"{name}=_default_{name}")
        elif field.default_factory is not MISSING:
            scope[f"_make_{name}"] = field.default_factory
            parameters.append(f"{name}=_missing")
            value = f"_make_{name}() if {name} is _missing else {name}"
        else:
            parameters.append(name)
        statements.append(f"  _set(self, {name!r}, {value})")
    if hasattr(cls, "__post_init__"):
        statements.append("  self.__post_init__()")
    # The names in `scope` are parameters of an outer function, so that the globals of
    # the method are those of the class's module.
    lines = [
        f"def _make({', '.join(scope)}):",
        f" def __init__({', '.join(parameters)}):",
        *statements,
        "  return None",
        " return __init__",
    ]
    defined: dict[str, Any] = {}
    exec("\n".join(lines), sys.modules[cls.__module__].__dict__, defined)
    init = defined["_make"](**scope)
    init.__qualname__ = f"{cls.__qualname__}.__init__"
    init.__annotations__ = {field.name: field.type for field in fields(cls)}
    return init


def _refuse_assignment(self: Any, name: str, value: Any) -> None:
    raise FrozenInstanceError(f"cannot assign to field {name!r}")


def _refuse_deletion(self: Any, name: str) -> None:
    raise FrozenInstanceError(f"cannot delete field {name!r}")


def _field_values(self: Any) -> tuple[Any, ...]:
    return tuple(getattr(self, name) for name in self.__match_args__)


def _set_field_values(self: Any, state: tuple[Any, ...]) -> None:
    for name, value in zip(self.__match_args__, state, strict=True):
        object.__setattr__(self, name, value)


def _is_equal(self: Any, other: object) -> Any:
    if type(other) is not type(self):
        return NotImplemented
    return _field_values(self) == _field_values(other)


def _hash(self: Any) -> int:
    return hash(_field_values(self))


def _repr(self: Any) -> str:
    names = self.__match_args__
    values = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
    return f"{type(self).__qualname__}({values})"
