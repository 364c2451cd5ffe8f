"""Endpoints and their roles, from the store's entries and from endpoints' replies."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.lapsedmembers import LapsedMembers
from mallowpass.core.proxy.signals import (
    ConfigurationAccepted,
    EndpointChanged,
    EndpointExpired,
    EndpointRestarted,
    EraChanged,
    PrimaryChanged,
)
from mallowpass.core.proxy.storage import (
    UNKNOWN_START_TIME,
    EndpointEntry,
    ListRows,
    Row,
    RowKey,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
)
from mallowpass.core.proxy.store import SETTLE_TIME, Store
from mallowpass.core.proxy.tables import EndpointRow, GroupRow, ProxySystem
from mallowpass.core.proxy.unreadable import UnreadableRows

__all__ = ["Members"]

# Seconds for which a leaving primary is still used while it has no successor. No
# statement may reach the primary after its time to leave is over.
LEAVING_TIMEOUT = 6.0
# The same for an endpoint that was already leaving when this host first read its entry.
# The entry does not say since when the endpoint is leaving: with the longer timeout, a
# restarted host would send statements to the endpoint until the endpoint stops. The
# guaranteed bounds allow a host that has just started at least four seconds to learn
# the current state.
LEAVING_AT_START_TIMEOUT = 3.5


# An endpoint whose entries are of an earlier run than known writes that many of them,
# over that many seconds, before the known entry counts as one of another writer. A
# single write of an earlier run may be applied late.
EARLIER_RUN_ENTRIES = 4
EARLIER_RUN_TIME = 3.0
# The same for an entry that no endpoint renews: another endpoint has meanwhile renewed
# its entry that many times. The store drops the entry of an endpoint after three
# intervals without a renewal, but not what other writers wrote.
RENEWALS_MISSED = 6
UNRENEWED_TIME = 8.0
# Between two looks at whether an endpoint that is not known to exist has answered.
ANSWER_POLL_INTERVAL = 0.25
_LOOK_INTERVAL = 1.0  # between two looks for entries that are not renewed


# Called with whether the entries were read.
ReadHandler = Callable[[bool], None]


@dataclass(slots=True)
class _EarlierRun:
    """Entries of a run of an endpoint that a later run seems to have ended."""

    started_at: int
    first_at: float  # time of the first of them
    heartbeats: int = -1  # of the newest
    entries: int = 0


class Members(ProxySystem):
    """Maintain the rows of endpoints and the assumed primary of each group."""

    __slots__ = (
        "_earlier_runs",
        "_is_loaded",
        "_lapsed_members",
        "_looked_at",
        "_read_at",
        "_read_version",
        "_renewals",
        "_restored",
        "_store",
        "_unanswered",
        "_unconfigured",
        "_unreadable",
        "_unrenewed",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Outdated entries with versions, from a store that was restored from a backup.
        self._restored: dict[str, tuple[EndpointEntry, int]] = {}
        # Entries of earlier runs than known, by name of the endpoint.
        self._earlier_runs: dict[str, _EarlierRun] = {}
        # Times of the newest renewals of each entry, by name of the endpoint.
        self._renewals: dict[str, deque[float]] = {}
        self._looked_at = node.timers.now
        # Entries that no endpoint renews, by name.
        self._unrenewed: dict[str, EndpointEntry] = {}
        # Endpoints that say to be primary and have not answered, by name.
        self._unanswered: set[str] = set()
        self._is_loaded = False
        # Version of the store, and time, at which the entries were read apart from
        # their changes.
        self._read_version = 0
        self._read_at = -math.inf
        # Entries whose service is not configured yet, by name of the endpoint.
        self._unconfigured: dict[str, Row] = {}
        self._unreadable = UnreadableRows(node, "endpoint_entry_unreadable")

    def start(self) -> None:
        """Watch the entries of endpoints."""
        self._lapsed_members = self._node.system(LapsedMembers)
        self._store = self._node.system(Store)
        self._store.watch(Table.ENDPOINTS, self._on_rows)
        self._node.subscribe(ConfigurationAccepted, self._on_configuration_accepted)
        self._node.subscribe(EraChanged, self._on_era_changed)

    @property
    def is_loaded(self) -> bool:
        """Return whether the entries were read at least once."""
        return self._is_loaded

    @property
    def age(self) -> float:
        """Return for how long changes of entries may have been missed, in seconds."""
        return min(self._store.age(Table.ENDPOINTS), self.now - self._read_at)

    # -- Entries -------------------------------------------------------------

    def read(self, version: int, handler: ReadHandler) -> None:
        """Read the entries, unless they are known up to a version of the store.

        A host that waits for changes may not have been told of the newest ones, or have
        lost the store without noticing it.
        """
        if max(self._read_version, self._known_version) >= version:
            handler(True)
            return
        asked_at = self.now

        def on_rows(reply: StoreReply) -> None:
            if reply.status is not StoreStatus.DONE:
                handler(False)
                return
            if reply.version >= max(self._read_version, self._known_version):
                self._read_version, self._read_at = reply.version, asked_at
                self._on_rows(reply.rows, True)
            handler(True)

        self._store.call(ListRows(Table.ENDPOINTS), on_rows)

    @property
    def _known_version(self) -> int:
        return self._store.feeds.version(Table.ENDPOINTS)

    def _on_rows(self, rows: tuple[Row, ...], complete: bool) -> None:
        self._is_loaded = True
        for row in _newest_first(rows):
            self._apply(row)
        if complete:
            names = {row.key.key for row in rows}
            for name in [*self.tables.endpoints, *self._unconfigured]:
                if name not in names:
                    self._mark_removed(name)

    def _apply(self, row: Row) -> None:
        """Apply a row; an unreadable or unusable entry counts as removed.

        Such an entry may have overwritten a valid one. If the valid entry stayed in
        force, statements would go to an endpoint that no entry names any more.
        """
        entry = row.value
        name = row.key.key
        if isinstance(entry, Unreadable):
            self._unreadable.note(row.key, entry.reason)
            self._mark_removed(name, is_overwritten=True)
        elif not isinstance(entry, EndpointEntry):
            self._unreadable.clear(row.key)
            self._mark_removed(name)
        elif self._is_configured(entry):
            self._unreadable.clear(row.key)
            self._unconfigured.pop(name, None)
            self._put(entry, row.version)
        else:
            self._mark_removed(name, is_overwritten=True)
            self._defer(row)

    def _is_configured(self, entry: EndpointEntry) -> bool:
        """Return whether the service of an entry is, or was, configured."""
        endpoint = self.tables.endpoints.get(entry.name)
        if endpoint is not None and endpoint.entry.service == entry.service:
            return True
        configuration = self.tables.configuration
        return configuration is not None and entry.service in configuration.services

    def _defer(self, row: Row) -> None:
        """Defer an entry until a configuration names its service."""
        self._unconfigured[row.key.key] = row
        if self.tables.configuration is not None:
            self._unreadable.note(row.key, f"no such service: {row.value.service}")

    def _on_configuration_accepted(self, signal: ConfigurationAccepted) -> None:
        for row in list(self._unconfigured.values()):
            self._apply(row)

    def _put(self, entry: EndpointEntry, version: int) -> None:
        if self._is_unrenewed(entry):
            return
        before = endpoint = self.tables.endpoints.get(entry.name)
        is_new = endpoint is None
        if endpoint is None:
            endpoint = self._add(entry, version)
        elif version < endpoint.version:
            return
        elif _is_of_earlier_run(entry, endpoint):
            if not self._goes_on(entry):
                return
            endpoint = self._replace_row(endpoint, entry, version)
        elif self._is_outdated(entry, endpoint):
            self._restored[entry.name] = (entry, version)
            return
        elif _is_of_another_run(entry, endpoint):
            endpoint = self._replace_row(endpoint, entry, version)
        elif entry.started_at == UNKNOWN_START_TIME:
            entry = replace(entry, started_at=endpoint.entry.started_at)
        if entry.slots != endpoint.entry.slots:
            self.tables.endpoints_version += 1
        self._earlier_runs.pop(entry.name, None)
        known = replace(endpoint.entry, heartbeats=entry.heartbeats)
        has_changed = known != entry or endpoint.removed_at is not None
        is_renewed = entry.heartbeats > endpoint.entry.heartbeats
        if is_renewed or endpoint is not before:
            self._note_renewal(endpoint)
        if entry.is_primary != endpoint.entry.is_primary:
            endpoint.primary_since_version = version
        endpoint.entry = entry
        endpoint.version = version
        endpoint.removed_at = None
        if has_changed or endpoint.position is None:
            self._log(endpoint)
        if not entry.draining:
            endpoint.is_retired = False
        elif is_new:
            self.timers.after(LEAVING_AT_START_TIMEOUT, self._retire, endpoint)
        elif has_changed:
            self.timers.after(LEAVING_TIMEOUT, self._retire, endpoint)
        self._update_primary(endpoint)
        self._node.publish(EndpointChanged(endpoint))
        self._look_for_unrenewed()

    # -- Entries that are not renewed -----------------------------------------

    def _note_renewal(self, endpoint: EndpointRow) -> None:
        times = self._renewals.setdefault(endpoint.name, deque(maxlen=RENEWALS_MISSED))
        times.append(self.now)

    def _is_unrenewed(self, entry: EndpointEntry) -> bool:
        """Return whether an entry is known to be renewed by no endpoint."""
        unrenewed = self._unrenewed.get(entry.name)
        if unrenewed is None:
            return False
        if (entry.started_at, entry.heartbeats) == (
            unrenewed.started_at,
            unrenewed.heartbeats,
        ):
            return True
        del self._unrenewed[entry.name]
        return False

    def _look_for_unrenewed(self) -> None:
        """Treat entries that no endpoint renews like those that the store drops.

        Only those of endpoints that have never answered this host. If another writer
        names an endpoint that does not exist, a promotion would wait for its answer.
        """
        if self.now < self._looked_at + _LOOK_INTERVAL:
            return
        self._looked_at = self.now
        # This host may have missed renewals while it heard nothing: the time alone
        # shows nothing.
        since = min(
            self.now - UNRENEWED_TIME,
            max(
                (t[0] for t in self._renewals.values() if len(t) == RENEWALS_MISSED),
                default=-math.inf,
            ),
        )
        for endpoint in list(self.tables.endpoints.values()):
            if endpoint.removed_at is not None or _has_answered(endpoint):
                continue
            if self._renewals[endpoint.name][-1] < since:
                self._node.log(
                    "warning",
                    "endpoint_entry_unrenewed",
                    endpoint=endpoint.name,
                    service=endpoint.entry.service,
                    heartbeats=endpoint.entry.heartbeats,
                )
                self._mark_removed(endpoint.name)
                self._unrenewed[endpoint.name] = endpoint.entry

    def _goes_on(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint goes on to write entries of an earlier run.

        The known entry was then written by something else, with a start time of its
        own. If it stayed in force, the endpoint would be ignored for good.
        """
        run = self._earlier_runs.get(entry.name)
        if run is None or run.started_at != entry.started_at:
            run = _EarlierRun(entry.started_at, self.now)
            self._earlier_runs[entry.name] = run
        if entry.heartbeats > run.heartbeats:
            run.heartbeats = entry.heartbeats
            run.entries += 1
        is_long = self.now - run.first_at >= EARLIER_RUN_TIME
        return is_long and run.entries >= EARLIER_RUN_ENTRIES

    def _is_outdated(self, entry: EndpointEntry, endpoint: EndpointRow) -> bool:
        """Return whether a store restored from a backup shows an outdated entry.

        Applied, the entry would send statements to a replaced primary, or to an
        endpoint that is leaving. Endpoints soon write their current entries again.
        """
        known = endpoint.entry
        is_older = entry.heartbeats < known.heartbeats
        is_same_run = (
            entry.started_at == known.started_at and entry.service == known.service
        )
        return is_same_run and is_older and not self._store.is_settled

    def _on_era_changed(self, signal: EraChanged) -> None:
        self._restored.clear()
        self.timers.after(SETTLE_TIME, self._apply_restored)

    def _apply_restored(self) -> None:
        """Apply the entries that seemed outdated and were not written again.

        Such an entry may be current: if its endpoint does not state a start time, the
        entry may be of a later run of the endpoint, with fewer heartbeats.
        """
        if not self._store.is_settled:
            return
        held, self._restored = self._restored, {}
        for entry, version in held.values():
            self._put(entry, version)

    def _add(self, entry: EndpointEntry, version: int) -> EndpointRow:
        endpoint = EndpointRow(entry, version, primary_since_version=version)
        self.tables.endpoints[entry.name] = endpoint
        self.tables.group(entry.service).endpoints[entry.name] = endpoint
        self.tables.endpoints_version += 1
        return endpoint

    def _replace_row(
        self, before: EndpointRow, entry: EndpointEntry, version: int
    ) -> EndpointRow:
        """Replace the row of an endpoint that restarted under its name.

        The log of the restarted endpoint may be empty. With the old row, the endpoint
        would count as a replica that has applied all that the earlier run had applied,
        or as the primary.
        """
        self._node.log(
            "info",
            "endpoint_restarted",
            endpoint=entry.name,
            service=entry.service,
            started_at=entry.started_at,
            started_before=before.entry.started_at,
            version=version,
        )
        group = self.tables.group(before.entry.service)
        group.endpoints.pop(before.name, None)
        endpoint = self._add(entry, version)
        if group.primary == before.name:
            endpoint.is_role_unconfirmed = True
            self._set_primary(group, "", "endpoint restarted")
        self._node.publish(EndpointRestarted(before, endpoint))
        return endpoint

    def _retire(self, endpoint: EndpointRow) -> None:
        if not endpoint.entry.draining or not self.tables.is_current(endpoint):
            return
        endpoint.is_retired = True
        group = self.tables.group(endpoint.entry.service)
        if group.primary == endpoint.name:
            self._set_primary(group, "", "its time to leave is over")

    def _mark_removed(self, name: str, is_overwritten: bool = False) -> None:
        self._unconfigured.pop(name, None)
        self._unrenewed.pop(name, None)
        endpoint = self.tables.endpoints.get(name)
        if endpoint is None or endpoint.removed_at is not None:
            return
        endpoint.removed_at = self.now
        self._log(endpoint)
        self._node.publish(EndpointChanged(endpoint))
        self._lapsed_members.watch(
            endpoint, self._expire, self._retire_lapsed, asks=not is_overwritten
        )

    def _retire_lapsed(self, endpoint: EndpointRow) -> None:
        """Stop using a primary without an entry, which stays a member."""
        endpoint.is_retired = True
        group = self.tables.group(endpoint.entry.service)
        self._set_primary(group, "", "its entry is gone")

    def _expire(self, endpoint: EndpointRow) -> None:
        group = self.tables.group(endpoint.entry.service)
        self.tables.endpoints.pop(endpoint.name, None)
        self._renewals.pop(endpoint.name, None)
        group.endpoints.pop(endpoint.name, None)
        if group.primary == endpoint.name:
            self._set_primary(group, "", "its entry is gone")
        self._node.publish(EndpointExpired(endpoint))

    def _log(self, endpoint: EndpointRow) -> None:
        entry = endpoint.entry
        self._node.log(
            "info",
            "endpoint_entry",
            endpoint=entry.name,
            service=entry.service,
            domain=entry.failure_domain,
            started_at=entry.started_at,
            primary=entry.is_primary,
            draining=entry.draining,
            gone=endpoint.removed_at is not None,
            version=endpoint.version,
        )

    # -- Primaries -----------------------------------------------------------

    def _update_primary(self, endpoint: EndpointRow) -> None:
        """Set or clear the primary of an endpoint's group by the endpoint's entry."""
        group = self.tables.group(endpoint.entry.service)
        if not endpoint.entry.is_primary:
            if group.primary == endpoint.name:
                self._set_primary(group, "", "its entry says replica")
            return
        if (
            endpoint.is_role_unconfirmed
            or endpoint.primary_denied_version >= endpoint.version
        ):
            return
        if endpoint.is_retired:
            return
        version = self._version_as_primary(endpoint)
        if group.primary == endpoint.name or version > group.primary_version:
            if self._awaits_answer(group, endpoint):
                return
            group.primary_version = endpoint.version
            self._set_primary(group, endpoint.name, "its entry says primary")

    def _awaits_answer(self, group: GroupRow, endpoint: EndpointRow) -> bool:
        """Return whether an endpoint must answer before it replaces a primary.

        Another writer may name an endpoint that does not exist. Until it answers, the
        known primary is used, which refuses writes if it was replaced.
        """
        primary = group.primary_row
        if primary is None or primary is endpoint or primary.is_leaving:
            return False
        if _has_answered(endpoint) or not _has_answered(primary):
            return False
        if endpoint.name not in self._unanswered:
            self._unanswered.add(endpoint.name)
            self._lapsed_members.ask(endpoint)
            self.timers.after(ANSWER_POLL_INTERVAL, self._look_for_answer, endpoint)
        return True

    def _look_for_answer(self, endpoint: EndpointRow) -> None:
        self._unanswered.discard(endpoint.name)
        if self.tables.is_current(endpoint) and endpoint.removed_at is None:
            self._update_primary(endpoint)

    def _version_as_primary(self, endpoint: EndpointRow) -> int:
        """Return the version by which entries that name a primary are compared.

        A replaced primary that does not know its successor may write its entry after
        the successor has written its own entry. So the version that counts is that of
        the first of the consecutive entries that name the endpoint primary.
        """
        if self.tables.promotion_fences_primary:
            return endpoint.version
        return endpoint.primary_since_version

    def note_not_primary(self, endpoint: EndpointRow) -> None:
        """Record that an endpoint refused a statement because it is not primary."""
        group = self.tables.group(endpoint.entry.service)
        endpoint.primary_denied_version = endpoint.version
        if group.primary == endpoint.name:
            self._set_primary(group, "", "it refused a write")

    def assume_primary(
        self, endpoint: EndpointRow, why: str, position: LogPosition | None = None
    ) -> None:
        """Assume that an endpoint is primary before its entry says so.

        `position` is the position of its log, if known. A restarted endpoint with an
        empty log may still report that it is primary; reads there would miss all
        commits.
        """
        if endpoint.is_retired:
            return
        group = self.tables.group(endpoint.entry.service)
        if position is not None and self._lacks_commits(endpoint, position):
            self._node.log(
                "warning",
                "leader_lacks_commits",
                endpoint=endpoint.name,
                service=group.service,
                position=position.text,
                needed=group.must_hold.text,
            )
            return
        endpoint.primary_denied_version = -1
        endpoint.is_role_unconfirmed = False
        self._set_primary(group, endpoint.name, why)

    def _lacks_commits(self, endpoint: EndpointRow, position: LogPosition) -> bool:
        group = self.tables.group(endpoint.entry.service)
        if position < group.must_hold:
            return True
        # The position that a primary showed may include commits that were never
        # acknowledged, but not only such commits.
        has_commits = bool(group.samples) and group.samples[-1].position.position > 0
        return endpoint.is_role_unconfirmed and position.position == 0 and has_commits

    def _set_primary(self, group: GroupRow, name: str, why: str) -> None:
        if group.primary == name:
            return
        self._node.log(
            "info",
            "primary_believed",
            service=group.service,
            primary=name,
            before=group.primary,
            term=group.term,
            version=group.primary_version,
            why=why,
        )
        group.primary = name
        if name and name != group.last_primary:
            group.last_primary = name
            group.previous_term = group.term
        if name and group.term:  # not for the first primary that this host learns of
            group.primary_change_times.append(self.now)
        group.no_primary_since = None if name else self.now
        self._node.publish(PrimaryChanged(group))


