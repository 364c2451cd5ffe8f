"""Keep the pages' links and command names true."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from mallowpass.cli.main import cli

ROOT = Path(__file__).parent.parent
PAGES = sorted(
    [ROOT / "README.md", *ROOT.glob("docs/**/*.md"), *ROOT.glob("examples/*/*.md")]
)

_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
_COMMAND = re.compile(r"^(?:    )?mallowpass ([a-z]+)", re.MULTILINE)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_somewhere(page):
    links = _LINK.findall(page.read_text(encoding="utf-8"))
    missing = [link for link in links if not (page.parent / link).exists()]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_commands_exist(page):
    named = set(_COMMAND.findall(page.read_text(encoding="utf-8")))
    assert named <= set(cli.list_commands(None))
