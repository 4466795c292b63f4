"""The user's job as it comes over the wire."""

from __future__ import annotations

import math
import re
from typing import Any

from sorrelsill import constants
from sorrelsill.model import GANG, STANDING, SWEEP, JobSpec

RANKS = {"prod": 0, "high": 1, "standard": 2, "best_effort": 3}

_UID = re.compile(r"run-[A-Za-z0-9_.-]{1,120}\Z")
_NAME_MAX = 200


class InvalidJobError(Exception):
    """The field and what is wrong with it."""


def valid_job_id(job_id: object) -> bool:
    """Whether this is a name that a job may have."""
    return isinstance(job_id, str) and _UID.match(job_id) is not None


def _number(raw: dict[str, Any], name: str, least: float = 0.0, above: bool = False) -> float:
    value = raw.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidJobError(f"{name}: must be a number")
    if not math.isfinite(value) or value < least or (above and value == least) or value > 1e12:
        raise InvalidJobError(f"{name}: out of range")
    return float(value)


def _text(raw: dict[str, Any], name: str) -> str:
    value = raw.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= _NAME_MAX:
        raise InvalidJobError(f"{name}: must be a text of 1 to {_NAME_MAX} characters")
    return value


def _flag(raw: dict[str, Any], name: str) -> bool:
    value = raw.get(name)
    if not isinstance(value, bool):
        raise InvalidJobError(f"{name}: must be true or false")
    return value


def _flavours(raw: dict[str, Any]) -> frozenset[str] | None:
    value = raw.get("flavours")
    if value is None:
        return None
    if not isinstance(value, list) or not value or len(value) > _NAME_MAX:
        raise InvalidJobError("flavours: must be null or a list of names")
    if not all(isinstance(v, str) and v for v in value):
        raise InvalidJobError("flavours: must hold names")
    return frozenset(value)


_KEPT = (
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
    """Check every field; unknown ones are ignored and not kept."""
    if not isinstance(raw, dict):
        raise InvalidJobError("body: must be a map")
    if not valid_job_id(raw.get("uid")):
        raise InvalidJobError("uid: must look like run-000412")
    shape = raw.get("shape")
    if shape not in (SWEEP, STANDING, GANG):
        raise InvalidJobError("shape: must be sweep, standing or group")
    rank = raw.get("rank")
    if not isinstance(rank, str) or rank not in RANKS:
        raise InvalidJobError("rank: must be prod, high, standard or best_effort")
    shards = raw.get("shards")
    if isinstance(shards, bool) or not isinstance(shards, int) or not 1 <= shards <= constants.MAX_SHARDS:
        raise InvalidJobError(f"shards: must be a whole number from 1 to {constants.MAX_SHARDS}")
    zone = raw.get("region")
    if zone is not None and (not isinstance(zone, str) or not zone):
        raise InvalidJobError("region: must be null or a name")
    due = None if raw.get("dueS") is None else _number(raw, "dueS")
    return JobSpec(
        job_id=raw["uid"],
        workload=_text(raw, "workload"),
        team=_text(raw, "owner"),
        shape=shape,
        rank=RANKS[rank],
        shards=shards,
        cpus=_number(raw, "vcpus"),
        gpus=_number(raw, "gpus"),
        memory=_number(raw, "memoryGb"),
        machine_types=_flavours(raw),
        zone=zone,
        one_zone=_flag(raw, "oneZone"),
        scatter=_flag(raw, "scatter"),
        spot=_flag(raw, "reclaimable"),
        image=_text(raw, "bundle"),
        image_gb=_number(raw, "sizeGb"),
        expected_s=_number(raw, "expectedRunS"),
        snapshot_s=_number(raw, "snapshotEveryS"),
        snapshot_cost_s=_number(raw, "snapshotCostS"),
        due_s=due,
        raw={name: raw[name] for name in _KEPT if raw.get(name) is not None},
    )
