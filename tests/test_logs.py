"""Check that each event is one line and that no secret is in it."""

from __future__ import annotations

import io
import json
import logging
from dataclasses import dataclass

import pytest

from mallowpass.logs import configure_logging, log_event
from mallowpass.settings import LogSection

LOGGER = logging.getLogger("mallowpass.test")
SECRET = "hunter2-hunter2"


@dataclass(frozen=True)
class Request:
    request_id: str
    session_token: str


@pytest.fixture(params=["keyvalue", "json"])
def lines(request):
    stream = io.StringIO()
    root, own = logging.getLogger(), logging.getLogger("mallowpass")
    levels = root.level, own.level
    handler = configure_logging(LogSection(format=request.param), stream)
    yield lambda: stream.getvalue().splitlines()
    root.removeHandler(handler)
    root.setLevel(levels[0])
    own.setLevel(levels[1])


@pytest.mark.parametrize("lines", ["keyvalue"], indirect=True)
def test_key_value_line(lines):
    log_event(
        LOGGER, "info", "statement_done", ms=1.5, sql="select 1", ok=True, level="x"
    )
    ts, rest = lines()[0].split(" ", 1)
    assert ts.startswith("ts=") and ts.endswith("Z")
    assert rest == (
        'level=info event=statement_done ms=1.5 sql="select 1" ok=true level_=x'
    )


@pytest.mark.parametrize("lines", ["json"], indirect=True)
def test_json_line(lines):
    log_event(LOGGER, logging.WARNING, "endpoint_lost", endpoint="claims-0", term=3)
    line = json.loads(lines()[0])
    assert line.pop("ts").endswith("Z")
    assert line == {
        "level": "warning",
        "event": "endpoint_lost",
        "endpoint": "claims-0",
        "term": 3,
    }


@pytest.mark.parametrize("value", ["a\nts=forged", "a\u2028b", 'a"b', "", "a\x1b[0m"])
def test_value_cannot_forge_a_line(lines, value):
    log_event(LOGGER, "info", "refused", name=value)
    (line,) = lines()
    assert line.isprintable()


@pytest.mark.parametrize(
    "fields",
    [
        {"key": SECRET},
        {"operator_key": SECRET},
        {"sessionToken": SECRET},
        {"password": SECRET, "secret": SECRET},
        {"params": (SECRET,)},
        {"call": {"parameters": [SECRET]}},
        {"request": Request("r-1", SECRET)},
        {"requests": [Request("r-1", SECRET)]},
        {"raw": SECRET.encode()},
    ],
)
def test_secret_is_redacted(lines, fields):
    log_event(LOGGER, "info", "call_refused", **fields)
    (line,) = lines()
    assert "call_refused" in line
    assert SECRET not in line


def test_traceback_stays_on_one_line(lines):
    try:
        raise ValueError("first\nsecond")
    except ValueError:
        LOGGER.exception("tick_failed")
    (line,) = lines()
    assert "ValueError" in line


def test_levels_below_the_chosen_one_and_libraries_are_silent(lines):
    log_event(LOGGER, "debug", "probe")
    logging.getLogger("websockets.client").debug("frame %s", SECRET)
    assert lines() == []
