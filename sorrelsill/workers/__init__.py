"""The leader's view of the workers: heartbeats, incarnations, commands, leases, and which tasks run where.

The layers, from lowest to highest:

- message types and errors: `messages`, `errors`;
- machines, attempts and jobs, with their indices;
- the tables of one term: `job_table`, `machine_table`, `allocations`, `term_counters`;
- `cluster_records`, which keeps these tables consistent with each other;
- event handlers: `heartbeats`, `reported_tasks`, `task_exits`, `adoption`, `loss`, `stopping`, `gangs`, `commands`;
- `cluster_state`, the single type through which the rest of the service uses all of these;
- the modules that do I/O: `command_sender` and `machine_probes`, which use `worker_connections`."""

from sorrelsill.workers.cluster_state import ClusterState
from sorrelsill.workers.command_sender import CallLimits, CommandSender
from sorrelsill.workers.errors import FencedError, InvalidHeartbeatError, WorkersError
from sorrelsill.workers.gangs import enforce_gang_completeness, gang_stop_cost
from sorrelsill.workers.job import Job
from sorrelsill.workers.machine import Attempt, Machine
from sorrelsill.workers.machine_index import MachineIndex
from sorrelsill.workers.machine_sets import MachineSet, MachineUnion
from sorrelsill.workers.messages import (
    Command,
    ExitCause,
    HeartbeatResponse,
    StopCommand,
    TaskPhase,
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
    "gang_stop_cost",
    "Command",
    "ExitCause",
    "HeartbeatResponse",
    "StopCommand",
    "TaskPhase",
    "parse_heartbeat",
    "enforce_gang_completeness",
]
