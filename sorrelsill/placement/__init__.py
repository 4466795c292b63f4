"""Which task goes to which machine, and what has to make room."""

from sorrelsill.placement.engine import Placer

__all__ = ["Placer"]
