"""Promises between controllers, which allow worker leases to be renewed while no controller can lead."""

from sorrelsill.peers.degraded_mode import DegradedMode, DegradedModeCallbacks

__all__ = ["DegradedMode", "DegradedModeCallbacks"]
