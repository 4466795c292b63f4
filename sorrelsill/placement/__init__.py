"""Which task goes to which machine, and what has to make room."""

from sorrelsill.placement.engine import Placer, Unplaced

__all__ = ["Placer", "Unplaced"]
