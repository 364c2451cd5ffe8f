"""Records behave as frozen data classes do."""

from __future__ import annotations

import copy
import pickle
from dataclasses import FrozenInstanceError, asdict, dataclass, field, replace

import pytest

from mallowpass.core.records import record


@record
class Point:
    """Hold a point."""

    x: int
    y: int = 0


@record
class Named(Point):
    """Hold a point that has a name."""

    name: str = ""


@dataclass(frozen=True, slots=True)
class Plain:
    """Hold what Point holds, as the library makes it."""

    x: int
    y: int = 0


@record
class Empty:
    """Hold nothing."""


@record
class Listing:
    """Hold something that has no hash."""

    items: list[int] = field(default_factory=list)


def test_records_are_compared_by_their_fields():
    assert Point(1, 2) == Point(1, 2)
    assert Point(1, 2) != Point(1, 3)
    assert len({Point(1, 2), Point(1, 2), Point(2, 1)}) == 2
    assert Empty() == Empty()


def test_records_of_other_classes_are_never_equal():
    assert Point(1, 2) != Named(1, 2)
    assert Point(1, 2) != Plain(1, 2)
    assert Point(1, 2) != (1, 2)


def test_a_record_can_not_be_changed():
    point = Point(1)
    with pytest.raises(FrozenInstanceError):
        point.x = 2
    with pytest.raises((FrozenInstanceError, TypeError, AttributeError)):
        point.z = 2
    assert not hasattr(point, "__dict__")


def test_a_record_is_printed_as_a_data_class_is():
    assert repr(Point(1, 2)) == repr(Plain(1, 2)).replace("Plain", "Point")
    assert repr(Named(1, 2, "a")) == "Named(x=1, y=2, name='a')"


def test_the_library_treats_a_record_as_a_data_class():
    assert replace(Named(1, 2, "a"), x=5) == Named(5, 2, "a")
    assert asdict(Point(1, 2)) == {"x": 1, "y": 2}


def test_a_record_that_holds_a_list_has_no_hash():
    with pytest.raises(TypeError, match="unhashable"):
        hash(Listing())


def test_records_can_be_copied_and_pickled():
    assert pickle.loads(pickle.dumps(Named(1, 2, "a"))) == Named(1, 2, "a")
    assert copy.deepcopy(Listing([1])) == Listing([1])


def test_each_record_has_a_list_of_its_own():
    assert Listing().items is not Listing().items


def test_a_field_that_is_missing_or_unknown_is_an_error():
    with pytest.raises(TypeError, match="'x'"):
        Point()
    with pytest.raises(TypeError, match="z"):
        Point(1, z=2)
