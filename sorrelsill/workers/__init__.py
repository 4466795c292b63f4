"""Workers: reports, sessions, orders and losses, and the leader's ledger of what may be running where."""

from sorrelsill.workers.ledger import Attempt, Host, Job, Ledger, Superseded
from sorrelsill.workers.messages import BadReport, Report, halt, parse_report
from sorrelsill.workers.push import Pusher

__all__ = ["Attempt", "BadReport", "Host", "Job", "Ledger", "Pusher", "Report", "Superseded", "halt", "parse_report"]
