"""Workers: reports, sessions, orders and losses, and the leader's ledger of what may be running where."""

from sorrelsill.workers.ledger import Attempt, Host, Job, Ledger, Superseded
from sorrelsill.workers.messages import BadReport, Report, parse_report

__all__ = ["Attempt", "BadReport", "Host", "Job", "Ledger", "Report", "Superseded", "parse_report"]
