"""An exhaustive search of a small model of a replacement finds what its guards end."""

from __future__ import annotations

import pytest

from tests.fakes.promotionmodel import (
    ACKED,
    ACKED_LATE,
    ACKED_LINGERING,
    BOUND,
    CONFIRMED_HOST,
    ENDED_HOST,
    LATE_LEASE_HOST,
    LEVEL,
    MORE,
    NO_LIFE,
    NO_WAITS,
    NOTHING_TOLD,
    RESTARTED_HOST,
    SETTLED,
    SILENT_HOST,
    UNKNOWN_HOST,
    Guard,
    Kind,
    search,
)

STATES_MAX = 60_000  # of one writer with one commit
STATES_MAX_MORE = 250_000  # of two commits, or of two writers with fewer faults
FAULTS_OF_TWO_WRITERS = 3
OLD_GUARDS = frozenset({Guard.LEASES})
KNOWN_GUARDS = frozenset({Guard.ENTRIES, Guard.LEASES})
WAITING_GUARDS = KNOWN_GUARDS | {Guard.WAITS}

# The kinds that lose with all guards.
LEFT = {
    Kind(CONFIRMED_HOST, ACKED_LINGERING, LEVEL),
    Kind(CONFIRMED_HOST, ACKED_LINGERING, NOTHING_TOLD),
    Kind(ENDED_HOST, ACKED_LINGERING, NO_LIFE),
    Kind(LATE_LEASE_HOST, ACKED, BOUND),
    Kind(LATE_LEASE_HOST, ACKED_LATE, BOUND),
    Kind(RESTARTED_HOST, ACKED_LINGERING, NOTHING_TOLD),
    Kind(SILENT_HOST, ACKED, BOUND),
    Kind(SILENT_HOST, ACKED, NO_LIFE),
    Kind(SILENT_HOST, ACKED_LATE, BOUND),
    Kind(SILENT_HOST, ACKED_LATE, NO_LIFE),
    Kind(SILENT_HOST, ACKED_LINGERING, NO_LIFE),
    Kind(UNKNOWN_HOST, ACKED_LINGERING, NOTHING_TOLD),
}


def test_hosts_that_nobody_knows_lose_commits_until_they_are_entered():
    """Guard against a model that misses writers which are told of no fence."""
    kind = Kind(UNKNOWN_HOST, ACKED, NO_WAITS)
    assert kind in search(OLD_GUARDS).kinds
    assert kind not in search(KNOWN_GUARDS).kinds


def test_what_confirmed_hosts_gave_up_is_lost_until_orders_wait_for_it():
    """Guard against a model that misses commits which P keeps after a reset."""
    kind = Kind(CONFIRMED_HOST, ACKED_LINGERING, NO_WAITS)
    assert kind in search(KNOWN_GUARDS, shows=True).kinds
    confirmed = {
        kind.reason
        for kind in search(WAITING_GUARDS, shows=True).kinds
        if kind.writer == CONFIRMED_HOST
    }
    assert confirmed == {NO_LIFE, NOTHING_TOLD}


def test_what_a_primary_never_showed_is_lost_though_orders_wait():
    """Guard against a model that takes a silent primary for one that has nothing."""
    kind = Kind(CONFIRMED_HOST, ACKED_LINGERING, LEVEL)
    assert kind in search(WAITING_GUARDS).kinds
    assert kind not in search(WAITING_GUARDS, shows=True).kinds


@pytest.mark.parametrize("host", [SILENT_HOST, ENDED_HOST])
def test_what_silent_hosts_gave_up_is_lost_until_orders_wait_for_it(host: str):
    """Guard against a model that misses commits of which no host has told."""
    kind = Kind(host, ACKED_LINGERING, NOTHING_TOLD)
    assert kind in search(WAITING_GUARDS).kinds
    assert kind not in search().kinds


@pytest.mark.parametrize("shows", [False, True])
def test_no_more_kinds_lose_than_are_known(shows: bool):
    """Guard against a sequence that loses a commit and that nobody has looked at."""
    result = search(shows=shows)
    kinds = set(result.kinds)
    if shows:
        kinds.remove(Kind(CONFIRMED_HOST, ACKED_LINGERING, NO_LIFE))
        kinds.add(Kind(CONFIRMED_HOST, ACKED_LINGERING, LEVEL))
    assert kinds == LEFT
    assert result.states < STATES_MAX


def test_no_more_kinds_lose_of_two_commits_than_are_known():
    """Guard against a target that receives a part being taken for one with all."""
    result = search(owners=(0, 0))
    partial = {
        Kind(CONFIRMED_HOST, ACKED_LINGERING, MORE),
        Kind(LATE_LEASE_HOST, ACKED, SETTLED),
        Kind(LATE_LEASE_HOST, ACKED_LATE, SETTLED),
        Kind(LATE_LEASE_HOST, ACKED_LINGERING, SETTLED),
        Kind(SILENT_HOST, ACKED, SETTLED),
        Kind(SILENT_HOST, ACKED_LATE, SETTLED),
        Kind(SILENT_HOST, ACKED_LINGERING, SETTLED),
    }
    assert set(result.kinds) == LEFT | partial
    assert result.states < STATES_MAX_MORE


def test_no_more_kinds_lose_of_two_writers_than_are_known():
    """Guard against one host's evidence ending a wait for what another gave up."""
    result = search(owners=(0, 1), faults=FAULTS_OF_TWO_WRITERS)
    assert set(result.kinds) == {
        Kind(CONFIRMED_HOST, ACKED_LINGERING, LEVEL),
        Kind(CONFIRMED_HOST, ACKED_LINGERING, MORE),
    }
    assert result.states < STATES_MAX_MORE
