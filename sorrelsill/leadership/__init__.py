"""Leader election: the leased key, lease renewals, validity, resigning and campaigning."""

from sorrelsill.leadership.leader_elector import ControllerLabels, ElectionCallbacks, LeaderElector
from sorrelsill.leadership.watchdog import Watchdog

__all__ = ["ControllerLabels", "ElectionCallbacks", "LeaderElector", "Watchdog"]
