"""Tombstones of removed machines, used to reject their delayed heartbeats. No I/O; callers pass the current time.

A tombstone is kept for at least as long as a message can be delayed. With a limit on their number alone, the turnover
of a large fleet would evict tombstones of machines whose heartbeats may still be in flight."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sorrelsill import constants


@dataclass(frozen=True, slots=True)
class _Tombstone:
    incarnation: float  # the last one to be rejected
    sequence_number: int
    recorded_at: float


class Tombstones:
    """The last message to be rejected of each removed machine, with the oldest tombstone first."""

    def __init__(self) -> None:
        self._by_machine: OrderedDict[str, _Tombstone] = OrderedDict()

    def record_forever(self, machine: str, now: float) -> None:
        """Reject all messages of a machine that was returned or failed. Names are never reused, so they are stale."""
        self.record(machine, float("inf"), 0, now)

    def record(self, machine: str, incarnation: float, sequence_number: int, now: float) -> None:
        """Reject messages up to and including this one; a later incarnation proves that the machine is alive."""
        self._by_machine[machine] = _Tombstone(incarnation, sequence_number, now)
        self._by_machine.move_to_end(machine)
        while len(self._by_machine) > constants.TOMBSTONES_KEPT:
            oldest = next(iter(self._by_machine.values()))
            if now - oldest.recorded_at <= constants.TOMBSTONE_S:
                break
            self._by_machine.popitem(last=False)

    def rejects(self, machine: str, incarnation: int, sequence_number: int) -> bool:
        """Whether a message was sent before the machine was removed."""
        tombstone = self._by_machine.get(machine)
        if tombstone is None:
            return False
        return (incarnation, sequence_number) <= (tombstone.incarnation, tombstone.sequence_number)

    def __len__(self) -> int:
        return len(self._by_machine)
