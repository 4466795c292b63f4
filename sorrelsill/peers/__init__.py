"""Controller to controller: promises that let workers' leases go on while nobody can lead."""

from sorrelsill.peers.standstill import Standstill

__all__ = ["Standstill"]
