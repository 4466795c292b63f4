"""Workers: reports, sessions, orders and losses, and the leader's ledger of what may be running where."""

from sorrelsill.workers.cluster_state import Attempt, ClusterState, Job, Machine, Superseded
from sorrelsill.workers.groups import enforce_gang_completeness
from sorrelsill.workers.groups import lost_work as group_loss
from sorrelsill.workers.messages import BadReport, Report, parse_report, stop_command
from sorrelsill.workers.push import Pusher

__all__ = [
    "Attempt",
    "BadReport",
    "Machine",
    "Job",
    "ClusterState",
    "Pusher",
    "Report",
    "Superseded",
    "group_loss",
    "stop_command",
    "parse_report",
    "enforce_gang_completeness",
]
