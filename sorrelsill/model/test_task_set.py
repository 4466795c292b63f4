"""Finished tasks survive the trip into a record and back, whatever their pattern."""

import random

import pytest

from sorrelsill.model import TaskSet


@pytest.mark.parametrize("share", [0.0, 0.01, 0.5, 0.99, 1.0])
def test_finished_tasks_come_back_from_their_text(share: float) -> None:
    rng = random.Random(7)
    done = TaskSet(1000)
    for index in range(1000):
        if rng.random() < share:
            done.add(index)
    text = done.encode(0, 1000)
    back = TaskSet(1000)
    back.merge(text, 0)
    assert [i in back for i in range(1000)] == [i in done for i in range(1000)]
    assert back.count == done.count
    assert len(text) < 200


def test_a_damaged_text_is_refused() -> None:
    with pytest.raises(ValueError, match="task 4 of 4"):
        TaskSet(4).merge("2-7", 0)
