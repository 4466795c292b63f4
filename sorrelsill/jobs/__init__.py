"""Jobs: what users submit, its checks, records, polls and cancellation."""

from sorrelsill.jobs.admission import Admission, BusyError
from sorrelsill.jobs.cancellations import Cancellations
from sorrelsill.jobs.messages import InvalidJobError, parse_spec, valid_job_id
from sorrelsill.jobs.record_writer import RecordWriter
from sorrelsill.jobs.records import (
    chunk_value,
    final_record,
    impossible,
    json_size,
    new_record,
    parse_record,
    record_value,
)

__all__ = [
    "Admission",
    "InvalidJobError",
    "BusyError",
    "Cancellations",
    "RecordWriter",
    "chunk_value",
    "final_record",
    "impossible",
    "json_size",
    "new_record",
    "parse_record",
    "parse_spec",
    "record_value",
    "valid_job_id",
]
