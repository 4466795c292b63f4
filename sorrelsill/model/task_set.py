"""A set of tasks of one job, with a compact encoding for stored records."""

from __future__ import annotations

import base64


class TaskSet:
    """The finished tasks of a job, one bit each. It is encoded as ranges or, if that is shorter, as base64."""

    __slots__ = ("_bits", "count", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.count = 0
        self._bits = bytearray((size + 7) // 8)

    def __contains__(self, index: int) -> bool:
        return bool(self._bits[index >> 3] & (1 << (index & 7)))

    def add(self, index: int) -> bool:
        """Adds a task. Returns False if it is in the set already."""
        mask = 1 << (index & 7)
        if self._bits[index >> 3] & mask:
            return False
        self._bits[index >> 3] |= mask
        self.count += 1
        return True

    def discard(self, index: int) -> None:
        """Removes a task, if it is in the set."""
        if index in self:
            self._bits[index >> 3] &= ~(1 << (index & 7))
            self.count -= 1

    def copy(self) -> TaskSet:
        """An independent copy of the set."""
        copied = TaskSet(self.size)
        copied.count = self.count
        copied._bits[:] = self._bits
        return copied

    def encode(self, start: int, end: int) -> str:
        """Encodes the tasks in [start, end) by their offsets from `start`, which must be a multiple of 8."""
        ranges: list[str] = []
        base64_length = ((end - start + 7) // 8) * 4 // 3
        length = 0
        index = start
        while index < end and length <= base64_length:
            if index in self:
                first = index
                while index < end and index in self:
                    index += 1
                text = str(first - start) if index - first == 1 else f"{first - start}-{index - 1 - start}"
                ranges.append(text)
                length += len(text) + 1
            index += 1
        if length <= base64_length or not ranges:
            return ",".join(ranges)
        return "=" + base64.b64encode(bytes(self._bits[start >> 3 : (end + 7) >> 3])).decode()

    def merge(self, text: str, start: int) -> None:
        """Adds the tasks of an encoded text, whose offsets count from `start`. Raises ValueError if the text is
        malformed or a task is out of range, as in a damaged record."""
        if text.startswith("="):
            for position, byte in enumerate(base64.b64decode(text[1:])):
                for bit in range(8):
                    if byte & (1 << bit):
                        self._add_checked(start + position * 8 + bit)
            return
        for part in text.split(",") if text else []:
            first, _, last = part.partition("-")
            for index in range(int(first), int(last or first) + 1):
                self._add_checked(start + index)

    def _add_checked(self, index: int) -> None:
        if not 0 <= index < self.size:
            raise ValueError(f"task {index} is out of range: the job has {self.size} tasks")
        self.add(index)
