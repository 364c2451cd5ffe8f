"""The launcher of the one binary: which folder it unpacks into, which copy it runs.

The launcher is compiled as in the build, with a small shell script as its payload and
with a folder of the test's own in place of the root of the system's folders.
"""

from __future__ import annotations

import hashlib
import os
import re
import shutil
import struct
import subprocess
from dataclasses import dataclass
from pathlib import Path

import pytest

from mallowpass.errors import Category, ErrorCode

PACKAGING = Path(__file__).resolve().parent.parent / "packaging"
PROGRAM = b'#!/bin/sh\necho "runs from ${0%/mallowpass}"\n'
LIBRARY = b"library " * 1000
RACERS = 8
LIMIT_S = 30.0
NOBODY = 65534

pytestmark = pytest.mark.skipif(
    shutil.which("gcc") is None, reason="gcc is only there where the binary is built"
)


@dataclass(frozen=True, slots=True)
class Machine:
    """A binary, and the folders of a machine without a memory file system."""

    binary: Path
    root: Path

    @property
    def home(self) -> Path:
        return self.root / "home"

    @property
    def cache(self) -> Path:
        return self.home / ".cache"

    @property
    def shared(self) -> Path:
        return self.root / "var" / "tmp"

    def launch(self, **environment: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [str(self.binary)],
            env={"HOME": str(self.home), "PATH": os.environ["PATH"]} | environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, **environment: str) -> tuple[int, str, str]:
        """Return exit code, the folder that the program ran from, standard error."""
        process = self.launch(**environment)
        output, errors = process.communicate(timeout=LIMIT_S)
        return process.returncode, output.removeprefix("runs from ").strip(), errors


def _entry(kind: bytes, path: str, content: bytes = b"", executable=False) -> bytes:
    # Equal sizes: a block that is stored as it is.
    packed = struct.pack("<II", len(content), len(content)) + content
    data = packed if kind == b"f" else content
    size = len(content) if kind == b"f" else 0
    header = struct.pack("<cBHQQ", kind, executable, len(path), size, len(data))
    return header + path.encode() + data


@pytest.fixture(scope="module")
def launcher(tmp_path_factory) -> tuple[bytes, Path]:
    """Compile the launcher; return it and the root that it takes for the system's."""
    folder = tmp_path_factory.mktemp("launcher")
    root = folder / "root"
    program = folder / "launcher"
    sources = sorted(str(path) for path in PACKAGING.glob("*.c"))
    seam = f'-DSYSTEM_ROOT="{root}"'
    flags = ["-O1", "-Wall", "-Wextra", "-Werror", "-static", seam]
    subprocess.run(["gcc", *flags, "-o", str(program), *sources], check=True)
    return program.read_bytes(), root


@pytest.fixture
def machine(launcher, tmp_path) -> Machine:
    program, root = launcher
    shutil.rmtree(root, ignore_errors=True)
    payload = b"".join(
        (
            _entry(b"d", "_internal"),
            _entry(b"f", "_internal/library.so", LIBRARY),
            _entry(b"l", "_internal/link.so", b"library.so"),
            _entry(b"f", "mallowpass", PROGRAM, executable=True),
        )
    )
    digest = hashlib.sha256(payload).hexdigest()[:32].encode()
    unpacked = len(LIBRARY) + len(PROGRAM)
    footer = struct.pack("<8s32sQQQ", b"MALLOWP1", digest, len(program), unpacked, 4)
    binary = tmp_path / "binary"
    binary.write_bytes(program + payload + footer)
    binary.chmod(0o755)
    machine = Machine(binary, root)
    machine.home.mkdir(parents=True, mode=0o755)
    machine.shared.mkdir(parents=True)
    machine.shared.chmod(0o1777)
    return machine


def test_without_a_memory_file_system_it_runs_from_the_home_folders_cache(machine):
    # As a new user would start it: /tmp is on a disk, there is no folder of the user's
    # in /run. It ended with code 1 and asked for a memory file system.
    code, ran_from, errors = machine.run()
    assert code == 0, errors
    assert Path(ran_from).parent == machine.cache
    assert machine.cache.stat().st_mode & 0o777 == 0o700
    assert errors.count("\n") == 1
    assert ran_from in errors


def test_the_users_cache_variable_goes_before_the_home_folder(machine, tmp_path):
    named = tmp_path / "named"
    code, ran_from, errors = machine.run(XDG_CACHE_HOME=str(named))
    assert (code, Path(ran_from).parent) == (0, named), errors
    assert not machine.cache.exists()


