"""Tests that records behave like frozen data classes."""

from __future__ import annotations

import copy
import pickle
from dataclasses import FrozenInstanceError, asdict, dataclass, field, replace

import pytest

from mallowpass.core.records import record


@record
class Point:
    """A point."""

    x: int
    y: int = 0


@record
class Named(Point):
    """A point with a name."""

    name: str = ""


@dataclass(frozen=True, slots=True)
class Plain:
    """The fields of Point in a data class of the standard library."""

    x: int
    y: int = 0


@record
class Empty:
    """A record without fields."""


@record
class Listing:
    """A record with a field that is not hashable."""

    items: list[int] = field(default_factory=list)


def test_records_are_compared_by_their_fields():
    assert Point(1, 2) == Point(1, 2)
    assert Point(1, 2) != Point(1, 3)
    assert len({Point(1, 2), Point(1, 2), Point(2, 1)}) == 2
    assert Empty() == Empty()


def test_records_of_different_classes_are_never_equal():
    assert Point(1, 2) != Named(1, 2)
    assert Point(1, 2) != Plain(1, 2)
    assert Point(1, 2) != (1, 2)


def test_a_record_is_immutable():
    point = Point(1)
    with pytest.raises(FrozenInstanceError):
        point.x = 2
    with pytest.raises((FrozenInstanceError, TypeError, AttributeError)):
        point.z = 2
    assert not hasattr(point, "__dict__")


def test_repr_of_a_record_is_that_of_a_data_class():
    assert repr(Point(1, 2)) == repr(Plain(1, 2)).replace("Plain", "Point")
    assert repr(Named(1, 2, "a")) == "Named(x=1, y=2, name='a')"


def test_replace_and_asdict_accept_a_record():
    assert replace(Named(1, 2, "a"), x=5) == Named(5, 2, "a")
    assert asdict(Point(1, 2)) == {"x": 1, "y": 2}


def test_a_record_that_contains_a_list_is_not_hashable():
    with pytest.raises(TypeError, match="unhashable"):
        hash(Listing())


def test_records_can_be_copied_and_pickled():
    assert pickle.loads(pickle.dumps(Named(1, 2, "a"))) == Named(1, 2, "a")
    assert copy.deepcopy(Listing([1])) == Listing([1])


def test_default_factory_is_called_for_each_record():
    assert Listing().items is not Listing().items


def test_a_missing_or_unknown_field_raises_type_error():
    with pytest.raises(TypeError, match="'x'"):
        Point()
    with pytest.raises(TypeError, match="z"):
        Point(1, z=2)
