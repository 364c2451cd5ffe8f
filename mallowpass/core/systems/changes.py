"""An operator's change of a service, from the request to a definite answer.

A change is a conditional write of one row. The platform's answer may be lost after
the write took effect. The row therefore records the ids of its latest changes: reading
it back shows the outcome of a write, and a change that is sent again takes effect only
once.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from mallowpass.core.codec import decode_service, encode_service
from mallowpass.core.node import Node
from mallowpass.core.operations import ChangeServiceRequest, ServiceChangedAnswer
from mallowpass.core.platformcalls import (
    PlatformFailed,
    PlatformReply,
    ReadRow,
    RowRead,
    RowWritten,
    TableRow,
    WriteRow,
)
from mallowpass.core.services import AcceptedChange, ServiceVersion
from mallowpass.core.systems.platformclient import PlatformClient
from mallowpass.errors import ErrorCode, MallowpassError

__all__ = ["SERVICES_TABLE", "Change", "content_hash", "decode_version"]

SERVICES_TABLE = "services"
HISTORY_LENGTH = 8  # changes that a row records
ATTEMPTS_MAX = 5  # writes and read-backs together
BACKOFF = 0.2  # seconds on average before the first read-back; doubled by each further

Callback = Callable[[ServiceChangedAnswer], None]


def content_hash(request: ChangeServiceRequest) -> bytes:
    """Return a hash of a change's content, which identifies the change with its id."""
    requested = ServiceVersion(request.name, request.from_version, request.service)
    return xxhash.xxh64_digest(encode_service(requested))


def decode_version(row: TableRow) -> ServiceVersion:
    """Return the version of a service in a row.

    Raise MallowpassError if the row contains no version, or if the version contradicts
    the row's key or version number.
    """
    version = decode_service(row.value)
    if (version.name, version.version) != (row.key, row.version):
        # Hosts compare the service's version, and the platform compares the row's. If
        # the two differed, hosts and the platform would never agree.
        raise MallowpassError(
            ErrorCode.MALFORMED_MESSAGE,
            "A row of the services table contradicts its key or version.",
            key=row.key,
            version=row.version,
        )
    return version


