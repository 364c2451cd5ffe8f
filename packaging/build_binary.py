"""Build dist/mallowpass, the one file that ships, for `make build`.

PyInstaller collects the interpreter, the package and all libraries into one folder;
the folder is packed and appended to a small program (launcher.c) that unpacks it, into
memory where it can, and becomes it. docs/design/packaging.md says why.

Layout of the file: the launcher; then for each entry its header (kind, executable,
size of the path, size, packed size), its path and its packed data, a file's as blocks
(size, packed size, LZ4 data); then the footer (magic, content hash, offset of the
first entry, unpacked bytes, number of entries). All numbers are little-endian.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import struct
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import lz4.block
import PyInstaller.__main__

from mallowpass.versions import CHECKSUM_FILE, source_checksum

ROOT = Path(__file__).resolve().parent.parent
WORK = ROOT / "build" / "binary"
TARGET = ROOT / "dist" / "mallowpass"

MAGIC = b"MALLOWP1"
HASH_CHARACTERS = 32
BLOCK_BYTES = 4 << 20
COMPRESSION_LEVEL = 12

_ENTRY = struct.Struct("<cBHQQ")
_BLOCK = struct.Struct("<II")
_FOOTER = struct.Struct(f"<8s{HASH_CHARACTERS}sQQQ")

# Commands, adapters and systems are imported by name, so PyInstaller can't see them.
_COLLECTED = ("mallowpass", "opentelemetry.sdk", "opentelemetry.context")
# opentelemetry finds its context by entry point, others ask for their own version.
_WITH_METADATA = ("mallowpass", "opentelemetry-api", "opentelemetry-sdk")
# Libraries import these only if they are there; a proxy has no use for them.
_EXCLUDED = ("tkinter", "unittest", "pydoc", "doctest", "lib2to3", "setuptools", "pip")


class BuildError(RuntimeError):
    """Something the build needs is missing, or a step of it failed."""


def build() -> Path:
    """Collect, compile, pack; return the binary."""
    compiler = _require("gcc", "compiles the launcher, packaging/*.c")
    _require("objdump", "finds libraries for PyInstaller (Debian: binutils)")
    strip = _require("strip", "drops debug information (Debian: binutils)")
    shutil.rmtree(WORK, ignore_errors=True)
    WORK.mkdir(parents=True)
    collected = _collect()
    _strip_interpreter(strip, collected)
    launcher = _compile(compiler)
    _assemble(launcher, collected)
    return TARGET


def _require(tool: str, purpose: str) -> str:
    found = shutil.which(tool)
    if found is None:
        raise BuildError(f"{tool} is missing: it {purpose}")
    return found


def _collect() -> Path:
    entry = WORK / "entry.py"
    entry.write_text("from mallowpass.cli.main import main\n\nmain()\n")
    checksum = WORK / CHECKSUM_FILE
    checksum.write_text(source_checksum(ROOT / "mallowpass"))
    options = ["--onedir", "--noconfirm", "--name=mallowpass", "--log-level=WARN"]
    options += [f"--{name}path={WORK / name}" for name in ("dist", "work", "spec")]
    options += [f"--collect-submodules={name}" for name in _COLLECTED]
    options += [f"--copy-metadata={name}" for name in _WITH_METADATA]
    options += [f"--add-data={checksum}:mallowpass"]
    options += [f"--exclude-module={name}" for name in _EXCLUDED]
    PyInstaller.__main__.run([*options, f"--paths={ROOT}", str(entry)])
    return WORK / "dist" / "mallowpass"


def _strip_interpreter(strip: str, collected: Path) -> None:
    """Drop debug information of the interpreter, most of its size, and of no other.

    Libraries out of wheels had their dynamic sections rewritten by the tool that
    bundled them; strip has been known to break such files.
    """
    internal = collected / "_internal"
    libraries = [*internal.glob("libpython3*.so*"), *internal.glob("python3*/**/*.so")]
    for library in libraries:
        if not library.is_symlink():
            subprocess.run([strip, "--strip-unneeded", str(library)], check=True)


def _compile(compiler: str) -> bytes:
    program = WORK / "launcher"
    # Static: the launcher itself then needs no C library of the host.
    flags = ["-O2", "-Wall", "-Wextra", "-Werror", "-static", "-s"]
    sources = sorted(str(path) for path in Path(__file__).parent.glob("*.c"))
    result = subprocess.run([compiler, *flags, "-o", str(program), *sources])
    if result.returncode != 0:
        raise BuildError("gcc failed on the launcher (static C library missing?)")
    return program.read_bytes()


def _assemble(launcher: bytes, collected: Path) -> None:
    paths = sorted(collected.rglob("*"))
    payload = b"".join(_entry(path, collected) for path in paths)
    digest = hashlib.sha256(payload).hexdigest()[:HASH_CHARACTERS].encode()
    unpacked = sum(path.lstat().st_size for path in paths)
    footer = _FOOTER.pack(MAGIC, digest, len(launcher), unpacked, len(paths))
    TARGET.parent.mkdir(exist_ok=True)
    # Written aside: a running binary's file can't be written to, but replaced.
    unfinished = TARGET.with_suffix(".unfinished")
    unfinished.write_bytes(launcher + payload + footer)
    unfinished.chmod(0o755)
    unfinished.replace(TARGET)
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size:,} bytes, ", end="")
    print(f"{unpacked:,} unpacked, {len(paths)} entries, content {digest.decode()}")


def _entry(path: Path, collected: Path) -> bytes:
    name = str(path.relative_to(collected)).encode()
    if path.is_symlink():
        kind, size, data = b"l", 0, os.readlink(path).encode()
    elif path.is_dir():
        kind, size, data = b"d", 0, b""
    else:
        content = path.read_bytes()
        kind, size, data = b"f", len(content), b"".join(_blocks(content))
    executable = kind == b"f" and os.access(path, os.X_OK)
    return _ENTRY.pack(kind, executable, len(name), size, len(data)) + name + data


def _blocks(content: bytes) -> Iterator[bytes]:
    for start in range(0, len(content), BLOCK_BYTES):
        block = content[start : start + BLOCK_BYTES]
        packed = lz4.block.compress(
            block,
            mode="high_compression",
            compression=COMPRESSION_LEVEL,
            store_size=False,
        )
        # The launcher takes equal sizes for a block that is stored as it is.
        data = packed if len(packed) < len(block) else block
        yield _BLOCK.pack(len(block), len(data)) + data


if __name__ == "__main__":
    try:
        build()
    except BuildError as error:
        sys.exit(f"make build: {error}")
