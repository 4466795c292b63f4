"""Job records as stored in the key-value store: under `s/j/` while the job is live, under `s/f/` once it has ended.
Only this module knows the names of their fields."""

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
    """The record of a live job. It must not get further fields: the previous version writes only the fields that it
    knows when it updates a record, so others would be lost."""

    spec: dict[str, Any]  # the known fields of the submission
    done: str  # finished tasks as encoded by `TaskSet`; empty if they are kept in progress chunks
    done_count: int
    running: int  # running tasks
    accepted: float  # wall-clock time; only orders jobs and their deadlines, correctness does not depend on it

    def to_stored(self) -> dict[str, Any]:
        """Encodes it with the field names of the stored form."""
        return {"s": self.spec, "d": self.done, "n": self.done_count, "r": self.running, "t": self.accepted}


@dataclass(frozen=True, slots=True)
class FinalRecord:
    """The record of an ended job, kept for ever."""

    phase: JobPhase
    done_count: int
    team: str | None  # None if the live record was damaged

    def to_stored(self) -> dict[str, Any]:
        """Encodes it with the field names of the stored form."""
        return {"p": self.phase.value, "n": self.done_count, "o": self.team}


class ParsedRecord(NamedTuple):
    """The contents of a live record."""

    spec: JobSpec
    done: TaskSet
    notes: list[str]


def new_record(spec: JobSpec, accepted: float) -> dict[str, Any]:
    """The first record of a job that was accepted at this wall-clock time."""
    return LiveRecord(spec.raw, "", 0, 0, round(accepted, 3)).to_stored()


def json_size(value: Any) -> int:
    """Upper bound of the length of the value as JSON, in bytes. Counts every non-ASCII character as an escape sequence,
    since it is not known how the store encodes such characters."""
    raw = msgspec.json.encode(value)
    if raw.isascii():
        return len(raw)
    text = raw.decode()
    return len(text) + sum(11 if ord(c) > 0xFFFF else 5 for c in text if not c.isascii())


def with_notes(value: dict[str, Any], notes: list[str], limit: int) -> dict[str, Any]:
    """Adds as many of the newest notes as fit within `limit` bytes."""
    kept: list[str] = []
    for note in reversed(notes):
        extended = {**value, "w": [note, *kept]}
        if json_size(extended) > limit:
            break
        kept.insert(0, note)
    return {**value, "w": kept} if kept else value


def record_value(
    spec: JobSpec, done: TaskSet, running: int, notes: list[str], accepted: float, inline: bool = True
) -> dict[str, Any]:
    """The live record. If not `inline`, it omits the finished tasks: very large jobs keep them in progress chunks."""
    text = done.encode(0, spec.task_count) if inline else ""
    value = LiveRecord(spec.raw, text, done.count, running, accepted).to_stored()
    if notes:
        value["w"] = notes
    return value


def chunk_value(done: TaskSet, number: int, size: int = constants.CHUNK_TASKS) -> str:
    """The stored form of a progress chunk: the finished ones among the `size` tasks of chunk `number`."""
    start = number * size
    return done.encode(start, min(done.size, start + size))


def final_record(phase: JobPhase, spec: JobSpec, done: int, notes: list[str], limit: int) -> dict[str, Any]:
    """The record of an ended job, with as many of the newest notes as fit within `limit` bytes."""
    return with_notes(FinalRecord(phase, done, spec.team).to_stored(), notes, limit)


def done_count(record: Any) -> int:
    """Number of finished tasks according to a live record; 0 if that field is damaged."""
    return _count(record, "n")


def running_count(record: Any) -> int:
    """Number of running tasks according to a live record; 0 if that field is damaged."""
    return _count(record, "r")


def accepted_at(record: dict[str, Any]) -> float:
    """The wall-clock time at which a live record's job was accepted; 0.0 if the record holds none. Raises ValueError
    or TypeError if it is damaged."""
    return float(record.get("t") or 0.0)


def has_inline_tasks(record: dict[str, Any]) -> bool:
    """Whether a live record holds finished tasks itself, not only in progress chunks."""
    return bool(record.get("d"))


def _count(record: Any, name: str) -> int:
    """Returns 0 if the count is damaged, so that users still get an answer about the job."""
    count = record.get(name) if isinstance(record, dict) else None
    return count if isinstance(count, int) else 0


def notes_of(record: dict[str, Any]) -> list[str]:
    """The notes of a live or final record: why tasks stopped or wait."""
    return [str(note) for note in record.get("w") or []]


def is_final(record: Any) -> bool:
    """Whether this is the record of an ended job."""
    return isinstance(record, dict) and "p" in record


def ended_in_phase(record: Any, phase: JobPhase) -> bool:
    """Whether this is the final record of a job that ended in this phase. False if it is missing or damaged."""
    return isinstance(record, dict) and record.get("p") == phase.value


def final_phase(record: dict[str, Any]) -> str:
    """The phase in which the job ended according to its final record."""
    phase: str = record["p"]
    return phase


def final_done_count(record: dict[str, Any]) -> int:
    """Number of tasks that were finished when the job ended, according to its final record."""
    count: int = record.get("n", 0)
    return count


def submitted_field(record: dict[str, Any], name: str) -> Any:
    """A field of the submission, by its name in the HTTP API."""
    return record["s"].get(name)


def parse_record(value: Any, chunks: list[tuple[int, Any]]) -> ParsedRecord:
    """Parses a live record and its progress chunks, given as (first task, stored form). Raises InvalidJobError,
    ValueError or TypeError if they are damaged."""
    if not isinstance(value, dict):
        raise InvalidJobError("record: must be a map")
    spec = parse_spec(value.get("s"))
    done = TaskSet(spec.task_count)
    done.merge(str(value.get("d") or ""), 0)
    for start, text in chunks:
        done.merge(str(text), start)
    return ParsedRecord(spec, done, notes_of(value))


def infeasibility_reason(spec: JobSpec, teams: dict[str, Team], catalog: Catalog) -> str | None:
    """Why a job can never run (answered with status 422), or None if it can."""
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
