"""The long run of the whole system's machine; `make fuzz` and its seed start it."""

from __future__ import annotations

from tests.fuzz.machine import WholeSystem

TestWholeSystem = WholeSystem.TestCase
