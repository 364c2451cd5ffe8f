"""Reloading settings while a host runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

from mallowpass.platform.runtime import HostRuntime
from mallowpass.platform.settings import load_settings
from mallowpass.standins.proxied.platform import MemoryLog

TEXT = """
nodeName = "h"
zone = "casa"
[listen]
front = "127.0.0.1:8784"
ready = "127.0.0.1:8785"
[bounds]
graceS = 6
[platform]
address = "127.0.0.1:8783"
"""


def _reload(path: Path, text: str) -> tuple[HostRuntime, MemoryLog]:
    async def run() -> tuple[HostRuntime, MemoryLog]:
        path.write_text(TEXT)
        log = MemoryLog()
        host = HostRuntime(load_settings(path), log, path)
        path.write_text(text)
        host.reload()
        return host, log

    return asyncio.run(run())


def test_change_is_in_force_and_told(tmp_path):
    text = TEXT.replace("graceS = 6", "graceS = 4").replace("8784", "8799")
    host, log = _reload(tmp_path / "local.toml", text)
    assert host._settings.grace == 4.0
    assert host._settings.callers.port == 8784
    assert log.fields("reloaded") == [
        {"changed": "callers,grace", "at_next_start": "callers"}
    ]


def test_wrong_file_changes_nothing(tmp_path):
    host, log = _reload(tmp_path / "local.toml", TEXT.replace("zone", "zonk"))
    assert host._settings.failure_domain == "casa"
    assert "zone" in str(log.fields("reload_refused")[0]["why"])
