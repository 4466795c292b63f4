"""The set of preemption victims on one machine."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill.workers import Attempt


@dataclass(frozen=True, slots=True)
class VictimSet:
    """Attempts on one machine whose eviction frees enough room, and the work lost by evicting them."""

    cost: float  # CPU seconds
    attempts: list[Attempt]
