"""Machines that are gone, remembered so that late copies of their heartbeats are refused. Pure: time is given.

They are kept for as long as a message may be late, however many there are: with a fixed number, a large fleet's comings
and goings would push out machines whose heartbeats may still be on their way."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sorrelsill import constants


@dataclass(frozen=True, slots=True)
class _Tombstone:
    incarnation: float  # the last one that is not believed any more
    sequence_number: int
    recorded_at: float


class Tombstones:
    """The last message that is not believed any more, by machine, the oldest first."""

    def __init__(self) -> None:
        self._by_machine: OrderedDict[str, _Tombstone] = OrderedDict()

    def record_forever(self, machine: str, now: float) -> None:
        """The machine was returned or has failed. Names are never used again: whatever comes under it is a copy."""
        self.record(machine, float("inf"), 0, now)

    def record(self, machine: str, incarnation: float, sequence_number: int, now: float) -> None:
        """Nothing up to this message is believed any more; a later incarnation shows that the machine is alive."""
        self._by_machine[machine] = _Tombstone(incarnation, sequence_number, now)
        self._by_machine.move_to_end(machine)
        while len(self._by_machine) > constants.TOMBSTONES_KEPT:
            oldest = next(iter(self._by_machine.values()))
            if now - oldest.recorded_at <= constants.TOMBSTONE_S:
                break
            self._by_machine.popitem(last=False)

    def rejects(self, machine: str, incarnation: int, sequence_number: int) -> bool:
        """Whether a message is from before the machine was gone."""
        tombstone = self._by_machine.get(machine)
        if tombstone is None:
            return False
        return (incarnation, sequence_number) <= (tombstone.incarnation, tombstone.sequence_number)

    def __len__(self) -> int:
        return len(self._by_machine)
