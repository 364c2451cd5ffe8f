"""Findings: what is wrong in a settings file, with its place."""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.errors import ErrorCode, MallowpassError

__all__ = ["Finding", "KeyPath", "SettingsError", "render_path"]

# Strings are keys and integers are indexes into arrays: ("group", 0, "name").
KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """Tell one thing that is wrong; `line` counts from 1, 0 where there is none."""

    error_code: ErrorCode
    file: str
    line: int
    path: KeyPath
    message: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {render_path(self.path)}:" if self.path else ""
        return f"{place}:{key} {self.error_code.code} {self.message}"


class SettingsError(MallowpassError):
    """Report every finding of a file together."""

    def __init__(
        self,
        findings: tuple[Finding, ...],
        error_code: ErrorCode = ErrorCode.SETTINGS_INVALID,
    ) -> None:
        files = sorted({finding.file for finding in findings})
        super().__init__(error_code, file=", ".join(files), findings=len(findings))
        self.findings = findings

    def __str__(self) -> str:
        return "\n".join([super().__str__(), *map(str, self.findings)])


def render_path(path: KeyPath) -> str:
    """Return a key path as people write it, such as "group[0].name"."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".")
