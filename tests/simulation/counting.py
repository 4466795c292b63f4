"""Measures work as the number of calls of the package's own functions: unlike a duration, the number is the same on
every machine and in every run."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_calls(function: Callable[[], object]) -> int:
    """Call the function; return how many functions, comprehensions and generator steps of the package it ran."""
    calls = 0

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        nonlocal calls
        if event == "call" and "sorrelsill" in frame.f_code.co_filename:
            calls += 1

    previous = sys.getprofile()
    sys.setprofile(profile)
    try:
        function()
    finally:
        sys.setprofile(previous)
    return calls