class Change:
    """Carry out one change; the callback gets exactly one answer."""

    __slots__ = (
        "_accept",
        "_attempts",
        "_callback",
        "_content",
        "_is_ambiguous",
        "_node",
        "_request",
    )

    def __init__(
        self,
        node: Node,
        request: ChangeServiceRequest,
        accept: Callable[[ServiceVersion], None],
        callback: Callback,
    ) -> None:
        self._node = node
        self._request = request
        self._accept = accept
        self._callback = callback
        self._content = content_hash(request)
        self._is_ambiguous = False  # whether a write was sent and its answer lost
        self._attempts = 0

    @property
    def _client(self) -> PlatformClient:
        return self._node.system(PlatformClient)

    @staticmethod
    def is_recorded(version: ServiceVersion | None, change_id: str) -> bool:
        """Return whether a version records a change among its latest ones."""
        changes = version.history if version else ()
        return any(change.change_id == change_id for change in changes)

    def start(self, known: ServiceVersion | None) -> None:
        """Start from the version that this host knows."""
        version = known.version if known else 0
        if version > self._request.from_version:
            self._answer_from(known)
        elif version < self._request.from_version:
            self._read_back()
        else:
            self._write(known)

    # -- Writing -------------------------------------------------------------

    def _write(self, known: ServiceVersion | None) -> None:
        self._attempts += 1
        request = self._request
        row = WriteRow(
            SERVICES_TABLE,
            request.name,
            request.from_version,
            encode_service(self._new_version(known)),
        )
        self._client.call(row, self._on_written, urgent=True)

    def _new_version(self, known: ServiceVersion | None) -> ServiceVersion:
        request = self._request
        version = request.from_version + 1
        change = AcceptedChange(request.change_id, version, self._content)
        earlier = known.history if known else ()
        return ServiceVersion(
            request.name,
            version,
            request.service,
            request.change_id,
            request.operator,
            (*earlier, change)[-HISTORY_LENGTH:],
        )

    def _on_written(self, reply: PlatformReply) -> None:
        if isinstance(reply, RowWritten) and reply.current is not None:
            self._on_row(reply.current)
        elif isinstance(reply, PlatformFailed):
            self._is_ambiguous = self._is_ambiguous or reply.ambiguous
            self._on_failed(reply)
        else:
            self._finish(
                ErrorCode.PLATFORM_ANSWER_AMBIGUOUS,
                "the platform's answer contains no row",
            )

    # -- Reading back --------------------------------------------------------

    def _read_back(self) -> None:
        self._attempts += 1
        read = ReadRow(SERVICES_TABLE, self._request.name)
        self._client.call(read, self._on_read, urgent=True)

    def _on_read(self, reply: PlatformReply) -> None:
        if isinstance(reply, RowRead):
            self._on_row(reply.row)
        elif isinstance(reply, PlatformFailed):
            self._on_failed(reply)
        else:
            self._finish(
                ErrorCode.PLATFORM_ANSWER_AMBIGUOUS,
                "the platform's answer contains no row",
            )

    def _on_failed(self, reply: PlatformFailed) -> None:
        if self._attempts < ATTEMPTS_MAX and not reply.code:
            backoff = BACKOFF * 2 ** (self._attempts - 1)
            delay = backoff * self._node.random.uniform(0.5, 1.5)
            self._node.timers.after(delay, self._read_back)
        elif self._is_ambiguous:
            self._finish(ErrorCode.PLATFORM_ANSWER_AMBIGUOUS, reply.message)
        else:
            code = ErrorCode[reply.code] if reply.code else None
            self._finish(code or ErrorCode.PLATFORM_UNAVAILABLE, reply.message)

    # -- Outcome -------------------------------------------------------------

    def _on_row(self, row: TableRow | None) -> None:
        try:
            current = decode_version(row) if row is not None else None
        except MallowpassError as error:
            self._finish(error.error_code, str(error))
            return
        if current is not None:
            self._accept(current)
        version = current.version if current else 0
        if version != self._request.from_version:
            self._answer_from(current)
        elif self._attempts < ATTEMPTS_MAX:
            # The row does not have the change yet. A write in flight may still take
            # effect, so the same write is repeated: at most one of the two succeeds.
            self._write(current)
        else:
            self._finish(
                ErrorCode.PLATFORM_ANSWER_AMBIGUOUS,
                "the row lacks the change after all attempts",
            )

    def _answer_from(self, current: ServiceVersion | None) -> None:
        change = self._find_change(current)
        if change is None:
            self._answer_conflict(current)
        elif change.content != self._content:
            self._finish(ErrorCode.CHANGE_ID_REUSED, f"for version {change.version}")
        else:
            self._answer_accepted(current, change.version)

    def _find_change(self, current: ServiceVersion | None) -> AcceptedChange | None:
        changes = current.history if current else ()
        return next(
            (c for c in changes if c.change_id == self._request.change_id), None
        )

    def _answer_accepted(self, current: ServiceVersion | None, version: int) -> None:
        message = f"accepted as version {version}"
        if current is not None and current.version != version:
            message += f"; the newest version is {current.version}"
        answer = ServiceChangedAnswer(accepted=True, current=current, message=message)
        self._callback(answer)

    def _answer_conflict(self, current: ServiceVersion | None) -> None:
        stated = self._request.from_version
        if current is None:
            self._finish(ErrorCode.SERVICE_NOT_FOUND, f"made from version {stated}")
            return
        is_taken = stated == 0 and current.service is not None
        code = ErrorCode.SERVICE_EXISTS if is_taken else ErrorCode.VERSION_CONFLICT
        state = "is in force" if current.service is not None else "deletes the service"
        detail = (
            f"made from version {stated}, but version {current.version} {state}: "
            f"change {current.change_id!r} by {current.changed_by!r}"
        )
        if not self._history_covers_request(current):
            detail += "; this change may have been accepted too long ago to be recorded"
        self._finish(code, detail, current)

    def _history_covers_request(self, current: ServiceVersion) -> bool:
        oldest = min((change.version for change in current.history), default=0)
        return self._request.from_version + 1 >= oldest

    def _finish(
        self, code: ErrorCode, detail: str, current: ServiceVersion | None = None
    ) -> None:
        message = f"{code.meaning} {detail}. {code.advice}"
        answer = ServiceChangedAnswer(
            accepted=False, code=code.code, message=message, current=current
        )
        self._callback(answer)
