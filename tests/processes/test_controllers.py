"""Three real controllers under load, paused, killed and terminated by a seeded schedule. Only the recorded history is
checked, not how long anything takes; but a job that has not ended by the drain timeout has no final answer, which is a
violation."""

from pathlib import Path

import pytest
import trio

from tests.processes.history import Accepted, Fault, LeaderChanged, violations
from tests.processes.play import play

FAULTS_S = 30.0  # s
SEED = 7
MIN_FAULTS = 4
MIN_JOBS = 15


@pytest.mark.parametrize("membership", [True, False])
def test_histories_through_pauses_kills_and_stops_have_no_violations(tmp_path: Path, membership: bool) -> None:
    events = trio.run(play, tmp_path, SEED, membership, FAULTS_S)
    assert violations(events) == []
    assert sum(isinstance(event, Fault) for event in events) >= MIN_FAULTS
    assert sum(isinstance(event, Accepted) for event in events) >= MIN_JOBS
    assert sum(isinstance(event, LeaderChanged) for event in events) >= 2, "the faults must have changed the leader"
