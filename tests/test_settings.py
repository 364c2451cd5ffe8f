"""Check that settings are read, and that all findings come with their places."""

from __future__ import annotations

import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.settings import (
    Address,
    HostSettings,
    ServiceDefinition,
    SettingsError,
    StandinSettings,
    load_fleet_key,
    load_host_settings,
    load_operator_keys,
)

HOST = """\
[host]
name = "host-a-0"
failure_domain = "domain-a"
seat = 1

[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "[::1]:7003"

[platform]
address = "127.0.0.1:7100"

[fleet]
key_environment = "FLEET_KEY"
seeds = [
    "127.0.0.1:7013",
    "127.0.0.1:7023",
]

[[fleet.failure_domains]]
name = "domain-a"
region = "north"
hosts = 2

[[fleet.failure_domains]]
name = "domain-b"
region = "north"
hosts = 3
"""

SERVICE = """\
name = "claims-core"

[[database]]
name = "claims"
connections = 20

[[database.member]]
name = "claims-0"
address = "127.0.0.1:7201"
failure_domain = "domain-a"

[[class]]
name = "desk"

[[read_age]]
class = "desk"
age = "2s"
"""

STANDIN = """\
[platform]
listen = "127.0.0.1:0"

[[failure_domain]]
name = "domain-a"
region = "north"

[[failure_domain]]
name = "domain-b"
region = "south"

[[group]]
name = "claims"
connections = 20
slots = 1

[group.lag]
median = "3ms"

[[group.member]]
name = "claims-0"
failure_domain = "domain-a"
listen = "127.0.0.1:0"
"""


def findings_of(text: str, cls: type = HostSettings) -> dict[str, tuple]:
    with pytest.raises(SettingsError) as caught:
        cls.from_text(text, "host.toml")
    return {
        str(finding).split(": ")[1]: (finding.error_code, finding.line)
        for finding in caught.value.findings
    }


def test_host_defaults():
    settings = HostSettings.from_text(HOST)
    assert settings.listen.peers == Address("::1", 7003)
    assert settings.timing.probe_interval == 0.1
    assert settings.timing.detection == 0.4
    assert settings.limits.message_size == 4 << 20
    assert (settings.hosts, settings.seat_in_fleet) == (5, 1)
    assert settings.failure_domain.region == "north"


def test_all_findings_are_reported_together():
    text = (
        HOST.replace("seat = 1", 'seat = "one"')
        .replace('"127.0.0.1:7100"', '"localhost:7100"\nreads_per_secnd = 3')
        .replace('name = "domain-b"\n', "")
        .replace('"127.0.0.1:7023"', "7023")
    )
    text += '[timing]\nheartbeat = "250"\n[limits]\nmessage_size = "4MB"\nsessions = 0'
    text += '\n[log]\nformat = "jsn"\n[[operators]]\nname = "night-desk"\n'
    assert findings_of(text) == {
        "host.seat": (ErrorCode.WRONG_TYPE, 4),
        "platform.address": (ErrorCode.INVALID_ADDRESS, 12),
        "platform.reads_per_secnd": (ErrorCode.UNKNOWN_KEY, 13),
        "fleet.seeds[1]": (ErrorCode.WRONG_TYPE, 17),
        "fleet.failure_domains[1].name": (ErrorCode.MISSING_KEY, 27),
        "timing.heartbeat": (ErrorCode.INVALID_QUANTITY, 31),
        "limits.message_size": (ErrorCode.INVALID_QUANTITY, 33),
        "limits.sessions": (ErrorCode.INVALID_VALUE, 34),
        "log.format": (ErrorCode.INVALID_VALUE, 36),
        "operators[0]": (ErrorCode.MISSING_KEY, 37),
    }


def test_finding_reads_well():
    with pytest.raises(SettingsError) as caught:
        HostSettings.from_text(HOST + "[limitz]\n", "host.toml")
    assert str(caught.value.findings[0]) == (
        "host.toml:30: limitz: MP-1004 unknown key 'limitz'; did you mean 'limits'?"
    )
    assert caught.value.code == "MP-1001"


@pytest.mark.parametrize(
    ("old", "new", "path", "code"),
    [
        ("seat = 1", "seat = 2", "host.seat", ErrorCode.INVALID_VALUE),
        ("seat = 1", "seat = true", "host.seat", ErrorCode.WRONG_TYPE),
        (
            'failure_domain = "domain-a"',
            'failure_domain = "domain-c"',
            "host.failure_domain",
            ErrorCode.UNKNOWN_REFERENCE,
        ),
        (
            'name = "domain-b"',
            'name = "domain-a"',
            "fleet.failure_domains[1].name",
            ErrorCode.DUPLICATE_NAME,
        ),
        ("7023", "7013", "fleet.seeds[1]", ErrorCode.DUPLICATE_NAME),
        (
            'operators = "127.0.0.1:0"',
            'operators = "[::1]:7003"',
            "listen.peers",
            ErrorCode.DUPLICATE_NAME,
        ),
        ("7100", "65536", "platform.address", ErrorCode.INVALID_ADDRESS),
        (
            "[platform]",
            f"[platform]\nreads_per_second = {'9' * 400}",
            "platform.reads_per_second",
            ErrorCode.INVALID_VALUE,
        ),
        (
            "[platform]",
            "[platform]\nreads_per_second = nan",
            "platform.reads_per_second",
            ErrorCode.INVALID_VALUE,
        ),
        (
            'key_environment = "FLEET_KEY"',
            'key_environment = "FLEET_KEY"\nkey_file = "fleet.key"',
            "fleet",
            ErrorCode.INVALID_VALUE,
        ),
        (
            "[host]",
            '[timing]\ndetection = "150ms"\n[host]',
            "timing.detection",
            ErrorCode.INVALID_VALUE,
        ),
        (
            "[host]",
            '[timing]\nretry_backoff_max = "5ms"\n[host]',
            "timing.retry_backoff_max",
            ErrorCode.INVALID_VALUE,
        ),
    ],
)
def test_host_finding(old, new, path, code):
    found = findings_of(HOST.replace(old, new, 1))
    assert {key: code for key, (code, _) in found.items()} == {path: code}


