"""The version of the program tells its builds apart."""

from __future__ import annotations

from pathlib import Path

import pytest

from mallowpass import __version__
from mallowpass.versions import CHECKSUM_FILE, program_version, source_checksum


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """Return a package with source files."""
    for name in ("core/proxy/a.py", "core/b.py", "platform/c.py", "measure/d.py"):
        path = tmp_path / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("x = 1\n")
    return tmp_path


def test_version_of_the_package_and_a_checksum(root: Path):
    version, _, checksum = program_version(root).partition("+")
    assert version == __version__
    assert checksum == source_checksum(root)
    assert len(checksum) == 8


@pytest.mark.parametrize("name", ["core/proxy/a.py", "core/b.py", "platform/c.py"])
def test_a_source_file_that_a_host_runs_changes_the_version(root: Path, name: str):
    """Guard against two builds that decide differently, and have one version."""
    before = program_version(root)
    (root / name).write_text("x = 2\n")
    assert program_version(root) != before


def test_a_source_file_that_is_renamed_changes_the_version(root: Path):
    before = program_version(root)
    (root / "core/b.py").rename(root / "core/e.py")
    assert program_version(root) != before


def test_other_files_do_not_change_the_version(root: Path):
    """Guard against hosts of one build whose versions differ."""
    before = program_version(root)
    (root / "measure/d.py").write_text("x = 2\n")
    (root / "core/__pycache__").mkdir()
    (root / "core/__pycache__/b.cpython-311.pyc").write_bytes(b"x")
    assert program_version(root) == before


def test_a_build_without_source_files_tells_the_checksum_that_it_was_made_from(
    root: Path,
):
    before = program_version(root)
    (root / CHECKSUM_FILE).write_text(source_checksum(root) + "\n")
    for path in root.rglob("*.py"):
        path.unlink()
    assert program_version(root) == before


def test_the_program_has_a_version():
    assert program_version() == f"{__version__}+{source_checksum()}"
