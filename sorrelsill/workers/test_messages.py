"""Phases and exit causes on the wire."""

from sorrelsill.workers.messages import ExitCause, TaskPhase, TaskStatus


def test_wire_values_map_to_phases_and_causes() -> None:
    status = TaskStatus("run-1/0", 1, "saving")
    assert status.known_phase() is TaskPhase.CHECKPOINTING
    stopped = TaskStatus("run-1/0", 1, "exited", "halted")
    assert stopped.known_phase() is TaskPhase.EXITED and stopped.known_exit_cause() is ExitCause.STOPPED


def test_unknown_values_are_accepted_and_kept_for_notes() -> None:
    status = TaskStatus("run-1/0", 1, "thawing", "oom")
    assert status.known_phase() is TaskPhase.UNKNOWN and status.known_exit_cause() is ExitCause.UNKNOWN
    assert status.exit_cause_text() == "oom"
    assert TaskStatus("run-1/0", 1, "exited").exit_cause_text() == "unknown"
