"""Operators' calls are authenticated, translated and answered."""

from __future__ import annotations

import logging

import pytest

from mallowpass.adapters.client import OperatorClient
from mallowpass.adapters.operator_messages import service_from_wire, service_to_wire
from mallowpass.core.events import OperatorRequested
from mallowpass.core.services import Database, Member, ReadAge, Service
from mallowpass.errors import MallowpassError
from tests.adapters.harness import OPERATOR, OPERATOR_KEY, core_of, run, running_host


@pytest.mark.parametrize(
    ("operator", "key", "code"),
    [
        (OPERATOR, b"", "MP-2001"),
        (OPERATOR, b"a guessed key, never in a log", "MP-2002"),
        ("somebody-else", OPERATOR_KEY, "MP-2002"),
    ],
)
def test_operator_without_its_key_is_refused(
    operator: str, key: bytes, code: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            OperatorClient(host.operators_address, operator, key) as client,
        ):
            with pytest.raises(MallowpassError) as refusal:
                await client.status()
            assert refusal.value.code == code
            assert not core_of(host).of(OperatorRequested)
            assert host.metrics.total("refused", code=code) == 1

    with caplog.at_level(logging.WARNING, "mallowpass"):
        run(check())
    refusals = [r for r in caplog.records if r.getMessage() == "operator-refused"]
    assert [record.event_fields["code"] for record in refusals] == [code]
    assert "guessed" not in str([vars(record) for record in caplog.records])


def test_status_carries_the_metrics() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            OperatorClient(host.operators_address, OPERATOR, OPERATOR_KEY) as client,
        ):
            host.count("retries", 3)
            answer = await client.status()
            assert answer.host == "host-1"
            assert answer.figures["mallowpass.retries"] == 3
            [event] = core_of(host).of(OperatorRequested)
            assert event.request.operator == OPERATOR

    run(check())


def test_bad_form_is_refused_with_a_code() -> None:
    async def check() -> None:
        async with (
            running_host() as host,
            OperatorClient(host.operators_address, OPERATOR, OPERATOR_KEY) as client,
        ):
            with pytest.raises(MallowpassError) as refusal:
                await client.drain_host("")
            assert refusal.value.code == "MP-3012"

    run(check())


def test_service_survives_the_wire() -> None:
    members = tuple(
        Member(name, f"127.0.0.1:{7000 + i}", "d") for i, name in enumerate("abc")
    )
    service = Service(
        "desk",
        (Database("claims", members, 20, setup_time=0.012),),
        read_ages=(ReadAge(1.5, "claims"),),
        minority_reads=False,
    )
    assert service_from_wire(service_to_wire(service)) == service
