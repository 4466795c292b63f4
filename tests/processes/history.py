"""A history of what was seen from outside, and checks of it. Pure: the history is given."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

FINAL_PHASES = ("done", "cancelled")


class TaskBegan(msgspec.Struct, frozen=True):
    """A task is on a machine, with its image."""

    at: float
    task: str
    machine: str


class TaskEnded(msgspec.Struct, frozen=True):
    """It is there no more; `completed` if it came to its own end."""

    at: float
    task: str
    machine: str
    completed: bool


class Accepted(msgspec.Struct, frozen=True):
    """A user was told that a job of so many tasks is accepted."""

    at: float
    job: str
    tasks: int


class Answered(msgspec.Struct, frozen=True):
    """A user was told the state of a job."""

    at: float
    job: str
    phase: str


class LeaderSeen(msgspec.Struct, frozen=True):
    """The leader key changed hands."""

    at: float
    term: int
    label: str


class TokenSeen(msgspec.Struct, frozen=True):
    """A worker's highest token changed."""

    at: float
    machine: str
    token: int


class Trouble(msgspec.Struct, frozen=True):
    """What was done to a controller; `led` if it held the leader key at that moment."""

    at: float
    kind: str
    label: str
    led: bool


Event = TaskBegan | TaskEnded | Accepted | Answered | LeaderSeen | TokenSeen | Trouble


def task_job(task: str) -> str:
    """The job that a task belongs to."""
    return task.rpartition("/")[0]


def tasks_twice_at_once(events: Iterable[Event]) -> list[str]:
    """Tasks that were on two machines at a time."""
    on: dict[str, set[str]] = {}
    found = []
    for event in events:
        if isinstance(event, TaskBegan):
            machines = on.setdefault(event.task, set())
            if machines - {event.machine}:
                found.append(f"{event.task} on {event.machine} and {sorted(machines)} at {event.at:.2f}")
            machines.add(event.machine)
        elif isinstance(event, TaskEnded):
            on.get(event.task, set()).discard(event.machine)
    return found


def answers_taken_back(events: Iterable[Event]) -> list[str]:
    """Jobs whose users were told something else after a final answer."""
    final: dict[str, str] = {}
    found = []
    for event in events:
        if not isinstance(event, Answered):
            continue
        told = final.get(event.job)
        if told is not None and event.phase != told:
            found.append(f"{event.job} was {told} and is {event.phase} at {event.at:.2f}")
        if event.phase in FINAL_PHASES:
            final.setdefault(event.job, event.phase)
    return found


def done_without_results(events: Iterable[Event]) -> list[str]:
    """Jobs told to be done before each of their tasks had completed somewhere."""
    completed: dict[str, set[str]] = {}
    tasks: dict[str, int] = {}
    found = []
    for event in events:
        if isinstance(event, Accepted):
            tasks[event.job] = event.tasks
        elif isinstance(event, TaskEnded) and event.completed:
            completed.setdefault(task_job(event.task), set()).add(event.task)
        elif isinstance(event, Answered) and event.phase == "done":
            missing = tasks.get(event.job, 0) - len(completed.get(event.job, ()))
            if missing:
                found.append(f"{event.job} is done without {missing} of its tasks at {event.at:.2f}")
    return found


def forgotten(events: Iterable[Event]) -> list[str]:
    """Jobs that were accepted and got no final answer by the end."""
    accepted: dict[str, None] = {}
    final = set()
    for event in events:
        if isinstance(event, Accepted):
            accepted[event.job] = None
        elif isinstance(event, Answered) and event.phase in FINAL_PHASES:
            final.add(event.job)
    return [f"{job} was accepted and never ended" for job in accepted if job not in final]


def two_owners(events: Iterable[Event]) -> list[str]:
    """Terms with two leaders, terms that fell, and machines that followed an older term after a newer one."""
    leaders: dict[int, str] = {}
    tokens: dict[str, int] = {}
    latest = 0
    found = []
    for event in events:
        if isinstance(event, LeaderSeen):
            if leaders.setdefault(event.term, event.label) != event.label:
                found.append(f"term {event.term} belongs to {leaders[event.term]} and {event.label}")
            if event.term < latest:
                found.append(f"term {event.term} follows term {latest}")
            latest = max(latest, event.term)
        elif isinstance(event, TokenSeen):
            if event.token < tokens.get(event.machine, 0):
                found.append(f"{event.machine} follows token {event.token} after {tokens[event.machine]}")
            if event.token > latest:
                found.append(f"{event.machine} follows token {event.token}, which no leader holds")
            tokens[event.machine] = max(event.token, tokens.get(event.machine, 0))
    return found


CHECKS = (tasks_twice_at_once, answers_taken_back, done_without_results, forgotten, two_owners)


def violations(events: list[Event]) -> list[str]:
    """All that is wrong with a history."""
    return [text for check in CHECKS for text in check(events)]
