"""A job's bound tasks and the zones they count in."""

from sorrelsill.jobs import parse_spec
from sorrelsill.model import TaskSet
from sorrelsill.workers import Attempt, Job, Machine
from tests.simulation import job


def a_job() -> Job:
    spec = parse_spec(job("run-1"))
    return Job(spec, TaskSet(spec.task_count), 1, False, 0.0, [])


def attempt_in(zone: str, of: Job, attempt_number: int) -> Attempt:
    machine = Machine(f"m-{zone}")
    machine.zone = zone
    return Attempt(of.spec.job_id, 0, attempt_number, machine, of.spec, 0.0)


def test_a_later_attempt_takes_the_place_of_the_former_one_in_its_zone_too() -> None:
    bound = a_job()
    former, later = attempt_in("a", bound, 1), attempt_in("b", bound, 2)
    bound.bind(former)
    assert bound.bound == {0: former} and bound.zones == {"a": 1}
    bound.bind(later)
    assert bound.bound == {0: later} and bound.zones == {"a": 0, "b": 1}


def test_a_task_whose_attempt_is_gone_is_started_again_unless_it_is_done() -> None:
    unbound = a_job()
    unbound.cursor = unbound.spec.task_count  # all were started once
    for done in (False, True):
        attempt = attempt_in("a", unbound, 1)
        unbound.bind(attempt)
        if done:
            unbound.done.add(0)
        unbound.unbind(attempt, 5.0, requeue=True)
        assert unbound.zones == {"a": 0} and unbound.last_activity_at == 5.0
        assert unbound.next_task() == (None if done else 0)
