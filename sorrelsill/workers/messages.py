"""Messages between controllers and workers. The field names on the wire are defined only here."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import msgspec

from sorrelsill.workers.errors import InvalidHeartbeatError

# A task of no job, since users' job IDs begin with "run-". A worker refuses its start and reports that without delay.
WAKE_UP_TASK_ID: Final = "wake-up/0"


class TaskPhase(StrEnum):
    """Phase of an attempt; the values are those on the wire. UNKNOWN stands for any other value and never leads
    to a decision."""

    SENT = "sent"  # set by the controller until the worker has reported the attempt
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
    """Why a task exited; the values are those on the wire. UNKNOWN stands for any other value."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    PEER_LOST = "peers"  # another task of its gang was lost
    GANG_INCOMPLETE = "alone"  # its gang never became complete
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> ExitCause:
        return cls.UNKNOWN


class TaskStatus(msgspec.Struct):
    """State of one task, as reported by a worker."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")
    phase: str  # raw value: any text is accepted, and comparing it needs no conversion to TaskPhase
    exit_cause: str | None = msgspec.field(name="exitCause", default=None)
    saved: bool | None = None  # whether a checkpoint was saved before the task exited

    def known_phase(self) -> TaskPhase:
        """The phase, or UNKNOWN if this version does not know the value."""
        return TaskPhase(self.phase)

    def known_exit_cause(self) -> ExitCause:
        """The exit cause, or UNKNOWN if it is missing or this version does not know the value."""
        return ExitCause(self.exit_cause_text())

    def exit_cause_text(self) -> str:
        """The exit cause as the worker sent it, for notes to users."""
        return self.exit_cause or ExitCause.UNKNOWN.value

    def parse_task_id(self) -> tuple[str, int]:
        """Return the job ID and the task index. Called only for attempts that are not known yet, because successive
        heartbeats report mostly the same tasks. Raises ValueError if the task ID is malformed."""
        job_id, slash, index = self.task_id.rpartition("/")
        if not slash or not index.isdecimal():
            raise ValueError(f"malformed task ID {self.task_id[:80]!r}: expected <job ID>/<index>")
        return job_id, int(index)


class WorkerHeartbeat(msgspec.Struct):
    """State of a machine and its tasks, sent by its worker in a heartbeat or in the response to a direct call."""

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
    """Start a task. No effect while the worker holds this attempt in any state."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")


def wake_up_command(attempt_number: int) -> StartCommand:
    """Return a command that makes a worker send a heartbeat now. It may be repeated or arrive late without effect; its
    attempt number must be new."""
    return StartCommand(WAKE_UP_TASK_ID, attempt_number)


class StopCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="halt"):
    """Stop a task. The task saves a checkpoint first if the grace period (seconds) is long enough to write one."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")
    grace_period_s: float = msgspec.field(name="windDownS")


class ClearCommand(msgspec.Struct, frozen=True, tag_field="verb", tag="clear"):
    """Remove an exited task from the worker's heartbeats."""

    task_id: str = msgspec.field(name="shard")
    attempt_number: int = msgspec.field(name="tryNo")


Command = StartCommand | StopCommand | ClearCommand


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """Response to a heartbeat. Renews the worker's lease unless the response's fencing token is lower than the highest
    one that the worker has seen."""

    fencing_token: int = msgspec.field(name="epoch")
    commands: list[Command] = msgspec.field(name="orders")


class DirectCommands(msgspec.Struct, frozen=True):
    """Body of a direct call to a worker. The worker executes the commands only in this incarnation; a direct call does
    not renew its lease."""

    fencing_token: int = msgspec.field(name="epoch")
    incarnation: int = msgspec.field(name="tenure")
    commands: list[Command] = msgspec.field(name="orders")
