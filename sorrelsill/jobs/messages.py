"""Parses and validates the job specification that users submit, and maps its field names to those of `JobSpec`."""

from __future__ import annotations

import math
import re
from typing import Any

from sorrelsill import constants
from sorrelsill.jobs.errors import InvalidJobError
from sorrelsill.model import JobKind, JobSpec, Priority

_KINDS = {"sweep": JobKind.ARRAY, "standing": JobKind.SERVICE, "group": JobKind.GANG}
_PRIORITIES = {
    "prod": Priority.PRODUCTION,
    "high": Priority.HIGH,
    "standard": Priority.STANDARD,
    "best_effort": Priority.BEST_EFFORT,
}

_JOB_ID = re.compile(r"run-[A-Za-z0-9_.-]{1,120}\Z")
_MAX_LENGTH = 200  # characters of a text, or entries of a list


def valid_job_id(job_id: object) -> bool:
    """Whether this is a valid job id."""
    return isinstance(job_id, str) and _JOB_ID.match(job_id) is not None


def _number(raw: dict[str, Any], name: str, minimum: float = 0.0, exclusive: bool = False) -> float:
    value = raw.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidJobError(f"{name}: must be a number")
    if not math.isfinite(value) or value < minimum or (exclusive and value == minimum) or value > 1e12:
        raise InvalidJobError(f"{name}: out of range")
    return float(value)


def _text(raw: dict[str, Any], name: str) -> str:
    value = raw.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_LENGTH:
        raise InvalidJobError(f"{name}: must be a text of 1 to {_MAX_LENGTH} characters")
    return value


def _flag(raw: dict[str, Any], name: str) -> bool:
    value = raw.get(name)
    if not isinstance(value, bool):
        raise InvalidJobError(f"{name}: must be true or false")
    return value


def _kind(raw: dict[str, Any]) -> JobKind:
    value = raw.get("shape")
    if not isinstance(value, str) or value not in _KINDS:
        raise InvalidJobError("shape: must be sweep, standing or group")
    return _KINDS[value]


def _priority(raw: dict[str, Any]) -> Priority:
    value = raw.get("rank")
    if not isinstance(value, str) or value not in _PRIORITIES:
        raise InvalidJobError("rank: must be prod, high, standard or best_effort")
    return _PRIORITIES[value]


def _task_count(raw: dict[str, Any]) -> int:
    value = raw.get("shards")
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= constants.MAX_TASKS:
        raise InvalidJobError(f"shards: must be a whole number from 1 to {constants.MAX_TASKS}")
    return value


def _zone(raw: dict[str, Any]) -> str | None:
    value = raw.get("region")
    if value is not None and (not isinstance(value, str) or not value):
        raise InvalidJobError("region: must be null or a name")
    return value


def _machine_types(raw: dict[str, Any]) -> frozenset[str] | None:
    value = raw.get("flavours")
    if value is None:
        return None
    if not isinstance(value, list) or not value or len(value) > _MAX_LENGTH:
        raise InvalidJobError("flavours: must be null or a list of names")
    if not all(isinstance(v, str) and v for v in value):
        raise InvalidJobError("flavours: must hold names")
    return frozenset(value)


_KNOWN_FIELDS = (
    "uid",
    "workload",
    "owner",
    "shape",
    "rank",
    "shards",
    "vcpus",
    "gpus",
    "memoryGb",
    "bundle",
    "sizeGb",
    "flavours",
    "region",
    "oneZone",
    "scatter",
    "reclaimable",
    "expectedRunS",
    "snapshotEveryS",
    "snapshotCostS",
    "dueS",
)


def parse_spec(raw: object) -> JobSpec:
    """Validates every field; unknown fields are ignored and dropped. Raises InvalidJobError."""
    if not isinstance(raw, dict):
        raise InvalidJobError("body: must be a map")
    if not valid_job_id(raw.get("uid")):
        raise InvalidJobError("uid: must look like run-000412")
    kind, priority, task_count, zone = _kind(raw), _priority(raw), _task_count(raw), _zone(raw)
    deadline_s = None if raw.get("dueS") is None else _number(raw, "dueS")
    return JobSpec(
        job_id=raw["uid"],
        job_class=_text(raw, "workload"),
        team=_text(raw, "owner"),
        kind=kind,
        priority=priority,
        task_count=task_count,
        cpus=_number(raw, "vcpus"),
        gpus=_number(raw, "gpus"),
        memory_gb=_number(raw, "memoryGb"),
        machine_types=_machine_types(raw),
        zone=zone,
        one_zone=_flag(raw, "oneZone"),
        spread_zones=_flag(raw, "scatter"),
        spot_allowed=_flag(raw, "reclaimable"),
        image=_text(raw, "bundle"),
        image_gb=_number(raw, "sizeGb"),
        expected_run_s=_number(raw, "expectedRunS"),
        checkpoint_interval_s=_number(raw, "snapshotEveryS"),
        checkpoint_cost_s=_number(raw, "snapshotCostS"),
        deadline_s=deadline_s,
        raw={name: raw[name] for name in _KNOWN_FIELDS if raw.get(name) is not None},
    )
