"""The bounded, derandomized run of the whole system's state machine."""

from __future__ import annotations

from hypothesis import settings

from tests.fuzz.machine import WholeSystem

EXAMPLES = 25
STEPS = 40

TestWholeSystem = WholeSystem.TestCase
TestWholeSystem.settings = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
