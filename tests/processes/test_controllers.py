"""Three real controllers under load, paused, killed and told to stop by a seeded schedule. The verdict rests on the
history alone, not on how quick this machine is: a job that is not over in time counts as forgotten."""

from pathlib import Path

import pytest
import trio

from tests.processes.history import Accepted, LeaderSeen, Trouble, violations
from tests.processes.play import play

TROUBLES_S = 30.0  # s
SEED = 7
FEWEST_TROUBLES = 4
FEWEST_JOBS = 15


@pytest.mark.parametrize("membership", [True, False])
def test_every_job_has_one_final_answer_and_nothing_two_owners_through_pauses_and_kills(
    tmp_path: Path, membership: bool
) -> None:
    events = trio.run(play, tmp_path, SEED, membership, TROUBLES_S)
    assert violations(events) == []
    assert sum(isinstance(event, Trouble) for event in events) >= FEWEST_TROUBLES
    assert sum(isinstance(event, Accepted) for event in events) >= FEWEST_JOBS
    assert sum(isinstance(event, LeaderSeen) for event in events) >= 2, "the schedule has to have changed the leader"
