"""Task placement: assigns waiting tasks to machines and selects preemption victims."""

from sorrelsill.placement.scheduler import Scheduler

__all__ = ["Scheduler"]
