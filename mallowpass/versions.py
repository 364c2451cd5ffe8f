"""The version of the program, with a checksum that tells its builds apart."""

from __future__ import annotations

from pathlib import Path
from zlib import crc32

from mallowpass import __version__

__all__ = ["CHECKSUM_FILE", "program_version", "source_checksum"]

# Beside this module where no source files are shipped; `packaging` writes it.
CHECKSUM_FILE = "checksum.txt"
# What hosts run: other packages change nothing that a host decides.
_PACKAGES = ("core", "platform")

_ROOT = Path(__file__).parent


def program_version(root: Path = _ROOT) -> str:
    """Return the version of the package and the checksum of its source files."""
    try:
        checksum = (root / CHECKSUM_FILE).read_text().strip()
    except OSError:
        checksum = source_checksum(root)
    return f"{__version__}+{checksum}"


def source_checksum(root: Path = _ROOT) -> str:
    """Return a checksum of the source files that a host runs."""
    checksum = 0
    for package in _PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            checksum = crc32(path.relative_to(root).as_posix().encode(), checksum)
            checksum = crc32(path.read_bytes(), checksum)
    return f"{checksum:08x}"
