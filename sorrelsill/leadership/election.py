"""What a leader elector knows of its deployment: the controllers' labels, and the callbacks into its own controller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControllerLabels:
    """The names of the controllers of a deployment, as used in the settings file and in messages."""

    own: str
    others: Sequence[str] = ()

    def next_label(self) -> str | None:
        """The controller that workers try after this one, or None if it is the only one.

        Workers try the controllers in the numeric order of their labels."""
        order = sorted({self.own, *self.others}, key=lambda label: (len(label), label))
        return order[(order.index(self.own) + 1) % len(order)] if len(order) > 1 else None


async def _no_other_candidates(former_leader: str) -> bool:
    """The default callback, for a deployment with a single controller."""
    return False


@dataclass(frozen=True, slots=True)
class ElectionCallbacks:
    """Callbacks of the leader elector into its controller."""

    on_term_changed: Callable[[int | None], None] = lambda term: None  # the new term, or None when a term ends
    on_fencing_token_raised: Callable[[int], None] = lambda fencing_token: None  # the leader's new token
    receives_no_heartbeats: Callable[[], bool] = lambda: False  # whether heartbeats of all workers have stopped
    # Whether any controller other than the given former leader could acquire the key now.
    has_other_candidates: Callable[[str], Awaitable[bool]] = _no_other_candidates
