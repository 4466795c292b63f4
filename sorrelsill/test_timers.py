"""Timers that are set repeatedly expire in time and don't accumulate."""

from sorrelsill.timers import Timers


def test_key_is_due_once_at_its_earliest_time() -> None:
    timers: Timers[str] = Timers()
    timers.set_if_earlier("late", 9.0)
    timers.set_if_earlier("early", 5.0)
    timers.set_if_earlier("late", 7.0)
    timers.set_if_earlier("late", 8.0)
    assert timers.pop_due(5.0) is None, "a timer expires only after its time"
    assert [timers.pop_due(10.0) for _ in range(3)] == ["early", "late", None]
    assert len(timers) == 0


def test_timer_can_be_set_again_after_it_expired() -> None:
    timers: Timers[str] = Timers()
    timers.set_if_earlier("key", 1.0)
    assert timers.pop_due(2.0) == "key"
    timers.set_if_earlier("key", 3.0)
    assert timers.pop_due(4.0) == "key" and timers.pop_due(9.0) is None


def test_postponed_times_add_no_heap_entries() -> None:
    timers: Timers[int] = Timers()
    for second in range(1000):
        for key in range(10):
            timers.set_if_earlier(key, second + 60.0)
    assert len(timers._heap) == 10
