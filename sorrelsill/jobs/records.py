"""Job records as they stand in the state service: `s/j/` while live, `s/f/` once over."""

from __future__ import annotations

from typing import Any

import msgspec

from sorrelsill import constants
from sorrelsill.jobs.errors import InvalidJobError
from sorrelsill.jobs.messages import parse_spec
from sorrelsill.model import Catalog, JobKind, JobPhase, JobSpec, TaskSet
from sorrelsill.settings import Team


def new_record(spec: JobSpec, accepted: float) -> dict[str, Any]:
    """`accepted` is the time of day; it only orders jobs and their deadlines, no rule rests on it."""
    return {"s": spec.raw, "d": "", "n": 0, "r": 0, "t": round(accepted, 3)}


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
    """The live record. Very large jobs keep their finished tasks in chunks beside it (not `inline`)."""
    text = done.encode(0, spec.task_count) if inline else ""
    value: dict[str, Any] = {"s": spec.raw, "d": text, "n": done.count, "r": running, "t": accepted}
    if why:
        value["w"] = why
    return value


def chunk_value(done: TaskSet, number: int, size: int = constants.CHUNK_SHARDS) -> str:
    """The finished tasks of one part of a large job, as stored."""
    start = number * size
    return done.encode(start, min(done.size, start + size))


def final_record(phase: JobPhase, spec: JobSpec, done: int, why: list[str], limit: int) -> dict[str, Any]:
    """What is kept for ever."""
    return with_notes({"p": phase.value, "n": done, "o": spec.team}, why, limit)


def count_of(record: Any, name: str) -> int:
    """A count of a live record (`n` finished, `r` running); a damaged one must not keep its job's users without an
    answer."""
    found = record.get(name) if isinstance(record, dict) else None
    return found if isinstance(found, int) else 0


def parse_record(value: Any, chunks: list[tuple[int, Any]]) -> tuple[JobSpec, TaskSet, list[str]]:
    """A live record back to its parts; InvalidJobError, ValueError or TypeError if it is damaged."""
    if not isinstance(value, dict):
        raise InvalidJobError("record: must be a map")
    spec = parse_spec(value.get("s"))
    done = TaskSet(spec.task_count)
    done.merge(str(value.get("d") or ""), 0)
    for start, text in chunks:
        done.merge(str(text), start)
    return spec, done, [str(w) for w in value.get("w") or []]


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
