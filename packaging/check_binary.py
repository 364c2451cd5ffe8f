"""Check dist/mallowpass at the end of `make build`; exit 1 with what is wrong.

It must answer `--version` from an empty memory folder and from a filled one, with
several processes starting at once, do the same as a new user starts it on a machine
whose folders are all on a disk, load every command, hold the demo's checks, and never
start a process: seen by reading /proc all the while and, since a short child
could slip between two looks, enforced by a system call filter under which a fork ends
the program.
"""

from __future__ import annotations

import ctypes
import os
import platform
import shutil
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from mallowpass.versions import program_version

FOLDER_VARIABLE = "MALLOWPASS_UNPACK_DIR"
MEMORY = Path("/run")
RACERS = 8
LIMIT_S = 60.0
# The C library's own files: all that a host has to have.
HOST_LIBRARIES = ("ld-linux", "libc.so", "libdl.so", "libm.so", "libpthread.so")
HOST_LIBRARIES += ("librt.so", "libutil.so")
# The dynamic linker's index of the host: read where there is one, no library itself.
LINKER_INDEX = "/etc/ld.so.cache"
# Where the binary looks for a memory file system, besides the user's own folder.
MEMORY_FOLDERS = (MEMORY, Path("/tmp"))
MEMORY_KINDS = ("tmpfs", "ramfs")
# A binary that forks only once its caches are there would pass a single start.
STARTS = 3

# -- The system call filter (x86-64): classic BPF over struct seccomp_data

_LOAD, _IF_EQUAL, _IF_ANY_BIT, _RETURN = 0x20, 0x15, 0x45, 0x06
_ALLOW, _KILL, _NO_SUCH_CALL = 0x7FFF0000, 0x80000000, 0x00050000 | 38
_CLONE, _FORK, _VFORK, _CLONE3 = 56, 57, 58, 435
_CLONE_THREAD = 0x00010000
_PR_SET_NO_NEW_PRIVS, _PR_SET_SECCOMP, _SECCOMP_MODE_FILTER = 38, 22, 2
# clone3 hides its flags behind a pointer: refused, so the C library takes clone.
_PROGRAM = (
    (_LOAD, 0, 0, 0),
    (_IF_EQUAL, 6, 0, _FORK),
    (_IF_EQUAL, 5, 0, _VFORK),
    (_IF_EQUAL, 5, 0, _CLONE3),
    (_IF_EQUAL, 0, 2, _CLONE),
    (_LOAD, 0, 0, 16),
    (_IF_ANY_BIT, 0, 1, _CLONE_THREAD),
    (_RETURN, 0, 0, _ALLOW),
    (_RETURN, 0, 0, _KILL),
    (_RETURN, 0, 0, _NO_SUCH_CALL),
)


class _FilterProgram(ctypes.Structure):
    _fields_ = (("length", ctypes.c_ushort), ("code", ctypes.c_char_p))


