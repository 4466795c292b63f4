"""Answers to users, with the field names of the HTTP API. An unset field is not sent."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import trio
from msgspec import UNSET, UnsetType

from sorrelsill import constants
from sorrelsill.jobs.errors import BusyError


class JobAnswer(msgspec.Struct):
    """The state of one job."""

    # uid and phase are unset only if a known final record holds no value.
    uid: str | UnsetType = UNSET
    phase: str | UnsetType = UNSET
    done: int | UnsetType = UNSET  # finished tasks
    running: int | UnsetType = UNSET  # running tasks
    why: list[str] | UnsetType = UNSET  # the newest notes on why tasks stopped or wait
    workload: Any | UnsetType = UNSET  # the job's class, as submitted


class TeamJobsAnswer(msgspec.Struct):
    """A page of a team's live jobs."""

    runs: list[JobAnswer]
    has_next: bool = msgspec.field(name="hasNext")

    @property
    def phase(self) -> None:
        """None: the answer is not about a single job."""


class ErrorAnswer(msgspec.Struct):
    """Why the request was refused."""

    error: str

    @property
    def phase(self) -> None:
        """None: the answer holds no job's state."""


class Answer(NamedTuple):
    """HTTP status and body of an answer."""

    status: int
    body: JobAnswer | TeamJobsAnswer | ErrorAnswer


def no_such_job() -> Answer:
    """The answer about a job that was never accepted."""
    return Answer(404, ErrorAnswer("no such job"))


def is_out_of_date(as_of: float) -> bool:
    """Whether an answer is out of date since the read or write that it is based on was sent too long ago, at `as_of`.
    Answers with a final state need no check, since a final state never changes.

    If the process was paused between the read or write and the answer, another controller may have told the user
    something newer in the meantime."""
    return trio.current_time() - as_of > constants.POLL_DEADLINE_S


def check_age(as_of: float) -> None:
    """Raises BusyError if an answer as of this time is out of date."""
    if is_out_of_date(as_of):
        raise BusyError("the answer is out of date")
