"""Job records as they stand in the key-value store: `s/j/` while live, `s/f/` once ended. Only this module knows the
names of their fields."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from sorrelsill import constants
from sorrelsill.jobs.errors import InvalidJobError
from sorrelsill.jobs.messages import parse_spec
from sorrelsill.model import Catalog, JobKind, JobPhase, JobSpec, TaskSet
from sorrelsill.settings import Team


@dataclass(frozen=True, slots=True)
class LiveRecord:
    """A live job. The version before this one writes its record anew from these fields, so there are no others."""

    spec: dict[str, Any]  # the known fields of the submission
    done: str  # finished tasks as text, unless they are kept in chunks
    done_count: int
    running: int  # tasks that run
    accepted: float  # time of day; it only orders jobs and their deadlines, no rule rests on it

    def to_stored(self) -> dict[str, Any]:
        """Under the names of the store."""
        return {"s": self.spec, "d": self.done, "n": self.done_count, "r": self.running, "t": self.accepted}


@dataclass(frozen=True, slots=True)
class FinalRecord:
    """What is kept of an ended job for ever."""

    phase: JobPhase
    done_count: int
    team: str | None  # None if the live record was damaged

    def to_stored(self) -> dict[str, Any]:
        """Under the names of the store."""
        return {"p": self.phase.value, "n": self.done_count, "o": self.team}


class ParsedRecord(NamedTuple):
    """What a live record tells of its job."""

    spec: JobSpec
    done: TaskSet
    notes: list[str]


def new_record(spec: JobSpec, accepted: float) -> dict[str, Any]:
    """The first record of a job that is accepted at this time of day."""
    return LiveRecord(spec.raw, "", 0, 0, round(accepted, 3)).to_stored()


def json_size(value: Any) -> int:
    """Length in JSON form, with every sign beyond ASCII counted as an escape, since the store's way is not known."""
    raw = msgspec.json.encode(value)
    if raw.isascii():
        return len(raw)
    text = raw.decode()
    return len(text) + sum(11 if ord(c) > 0xFFFF else 5 for c in text if not c.isascii())


def with_notes(value: dict[str, Any], why: list[str], limit: int) -> dict[str, Any]:
    """Add the newest notes that leave the value within the limit."""
    kept: list[str] = []
    for note in reversed(why):
        trial = {**value, "w": [note, *kept]}
        if json_size(trial) > limit:
            break
        kept.insert(0, note)
    return {**value, "w": kept} if kept else value


def record_value(
    spec: JobSpec, done: TaskSet, running: int, why: list[str], accepted: float, inline: bool = True
) -> dict[str, Any]:
    """The live record. Very large jobs keep their finished tasks in progress chunks beside it (not `inline`)."""
    text = done.encode(0, spec.task_count) if inline else ""
    value = LiveRecord(spec.raw, text, done.count, running, accepted).to_stored()
    if why:
        value["w"] = why
    return value


def chunk_value(done: TaskSet, number: int, size: int = constants.CHUNK_TASKS) -> str:
    """The finished tasks of one progress chunk of a large job, as stored."""
    start = number * size
    return done.encode(start, min(done.size, start + size))


def final_record(phase: JobPhase, spec: JobSpec, done: int, why: list[str], limit: int) -> dict[str, Any]:
    """What is kept for ever, with the newest notes that leave it within `limit` bytes."""
    return with_notes(FinalRecord(phase, done, spec.team).to_stored(), why, limit)


def done_count(record: Any) -> int:
    """How many tasks are finished, by a live record that may be damaged."""
    return _count(record, "n")


def running_count(record: Any) -> int:
    """How many tasks run, by a live record that may be damaged."""
    return _count(record, "r")


def accepted_at(record: dict[str, Any]) -> float:
    """The time of day at which a live record's job was accepted. Raises ValueError or TypeError if that is damaged."""
    return float(record.get("t") or 0.0)


def has_inline_tasks(record: dict[str, Any]) -> bool:
    """Whether a live record itself names finished tasks, besides those in progress chunks."""
    return bool(record.get("d"))


def _count(record: Any, name: str) -> int:
    """A damaged count must not keep its job's users without an answer."""
    found = record.get(name) if isinstance(record, dict) else None
    return found if isinstance(found, int) else 0


def notes_of(record: dict[str, Any]) -> list[str]:
    """The notes of a live or final record: why tasks stopped or wait."""
    return [str(note) for note in record.get("w") or []]


def is_final(record: Any) -> bool:
    """Whether this is the record of an ended job."""
    return isinstance(record, dict) and "p" in record


def ended_as(record: Any, phase: JobPhase) -> bool:
    """Whether this is the record of a job that ended in this phase. One that is missing or damaged says no."""
    return isinstance(record, dict) and record.get("p") == phase.value


def final_phase(record: dict[str, Any]) -> str:
    """How the job ended, as its final record says."""
    phase: str = record["p"]
    return phase


def final_done_count(record: dict[str, Any]) -> int:
    """How many tasks were finished at the end, as the final record says."""
    count: int = record.get("n", 0)
    return count


def submitted_field(record: dict[str, Any], name: str) -> Any:
    """A field of the submission, under its name on the wire."""
    return record["s"].get(name)


def parse_record(value: Any, chunks: list[tuple[int, Any]]) -> ParsedRecord:
    """A live record, with its chunks, back to what it was made of. Raises InvalidJobError, ValueError or TypeError
    if it is damaged."""
    if not isinstance(value, dict):
        raise InvalidJobError("record: must be a map")
    spec = parse_spec(value.get("s"))
    done = TaskSet(spec.task_count)
    done.merge(str(value.get("d") or ""), 0)
    for start, text in chunks:
        done.merge(str(text), start)
    return ParsedRecord(spec, done, notes_of(value))


def impossible(spec: JobSpec, teams: dict[str, Team], catalog: Catalog) -> str | None:
    """Why a job can never run (422), or None."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    count = spec.task_count if spec.kind is not JobKind.ARRAY else 1
    if team.cpus_max and spec.cpus * count > team.cpus_max + 1e-9:
        return f"needs more than the limit of {team.cpus_max:g} CPUs of {spec.team}"
    if team.gpus_max and spec.gpus * count > team.gpus_max + 1e-9:
        return f"needs more than the limit of {team.gpus_max:g} GPUs of {spec.team}"
    for machine_type in catalog.machine_types.values():
        if (
            (spec.machine_types is None or machine_type.name in spec.machine_types)
            and (spec.zone is None or spec.zone in machine_type.zones)
            and machine_type.fits(spec.cpus, spec.gpus, spec.memory_gb)
        ):
            return None
    return "a task fits no allowed machine type"
