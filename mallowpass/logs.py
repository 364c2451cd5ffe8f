"""Logs: one line of key=value pairs for each event, or one JSON object.

Secrets never reach a line: a filter redacts fields by their names, also inside
mappings, lists and data classes, and the libraries' own debug logs, which print
whole frames, stay off.
"""

from __future__ import annotations

import dataclasses
import json
import logging
import re
from collections.abc import Mapping
from datetime import UTC, datetime
from functools import singledispatch
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from mallowpass.settings import LogSection

__all__ = [
    "KeyValueFormatter",
    "RedactingFilter",
    "configure_logging",
    "log_event",
]

ROOT_LOGGER = "mallowpass"
REDACTED = "[redacted]"
SECRET_WORDS = frozenset(
    {
        "key",
        "keys",
        "param",
        "parameter",
        "parameters",
        "params",
        "password",
        "secret",
        "secrets",
        "token",
        "tokens",
    }
)

_FIELDS = "event_fields"
_RESERVED = frozenset({"ts", "level", "event"})
_WORD_BREAK = re.compile(r"[^A-Za-z0-9]+|(?<=[a-z0-9])(?=[A-Z])")
_BARE_VALUE = re.compile(r"[^\s\"=\\]+")


def configure_logging(settings: LogSection, stream: TextIO) -> logging.Handler:
    """Send all logs to the stream; return the handler, so that it can be removed."""
    handler = logging.StreamHandler(stream)
    handler.addFilter(RedactingFilter())
    handler.setFormatter(_formatter(settings.format))
    root = logging.getLogger()
    root.addHandler(handler)
    # Libraries log whole messages at lower levels: tokens and parameters with them.
    root.setLevel(logging.WARNING)
    logging.getLogger(ROOT_LOGGER).setLevel(settings.level.upper())
    return handler


def log_event(
    logger: logging.Logger, level: int | str, event: str, /, **fields: object
) -> None:
    """Log an event with its fields; the level is a number or a name."""
    number = logging.getLevelName(level.upper()) if isinstance(level, str) else level
    if logger.isEnabledFor(number):
        logger.log(number, "%s", event, extra={_FIELDS: fields})


class RedactingFilter(logging.Filter):
    """Replace the values of secret fields, whoever logs them."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record's fields and let it pass."""
        fields = getattr(record, _FIELDS, None)
        if fields:
            setattr(record, _FIELDS, _redact(fields))
        return True


class KeyValueFormatter(logging.Formatter):
    """Write a record as ts, level and event, then its fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line, whatever the values hold."""
        pairs = _pairs(record, self)
        return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


class _JsonFormatter(JsonFormatter):
    """Write the same pairs as a JSON object."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        return log_data

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        # The library's own texts would repeat the event and the traceback.
        log_data.clear()
        log_data.update(_pairs(record, self))


def _formatter(name: str) -> logging.Formatter:
    if name == "json":
        return _JsonFormatter(json_default=str, json_ensure_ascii=True)
    return KeyValueFormatter()


def _pairs(record: logging.LogRecord, formatter: logging.Formatter) -> dict[str, Any]:
    at = datetime.fromtimestamp(record.created, UTC)
    pairs: dict[str, Any] = {
        "ts": at.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        "level": record.levelname.lower(),
        "event": record.getMessage(),
    }
    for key, value in getattr(record, _FIELDS, {}).items():
        pairs[f"{key}_" if key in _RESERVED else key] = value
    if record.exc_info:
        pairs["traceback"] = formatter.formatException(record.exc_info)
    return pairs


def _quote(value: object) -> str:
    text = _text(value)
    # A value with a line end in it would else forge a line of its own.
    if _BARE_VALUE.fullmatch(text) and text.isprintable():
        return text
    return json.dumps(text, ensure_ascii=not text.isprintable())


@singledispatch
def _text(value: object) -> str:
    return str(value)


@_text.register
def _(value: bool) -> str:
    return "true" if value else "false"


@_text.register
def _(value: float) -> str:
    return f"{value:.6g}"


@_text.register
def _(value: list | tuple) -> str:
    return ",".join(map(_text, value))


# -- Redaction


def _is_secret(name: str) -> bool:
    words = (word.lower() for word in _WORD_BREAK.split(name))
    return not SECRET_WORDS.isdisjoint(words)


@singledispatch
def _redact(value: object) -> object:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return _redact(
            {f.name: getattr(value, f.name) for f in dataclasses.fields(value)}
        )
    return value


@_redact.register
def _(value: bytes | bytearray) -> object:
    # Bytes are tokens, keys or parameters: no text that a reader wants is bytes.
    return f"{len(value)}B"


@_redact.register
def _(value: list | tuple) -> object:
    return [_redact(item) for item in value]


@_redact.register(Mapping)
def _(value: Mapping) -> object:
    return {
        name: REDACTED if _is_secret(str(name)) else _redact(item)
        for name, item in value.items()
    }
