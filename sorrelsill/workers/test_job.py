"""Binding and unbinding of a job's tasks, and its count of bound tasks per zone."""

from sorrelsill.jobs import parse_spec
from sorrelsill.model import TaskSet
from sorrelsill.workers import Attempt, Job, Machine
from tests.simulation import job


def make_job() -> Job:
    spec = parse_spec(job("run-1"))
    return Job(spec, TaskSet(spec.task_count), 1, False, 0.0, [])


def attempt_in(zone: str, live_job: Job, attempt_number: int) -> Attempt:
    machine = Machine(f"m-{zone}")
    machine.zone = zone
    return Attempt(live_job.spec.job_id, 0, attempt_number, machine, live_job.spec, 0.0)


def test_a_later_attempt_replaces_the_earlier_one_and_its_zone_count() -> None:
    live_job = make_job()
    earlier, later = attempt_in("a", live_job, 1), attempt_in("b", live_job, 2)
    live_job.bind(earlier)
    assert live_job.bound == {0: earlier} and live_job.zones == {"a": 1}
    live_job.bind(later)
    assert live_job.bound == {0: later} and live_job.zones == {"a": 0, "b": 1}


def test_a_task_whose_attempt_is_gone_is_requeued_unless_it_is_done() -> None:
    live_job = make_job()
    live_job.cursor = live_job.spec.task_count  # all tasks have been started once
    for done in (False, True):
        attempt = attempt_in("a", live_job, 1)
        live_job.bind(attempt)
        if done:
            live_job.done.add(0)
        live_job.unbind(attempt, 5.0, requeue=True)
        assert live_job.zones == {"a": 0} and live_job.last_activity_at == 5.0
        assert live_job.next_task() == (None if done else 0)
