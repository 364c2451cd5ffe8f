"""Traces: a host's events and decisions, recorded and replayed."""

from __future__ import annotations

from mallowpass.trace.format import ExpectedOutcome, TraceHeader, TraceReader
from mallowpass.trace.recorder import TraceRecorder
from mallowpass.trace.sinks import FileSink, MemorySink, ObjectStoreSink

__all__ = [
    "ExpectedOutcome",
    "FileSink",
    "MemorySink",
    "ObjectStoreSink",
    "TraceHeader",
    "TraceReader",
    "TraceRecorder",
]
