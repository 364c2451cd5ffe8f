"""The terms of a group's logs, and the position at which each term starts."""

from __future__ import annotations

from mallowpass.core.calls import LogPosition, Report

__all__ = ["TermHistory"]

TERMS_MAX = 64


class TermHistory:
    """Determine whether a log contains a position of an older term.

    A log contains the position (T, p) if T is one of the log's terms and the log's
    next term starts above p. Only terms of this log count. If a primary was elected
    and replaced before a majority had its first entry, no log contains its term, so
    the start of that term is no evidence.
    """

    __slots__ = ("_older", "_starts")

    def __init__(self) -> None:
        self._starts: dict[int, int] = {}  # by term
        # Starts of the older terms of a log, newest first, by the term in which the
        # log ends. Logs that end in the same term have the same older terms, because
        # a term has only one primary.
        self._older: dict[int, tuple[LogPosition, ...]] = {}

    def add(self, report: Report) -> None:
        """Record the terms of a member's log."""
        term = report.received.term
        if report.term_start and term not in self._starts:
            self._starts[term] = report.term_start
        if report.term_starts:
            self._older[term] = report.term_starts
        for known in (self._starts, self._older):
            while len(known) > TERMS_MAX:
                del known[min(known)]

    def has_start_of(self, term: int) -> bool:
        """Return whether the start of a term is known."""
        return term in self._starts

    def discarded_by(self, position: LogPosition, end_term: int) -> LogPosition | None:
        """Return the start of the term that discarded a position from a log.

        The log ends in `end_term`. Return None if the log contains the position, or
        if the start of `end_term` is unknown.
        """
        if end_term <= position.term or end_term not in self._starts:
            return None
        older = self._older.get(end_term)
        if older is None:
            return self._discarded_by_any(position, end_term)
        following = LogPosition(end_term, self._starts[end_term])
        for start in older:
            if start.term <= position.term:
                break
            following = start
        else:
            # The position's term is older than all reported terms of the log.
            return following if following.position <= position.position else None
        if start.term != position.term or following.position <= position.position:
            return following
        return None

    def _discarded_by_any(
        self, position: LogPosition, end_term: int
    ) -> LogPosition | None:
        """Compare with all terms ever reported, for members that report no older ones.

        Terms whose entries no log contains count as well, so a position that is still
        in the log may be reported as discarded.
        """
        for term, start in self._starts.items():
            if position.term < term <= end_term and start <= position.position:
                return LogPosition(term, start)
        return None
