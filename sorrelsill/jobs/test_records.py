"""Tests of reading stored records, including damaged ones."""

from typing import Any

import pytest

from sorrelsill.jobs.records import accepted_at, ended_in_phase, has_inline_tasks, new_record, running_count
from sorrelsill.model import JobPhase
from tests.simulation import array_job

# One value of each type other than a map that a damaged record may be.
NON_MAPS: tuple[Any, ...] = (None, 7, "cancelled", ["p"], True)


@pytest.mark.parametrize("record", [*NON_MAPS, {}, {"p": None}, {"p": ["cancelled"]}, {"p": "Cancelled"}, {"n": 1}])
def test_damaged_final_record_has_no_phase(record: Any) -> None:
    assert not any(ended_in_phase(record, phase) for phase in JobPhase)


def test_final_record_matches_only_its_own_phase() -> None:
    for phase in JobPhase:
        assert [other for other in JobPhase if ended_in_phase({"p": phase.value}, other)] == [phase]


def test_new_record_holds_acceptance_time_and_no_progress() -> None:
    record = new_record(array_job("run-1"), 12.3456)
    assert accepted_at(record) == 12.346
    assert running_count(record) == 0 and not has_inline_tasks(record)


@pytest.mark.parametrize("found", [None, 0, "", []])
def test_missing_acceptance_time_is_read_as_zero(found: Any) -> None:
    assert accepted_at({"t": found}) == 0.0
    assert accepted_at({}) == 0.0


@pytest.mark.parametrize("found", ["noon", [1.0], {"s": 1}])
def test_damaged_acceptance_time_raises(found: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        accepted_at({"t": found})


@pytest.mark.parametrize("record", [*NON_MAPS, {}, {"r": "3"}, {"r": 3.0}, {"r": None}])
def test_damaged_running_count_is_read_as_zero(record: Any) -> None:
    assert running_count(record) == 0


def test_inline_finished_tasks_are_detected() -> None:
    assert has_inline_tasks({"d": "0-2"})
    assert not any(has_inline_tasks(record) for record in ({}, {"d": ""}, {"d": None}))
