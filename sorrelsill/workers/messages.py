"""Messages between controllers and workers. The names on the wire appear here and nowhere else."""

from __future__ import annotations

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


class StartCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="start"):
    """Start a task; without effect while the worker holds this attempt in any state."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")


class StopCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="halt"):
    """Stop a task; it saves a checkpoint first if the grace period (seconds) allows."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")
    grace_period_s: float = msgspec.field(name="windDownS")


class ClearCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="clear"):
    """Remove an exited task from the worker's heartbeats."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")


Command = StartCommand | StopCommand | ClearCommand


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """The answer to a heartbeat; it renews the worker's lease if the fencing token is not below the highest it has
    seen."""

    fencing_token: int = msgspec.field(name="epoch")
    commands: list[Command] = msgspec.field(name="orders")


class DirectCommands(msgspec.Struct, frozen=True):
    """Commands sent straight to a worker; executed only in this incarnation, and they renew no lease."""

    fencing_token: int = msgspec.field(name="epoch")
    incarnation: int = msgspec.field(name="tenure")
    commands: list[Command] = msgspec.field(name="orders")
