"""CI passes over the tests of KNOWN-RED.txt, and over nothing else."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

PLUGIN = Path(__file__).resolve().parent.parent / "packaging"
RED = "test_it.py::test_red | pytest | assert 0 | the fault, issue 7"
TWO = """
def test_two(record_property):
    record_property("finding", "the listed one: 3")
    record_property("finding", "{other}")
    assert not "the listed one"
"""


@pytest.fixture
def verdict(pytester, monkeypatch):
    """Run one red and one green test, and whatever is added, under a list."""
    monkeypatch.syspath_prepend(PLUGIN)
    monkeypatch.delenv("PYTEST_ADDOPTS", raising=False)

    def run(listed, more="", *flags):
        pytester.makepyfile(
            test_it=f"def test_red(): assert 0\ndef test_green(): pass\n{more}"
        )
        pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(listed))
        return pytester.runpytest_inprocess("-p", "known_red", *flags)

    return run


def test_a_listed_failure_is_printed_and_passed_over(verdict):
    result = verdict([RED])
    assert result.ret == 0
    result.stdout.fnmatch_lines(["FAILED as listed: test_it.py::test_red: the fault*"])
    result.assert_outcomes(passed=1, failed=1)


def test_a_listed_test_that_passes_is_said(verdict):
    result = verdict([RED, "test_it.py::test_green | pytest | x | mended, issue 8"])
    assert result.ret == 0
    result.stdout.fnmatch_lines(["PASSED, strike it: test_it.py::test_green*"])


@pytest.mark.parametrize(
    ("listed", "more"),
    [
        pytest.param([], "", id="not listed"),
        pytest.param([RED], "def test_red_too(): assert 0", id="longer name"),
        pytest.param(
            [RED, "test_it.py::test_gone | pytest | x | x, issue 1"], "", id="stale"
        ),
    ],
)
def test_any_other_failure_fails_the_run(verdict, listed, more):
    assert verdict(listed, more).ret == pytest.ExitCode.TESTS_FAILED


def test_another_finding_than_the_listed_one_fails_the_run(verdict):
    listed = ["test_it.py::test_red | pytest | another fault | the fault, issue 7"]
    result = verdict(listed)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["FAILED otherwise than by 'another fault'*"])


@pytest.mark.parametrize(
    ("other", "code"),
    [("the listed one: 4", 0), ("a commit was lost", pytest.ExitCode.TESTS_FAILED)],
)
def test_each_finding_of_a_test_must_be_the_listed_one(verdict, other, code):
    listed = [RED, "test_it.py::test_two | pytest | the listed one | seen, issue 7"]
    assert verdict(listed, TWO.format(other=other)).ret == code


def test_a_run_that_was_cut_short_is_not_excused(verdict):
    stop = "import pytest\ndef test_stop(): pytest.exit('enough')"
    assert verdict([RED], stop).ret == pytest.ExitCode.INTERRUPTED


def test_a_module_that_cannot_be_imported_is_not_excused(verdict, pytester):
    pytester.makepyfile(test_broken="raise RuntimeError")
    result = verdict([RED], "", "--continue-on-collection-errors")
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    ("listed", "finding"),
    [
        (["test_it.py::test_red | pytest | x | no issue"], "*not 'test-id | command*"),
        (["test_it.py::test_red | x | without a command, issue 7"], "*not 'test-id*"),
        ([RED, RED], "*listed more than once: *test_red*"),
    ],
)
def test_a_wrong_list_is_named_and_fails_the_run(verdict, listed, finding):
    result = verdict(listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([finding])
