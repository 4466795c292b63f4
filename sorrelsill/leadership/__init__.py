"""Leader election with a leased key: campaigning, lease renewal, lease validity and resignation."""

from sorrelsill.leadership.leader_elector import ControllerLabels, ElectionCallbacks, LeaderElector
from sorrelsill.leadership.watchdog import Watchdog

__all__ = ["ControllerLabels", "ElectionCallbacks", "LeaderElector", "Watchdog"]
