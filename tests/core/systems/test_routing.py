"""Routing: near, idle and healthy members first, one trial after an ejection."""

from __future__ import annotations

from mallowpass.core.systems.routing import EJECTION_ERRORS, SLOW_LATENCY_MIN
from tests.fakes.requestpath import RequestPath


def _path() -> RequestPath:
    """Return a request path with one read queued, which is routed repeatedly."""
    path = RequestPath()
    path.open_known()
    path.pooling.granting = False
    path.read(1, "look", deadline=1_000.0)
    return path


def _choose_read(path: RequestPath) -> str:
    request = path.pooling.queue[0][0]
    endpoint = path.routing.choose_read(request, path.database)
    return endpoint.address if endpoint is not None else ""


def test_nearest_replica_is_chosen():
    assert _choose_read(_path()) == "127.0.0.1:2"


def test_measured_latency_counts_more_than_failure_domain():
    path = _path()
    path.routing.record(path.endpoint("m2"), 0.05, ok=True)
    assert _choose_read(path) == "127.0.0.1:3"
    path.advance(5.0)
    assert _choose_read(path) == "127.0.0.1:2"


def test_ejected_member_gets_one_trial_request():
    """A share of all reads fails repeatedly.

    A member that fails each statement at once looks idle. If all reads tried the member
    again at once, all of them would fail.
    """
    path = _path()
    for _ in range(EJECTION_ERRORS):
        path.routing.record(path.endpoint("m2"), 0.0, ok=False)
    assert _choose_read(path) == "127.0.0.1:3"
    path.advance(1.0)
    assert [_choose_read(path), _choose_read(path)] == ["127.0.0.1:2", "127.0.0.1:3"]
    path.routing.record(path.endpoint("m2"), 0.0, ok=False)
    pause = path.endpoint("m2").ejected_until - path.now
    assert pause >= 0.5
    path.advance(pause + 0.1)
    assert _choose_read(path) == "127.0.0.1:2"
    path.routing.record(path.endpoint("m2"), 0.001, ok=True)
    assert [_choose_read(path), _choose_read(path)] == ["127.0.0.1:2", "127.0.0.1:2"]


def test_trial_without_a_result_does_not_prolong_an_ejection():
    path = _path()
    for _ in range(EJECTION_ERRORS):
        path.routing.record(path.endpoint("m2"), 0.0, ok=False)
    path.advance(1.0)
    assert [_choose_read(path), _choose_read(path)] == ["127.0.0.1:2", "127.0.0.1:3"]
    path.advance(1.1)
    assert _choose_read(path) == "127.0.0.1:2"


def test_last_replica_is_not_ejected_for_being_slow():
    """Heavy reads overload the primary.

    Heavy reads make all replicas slow, one after the other. A replica counts as slow
    only in comparison with replicas that can take over, and the last replica has none.
    """
    path = _path()
    path.routing.record(path.endpoint("m3"), 0.001, ok=True)
    path.routing.record(path.endpoint("m2"), 10 * SLOW_LATENCY_MIN, ok=True)
    assert path.endpoint("m2").ejected_until > path.now
    path.endpoint("m2").latency = 0.001
    for _ in range(30):
        path.routing.record(path.endpoint("m3"), 10 * SLOW_LATENCY_MIN, ok=True)
    assert path.endpoint("m3").ejected_until < path.now


def test_leaving_members_get_no_work():
    path = _path()
    path.endpoint("m2").is_leaving = True
    assert _choose_read(path) == "127.0.0.1:3"
    path.endpoint("m1").is_leaving = True
    assert path.routing.choose_write(path.database) is None
    path.endpoint("m3").is_leaving = True
    request = path.pooling.queue[0][0]
    assert path.routing.choose_fallback_read(request, path.database) is None


def test_ejected_replica_serves_if_no_other_member_can():
    path = _path()
    path.lose_primary()
    for name in ("m2", "m3"):
        for _ in range(EJECTION_ERRORS):
            path.routing.record(path.endpoint(name), 0.0, ok=False)
    assert _choose_read(path) == ""
    request = path.pooling.queue[0][0]
    endpoint = path.routing.choose_fallback_read(request, path.database)
    assert endpoint is path.endpoint("m2")
