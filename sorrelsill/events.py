"""Structured log lines: the name of an event and `key=value` fields, with the same field names everywhere.

A line is formatted only if its level is enabled, since a controller's CPU time is scarce. If the fields are expensive
to compute, the caller checks `log.isEnabledFor` first."""

from __future__ import annotations

import logging


def log_event(log: logging.Logger, level: int, event: str, /, **fields: object) -> None:
    """Logs one event. Floats are written with up to three decimals; text that is empty or has spaces is quoted."""
    if log.isEnabledFor(level):
        log.log(level, "%s", " ".join([event, *(f"{name}={_text(value)}" for name, value in fields.items())]))


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    text = str(value)
    return repr(text) if " " in text or not text else text
