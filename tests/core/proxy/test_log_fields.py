"""Fields of log lines that tell nothing are left out."""

from __future__ import annotations

import math

from mallowpass.core.proxy.logfields import age_text, present_fields


def test_fields_that_tell_nothing_are_left_out():
    fields = {"b": 1, "never": "never", "none": "none", "empty": "", "zero": 0}
    fields |= {"at_once": 0.0, "false": False, "true": True, "a": "no"}
    assert list(present_fields(fields).items()) == [
        ("b", 1),
        ("true", True),
        ("a", "no"),
    ]


def test_an_age_is_rounded_to_milliseconds():
    assert age_text(7.0, 4.49996) == 2.5
    assert age_text(7.0, -math.inf) == "never"
