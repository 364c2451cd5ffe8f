"""Recorded files come back as they were, and damaged ones with a code."""

from __future__ import annotations

import io

import pytest

from mallowpass.core.calls import Access, Outcome
from mallowpass.core.services import Objectives
from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.report.buckets import Bucket
from mallowpass.report.recording import (
    Gap,
    RecordedDecision,
    RecordingWriter,
    Violation,
    read_recording,
)

OBJECTIVES = {"claims-core": Objectives(0.99, 0.1, 2.0, 0.5)}


def entries():
    bucket = Bucket(5.0, 1.0, "claims-core")
    bucket.statements[Access.WRITE, Outcome.DONE] = 3
    bucket.statements[Access.READ, Outcome.UNKNOWN] = 1
    bucket.seconds[Access.WRITE].record(0.02, 3)
    bucket.ages.record(0.5)
    bucket.note_code("MP-4001")
    bucket.replica_reads = 2
    return [
        bucket,
        Gap("claims-core", "claims", 5.0, 6.5),
        RecordedDecision(5.5, "casa-0", "promote", "claims-core/claims", "why"),
        Violation("lost", "key 1"),
    ]


@pytest.fixture
def text():
    file = io.StringIO()
    writer = RecordingWriter(file, "test", OBJECTIVES)
    for entry in entries():
        writer.add(entry)
    writer.end()
    return file.getvalue()


def read(tmp_path, text):
    path = tmp_path / "samples"
    path.write_text(text)
    return read_recording(path)


def code_of(tmp_path, text):
    with pytest.raises(MallowpassError) as caught:
        read(tmp_path, text)
    return caught.value.error_code


def test_recording_comes_back_as_written(tmp_path, text):
    found = read(tmp_path, text)
    assert found.source == "test"
    assert found.objectives == OBJECTIVES
    kept = [*found.buckets, *found.gaps, *found.decisions, *found.violations]
    assert kept == entries()


def test_every_truncation_is_found(tmp_path, text):
    """Symptom: a report shows a budget as unspent.
    Sequence: the load tool was killed, or its file copied in part.
    Cause: a part of a file looks like a file of a shorter run.
    """
    for length in range(len(text) - 1):
        assert code_of(tmp_path, text[:length]) is ErrorCode.TRACE_DAMAGED


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"line":"gap"', '"line":"gulp"'),
        ('"write done":3', '"write gone":3'),
        ('"service":"claims-core","database"', '"serv":"claims-core","database"'),
        ("mallowpass-samples", "other-samples"),
        ('"lines":5', '"lines":6'),
        ('"objectives":{"claims-core":{', '"objectives":{"claims-core":{"x":1,'),
    ],
)
def test_damage_is_found(tmp_path, text, old, new):
    assert old in text
    assert code_of(tmp_path, text.replace(old, new)) is ErrorCode.TRACE_DAMAGED


def test_newer_version_is_told(tmp_path, text):
    newer = text.replace('"version":1', '"version":2', 1)
    assert code_of(tmp_path, newer) is ErrorCode.TRACE_TOO_NEW


def test_missing_file_is_told(tmp_path):
    with pytest.raises(MallowpassError, match="can't be read"):
        read_recording(tmp_path / "none")
