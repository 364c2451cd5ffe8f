"""Tests of turning definition files into services."""

from __future__ import annotations

from mallowpass.core.services import ReadAge
from mallowpass.settings import ServiceDefinition
from mallowpass.settings.conversion import service_of

TEXT = """
name = "desk"
accepted_age = "{age}"
[[database]]
name = "claims"
connections = 20
promotion = "manual"
[[database.member]]
name = "a"
address = "127.0.0.1:7400"
failure_domain = "casa"
[[read_age]]
database = "claims"
age = "5s"
[[class]]
name = "reconciliation"
kind = "patient"
weight = 2
"""


def _service(age: str):
    return service_of(ServiceDefinition.from_text(TEXT.format(age=age)))


def test_every_part_is_carried_over():
    service = _service("2s")
    database = service.databases[0]
    assert database.members[0].address == "127.0.0.1:7400"
    assert database.manual_promotion
    assert service.classes[0].patient
    assert service.accepted_age("claims", "") == 5.0
    assert service.accepted_age("other", "") == 2.0


def test_age_of_zero_declares_nothing():
    """Keep reads without a declared age on replicas.

    Symptom: every read of a service without read ages went to the primary.
    Sequence: a definition without accepted_age, whose default is 0 s.
    Cause: 0 s became a declared age, which no replica can ever prove.
    """
    service = _service("0s")
    assert service.read_ages == (ReadAge(5.0, "claims"),)
    assert service.accepted_age("other", "") is None
