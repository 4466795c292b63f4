"""Makes test runs reproducible: trio runs tasks in random order, so its random generator is seeded for each test.

Tests listed in KNOWN-RED.txt must fail (strict xfail) and are printed at the end."""

import pytest
import trio._core._run as trio_run

from tests.known_red import KnownRedError, check_known_red_exist, load_known_red

pytest_plugins = ["pytester"]


@pytest.fixture(autouse=True)
def _seeded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(0)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        entries = load_known_red(config.rootpath)
        if config.args == config.getini("testpaths"):  # all tests were collected, not a selection
            check_known_red_exist(entries, (item.nodeid for item in items))
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    by_test = {entry.test: entry for entry in entries}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {entry.cause} ({entry.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for entry in load_known_red(config.rootpath):
        terminalreporter.write_line(f"KNOWN RED {entry.test}: {entry.cause} ({entry.issue})")