def test_without_a_home_folder_it_runs_from_the_shared_one(machine):
    code, ran_from, errors = machine.run(HOME="")
    assert (code, Path(ran_from).parent) == (0, machine.shared), errors
    assert Path(ran_from).stat().st_mode & 0o777 == 0o700


def test_a_cache_that_others_may_write_to_is_passed_over(machine):
    # Without the sticky bit others could exchange the copy after it was looked at.
    machine.cache.mkdir()
    machine.cache.chmod(0o777)
    code, ran_from, errors = machine.run()
    assert (code, Path(ran_from).parent) == (0, machine.shared), errors


def test_no_cache_is_made_in_a_home_folder_that_others_control(machine):
    # Started by root with the variables of another user, it would leave that user a
    # cache folder which is root's, and all programs that need one fail.
    if os.geteuid() == 0:
        os.chown(machine.home, NOBODY, NOBODY)
    else:
        machine.home.chmod(0o777)
    code, ran_from, errors = machine.run()
    assert (code, Path(ran_from).parent) == (0, machine.shared), errors
    assert not machine.cache.exists()


def test_starts_at_once_share_one_copy(machine):
    starts = [machine.launch() for _ in range(RACERS)]
    outputs = [start.communicate(timeout=LIMIT_S) for start in starts]
    assert [start.returncode for start in starts] == [0] * RACERS, outputs
    assert len(list(machine.cache.iterdir())) == 1
    assert len({output for output, _ in outputs}) == 1


@pytest.mark.parametrize("damage", ["changed", "cut off", "zeros", "gone", "a link"])
def test_a_copy_of_other_content_is_never_run(machine, damage):
    # A loss of power may leave a file with its size and without its content: the copy
    # looked whole by its names and sizes.
    _, copy, _ = machine.run()
    program = Path(copy) / "mallowpass"
    content = {
        "changed": PROGRAM.replace(b"runs", b"ruin"),
        "cut off": PROGRAM[:-9],
        "zeros": bytes(len(PROGRAM)),
    }.get(damage, PROGRAM)
    program.unlink()
    if damage == "a link":
        program.symlink_to(machine.home / "elsewhere")
        (machine.home / "elsewhere").write_bytes(PROGRAM)
    elif damage != "gone":
        program.write_bytes(content)
        program.chmod(0o700)
    code, ran_from, errors = machine.run()
    assert (code, ran_from) == (0, copy), errors
    assert program.read_bytes() == PROGRAM
    assert not program.is_symlink()


@pytest.mark.parametrize("foreign", ["open to others", "another user's"])
def test_a_copy_that_others_control_is_never_run(machine, foreign):
    _, copy, _ = machine.run(HOME="")
    if foreign == "open to others":
        Path(copy).chmod(0o755)
    elif os.geteuid() == 0:
        os.chown(copy, NOBODY, NOBODY)
    else:
        pytest.skip("only root may give a folder away")
    code, ran_from, errors = machine.run(HOME="")
    assert code == 0, errors
    assert ran_from != copy
    assert Path(ran_from).parent == machine.shared


def test_what_a_dead_start_left_is_removed(machine):
    _, copy, _ = machine.run()
    Path(f"{copy}.abcdef").mkdir(mode=0o700)
    machine.run()
    assert [str(path) for path in machine.cache.iterdir()] == [copy]


def test_without_any_folder_it_names_the_code_and_what_to_do(machine):
    machine.shared.rmdir()
    code, _, errors = machine.run(HOME="")
    assert code == 1
    assert ErrorCode.NO_UNPACK_FOLDER.code in errors
    assert "MALLOWPASS_UNPACK_DIR" in errors


def test_a_named_folder_that_will_not_do_has_a_code(machine):
    code, _, errors = machine.run(MALLOWPASS_UNPACK_DIR=str(machine.root / "none"))
    assert code == 1
    assert ErrorCode.UNPACK_FOLDER_UNUSABLE.code in errors


def test_a_binary_that_is_cut_off_has_a_code(machine):
    machine.binary.write_bytes(machine.binary.read_bytes()[:-5])
    code, _, errors = machine.run()
    assert code == 1
    assert ErrorCode.BINARY_DAMAGED.code in errors


def test_the_launchers_codes_are_those_of_the_errors_page():
    sources = "".join(path.read_text() for path in PACKAGING.glob("*.[ch]"))
    named = set(re.findall(r"#define (\w+) \"(MP-\d{4})\"", sources))
    listed = {
        (entry.name, entry.code)
        for entry in ErrorCode
        if entry.category is Category.START
    }
    assert named == listed
