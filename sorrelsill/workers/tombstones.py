"""Machines that are gone, remembered so that late copies of their reports are refused. Pure: time is given.

They are kept for as long as a message may be late, however many there are: with a fixed number, a large fleet's comings
and goings would push out machines whose reports may still be on their way."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sorrelsill import constants


@dataclass(frozen=True, slots=True)
class _Tombstone:
    incarnation: float  # the last one that is not believed any more
    sequence_number: int
    buried_at: float


class Tombstones:
    """By machine, the oldest first."""

    def __init__(self) -> None:
        self._stones: OrderedDict[str, _Tombstone] = OrderedDict()

    def bury_for_good(self, machine: str, now: float) -> None:
        """The machine was returned or has failed. Names are never used again: whatever comes under it is a copy."""
        self.bury(machine, float("inf"), 0, now)

    def bury(self, machine: str, incarnation: float, sequence_number: int, now: float) -> None:
        """Nothing up to this message is believed any more; a later incarnation shows that the machine is alive."""
        self._stones[machine] = _Tombstone(incarnation, sequence_number, now)
        self._stones.move_to_end(machine)
        while len(self._stones) > constants.TOMBSTONES_KEPT:
            oldest = next(iter(self._stones.values()))
            if now - oldest.buried_at <= constants.TOMBSTONE_S:
                break
            self._stones.popitem(last=False)

    def covers(self, machine: str, incarnation: int, sequence_number: int) -> bool:
        """Whether a message is from before the machine was gone."""
        stone = self._stones.get(machine)
        return stone is not None and (incarnation, sequence_number) <= (stone.incarnation, stone.sequence_number)

    def __len__(self) -> int:
        return len(self._stones)
