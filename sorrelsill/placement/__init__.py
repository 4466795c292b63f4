"""Which task goes to which machine, and what has to make room."""

from sorrelsill.placement.engine import Placer
from sorrelsill.placement.round import Unplaced

__all__ = ["Placer", "Unplaced"]
