"""The encoding of finished tasks in stored records."""

import random

import pytest

from sorrelsill.model import TaskSet


@pytest.mark.parametrize("share", [0.0, 0.01, 0.5, 0.99, 1.0])
def test_encoding_round_trip(share: float) -> None:
    rng = random.Random(7)
    done = TaskSet(1000)
    for index in range(1000):
        if rng.random() < share:
            done.add(index)
    text = done.encode(0, 1000)
    decoded = TaskSet(1000)
    decoded.merge(text, 0)
    assert [i in decoded for i in range(1000)] == [i in done for i in range(1000)]
    assert decoded.count == done.count
    assert len(text) < 200


def test_merge_rejects_task_out_of_range() -> None:
    with pytest.raises(ValueError, match="task 4 is out of range: the job has 4 tasks"):
        TaskSet(4).merge("2-7", 0)
