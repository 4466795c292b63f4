"""The events of a history as observed from outside the controllers, and checks of such a history. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

FINAL_PHASES = ("done", "cancelled")


class TaskStarted(msgspec.Struct, frozen=True):
    """A task became active on a machine, with its image pulled."""

    at: float
    task: str
    machine: str


class TaskEnded(msgspec.Struct, frozen=True):
    """A task is no longer active on a machine; `completed` if it ran to its end."""

    at: float
    task: str
    machine: str
    completed: bool


class Accepted(msgspec.Struct, frozen=True):
    """A user was told that a job with this number of tasks is accepted."""

    at: float
    job: str
    tasks: int


class Answered(msgspec.Struct, frozen=True):
    """A user was told the phase of a job."""

    at: float
    job: str
    phase: str


class LeaderChanged(msgspec.Struct, frozen=True):
    """The leader key has a new holder."""

    at: float
    term: int
    label: str


class TokenChanged(msgspec.Struct, frozen=True):
    """A worker's highest fencing token changed."""

    at: float
    machine: str
    token: int


class Fault(msgspec.Struct, frozen=True):
    """A fault was injected into a controller; `led` if it held the leader key at that moment."""

    at: float
    kind: str
    label: str
    led: bool


Event = TaskStarted | TaskEnded | Accepted | Answered | LeaderChanged | TokenChanged | Fault


def task_job(task: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task.rpartition("/")[0]


def tasks_on_two_machines(events: Iterable[Event]) -> list[str]:
    """Find tasks that were active on two machines at the same time."""
    active: dict[str, set[str]] = {}
    found = []
    for event in events:
        if isinstance(event, TaskStarted):
            machines = active.setdefault(event.task, set())
            if machines - {event.machine}:
                found.append(f"{event.task} on {event.machine} and {sorted(machines)} at {event.at:.2f}")
            machines.add(event.machine)
        elif isinstance(event, TaskEnded):
            active.get(event.task, set()).discard(event.machine)
    return found


def changed_final_answers(events: Iterable[Event]) -> list[str]:
    """Find jobs whose users were told another phase after a final one."""
    final: dict[str, str] = {}
    found = []
    for event in events:
        if not isinstance(event, Answered):
            continue
        final_phase = final.get(event.job)
        if final_phase is not None and event.phase != final_phase:
            found.append(f"{event.job} was {final_phase} and is {event.phase} at {event.at:.2f}")
        if event.phase in FINAL_PHASES:
            final.setdefault(event.job, event.phase)
    return found


def done_without_results(events: Iterable[Event]) -> list[str]:
    """Find jobs that were reported done before each of their tasks had completed on some machine."""
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


def jobs_without_final_answer(events: Iterable[Event]) -> list[str]:
    """Find accepted jobs that were not reported in a final phase by the end of the history."""
    accepted: dict[str, None] = {}
    final = set()
    for event in events:
        if isinstance(event, Accepted):
            accepted[event.job] = None
        elif isinstance(event, Answered) and event.phase in FINAL_PHASES:
            final.add(event.job)
    return [f"{job} was accepted and never ended" for job in accepted if job not in final]


def term_conflicts(events: Iterable[Event]) -> list[str]:
    """Find terms with two leaders, terms that decrease, and machines whose fencing token is older than one they had, or
    is newer than every term."""
    leaders: dict[int, str] = {}
    tokens: dict[str, int] = {}
    latest = 0
    found = []
    for event in events:
        if isinstance(event, LeaderChanged):
            if leaders.setdefault(event.term, event.label) != event.label:
                found.append(f"term {event.term} belongs to {leaders[event.term]} and {event.label}")
            if event.term < latest:
                found.append(f"term {event.term} follows term {latest}")
            latest = max(latest, event.term)
        elif isinstance(event, TokenChanged):
            if event.token < tokens.get(event.machine, 0):
                found.append(f"{event.machine} follows token {event.token} after {tokens[event.machine]}")
            if event.token > latest:
                found.append(f"{event.machine} follows token {event.token}, which no leader holds")
            tokens[event.machine] = max(event.token, tokens.get(event.machine, 0))
    return found


CHECKS = (tasks_on_two_machines, changed_final_answers, done_without_results, jobs_without_final_answer, term_conflicts)


def violations(events: list[Event]) -> list[str]:
    """Run all checks on a history."""
    return [text for check in CHECKS for text in check(events)]