def test_lines_survive_strings_comments_and_nested_arrays():
    text = 'x = """\n[host]\n"""  # ]\ny = [ # [\n  ["#", \'"\'],\n]\nz = { a = 1 }\n'
    found = findings_of(text + HOST.replace("seat = 1", "seat = -1"))
    assert found["x"][1] == 1
    assert found["y"][1] == 4
    assert found["z"][1] == 7
    assert found["host.seat"] == (ErrorCode.INVALID_VALUE, 11)


def test_bad_toml_names_the_line():
    with pytest.raises(SettingsError) as caught:
        HostSettings.from_text("[host]\nname =\n", "host.toml")
    assert caught.value.code == "MP-1003"
    assert caught.value.findings[0].line == 2


@pytest.mark.parametrize("content", [None, b'name = "\xff"'])
def test_unreadable_file(tmp_path, content):
    path = tmp_path / "host.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load_host_settings(path)
    assert caught.value.code == "MP-1002"


def test_service_definition():
    service = ServiceDefinition.from_text(SERVICE)
    assert service.databases[0].members[0].address == Address("127.0.0.1", 7201)
    assert service.databases[0].promotion == "automatic"
    assert service.read_age("claims", "desk") == 2.0
    assert service.read_age("claims") == service.accepted_age == 0.0


def test_service_findings():
    text = SERVICE.replace('class = "desk"', 'class = "dsk"\ndatabase = "tariffs"')
    text += '[[read_age]]\nage = "1s"\n[[class]]\nname = "desk"\n'
    assert findings_of(text, ServiceDefinition) == {
        "read_age[0].class": (ErrorCode.UNKNOWN_REFERENCE, 16),
        "read_age[0].database": (ErrorCode.UNKNOWN_REFERENCE, 17),
        "read_age[1]": (ErrorCode.MISSING_KEY, 19),
        "class[1].name": (ErrorCode.DUPLICATE_NAME, 22),
    }


def test_standin_settings():
    settings = StandinSettings.from_text(STANDIN)
    assert settings.groups[0].lag.median == 0.003
    assert settings.delay("domain-a", "domain-a") == settings.latency.within_domain
    assert settings.delay("domain-a", "domain-b") == settings.latency.between_regions


def test_standin_findings():
    text = STANDIN.replace("slots = 1", "slots = 3").replace('"3ms"', '"1min"')
    assert findings_of(text, StandinSettings) == {
        "group[0].slots": (ErrorCode.INVALID_VALUE, 15),
        "group[0].lag.p99": (ErrorCode.INVALID_VALUE, 17),
    }


def test_keys_come_from_file_environment_or_digest(tmp_path):
    key_file = tmp_path / "operator.key"
    key_file.write_text("key-of-the-day-desk\n")
    digest = hashlib.sha256(b"key-of-the-night-desk").hexdigest()
    text = f'{HOST}[[operators]]\nname = "day-desk"\nkey_file = "{key_file}"\n'
    text += f'[[operators]]\nname = "night-desk"\nkey_sha256 = "{digest}"\n'
    settings = HostSettings.from_text(text)
    assert load_fleet_key(settings.fleet, {"FLEET_KEY": "k" * 32}) == b"k" * 32
    keys = load_operator_keys(settings.operators)
    assert keys.operator_of(b"key-of-the-day-desk") == "day-desk"
    assert keys.operator_of(b"key-of-the-night-desk") == "night-desk"
    assert keys.operator_of(b"") is None


@pytest.mark.parametrize("environ", [{}, {"FLEET_KEY": ""}, {"FLEET_KEY": "short"}])
def test_missing_or_short_key_is_refused(environ):
    settings = HostSettings.from_text(HOST)
    with pytest.raises(MallowpassError) as caught:
        load_fleet_key(settings.fleet, environ)
    assert caught.value.error_code is ErrorCode.KEY_UNREADABLE


CUTS = st.tuples(
    st.integers(0, len(HOST)),
    st.integers(0, 30),
    st.text("\"[]{}#\\=.\n a1'", max_size=8),
)


@given(st.lists(CUTS, max_size=4))
def test_damaged_text_gives_findings_and_nothing_else(cuts):
    text = HOST
    for start, length, patch in cuts:
        text = text[:start] + patch + text[start + length :]
    try:
        HostSettings.from_text(text)
    except SettingsError as error:
        lines = {finding.line for finding in error.findings}
        assert lines <= set(range(text.count("\n") + 2))


@pytest.mark.parametrize("value", ["9" * 5000, "1e999", '"%s GiB"' % ("9" * 400)])
@pytest.mark.parametrize("key", ["message_size", "sessions", "drain"])
def test_enormous_number_is_a_finding(key, value):
    with pytest.raises(SettingsError):
        HostSettings.from_text(f"{HOST}[limits]\n{key} = {value}\n")


def test_odd_keys_are_findings_too():
    text = HOST + '["odd ] key"]\n"a.b" = 1\n[log]\n"form at" = "json"\n'
    found = findings_of(text)
    assert found["odd ] key"][0] is ErrorCode.UNKNOWN_KEY
    assert found["log.form at"] == (ErrorCode.UNKNOWN_KEY, 33)
