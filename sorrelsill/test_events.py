"""Structured log lines."""

import logging

import pytest

from sorrelsill.events import log_event


class _Unprintable:
    def __str__(self) -> str:
        raise AssertionError("formatted although the level is disabled")


def test_event_is_logged_as_one_line(caplog: pytest.LogCaptureFixture) -> None:
    log = logging.getLogger("test_events")
    with caplog.at_level(logging.DEBUG, log.name):
        log_event(log, logging.DEBUG, "halt", task="run-1/2", cpus=2.5, limit=20.0, reason="no room", up=True, text="")
    assert [record.getMessage() for record in caplog.records] == [
        "halt task=run-1/2 cpus=2.5 limit=20 reason='no room' up=True text=''"
    ]


def test_event_of_disabled_level_is_not_formatted() -> None:
    log = logging.getLogger("test_events.off")
    log.setLevel(logging.INFO)
    log_event(log, logging.DEBUG, "halt", task=_Unprintable())
