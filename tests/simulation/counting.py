"""Work counted in calls of the package's own functions, not in seconds: the same on every machine and every time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_calls(what: Callable[[], object]) -> int:
    """How many functions, comprehensions and generator steps of the package run meanwhile."""
    calls = 0

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        nonlocal calls
        if event == "call" and "sorrelsill" in frame.f_code.co_filename:
            calls += 1

    before = sys.getprofile()
    sys.setprofile(profile)
    try:
        what()
    finally:
        sys.setprofile(before)
    return calls
