"""Jobs: validation of submissions, stored records, polls and cancellations."""

from sorrelsill.jobs.admission import Admission
from sorrelsill.jobs.cancellations import Cancellations
from sorrelsill.jobs.errors import BusyError, InvalidJobError, JobError
from sorrelsill.jobs.messages import parse_spec, valid_job_id
from sorrelsill.jobs.record_writer import RecordWriter
from sorrelsill.jobs.records import (
    accepted_at,
    chunk_value,
    ended_in_phase,
    final_record,
    has_inline_tasks,
    infeasibility_reason,
    json_size,
    new_record,
    parse_record,
    record_value,
    running_count,
)
from sorrelsill.jobs.user_answers import Answer, ErrorAnswer, JobAnswer, TeamJobsAnswer

__all__ = [
    "Admission",
    "Answer",
    "BusyError",
    "Cancellations",
    "ErrorAnswer",
    "InvalidJobError",
    "JobAnswer",
    "JobError",
    "RecordWriter",
    "TeamJobsAnswer",
    "accepted_at",
    "chunk_value",
    "ended_in_phase",
    "final_record",
    "has_inline_tasks",
    "infeasibility_reason",
    "json_size",
    "new_record",
    "parse_record",
    "parse_spec",
    "record_value",
    "running_count",
    "valid_job_id",
]
