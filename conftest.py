"""Makes each test repeatable: trio's scheduler shuffles the tasks of a batch, so its random generator is seeded.

Tests listed in KNOWN-RED.txt are expected to fail, and are printed at the end of the run."""

import pytest
import trio._core._run as trio_run

from tests.known_red import KnownFailure, KnownFailuresError, check_known_failures_exist, load_known_failures

pytest_plugins = ["pytester"]

_KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()


@pytest.fixture(autouse=True)
def _seed_trio_scheduler(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(0)


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[_KNOWN_FAILURES] = load_known_failures(config.rootpath)
    except KnownFailuresError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    entries = config.stash[_KNOWN_FAILURES]
    try:
        if config.args == config.getini("testpaths"):  # all tests were collected
            check_known_failures_exist(entries, (item.nodeid for item in items))
    except KnownFailuresError as error:
        raise pytest.UsageError(str(error)) from None
    by_test = {entry.test: entry for entry in entries}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            reason = f"known failure: {entry.observed} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for entry in config.stash[_KNOWN_FAILURES]:
        terminalreporter.write_line(f"KNOWN RED {entry}")
