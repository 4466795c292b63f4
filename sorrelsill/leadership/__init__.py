"""Leader election with a leased key: campaigning, lease renewal, lease validity and resignation."""

from sorrelsill.leadership.election import ControllerLabels, ElectionCallbacks
from sorrelsill.leadership.leader_elector import LeaderElector
from sorrelsill.leadership.watchdog import Watchdog

__all__ = ["ControllerLabels", "ElectionCallbacks", "LeaderElector", "Watchdog"]
