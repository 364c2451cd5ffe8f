"""Which terms a group's logs are made of, and where each of them starts."""

from __future__ import annotations

from mallowpass.core.calls import LogPosition, Report

__all__ = ["TermHistory"]

TERMS_KEPT = 64


class TermHistory:
    """Tell whether a log that ends in some term contains a place of an older one.

    A place (T, p) is in a log if T is one of the log's terms and the next of them
    starts above p. The log's own terms count: one that was elected and replaced
    before a majority had its first entry is in no log any more, and where it
    started says nothing.
    """

    __slots__ = ("_older", "_starts")

    def __init__(self) -> None:
        self._starts: dict[int, int] = {}  # by term
        # By the term that a log ends in: the older ones, newest first. Two logs
        # that end in one term have the same ones, because it had one primary.
        self._older: dict[int, tuple[LogPosition, ...]] = {}

    def learn(self, report: Report) -> None:
        """Remember the terms of a member's log."""
        term = report.received.term
        if report.term_start and term not in self._starts:
            self._starts[term] = report.term_start
        if report.term_starts:
            self._older[term] = report.term_starts
        for known in (self._starts, self._older):
            while len(known) > TERMS_KEPT:
                del known[min(known)]

    def knows(self, term: int) -> bool:
        """Tell whether it is known where a term starts."""
        return term in self._starts

    def dropped_by(self, place: LogPosition, end_term: int) -> LogPosition | None:
        """Return the start of the term that dropped a place from a log, None: it is in.

        The log ends in `end_term`.
        """
        if end_term <= place.term or end_term not in self._starts:
            return None
        older = self._older.get(end_term)
        if older is None:
            return self._dropped_by_any(place, end_term)
        following = LogPosition(end_term, self._starts[end_term])
        for start in older:
            if start.term <= place.term:
                break
            following = start
        else:
            # Its own term is older than those told of, or is none of the log's.
            return following if following.position <= place.position else None
        if start.term != place.term or following.position <= place.position:
            return following
        return None

    def _dropped_by_any(self, place: LogPosition, end_term: int) -> LogPosition | None:
        """Judge by all terms ever seen: the member tells no older ones."""
        for term, start in self._starts.items():
            if place.term < term <= end_term and start <= place.position:
                return LogPosition(term, start)
        return None
