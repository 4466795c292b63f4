"""Preemption victims on one machine."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill.workers import Attempt


@dataclass(frozen=True, slots=True)
class VictimSet:
    """Attempts whose end makes room on their machine, and the work that is lost with them."""

    cost: float  # CPU seconds
    attempts: list[Attempt]
