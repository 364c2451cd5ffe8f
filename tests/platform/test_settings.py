"""The settings file that the platform writes, and the metrics address in deploy/."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from mallowpass.platform.runtime import METRICS_PATH, METRICS_PORT
from mallowpass.platform.settings import Address, SettingsError, load_settings

TEXT = """
nodeName = "edge-casa-1"
zone = "casa"
unknownField = 7
[zones]
casa = "casablanca"
[listen]
front = "10.1.0.8:8784"
ready = "10.1.0.8:8785"
[bounds]
graceS = 6
[platform]
address = "10.200.1.7:8783"
[cloud]
address = "10.200.0.160:8783"
"""


def _load(tmp_path: Path, text: str):
    path = tmp_path / "local.toml"
    path.write_text(text)
    return load_settings(path)


@pytest.mark.parametrize(
    ("line", "fences"),
    [("requireFencing = true", True), ("requireFencing = false", False), ("", False)],
)
def test_require_fencing(tmp_path, line, fences):
    text = TEXT.replace("graceS = 6", f"graceS = 6\n{line}")
    assert _load(tmp_path, text).fences is fences


@pytest.mark.parametrize(
    ("line", "is_announced"),
    [
        ('contracts = ["base", "pressure"]', True),
        ('contracts = ["base", "quota"]', False),
        ('contracts = "pressure"', False),
        ("", False),
    ],
)
def test_overload_control_is_off_unless_announced(tmp_path, line, is_announced):
    # Guards against a change of behaviour on platforms that announce no overload.
    assert _load(tmp_path, f"{line}\n{TEXT}").overload_control is is_announced


def test_settings(tmp_path):
    settings = _load(tmp_path, TEXT)
    assert settings.name == "edge-casa-1"
    assert settings.callers == Address("10.1.0.8", 8784)
    assert settings.orders == Address("10.200.0.160", 8783)
    assert settings.grace == 6.0


def test_error_lists_all_findings(tmp_path):
    text = TEXT.replace('zone = "casa"', "")
    text = text.replace(":8784", "").replace("graceS = 6", "graceS = 0")
    with pytest.raises(SettingsError) as caught:
        _load(tmp_path, text)
    for key in ("zone", "listen.front", "bounds.graceS"):
        assert key in str(caught.value)


@pytest.mark.parametrize("key", ["nodeName", "zone"])
@pytest.mark.parametrize("name", ["casa 1", "casa\\t1", "casa\\r\\nREADY"])
def test_name_that_is_no_field_of_a_line_is_refused(tmp_path, key, name):
    """Guard against a host whose claims and links no other host can read."""
    value = {"nodeName": "edge-casa-1", "zone": "casa"}[key]
    text = TEXT.replace(f'{key} = "{value}"', f'{key} = "{name}"')
    with pytest.raises(SettingsError, match=key):
        _load(tmp_path, text)


@pytest.mark.parametrize("text", ["", "= 3", "nodeName = 3"])
def test_empty_or_malformed_file(tmp_path, text):
    with pytest.raises(SettingsError):
        _load(tmp_path, text)


def test_missing_file(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "none.toml")


def test_metrics_address_matches_deploy_file():
    deploy = Path(__file__).parents[2] / "deploy" / "system.toml"
    roles = tomllib.loads(deploy.read_text())["roles"]
    (role,) = roles.values()
    assert role["metrics"] == f"{METRICS_PORT}{METRICS_PATH}"


@pytest.mark.parametrize(("line", "seconds"), [("contactMs = 8000", 8.0), ("", 4.0)])
def test_settle_time(tmp_path, line, seconds):
    text = TEXT.replace("graceS = 6", f"graceS = 6\n{line}")
    assert _load(tmp_path, text).settle_time == seconds


@pytest.mark.parametrize("value", ["0", "-1", "true", '"8000"', "nan", "inf"])
def test_invalid_settle_time(tmp_path, value):
    text = TEXT.replace("graceS = 6", f"graceS = 6\ncontactMs = {value}")
    with pytest.raises(SettingsError, match="contactMs"):
        _load(tmp_path, text)
