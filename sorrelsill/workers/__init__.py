"""Workers: reports, sessions, orders and losses, and the leader's ledger of what may be running where."""

from sorrelsill.workers.groups import lost_work as group_loss
from sorrelsill.workers.groups import tend
from sorrelsill.workers.ledger import Attempt, Host, Job, Ledger, Superseded
from sorrelsill.workers.messages import BadReport, Report, halt, parse_report
from sorrelsill.workers.push import Pusher

__all__ = [
    "Attempt", "BadReport", "Host", "Job", "Ledger", "Pusher", "Report", "Superseded", "group_loss", "halt",
    "parse_report", "tend",
]  # fmt: skip
