"""Attribution of task failures to the job or to machines."""

from sorrelsill import constants
from sorrelsill.workers.failures import FailureHistory


def test_a_job_that_never_succeeds_blames_no_machine_and_is_retried_with_backoff() -> None:
    history = FailureHistory()
    backoffs_s = []
    now = 0.0
    for number in range(8):
        assert history.record_failure(f"m{number}", now) == set()
        backoffs_s.append(history.next_retry_at - now)
        now = history.next_retry_at
    assert backoffs_s == [2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0, 60.0]
    assert history.is_suspect(0)


def test_tasks_that_fail_together_are_one_burst() -> None:
    history = FailureHistory()
    for number in range(100):
        history.record_failure(f"m{number}", 1.0)
    assert history.failure_bursts == 1
    assert history.next_retry_at == 1.0 + constants.START_BACKOFF_S


def test_failures_count_against_machines_once_the_job_succeeds_elsewhere() -> None:
    history = FailureHistory()
    history.record_failure("bad", 0.0)
    assert history.record_success("good") == {"bad"}
    assert history.record_failure("worse", 5.0) == {"worse"}
    assert not history.is_suspect(0)


def test_a_success_on_the_same_machine_clears_it() -> None:
    history = FailureHistory()
    history.record_failure("m1", 0.0)
    assert history.record_success("m1") == set()


def test_failures_of_one_job_count_against_a_limited_number_of_machines() -> None:
    """The job may have some tasks that fail on every machine while others succeed."""
    history = FailureHistory(succeeded=True)
    blamed = [history.record_failure(f"m{number}", float(number)) for number in range(10)]
    assert sum(len(machines) for machines in blamed) == constants.BLAMED_MACHINES_MAX


def test_a_job_whose_other_tasks_keep_running_is_not_suspect() -> None:
    history = FailureHistory()
    history.record_failure("m1", 0.0)
    history.record_failure("m2", 0.0)
    assert history.is_suspect(2)
    assert not history.is_suspect(3)
