"""Measure how ways of packing mallowpass start: `measure_start.py FILE...`.

For each file: its size, the medians of ten first starts (nothing unpacked yet) and ten
second starts of `--version`, what it leaves in memory or on disk, the peak resident
size of its largest process, and whether a child was seen in any of the starts.
"""

from __future__ import annotations

import os
import shutil
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

MEMORY = Path("/run")
STARTS = 10
# Every way's own variable for where it unpacks or keeps what it unpacked.
FOLDER_VARIABLES = ("MALLOWPASS_UNPACK_DIR", "TMPDIR", "SHIV_ROOT", "PEX_ROOT", "HOME")


@dataclass(frozen=True, slots=True)
class Start:
    """What one start took and showed."""

    seconds: float
    peak_bytes: int
    had_child: bool


def measure(binary: Path) -> str:
    """Return one row of the page's table."""
    with tempfile.TemporaryDirectory(prefix="measure-", dir=MEMORY) as name:
        folder = Path(name)
        first = [_first(binary, folder) for _ in range(STARTS)]
        second = [_start(binary, folder) for _ in range(STARTS)]
        left = sum(path.lstat().st_size for path in folder.rglob("*"))
    starts = first + second
    cells = (
        binary.name,
        f"{binary.stat().st_size / 1e6:.1f} MB",
        _milliseconds(first),
        _milliseconds(second),
        f"{left / 1e6:.1f} MB",
        f"{max(start.peak_bytes for start in starts) / 1e6:.0f} MB",
        f"{sum(start.had_child for start in starts)} of {len(starts)}",
    )
    return f"| {' | '.join(cells)} |"


def _milliseconds(starts: list[Start]) -> str:
    return f"{statistics.median(start.seconds for start in starts) * 1e3:.0f} ms"


def _first(binary: Path, folder: Path) -> Start:
    for item in folder.iterdir():
        shutil.rmtree(item) if item.is_dir() else item.unlink()
    return _start(binary, folder)


def _start(binary: Path, folder: Path) -> Start:
    environment = os.environ | dict.fromkeys(FOLDER_VARIABLES, str(folder))
    output = os.open(os.devnull, os.O_WRONLY)
    began = time.monotonic()
    process = os.posix_spawn(
        binary,
        [str(binary), "--version"],
        environment,
        file_actions=[(os.POSIX_SPAWN_DUP2, output, 1)],
    )
    os.close(output)
    had_child = False
    while True:
        had_child = had_child or _has_child(process)
        ended, status, usage = os.wait4(process, os.WNOHANG)
        if ended:
            break
    if status != 0:
        raise RuntimeError(f"{binary} --version: wait status {status}")
    # wait4 counts the process and the children it waited for; the largest of them.
    return Start(time.monotonic() - began, usage.ru_maxrss * 1024, had_child)


def _has_child(process: int) -> bool:
    try:
        tasks = list(Path(f"/proc/{process}/task").iterdir())
        return any((task / "children").read_text().strip() for task in tasks)
    except (FileNotFoundError, ProcessLookupError):
        return False


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        print(measure(Path(argument).resolve()), flush=True)
