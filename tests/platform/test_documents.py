"""Documents of operators and endpoints, and what they may hold."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from mallowpass.core.proxy.configuration import Configuration, Consistency
from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.storage import EndpointEntry
from mallowpass.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_entry,
)

ROUTE = {
    "name": "r-1",
    "host": "fiti832ti23",
    "prefix": "/",
    "routeType": "read_your_writes",
    "timeoutMs": 800,
    "goalMs": 700,
    "priority": 2,
    "service": "huvo11a",
    "maxAttempts": 2,
    "maxStalenessMs": 2500,
}
SERVICE = {"name": "huvo11a", "maxConns": 22, "syncReplicas": 1}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": {"txIdleMs": 2000},
}
ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "casa",
    "version": "4.2",
    "slots": 3,
    "coldRemainingMs": 0,
    "seq": 17,
    "state": "draining",
    "dbRole": "primary",
    "born": 1764720000123,
}


def _without(field: str) -> dict[str, object]:
    return {name: value for name, value in ENTRY.items() if name != field}


def test_configuration():
    found = decode_configuration(json.dumps(CONFIGURATION).encode())
    route = found.routes["fiti832ti23"]
    assert (found.version, found.transaction_idle) == (7, 2.0)
    assert route.consistency is Consistency.OWN_WRITES
    assert (route.statement_timeout, route.objective, route.accepted_age) == (
        0.8,
        0.7,
        2.5,
    )
    assert found.services["huvo11a"].connections == 22


# -- Customers ---------------------------------------------------------------

CUSTOMER = {
    "name": "bode960",
    "apiKeys": ["nirth5", "uddedev3"],
    "priority": 1,
    "ratePerS": 57,
    "burst": 20,
}


def _with_customers(*customers: Any) -> bytes:
    return json.dumps(CONFIGURATION | {"tenants": list(customers)}).encode()


def test_customers_are_known_by_digests_of_their_keys():
    found = decode_configuration(_with_customers(CUSTOMER))
    assert found.authenticates_callers
    customer = found.customer_of(credential_of("uddedev3"))
    assert (customer.name, customer.priority) == ("bode960", 1)
    assert (customer.rate, customer.burst) == (57, 20)
    assert found.customer_of(credential_of("nirth")) is None
    assert "nirth5" not in repr(found)


def test_configuration_without_customers_asks_nobody_for_a_key():
    assert not decode_configuration(
        json.dumps(CONFIGURATION).encode()
    ).authenticates_callers
    assert decode_configuration(_with_customers()).authenticates_callers


def test_customer_without_limits_may_send_any_number():
    bare = {"name": "bode960", "apiKeys": []}
    customer = decode_configuration(_with_customers(bare)).customers["bode960"]
    assert customer.rate == customer.burst == math.inf


@pytest.mark.parametrize(
    "customers",
    [
        (CUSTOMER, CUSTOMER | {"name": "other"}),
        (CUSTOMER, CUSTOMER | {"apiKeys": ["k"]}),
        (CUSTOMER | {"name": "-"},),
        (CUSTOMER | {"name": "a b"},),
        (CUSTOMER | {"apiKeys": "nirth5"},),
        (CUSTOMER | {"apiKeys": ["nirth5", 3]},),
        (CUSTOMER | {"apiKeys": None},),
        (CUSTOMER | {"ratePerS": "57"},),
        (CUSTOMER | {"burst": -1},),
        ("nirth5",),
    ],
)
def test_unreadable_customers_are_refused_without_telling_a_key(customers):
    with pytest.raises(DocumentError) as caught:
        decode_configuration(_with_customers(*customers))
    assert "nirth5" not in str(caught.value)


def test_entry():
    entry = decode_entry("i-1", json.dumps(ENTRY).encode())
    assert (entry.name, entry.draining, entry.is_primary) == ("i-1", True, True)
    assert entry.started_at == 1764720000123


def test_start_that_is_not_told():
    entry = decode_entry("i-1", json.dumps(_without("born")).encode())
    assert entry.started_at == 0


@pytest.mark.parametrize("born", [None, "1764720000123", 1.5, True, -1, [], {}])
def test_start_that_is_no_whole_number(born):
    """Symptom: an endpoint that is none is waited for when a primary is replaced.

    Sequence: another writer puts an entry there with something else than a number.
    Cause: the rest of it can be read, so it is taken for an endpoint's.
    """
    with pytest.raises(DocumentError, match="born"):
        decode_entry("i-1", json.dumps(ENTRY | {"born": born}).encode())


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"null",
        b'{"version":1}',
        b'{"version":1,"routes":[{}],"services":[]}',
    ],
)
def test_unreadable_configuration(data):
    with pytest.raises(DocumentError):
        decode_configuration(data)


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"service":"a"}'])
def test_unreadable_entry(data):
    with pytest.raises(DocumentError):
        decode_entry("i-1", data)


# -- Any bytes, any JSON, each field dropped or of another type --------------

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from([math.inf, math.nan, 10**400, -1, "\ud800", "10.0.0.1:99999"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
DEEP = b"[" * 100_000
LONG_NUMBER = b'{"slots":' + b"9" * 5000 + b"}"


def _entry_of(data: bytes) -> EndpointEntry | None:
    """Return what an entry says, None if it can't be read; nothing else may happen."""
    try:
        entry = decode_entry("i-1", data)
    except DocumentError as error:
        assert len(str(error)) < 300
        return None
    for text in (entry.service, entry.address, entry.failure_domain):
        assert isinstance(text, str) and text.encode()
    host, _, port = entry.address.rpartition(":")
    assert host and 0 < int(port) < 65536
    for number in (entry.slots, entry.started_at):
        assert type(number) is int and number >= 0
    return entry


