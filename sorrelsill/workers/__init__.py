"""Workers: reports, incarnations, commands and losses, and the leader's view of what may be running where."""

from sorrelsill.workers.cluster_state import ClusterState
from sorrelsill.workers.command_sender import CallLimits, CommandSender
from sorrelsill.workers.errors import FencedError, InvalidHeartbeatError, WorkersError
from sorrelsill.workers.gangs import enforce_gang_completeness, gang_loss
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.machine_index import MachineIndex
from sorrelsill.workers.machine_sets import MachineSet, MachineUnion
from sorrelsill.workers.messages import (
    Command,
    HeartbeatResponse,
    StopCommand,
    WorkerHeartbeat,
    parse_heartbeat,
)
from sorrelsill.workers.team_usage import TeamUse
from sorrelsill.workers.unschedulable import UnschedulableDemand

__all__ = [
    "UnschedulableDemand",
    "Attempt",
    "CallLimits",
    "InvalidHeartbeatError",
    "Machine",
    "MachineIndex",
    "MachineSet",
    "MachineUnion",
    "Job",
    "ClusterState",
    "CommandSender",
    "WorkerHeartbeat",
    "FencedError",
    "WorkersError",
    "TeamUse",
    "gang_loss",
    "Command",
    "HeartbeatResponse",
    "StopCommand",
    "parse_heartbeat",
    "enforce_gang_completeness",
]
