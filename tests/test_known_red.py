"""The list of tests that are known to fail."""

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, check_known_red_exist, load_known_red, parse_known_red

LINE = "tests/test_a.py::test_one | a fault | issue 7\n"


def test_a_list_is_read_line_by_line() -> None:
    assert parse_known_red(LINE + "\n") == [KnownRed("tests/test_a.py::test_one", "a fault", "issue 7")]


def test_no_list_is_an_empty_list(tmp_path: Path) -> None:
    assert load_known_red(tmp_path) == []


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_a.py::test_one\n",
        "tests/test_a.py::test_one | | issue 7\n",
        LINE + LINE,
        "".join(LINE.replace("one", name) for name in ("one", "two", "three", "four")),
    ],
    ids=["no cause", "empty cause", "twice", "four entries"],
)
def test_a_list_that_is_malformed_or_too_long_is_refused(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse_known_red(text)


def test_a_test_that_does_not_exist_is_refused() -> None:
    entries = parse_known_red(LINE)
    check_known_red_exist(entries, ["tests/test_a.py::test_one", "tests/test_a.py::test_two"])
    with pytest.raises(KnownRedError):
        check_known_red_exist(entries, ["tests/test_a.py::test_two"])


def test_a_listed_test_has_to_fail(pytester: pytest.Pytester) -> None:
    """It is passed over while it fails, and fails the run once it passes."""
    root = Path(__file__).parents[1]
    pytester.makepyfile(
        **{
            "conftest": (root / "conftest.py").read_text(),
            "tests/__init__": "",
            "tests/known_red": (root / "tests/known_red.py").read_text(),
            "tests/test_a": "def test_red():\n    assert False\n\ndef test_green():\n    pass\n",
        }
    )
    pytester.makeini("[pytest]\ntestpaths = tests\n")

    def run_with(known_red: str) -> pytest.RunResult:
        (pytester.path / "KNOWN-RED.txt").write_text(known_red)
        return pytester.runpytest_subprocess()

    listed = run_with("tests/test_a.py::test_red | a fault | issue 7\n")
    assert listed.ret == 0
    listed.stdout.fnmatch_lines(["KNOWN RED tests/test_a.py::test_red: a fault (issue 7)"])
    assert run_with("").ret != 0, "a test that is not listed fails the run"
    passes = run_with(
        "tests/test_a.py::test_red | a fault | issue 7\ntests/test_a.py::test_green | a fault | issue 7\n"
    )
    assert passes.ret != 0, "a listed test that passes fails the run"
    assert run_with("tests/test_a.py::test_none | a fault | issue 7\n").ret != 0
