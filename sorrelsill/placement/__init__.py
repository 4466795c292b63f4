"""Which task goes to which machine, and what has to make room."""

from sorrelsill.placement.scheduler import Scheduler

__all__ = ["Scheduler"]
