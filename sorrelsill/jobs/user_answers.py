"""What users are answered, under the names of the wire; a field that is not set is not sent."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import trio
from msgspec import UNSET, UnsetType

from sorrelsill import constants
from sorrelsill.jobs.errors import BusyError


class JobAnswer(msgspec.Struct):
    """The state of one job."""

    # Neither is set where a final record holds nothing.
    uid: str | UnsetType = UNSET
    phase: str | UnsetType = UNSET
    done: int | UnsetType = UNSET  # finished tasks
    running: int | UnsetType = UNSET  # tasks that run
    why: list[str] | UnsetType = UNSET  # the newest notes on why tasks stopped or wait
    workload: Any | UnsetType = UNSET  # the job's class, as stored


class TeamJobsAnswer(msgspec.Struct):
    """A page of a team's live jobs."""

    runs: list[JobAnswer]
    has_next: bool = msgspec.field(name="hasNext")

    @property
    def phase(self) -> None:
        """It is not about one job."""


class ErrorAnswer(msgspec.Struct):
    """What is wrong with the request."""

    error: str

    @property
    def phase(self) -> None:
        """It tells of no job's state."""


class Answer(NamedTuple):
    """The HTTP status and the body of an answer."""

    status: int
    body: JobAnswer | TeamJobsAnswer | ErrorAnswer


def no_such_job() -> Answer:
    """The job was never accepted."""
    return Answer(404, ErrorAnswer("no such job"))


def is_out_of_date(known_at: float) -> bool:
    """Whether an answer that is not final rests on what was known too long ago.

    Guards against a process that stood still between finding out and answering: another controller may have told the
    user something newer meanwhile."""
    return trio.current_time() - known_at > constants.POLL_DEADLINE_S


def check_age(known_at: float) -> None:
    """Raises BusyError if an answer would rest on what was known too long ago."""
    if is_out_of_date(known_at):
        raise BusyError("the answer is out of date")
