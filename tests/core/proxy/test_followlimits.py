"""Sums of waits on each way by which a change reaches a host, against their bounds."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy import followlimits as limits_module
from mallowpass.core.proxy.followlimits import FollowLimits, follow_limits
from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.tables import ProxyTables
from mallowpass.standins.proxied.virtual.world import ProxyWorld

CHANGE_TIMES = (3.0, 4.0, 5.0, 6.0, 10.0)  # seconds
SETTLE_TIMES = (4.0, 5.0, 6.0, 8.0, 20.0)
ROUNDING = 1e-9


@pytest.fixture(params=CHANGE_TIMES)
def change_time(request) -> float:
    return request.param


@pytest.fixture(params=SETTLE_TIMES)
def limits(request, change_time) -> FollowLimits:
    return FollowLimits(change_time, request.param)


def test_a_follower_of_a_silent_relay_asks_the_store_in_time(limits):
    ways = (
        limits.age_max,
        limits_module.ASK_JITTER,
        limits_module.ANSWER_TIME,
        limits_module.BUSY_DELAY,
    )
    assert sum(ways) <= limits.change_time + ROUNDING


def test_a_relay_is_answered_before_its_followers_ask(limits):
    ways = (limits.relay_store_wait, limits_module.LATE_ANSWER_TIME)
    assert sum(ways) <= limits.age_max + ROUNDING


def test_a_host_whose_call_was_never_answered_recovers_in_time(limits):
    ways = (
        limits.store_wait,
        limits_module.WATCH_SLACK,
        limits_module.BACKOFF_MIN,
        limits_module.ANSWER_TIME,
        limits_module.BUSY_DELAY,
    )
    assert sum(ways) <= limits.settle_time + ROUNDING


def test_a_follower_whose_call_was_never_answered_recovers_in_time(limits):
    ways = (
        limits.follower_store_wait,
        limits_module.WATCH_SLACK,
        limits_module.RELAYED_BACKOFF_MIN,
        *_relay_try(),
        limits_module.ANSWER_TIME,
        limits_module.BUSY_DELAY,
    )
    assert sum(ways) <= limits.settle_time + ROUNDING


def test_a_host_that_waits_for_the_store_to_answer_again_recovers_in_time(limits):
    ways = (*_failed_probe(), limits.backoff_max, *_resumption())
    assert sum(ways) <= limits.settle_time + ROUNDING


def test_a_follower_that_waits_for_the_store_recovers_in_time(limits):
    tries = 2 * _relay_try()  # by the watch that retries for all, then by each
    ways = (*_failed_probe(), limits.relayed_backoff_max, *tries, *_resumption())
    if limits.allows_relays:
        assert sum(ways) <= limits.settle_time + ROUNDING


def _failed_probe() -> tuple[float, ...]:
    return limits_module.PROBE_WAIT, limits_module.WATCH_SLACK


def _relay_try() -> tuple[float, ...]:
    return (
        limits_module.PROBE_WAIT,
        limits_module.RELAY_SLACK,
        limits_module.ASK_JITTER,
    )


def _resumption() -> tuple[float, ...]:
    return (
        limits_module.PROBE_WAIT,
        limits_module.ANSWER_TIME,
        limits_module.RESUME_JITTER,
        limits_module.ANSWER_TIME,
        limits_module.BUSY_DELAY,
    )


@pytest.mark.parametrize(
    ("apply_time", "settle_time", "allowed"),
    [(3.0, 4.0, False), (4.0, 5.0, False), (5.0, 6.0, True), (6.0, 8.0, True)],
)
def test_relays_are_used_where_changes_may_take_long_enough(
    apply_time, settle_time, allowed
):
    tables = ProxyTables(apply_time=apply_time, settle_time=settle_time)
    assert follow_limits(tables, Table.CONFIGURATION).allows_relays is allowed


def test_keys_do_not_lapse_between_two_calls_to_the_store():
    lapse = 4.5
    limits = follow_limits(ProxyTables(key_lapse=lapse), Table.CONFIGURATION)
    assert limits.age_max < lapse
    assert limits.store_wait + limits_module.WATCH_SLACK < lapse


@pytest.mark.parametrize(("settle_time", "warnings"), [(1.0, 1), (4.0, 0)])
def test_a_settle_time_that_is_too_short_is_logged(settle_time, warnings):
    host = ProxyWorld(apply_time=3.0, settle_time=settle_time).hosts[0]
    assert len(host.logged("settle_time_too_short")) == warnings


@pytest.mark.parametrize("table", [Table.HOSTS, Table.LIMITS])
def test_tables_that_may_be_late_are_asked_for_rarely(table):
    limits = follow_limits(ProxyTables(), table)
    assert limits.store_wait == limits_module.STORE_WAIT_MAX
