"""Messages between controllers and workers. The names on the wire appear here and nowhere else."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from sorrelsill.workers.errors import InvalidHeartbeatError


class TaskPhase(StrEnum):
    """How far an attempt is; the values are those of the wire. A phase that is not known leads to no decision."""

    SENT = "sent"  # until the worker has named it
    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    CHECKPOINTING = "saving"
    EXITED = "exited"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> TaskPhase:
        return cls.UNKNOWN


class ExitCause(StrEnum):
    """Why a task exited, as far as decisions depend on it; the values are those of the wire."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    PEER_LOST = "peers"  # another task of its gang is gone
    GANG_INCOMPLETE = "alone"  # its gang was never complete
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> ExitCause:
        return cls.UNKNOWN


class TaskStatus(msgspec.Struct):
    """A task in a worker's heartbeat."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")
    phase: str  # as it came: any text is accepted, and comparing it costs nothing
    exit_cause: str | None = msgspec.field(name="exitCause", default=None)
    saved: bool | None = None

    def known_phase(self) -> TaskPhase:
        """The phase, or UNKNOWN."""
        return TaskPhase(self.phase)

    def known_exit_cause(self) -> ExitCause:
        """The cause, or UNKNOWN."""
        return ExitCause(self.exit_cause_text())

    def exit_cause_text(self) -> str:
        """The worker's word for the cause, for notes to users."""
        return self.exit_cause or ExitCause.UNKNOWN.value

    def split(self) -> tuple[str, int]:
        """Job and index of the task. Called only for attempts not known yet, since a heartbeat names the same tasks
        again and again. Raises ValueError if it is not the name of a task."""
        job_id, slash, index = self.task_id.rpartition("/")
        if not slash or not index.isdecimal():
            raise ValueError(f"not a task: {self.task_id[:80]!r}")
        return job_id, int(index)


class WorkerHeartbeat(msgspec.Struct):
    """What a worker says of its machine: in a heartbeat, or in its answer to a direct call."""

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
    """Decode a worker's heartbeat. Raises InvalidHeartbeatError."""
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