def _has_answered(endpoint: EndpointRow) -> bool:
    """Return whether an endpoint has ever answered this host, or refused as full."""
    return max(endpoint.last_reply_at, endpoint.was_full_at) > -math.inf


def _newest_first(rows: tuple[Row, ...]) -> list[Row]:
    """Return the newest row of each key, the newest of all rows first.

    An old entry that still names its endpoint as primary must not apply even for a
    moment: an order to promote that endpoint would count as carried out, and replicas
    that acknowledge commits of another primary would be resumed too early.
    """
    newest: dict[RowKey, Row] = {}
    for row in rows:
        known = newest.get(row.key)
        if known is None or known.version < row.version:
            newest[row.key] = row
    return sorted(newest.values(), key=lambda row: row.version, reverse=True)


def _is_of_earlier_run(entry: EndpointEntry, endpoint: EndpointRow) -> bool:
    # The store may apply a write of an earlier run after the writes of a later run.
    return UNKNOWN_START_TIME < entry.started_at < endpoint.entry.started_at


def _is_of_another_run(entry: EndpointEntry, endpoint: EndpointRow) -> bool:
    """Return whether an entry is of a later run, or of another service's endpoint."""
    if entry.service != endpoint.entry.service:
        return True
    return entry.started_at > endpoint.entry.started_at
