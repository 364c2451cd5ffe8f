"""Documents of operators and endpoints, and what they may hold."""

from __future__ import annotations

import json

import pytest

from mallowpass.core.proxy.configuration import Consistency
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
    "slots": 3,
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


def test_entry():
    entry = decode_entry("i-1", json.dumps(ENTRY).encode())
    assert (entry.name, entry.draining, entry.is_primary) == ("i-1", True, True)
    assert entry.started_at == 1764720000123


def test_start_that_is_not_told():
    entry = decode_entry("i-1", json.dumps(_without("born")).encode())
    assert entry.started_at == 0


@pytest.mark.parametrize("born", [None, "1764720000123", 1.5, True, -1, [], {}])
def test_start_that_is_no_whole_number(born):
    """Symptom: an endpoint counts as started anew though it was not.

    Sequence: another writer puts something else than a number there. Cause: it is
    taken for a start that differs from the one known.
    """
    entry = decode_entry("i-1", json.dumps(ENTRY | {"born": born}).encode())
    assert entry.started_at == 0


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
