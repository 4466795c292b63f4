"""Leaders that send starts in direct calls, as versions before this one do.

Such a leader may lead beside controllers of this version, and its starts may be held in the network while they renew
leases."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from sorrelsill.workers import command_sender, commands
from sorrelsill.workers.cluster_records import ClusterRecords
from sorrelsill.workers.commands import DirectBatch
from sorrelsill.workers.machine import Machine
from sorrelsill.workers.messages import StartCommand


def _take_direct_commands_with_starts(cluster: ClusterRecords, machine: Machine, jobs_fresh: bool) -> DirectBatch:
    batch = commands.take_direct_commands(cluster, machine, jobs_fresh)
    if batch.wakes_up:
        for attempt in machine.attempts.values():
            if not attempt.confirmed and not attempt.start_sent and attempt.spec is not None:
                batch.commands.append(StartCommand(attempt.task_id, attempt.attempt_number))
    return batch


@contextmanager
def starts_in_direct_calls() -> Iterator[None]:
    """While this is active, every leader also sends the starts of a machine with each wake-up."""
    with patch.object(command_sender, "take_direct_commands", _take_direct_commands_with_starts):
        yield
