"""Tests of the command line: help, exit codes and error lines."""

from __future__ import annotations

import socket

import pytest

from mallowpass.cli import main as cli_main
from mallowpass.cli.main import ExitCode, cli, main
from mallowpass.cli.operate import KEY_VARIABLE
from mallowpass.versions import program_version

HOST_FILE = "examples/claims-desk/host-casa-ainsebaa-0.toml"


def _run(capsys, *arguments: str) -> tuple[int, str, str]:
    code = 0
    try:
        main(list(arguments))
    except SystemExit as end:
        code = end.code or 0
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def test_version(capsys):
    code, out, _ = _run(capsys, "--version")
    assert code == ExitCode.OK
    assert out == f"mallowpass, version {program_version()}\n"


@pytest.mark.parametrize("name", sorted(cli_main._COMMANDS))
def test_every_command_explains_itself(capsys, name):
    code, out, _ = _run(capsys, name, "--help")
    assert code == ExitCode.OK
    assert "Usage: mallowpass" in out


def test_unknown_command_is_a_usage_error(capsys):
    code, _, err = _run(capsys, "promot")
    assert code == ExitCode.USAGE
    assert "promot" in err


def test_check_accepts_good_settings(capsys):
    code, out, _ = _run(capsys, "check", HOST_FILE)
    assert code == ExitCode.OK
    assert out == f"{HOST_FILE}: ok\n"


def test_check_reports_every_finding_on_stderr(capsys, tmp_path):
    file = tmp_path / "host.toml"
    with open(HOST_FILE, encoding="utf-8") as good:
        text = good.read().replace("seat = 0", "seet = 0").replace("7100", "x")
    file.write_text(text)
    code, out, err = _run(capsys, "check", str(file))
    assert code == ExitCode.SETTINGS
    assert out == ""
    assert "did you mean" in err.lower()
    assert err.count("MP-1") >= 3


def test_serve_with_a_missing_file_names_the_code(capsys, tmp_path):
    code, _, err = _run(capsys, "serve", str(tmp_path / "none.toml"))
    assert code == ExitCode.SETTINGS
    assert "MP-1002" in err
    assert "what to do:" in err


def test_operator_without_key_is_refused_before_any_call(capsys, monkeypatch):
    monkeypatch.delenv(KEY_VARIABLE, raising=False)
    code, _, err = _run(capsys, "status", "--address", "127.0.0.1:1")
    assert code == ExitCode.REFUSED
    assert "MP-2001" in err


def test_unreadable_token_file_is_a_coded_error(capsys, tmp_path):
    file = tmp_path / "token"
    file.write_text("no token at all")
    options = ("--service", "s", "--database", "d", "--token-file", str(file))
    code, _, err = _run(capsys, "sql", *options, "SELECT 1")
    assert code == ExitCode.REFUSED
    assert "MP-2003" in err


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script_names_the_command(capsys, shell):
    code, out, _ = _run(capsys, "completion", shell)
    assert code == ExitCode.OK
    assert "mallowpass" in out


def test_commands_are_not_imported_for_help(capsys):
    assert "serve" in cli.list_commands(None)


def test_host_that_does_not_answer_has_an_exit_code_of_its_own(capsys, monkeypatch):
    monkeypatch.setenv(KEY_VARIABLE, "operator-key-0123456789")
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        code, _, err = _run(capsys, "status", "--address", address)
    assert code == ExitCode.UNREACHABLE
    assert err.count("MP-7003") == 1
