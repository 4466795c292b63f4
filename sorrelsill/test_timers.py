"""Timers that are set again and again must neither come late nor pile up."""

from sorrelsill.timers import Timers


def test_a_key_is_due_at_its_earliest_time_and_only_once() -> None:
    timers: Timers[str] = Timers()
    timers.set_if_earlier("late", 9.0)
    timers.set_if_earlier("early", 5.0)
    timers.set_if_earlier("late", 7.0)
    timers.set_if_earlier("late", 8.0)
    assert timers.pop_due(5.0) is None, "its time is not over yet"
    assert [timers.pop_due(10.0) for _ in range(3)] == ["early", "late", None]
    assert len(timers) == 0


def test_a_timer_can_be_set_anew_once_it_was_due() -> None:
    timers: Timers[str] = Timers()
    timers.set_if_earlier("key", 1.0)
    assert timers.pop_due(2.0) == "key"
    timers.set_if_earlier("key", 3.0)
    assert timers.pop_due(4.0) == "key" and timers.pop_due(9.0) is None


def test_moments_that_move_away_cost_no_memory() -> None:
    timers: Timers[int] = Timers()
    for second in range(1000):
        for key in range(10):
            timers.set_if_earlier(key, second + 60.0)
    assert len(timers._heap) == 10
