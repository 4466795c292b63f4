"""The state that a controller has only while it leads."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill.fleet import FleetManager
from sorrelsill.jobs import RecordWriter
from sorrelsill.workers import ClusterState


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """The components of one term: created when the term begins, and dropped when it ends."""

    cluster: ClusterState
    fleet: FleetManager
    record_writer: RecordWriter
