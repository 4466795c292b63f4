"""Structured log lines: the name of an event and `key=value` fields, the same names everywhere.

A line is formatted only if its level is on: a controller's processor time is scarce. Where working out the fields costs
something, the caller asks `log.isEnabledFor` first."""

from __future__ import annotations

import logging


def log_event(log: logging.Logger, level: int, event: str, /, **fields: object) -> None:
    """Log one event. Floats are written with milli precision, text with spaces in quotes."""
    if log.isEnabledFor(level):
        log.log(level, "%s", " ".join([event, *(f"{name}={_text(value)}" for name, value in fields.items())]))


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    text = str(value)
    return repr(text) if " " in text or not text else text
