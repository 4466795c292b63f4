"""The checks of a history find each kind of violation, and none in a valid history."""

import pytest

from tests.processes.history import (
    Accepted,
    Answered,
    Event,
    LeaderChanged,
    TaskEnded,
    TaskStarted,
    TokenChanged,
    violations,
)

VALID_HISTORY: list[Event] = [
    LeaderChanged(0.0, 5, "n0"),
    TokenChanged(0.1, "m1", 5),
    Accepted(1.0, "run-1", 2),
    TaskStarted(2.0, "run-1/0", "m1"),
    TaskStarted(2.0, "run-1/1", "m2"),
    Answered(2.5, "run-1", "running"),
    TaskEnded(3.0, "run-1/0", "m1", completed=True),
    TaskEnded(3.1, "run-1/1", "m2", completed=False),
    LeaderChanged(3.5, 9, "n1"),
    TokenChanged(3.6, "m1", 9),
    TaskStarted(4.0, "run-1/1", "m1"),
    TaskEnded(5.0, "run-1/1", "m1", completed=True),
    Answered(6.0, "run-1", "done"),
    Answered(7.0, "run-1", "done"),
]


def with_event(after: int, event: Event) -> list[Event]:
    return [*VALID_HISTORY[:after], event, *VALID_HISTORY[after:]]


def test_valid_history_has_no_violations() -> None:
    assert violations(VALID_HISTORY) == []


@pytest.mark.parametrize(
    ("history", "text"),
    [
        (with_event(5, TaskStarted(2.2, "run-1/0", "m2")), "run-1/0 on m2 and ['m1']"),
        (with_event(13, Answered(6.5, "run-1", "running")), "was done and is running"),
        (with_event(13, Answered(6.5, "run-1", "cancelled")), "was done and is cancelled"),
        (with_event(10, Answered(3.7, "run-1", "done")), "done without 1 of its tasks"),
        (with_event(13, Accepted(6.5, "run-2", 1)), "run-2 was accepted and never ended"),
        (with_event(10, LeaderChanged(3.7, 9, "n2")), "term 9 belongs to n1 and n2"),
        (with_event(10, LeaderChanged(3.7, 7, "n2")), "term 7 follows term 9"),
        (with_event(10, TokenChanged(3.7, "m1", 5)), "m1 follows token 5 after 9"),
        (with_event(10, TokenChanged(3.7, "m1", 12)), "token 12, which no leader holds"),
        (VALID_HISTORY[:-2], "run-1 was accepted and never ended"),
    ],
)
def test_each_kind_of_violation_is_found(history: list[Event], text: str) -> None:
    assert any(text in found for found in violations(history))
