"""A set of tasks of one job, and its compact stored form."""

from __future__ import annotations

import base64


class TaskSet:
    """Finished tasks of a job: a bit each, written as ranges or, where that is shorter, as base64."""

    __slots__ = ("_bits", "count", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.count = 0
        self._bits = bytearray((size + 7) // 8)

    def __contains__(self, index: int) -> bool:
        return bool(self._bits[index >> 3] & (1 << (index & 7)))

    def add(self, index: int) -> bool:
        """True if it is new."""
        mask = 1 << (index & 7)
        if self._bits[index >> 3] & mask:
            return False
        self._bits[index >> 3] |= mask
        self.count += 1
        return True

    def discard(self, index: int) -> None:
        """The task counts as not finished again."""
        if index in self:
            self._bits[index >> 3] &= ~(1 << (index & 7))
            self.count -= 1

    def copy(self) -> TaskSet:
        """A set of its own with the same tasks."""
        same = TaskSet(self.size)
        same.count = self.count
        same._bits[:] = self._bits
        return same

    def encode(self, start: int, end: int) -> str:
        """Compact text of the part [start, end); start is a multiple of 8."""
        ranges: list[str] = []
        room = ((end - start + 7) // 8) * 4 // 3
        length = 0
        index = start
        while index < end and length <= room:
            if index in self:
                first = index
                while index < end and index in self:
                    index += 1
                text = str(first - start) if index - first == 1 else f"{first - start}-{index - 1 - start}"
                ranges.append(text)
                length += len(text) + 1
            index += 1
        if length <= room or not ranges:
            return ",".join(ranges)
        return "=" + base64.b64encode(bytes(self._bits[start >> 3 : (end + 7) >> 3])).decode()

    def merge(self, text: str, start: int) -> None:
        """Add what `encode` wrote. Anything out of range means a damaged record: ValueError."""
        if text.startswith("="):
            for at, byte in enumerate(base64.b64decode(text[1:])):
                for bit in range(8):
                    if byte & (1 << bit):
                        self._add_checked(start + at * 8 + bit)
            return
        for part in text.split(",") if text else []:
            first, _, last = part.partition("-")
            for index in range(int(first), int(last or first) + 1):
                self._add_checked(start + index)

    def _add_checked(self, index: int) -> None:
        if not 0 <= index < self.size:
            raise ValueError(f"task {index} of {self.size}")
        self.add(index)
