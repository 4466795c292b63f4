"""What a controller has only while it leads: the parts of one term."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelsill.fleet import FleetManager
from sorrelsill.jobs import RecordWriter
from sorrelsill.workers import ClusterState


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """Made anew with each term and dropped with it."""

    cluster: ClusterState
    fleet: FleetManager
    record_writer: RecordWriter
