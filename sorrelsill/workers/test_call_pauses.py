"""Pauses after failed calls to machines."""

from sorrelsill import constants
from sorrelsill.workers.call_pauses import CallPauses


def test_pauses_double_up_to_the_limit_and_reset_after_an_answer() -> None:
    pauses = CallPauses()
    now = 0.0
    durations = []
    for _ in range(5):
        pauses.call_failed("m1", now)
        durations.append(pauses.retry_at("m1", now) - now)
        now = pauses.retry_at("m1", now)
    assert durations == [2.0, 4.0, 8.0, 16.0, 16.0]
    pauses.call_answered("m1")
    assert pauses.retry_at("m1", now) == now + constants.RETRY_PAUSE_S
    pauses.call_failed("m1", now)
    assert pauses.retry_at("m1", now) == now + 2.0


def test_heartbeat_after_the_failure_ends_the_pause() -> None:
    pauses = CallPauses()
    pauses.call_failed("m1", 5.0)
    assert pauses.is_paused("m1", 6.0, last_seen_at=4.0)
    assert not pauses.is_paused("m1", 6.0, last_seen_at=5.5)
    assert not pauses.is_paused("m1", 7.0, last_seen_at=4.0), "the pause is over"
    assert not pauses.is_paused("m2", 6.0, last_seen_at=4.0)
