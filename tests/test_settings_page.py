"""Check that docs/SETTINGS.md lists every key with its default."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from mallowpass.settings import HostSettings, ServiceDefinition, StandinSettings, kinds
from mallowpass.units import format_duration, format_size

PAGE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
ROOTS = {
    "Host settings": HostSettings,
    "Stand-in settings": StandinSettings,
    "Service definition": ServiceDefinition,
}
TOP = "### At the top"


def rows_of_class(cls: type, heading: str = TOP, path: str = "") -> Iterator[tuple]:
    for field in dataclasses.fields(cls):
        key, kind = kinds.key_of(field), kinds.kind_of(field)
        below = f"{path}.{key}".lstrip(".")
        match kind:
            case kinds.TableKind():
                yield from rows_of_class(kind.cls, f"### `[{below}]`", below)
            case kinds.TableListKind():
                yield from rows_of_class(kind.cls, f"### `[[{below}]]`", below)
            case _:
                yield heading, f"`{key}`", write_default(field.default, kind)


def write_default(value: Any, kind: kinds.Kind) -> str:
    if value is dataclasses.MISSING:
        return "required"
    match kind, value:
        case _, "" | ():
            return "none"
        case kinds.DurationKind(), _:
            return f'`"{format_duration(value)}"`'
        case kinds.SizeKind(), _:
            return f'`"{format_size(value)}"`'
        case _, bool():
            return f"`{str(value).lower()}`"
        case _, str():
            return f'`"{value}"`'
    return f"`{value:g}`"


def rows_of_page(title: str) -> Iterator[tuple]:
    (part,) = re.findall(rf"^## {title}.*?(?=^## |\Z)", PAGE.read_text(), re.M | re.S)
    heading = ""
    for line in part.splitlines():
        if line.startswith("### "):
            heading = line
        elif line.startswith("| `"):
            cells = [cell.strip() for cell in line.split("|")]
            _, key, _, default, meaning, _ = cells
            assert meaning, line
            yield heading, key, default


@pytest.mark.parametrize("title", ROOTS)
def test_page_lists_the_keys_of_the_classes(title):
    assert sorted(rows_of_page(title)) == sorted(rows_of_class(ROOTS[title]))
