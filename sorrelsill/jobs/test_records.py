"""What is read of stored records, also of damaged ones."""

from typing import Any

import pytest

from sorrelsill.jobs.records import accepted_at, ended_as, has_inline_tasks, new_record, running_count
from sorrelsill.model import JobPhase
from tests.simulation import array_job

# Of each kind of value that a damaged store may hold.
NO_MAPS: tuple[Any, ...] = (None, 7, "cancelled", ["p"], True)


@pytest.mark.parametrize("record", [*NO_MAPS, {}, {"p": None}, {"p": ["cancelled"]}, {"p": "Cancelled"}, {"n": 1}])
def test_a_damaged_final_record_tells_of_no_end(record: Any) -> None:
    assert not any(ended_as(record, phase) for phase in JobPhase)


def test_a_final_record_tells_of_its_own_phase_alone() -> None:
    for phase in JobPhase:
        assert [other for other in JobPhase if ended_as({"p": phase.value}, other)] == [phase]


def test_a_new_record_tells_when_its_job_was_accepted() -> None:
    record = new_record(array_job("run-1"), 12.3456)
    assert accepted_at(record) == 12.346
    assert running_count(record) == 0 and not has_inline_tasks(record)


@pytest.mark.parametrize("found", [None, 0, "", []])
def test_a_record_without_a_time_was_accepted_at_the_beginning(found: Any) -> None:
    assert accepted_at({"t": found}) == 0.0
    assert accepted_at({}) == 0.0


@pytest.mark.parametrize("found", ["noon", [1.0], {"s": 1}])
def test_a_damaged_time_is_an_error(found: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        accepted_at({"t": found})


@pytest.mark.parametrize("record", [*NO_MAPS, {}, {"r": "3"}, {"r": 3.0}, {"r": None}])
def test_a_damaged_count_of_running_tasks_is_none(record: Any) -> None:
    assert running_count(record) == 0


def test_finished_tasks_in_the_record_itself_are_seen() -> None:
    assert has_inline_tasks({"d": "0-2"})
    assert not any(has_inline_tasks(record) for record in ({}, {"d": ""}, {"d": None}))