def _configuration_of(data: bytes) -> Configuration | None:
    try:
        found = decode_configuration(data)
    except DocumentError as error:
        assert len(str(error)) < 300
        return None
    assert type(found.version) is int
    times = [found.transaction_idle]
    for name, route in found.routes.items():
        assert name == route.database and name.encode() and route.service.encode()
        times += [route.statement_timeout, route.objective, route.accepted_age]
    assert all(math.isfinite(time) and time >= 0 for time in times)
    for service in found.services.values():
        assert type(service.connections) is int and type(service.synchronous) is int
    return found


@given(st.binary())
@example(DEEP)
@example(LONG_NUMBER)
@example(b"\xff\xfe")
@example(b'{"slots": Infinity}')
def test_any_bytes(data):
    """Symptom: a host ends, or learns of no endpoint, over one row."""
    assert _entry_of(data) is None
    assert _configuration_of(data) is None


@given(JSON)
def test_any_json(value):
    data = json.dumps(value).encode()
    assert _entry_of(data) is None
    assert _configuration_of(data) is None


@pytest.mark.parametrize("field", sorted(ENTRY.keys() - {"born"}))
def test_entry_lacks_a_field(field):
    assert _entry_of(json.dumps(_without(field)).encode()) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", 7),
        ("service", ""),
        ("service", "two words"),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:99999"),
        ("address", "10.0.0.1:0"),
        ("address", "a b:80"),
        ("address", ["10.0.0.1:80"]),
        ("zone", None),
        ("slots", "3"),
        ("slots", 2.5),
        ("slots", True),
        ("slots", -1),
        ("slots", math.inf),
        ("state", "zombie"),
        ("state", None),
        ("state", ["ready"]),
        ("dbRole", "leader"),
        ("dbRole", {}),
        ("seq", "17"),
        ("seq", 1.5),
        ("coldRemainingMs", "0"),
        ("coldRemainingMs", math.nan),
    ],
)
def test_entry_of_another_writer(field, value):
    assert _entry_of(json.dumps(ENTRY | {field: value}).encode()) is None


@pytest.mark.parametrize("name", ["", "two words", "\ud800", "a\r\n"])
def test_entry_under_a_name_that_no_line_can_hold(name):
    """Symptom: a connection to it sends two words, or lines, in place of one."""
    with pytest.raises(DocumentError, match="key"):
        decode_entry(name, json.dumps(ENTRY).encode())


@pytest.mark.parametrize("field", ENTRY)
@given(value=JSON)
@example(value=10**400)
@example(value="\ud800")
@example(value={str(n) * 30: {str(n) * 30: [str(n) * 30] * 9} for n in range(9)})
def test_entry_with_any_value_in_a_field(field, value):
    _entry_of(json.dumps(ENTRY | {field: value}).encode())


def _changed(place: tuple[str, ...], change: Any) -> bytes:
    """Return a configuration with one field changed by a function of its parent."""
    document = json.loads(json.dumps(CONFIGURATION))
    parent = document
    for name in place[:-1]:
        parent = parent[name]
        if isinstance(parent, list):
            parent = parent[0]
    change(parent, place[-1])
    return json.dumps(document).encode()


PLACES = [
    *[(name,) for name in CONFIGURATION],
    *[("routes", name) for name in ROUTE],
    *[("services", name) for name in SERVICE],
    ("limits", "txIdleMs"),
]


@pytest.mark.parametrize("place", PLACES, ids=".".join)
def test_configuration_lacks_a_field(place):
    _configuration_of(_changed(place, lambda parent, name: parent.pop(name)))


@pytest.mark.parametrize("place", PLACES, ids=".".join)
@given(value=JSON)
@example(value=10**400)
@example(value=math.inf)
def test_configuration_with_any_value_in_a_field(place, value):
    def change(parent: dict[str, Any], name: str) -> None:
        parent[name] = value

    _configuration_of(_changed(place, change))
