"""Counts structured log events of the service, to tell whether a run reached the state that it should test."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from sorrelsill.controller import controller
from sorrelsill.placement import team_quotas
from sorrelsill.workers import adoption

_LOGS = (controller.log, team_quotas.log, adoption.log)


@dataclass(frozen=True, slots=True)
class Event:
    """One structured log event."""

    name: str
    fields: dict[str, str]


class EventCounts(logging.Handler):
    """Collects the logged events in order."""

    def __init__(self) -> None:
        super().__init__(logging.DEBUG)
        self.events: list[Event] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Parse one log line."""
        name, *fields = record.getMessage().split()
        pairs = (field.partition("=") for field in fields)
        self.events.append(Event(name, {key: value for key, _, value in pairs}))

    def count(self, name: str) -> int:
        """Return how often an event was logged."""
        return sum(1 for event in self.events if event.name == name)

    def unaccounted_cpus(self) -> float:
        """Return the CPUs that teams with a limit may have used without the new leader knowing, over all failovers."""
        team_use = [event.fields for event in self.events if event.name == "team_use"]
        return sum(float(fields["unaccounted_cpus"]) for fields in team_use if float(fields["limit_cpus"]))


@contextmanager
def counted_events() -> Iterator[EventCounts]:
    """Count what the leader logs about limits, failovers and stop commands."""
    counts = EventCounts()
    previous = [(log, log.level, log.propagate) for log in _LOGS]
    for log in _LOGS:
        log.addHandler(counts)
        log.setLevel(logging.DEBUG)
        log.propagate = False
    try:
        yield counts
    finally:
        for log, level, propagate in previous:
            log.removeHandler(counts)
            log.setLevel(level)
            log.propagate = propagate
