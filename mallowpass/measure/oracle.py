"""Know every write and judge every answer.

Each record has a key and versions that only rise; one session writes a key. So a
read's answer, one version, tells whether it was stale, for its own session, for a
session that had seen more, or for the age that it accepted.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowpass.core.calls import Outcome

__all__ = ["Finding", "Oracle", "Violations"]

FINDINGS_KEPT = 20


@dataclass(frozen=True, slots=True)
class Finding:
    """Tell of one violation."""

    kind: str
    text: str


@dataclass(frozen=True, slots=True)
class Violations:
    """Count violations; all are to be 0."""

    stale_own: int = 0  # a session did not see its own write
    stale_seen: int = 0  # a session saw less than before
    stale_age: int = 0  # data older than the accepted age
    doubled: int = 0  # a write ran twice
    lost: int = 0  # an acknowledged write is gone
    ran_not_run: int = 0  # a write answered NOT_RUN did run
    misdelivered: int = 0  # an answer to another statement
    findings: tuple[Finding, ...] = ()

    @property
    def total(self) -> int:
        """Return how many there are."""
        counts = (getattr(self, name) for name in COUNTED)
        return sum(counts)


COUNTED = tuple(name for name in Violations.__dataclass_fields__ if name != "findings")


@dataclass(slots=True)
class _Key:
    """Hold what is known of one key; versions and times of acknowledgement."""

    outcomes: dict[int, Outcome | None] = field(default_factory=dict)
    versions: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)

    def acknowledged_before(self, at: float) -> int:
        """Return the newest version acknowledged at a time, 0 for none."""
        index = bisect_right(self.times, at)
        return self.versions[index - 1] if index else 0


class Oracle:
    """Keep the writes' outcomes and the sessions' views, and find violations."""

    def __init__(self) -> None:
        self._keys: dict[str, _Key] = {}
        self._views: dict[tuple[str, str], int] = {}  # by session and key
        self._own: dict[tuple[str, str], int] = {}  # acknowledged to the session
        self._counts: Counter[str] = Counter()
        self._findings: list[Finding] = []

    @property
    def violations(self) -> Violations:
        """Return what was found so far."""
        return Violations(**self._counts, findings=tuple(self._findings))

    # -- Writes --------------------------------------------------------------

    def writing(self, key: str, version: int) -> None:
        """Note that a write is asked for; its outcome is not known yet."""
        self._keys.setdefault(key, _Key()).outcomes[version] = None

    def wrote(
        self, session: str, key: str, version: int, outcome: Outcome, at: float
    ) -> None:
        """Note a write's outcome, as its session heard it at a time."""
        known = self._keys[key]
        known.outcomes[version] = outcome
        if outcome is not Outcome.DONE:
            return
        if known.versions and version < known.versions[-1]:
            raise ValueError(f"version {version} of {key} is out of order")
        known.versions.append(version)
        known.times.append(at)
        self._own[session, key] = version

    # -- Reads ---------------------------------------------------------------

    def needed(self, session: str, key: str, age: float | None, asked_at: float) -> int:
        """Return the least version that may be shown to a read asked at a time."""
        seen = self._views.get((session, key), 0)
        own = self._own.get((session, key), 0)
        return max(seen, own, self._aged(key, age, asked_at))

    def read(
        self, session: str, key: str, version: int, age: float | None, asked_at: float
    ) -> None:
        """Check the version that a read showed."""
        view = (session, key)
        where = f"{session} read {key} at {version}"
        self._expect("stale_own", version, self._own.get(view, 0), where)
        self._expect("stale_seen", version, self._views.get(view, 0), where)
        self._expect("stale_age", version, self._aged(key, age, asked_at), where)
        self._views[view] = max(version, self._views.get(view, 0))

    def answered(self, asked: tuple, answered: tuple) -> bool:
        """Check that an answer names its own statement."""
        if asked == answered:
            return True
        self._found("misdelivered", f"asked {asked}, answered {answered}")
        return False

    # -- At the end ----------------------------------------------------------

    def audit(self, rows: Iterable[tuple[str, int, int]], keys: Iterable[str]) -> None:
        """Check what a database holds of the keys: key, version, how often."""
        held = {(key, version): count for key, version, count in rows}
        for key in keys:
            for version, outcome in self._keys.get(key, _Key()).outcomes.items():
                self._audit(key, version, outcome, held.get((key, version), 0))

    def _audit(self, key: str, version: int, outcome: Outcome | None, count: int):
        where = f"{key} {version}, {outcome.value if outcome else 'open'}, {count}x"
        if count > 1:
            self._found("doubled", where)
        if outcome is Outcome.DONE and not count:
            self._found("lost", where)
        if outcome is Outcome.NOT_RUN and count:
            self._found("ran_not_run", where)

    # -- Private -------------------------------------------------------------

    def _aged(self, key: str, age: float | None, asked_at: float) -> int:
        if age is None or key not in self._keys:
            return 0
        return self._keys[key].acknowledged_before(asked_at - age)

    def _expect(self, kind: str, version: int, least: int, where: str) -> None:
        if version < least:
            self._found(kind, f"{where}, not {least}")

    def _found(self, kind: str, text: str) -> None:
        self._counts[kind] += 1
        if len(self._findings) < FINDINGS_KEPT:
            self._findings.append(Finding(kind, text))