def _forbid_processes() -> None:
    """Make a fork end this process (threads stay allowed), also after exec."""
    libc = ctypes.CDLL(None, use_errno=True)
    code = b"".join(struct.pack("<HBBI", *step) for step in _PROGRAM)
    program = _FilterProgram(len(_PROGRAM), code)
    if libc.prctl(_PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 or (
        libc.prctl(_PR_SET_SECCOMP, _SECCOMP_MODE_FILTER, ctypes.byref(program)) != 0
    ):
        raise OSError(ctypes.get_errno(), "seccomp filter refused")


# -- The checks


class CheckError(AssertionError):
    """The binary doesn't do what it must."""


def check(binary: Path, folder: Path) -> None:
    """Run all checks with `folder`, empty and in memory, to unpack into."""
    for start in range(STARTS):
        seen = _watched(_start(binary, folder), folder)
        print(f"start {start + 1}: {seen} looks, no child, no library of the host")
    _check_filter_bites()
    _expect_version(_start(binary, folder, _forbid_processes))
    _empty(folder)
    _expect_version(_start(binary, folder, _forbid_processes))
    print("under a filter that ends a fork: runs, unpacked before and not")
    _empty(folder)
    for racer in [_start(binary, folder) for _ in range(RACERS)]:
        _expect_version(racer)
    _expect_one_copy(folder)
    print(f"{RACERS} first starts at once: all answer, one copy stays")
    _check_repair(binary, folder, {FOLDER_VARIABLE: str(folder), "PATH": ""})
    print("a damaged copy and one of a dead process: replaced and removed")
    # Modules are imported by name, so one that was not bundled shows only in use.
    _expect(_start(binary, folder, _forbid_processes, ["--help"]), "Usage:")
    _expect(_start(binary, folder, _forbid_processes, ["demo"]), "")
    print("--help loads every command, the demo's checks hold: under the same filter")


def check_disk(binary: Path, home: Path) -> None:
    """Start as a new user does, with a home folder on a disk; damage the copy."""
    environment = {"HOME": str(home), "PATH": ""}
    cache = home / ".cache"
    offered = [
        str(f) for f in MEMORY_FOLDERS if _is_memory(f) and os.access(f, os.W_OK)
    ]
    if offered:
        # The choice itself is then seen in tests/test_launcher.py only.
        print(f"in memory here: {offered}; the disk is named for the checks on it")
        cache.mkdir()
        environment[FOLDER_VARIABLE] = str(cache)
    for racer in [_run(binary, environment) for _ in range(RACERS)]:
        _expect_version(racer)
    _expect_one_copy(cache)
    _check_repair(binary, cache, environment)
    if not _is_memory(cache):
        _check_content(binary, cache, environment)
    process = _run(binary, environment, _forbid_processes)
    _, errors = process.communicate(timeout=LIMIT_S)
    if process.returncode != 0 or errors.count("\n") != (0 if offered else 1):
        raise CheckError(f"not one line that says where it runs from: {errors!r}")
    print(f"on a disk: {RACERS} starts at once, one copy; damaged ones are replaced")


def _is_memory(folder: Path) -> bool:
    mounts = [line.split() for line in Path("/proc/mounts").read_text().splitlines()]
    above = [mount for mount in mounts if folder.is_relative_to(mount[1])]
    # The last of equal length is the one mounted on top.
    nearest = max(enumerate(above), key=lambda pair: (len(pair[1][1]), pair[0]))[1]
    return nearest[2] in MEMORY_KINDS


def _start(
    binary: Path,
    folder: Path,
    prepare: Callable[[], None] | None = None,
    arguments: Sequence[str] = ("--version",),
) -> subprocess.Popen[str]:
    # No home, no temporary folder, an empty path: only the memory folder is there.
    environment = {FOLDER_VARIABLE: str(folder), "HOME": "/nonexistent", "PATH": ""}
    return _run(binary, environment, prepare, arguments)


def _run(
    binary: Path,
    environment: dict[str, str],
    prepare: Callable[[], None] | None = None,
    arguments: Sequence[str] = ("--version",),
) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [str(binary), *arguments],
        env=environment | {"TMPDIR": "/nonexistent"},
        preexec_fn=prepare,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def _expect_version(process: subprocess.Popen[str]) -> None:
    # The binary has no source files, and tells the checksum of those it is made from.
    _expect(process, f"mallowpass, version {program_version()}\n")


def _expect(process: subprocess.Popen[str], beginning: str) -> None:
    """Wait for exit code 0 and an output that starts as it must."""
    output, errors = process.communicate(timeout=LIMIT_S)
    if process.returncode != 0 or not output.startswith(beginning):
        run = f"{process.args} ended with {process.returncode}"
        raise CheckError(f"{run}\n{output}\n{errors}")


def _watched(process: subprocess.Popen[str], folder: Path) -> int:
    """Look for children and foreign libraries; return how often was looked."""
    tasks = Path(f"/proc/{process.pid}/task")
    looks = 0
    give_up = time.monotonic() + LIMIT_S
    while process.poll() is None and time.monotonic() < give_up:
        children = _children(tasks)
        if children:
            process.kill()
            raise CheckError(f"process {process.pid} has children: {children}")
        foreign = _foreign_libraries(process.pid, folder)
        if foreign:
            process.kill()
            raise CheckError(f"loaded from the host, not the binary: {foreign}")
        looks += 1
    _expect_version(process)
    return looks


def _children(tasks: Path) -> str:
    try:
        return " ".join(
            (task / "children").read_text().strip() for task in tasks.iterdir()
        ).strip()
    except (FileNotFoundError, ProcessLookupError):
        return ""  # it ended between two looks


def _foreign_libraries(process: int, folder: Path) -> list[str]:
    """List what is mapped from outside the unpacked copy and isn't the C library."""
    try:
        maps = Path(f"/proc/{process}/maps").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return []
    mapped = {line.split(maxsplit=5)[-1] for line in maps.splitlines()}
    return sorted(
        path
        for path in mapped
        if ".so" in path
        and path != LINKER_INDEX
        and not path.startswith(str(folder))
        and not Path(path).name.startswith(HOST_LIBRARIES)
    )


def _check_filter_bites() -> None:
    """Prove that the filter ends a fork, or what it lets pass says nothing."""
    if platform.machine() != "x86_64":
        raise CheckError(f"no system call filter for {platform.machine()}: add one")
    forks = [sys.executable, "-c", "import os; os.fork()"]
    if subprocess.run(forks, preexec_fn=_forbid_processes).returncode >= 0:
        raise CheckError("the system call filter lets a fork pass")


def _copies(folder: Path) -> list[Path]:
    return sorted(folder.iterdir())


def _expect_one_copy(folder: Path) -> None:
    if len(_copies(folder)) != 1:
        raise CheckError(f"not one copy left: {_copies(folder)}")


def _check_repair(binary: Path, folder: Path, environment: dict[str, str]) -> None:
    copy = _copies(folder)[0]
    next(path for path in copy.rglob("*.so*") if path.is_file()).unlink()
    copy.with_name(f"{copy.name}.abcdef").mkdir(mode=0o700)
    _expect_version(_run(binary, environment))
    _expect_one_copy(folder)
    if not any(copy.rglob("*.so*")):
        raise CheckError("the damaged copy was not replaced")


def _check_content(binary: Path, folder: Path, environment: dict[str, str]) -> None:
    # What a loss of power leaves: the size is there, the content isn't.
    library = next(path for path in _copies(folder)[0].rglob("libpython*.so*"))
    content = library.read_bytes()
    library.write_bytes(bytes(len(content)))
    _expect_version(_run(binary, environment))
    _expect_one_copy(folder)
    if library.read_bytes() != content:
        raise CheckError("a copy with the right sizes and other content was kept")


def _empty(folder: Path) -> None:
    for copy in _copies(folder):
        shutil.rmtree(copy)


def main(binary: Path) -> int:
    """Check `binary`; return the exit code."""
    base = MEMORY if os.access(MEMORY, os.W_OK) else None
    temporary = tempfile.TemporaryDirectory
    with (
        temporary(prefix="mallowpass-check-", dir=base) as folder,
        # Beside the binary: where it was built is a disk, or as good as one.
        temporary(prefix="check-home-", dir=binary.parent) as home,
    ):
        try:
            check(binary, Path(folder))
            check_disk(binary, Path(home))
        except (CheckError, OSError, subprocess.SubprocessError) as error:
            print(f"check_binary: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve()))
