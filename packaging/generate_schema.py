"""Generate protobuf and gRPC code next to its .proto files, for `make schema`.

protoc writes absolute imports for files of one folder (`import callers_pb2`), which
only work with that folder on sys.path; they are rewritten to be package-relative.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

_SIBLING_IMPORT = re.compile(r"^import (\w+_pb2) as ", re.MULTILINE)
_SERVICE = re.compile(r"^service \w+", re.MULTILINE)
_SIBLING_FROM = re.compile(r"^import (\w+_pb2)$", re.MULTILINE)


def generate(schemas: list[Path]) -> int:
    """Run protoc on schemas of one folder, then mend the imports; return its code."""
    folder = schemas[0].parent
    well_known = Path(grpc_tools.__file__).parent / "_proto"
    status = protoc.main(
        [
            "protoc",
            f"--proto_path={folder}",
            f"--proto_path={well_known}",
            f"--python_out={folder}",
            f"--pyi_out={folder}",
            f"--grpc_python_out={folder}",
            *map(str, schemas),
        ]
    )
    if status == 0:
        _drop_empty(schemas)
        for generated in sorted(folder.glob("*_pb2*.py*")):
            _make_relative(generated)
    return status


def _drop_empty(schemas: list[Path]) -> None:
    """Remove the gRPC module of each schema that describes no service."""
    for schema in schemas:
        if not _SERVICE.search(schema.read_text(encoding="utf-8")):
            schema.with_name(f"{schema.stem}_pb2_grpc.py").unlink(missing_ok=True)


def _make_relative(generated: Path) -> None:
    """Rewrite imports of sibling modules in one generated file."""
    text = generated.read_text(encoding="utf-8")
    text = _SIBLING_IMPORT.sub(r"from . import \1 as ", text)
    text = _SIBLING_FROM.sub(r"from . import \1", text)
    generated.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(generate([Path(name) for name in sys.argv[1:]]))
