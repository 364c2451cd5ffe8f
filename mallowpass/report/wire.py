"""A host's history as messages of the operators' protocol, and back."""

from __future__ import annotations

from collections import Counter

from mallowpass.core.calls import Access, Outcome
from mallowpass.errors import ErrorCode, error_for
from mallowpass.report.buckets import Bucket, Times
from mallowpass.report.history import History
from mallowpass.report.recording import Gap, Recording
from mallowpass.schema import operators_pb2 as wire

__all__ = ["history_to_wire", "recording_from_wire"]


def history_to_wire(
    history: History, call: wire.HistoryCall, host: str
) -> wire.HistoryAnswer:
    """Answer an operator's call from a host's history."""
    buckets = history.buckets(call.service, call.since)
    gaps = history.gaps(call.service, call.since)
    return wire.HistoryAnswer(
        host=host, buckets=map(_bucket_to_wire, buckets), gaps=map(_gap_to_wire, gaps)
    )


def recording_from_wire(answer: wire.HistoryAnswer) -> Recording:
    """Return a host's answer as a recording; raise when it can't be one."""
    try:
        buckets = list(map(_bucket_from_wire, answer.buckets))
    except ValueError as error:
        code = ErrorCode.MALFORMED_MESSAGE
        raise error_for(code, str(error), host=answer.host) from None
    gaps = [Gap(g.service, g.database, g.began, g.ended) for g in answer.gaps]
    return Recording(answer.host, buckets=buckets, gaps=gaps)


def _bucket_to_wire(bucket: Bucket) -> wire.HistoryBucket:
    return wire.HistoryBucket(
        service=bucket.service,
        at=bucket.at,
        width=bucket.width,
        statements=[
            wire.HistoryCount(access=access.value, outcome=outcome.value, times=times)
            for (access, outcome), times in bucket.statements.items()
        ],
        codes=bucket.codes,
        replica_reads=bucket.replica_reads,
        primary_reads=bucket.primary_reads,
        read_times=bucket.seconds[Access.READ].bins,
        write_times=bucket.seconds[Access.WRITE].bins,
        ages=bucket.ages.bins,
    )


def _gap_to_wire(gap: Gap) -> wire.HistoryGap:
    return wire.HistoryGap(
        service=gap.service, database=gap.database, began=gap.began, ended=gap.ended
    )


def _bucket_from_wire(message: wire.HistoryBucket) -> Bucket:
    if not message.width > 0:
        raise ValueError(f"a bucket of width {message.width}")
    return Bucket(
        message.at,
        message.width,
        message.service,
        statements=Counter(
            {
                (Access(count.access), Outcome(count.outcome)): count.times
                for count in message.statements
            }
        ),
        codes=Counter(message.codes),
        replica_reads=message.replica_reads,
        primary_reads=message.primary_reads,
        seconds={
            Access.READ: Times(Counter(message.read_times)),
            Access.WRITE: Times(Counter(message.write_times)),
        },
        ages=Times(Counter(message.ages)),
    )
