"""The long run of the whole system's machine; `make fuzz` and its seed start it."""

from __future__ import annotations

from hypothesis import settings

from tests.fuzz.machine import WholeSystem

EXAMPLES = 900
STEPS = 100

TestWholeSystem = WholeSystem.TestCase
TestWholeSystem.settings = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
