"""Workers' reports as they come over the wire."""

from __future__ import annotations

from typing import Any

import msgspec

PEERS, ALONE = "peers", "alone"  # why a group's task exited: another one is gone, or the group was never complete


class InvalidHeartbeatError(Exception):
    """The body is no report."""


class TaskStatus(msgspec.Struct):
    """A task in a worker's report, under the names of the wire."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")
    phase: str
    exit_cause: str | None = msgspec.field(name="exitCause", default=None)
    saved: bool | None = None

    def split(self) -> tuple[str, int]:
        """Job and task number; ValueError if it is no task's name. Asked only for attempts not known yet, since
        a report names the same tasks again and again."""
        job_id, slash, index = self.task_id.rpartition("/")
        if not slash or not index.isdecimal():
            raise ValueError(f"not a task: {self.task_id[:80]!r}")
        return job_id, int(index)


class WorkerHeartbeat(msgspec.Struct):
    """What a worker says of its machine: in a report, or in its answer to a direct call."""

    machine: str = msgspec.field(name="host")
    incarnation: int = msgspec.field(name="tenure")
    sequence_number: int = msgspec.field(name="serial")
    machine_type: str = msgspec.field(name="flavour", default="")
    zone: str = msgspec.field(name="region", default="")
    addr: str = ""
    spot: bool = msgspec.field(name="reclaimable", default=False)
    fencing_token: int = msgspec.field(name="epoch", default=0)
    spot_reclaim_in_s: float | None = msgspec.field(name="evictInS", default=None)
    tasks: list[TaskStatus] = msgspec.field(name="shards", default_factory=list)


_decoder = msgspec.msgpack.Decoder(WorkerHeartbeat)


def parse_heartbeat(body: bytes) -> WorkerHeartbeat:
    """Decode a worker's report, or raise BadReport."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidHeartbeatError(str(error)) from None


def start_command(task_id: str, attempt_number: int) -> dict[str, Any]:
    """Start a task; without effect while the worker holds this attempt in any state."""
    return {"verb": "start", "shard": task_id, "tryNo": attempt_number}


def stop_command(task_id: str, attempt_number: int, wind_down_s: float) -> dict[str, Any]:
    """Stop a task; it saves if the wind-down time allows."""
    return {"verb": "halt", "shard": task_id, "tryNo": attempt_number, "windDownS": wind_down_s}


def clear_command(task_id: str, attempt_number: int) -> dict[str, Any]:
    """Remove an exited task from the reports."""
    return {"verb": "clear", "shard": task_id, "tryNo": attempt_number}
