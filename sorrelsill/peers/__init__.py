"""Controller to controller: promises that let workers' leases go on while nobody can lead."""

from sorrelsill.peers.degraded_mode import DegradedMode

__all__ = ["DegradedMode"]
