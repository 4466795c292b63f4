"""Jobs: what users submit, its checks, records, polls and cancellation."""

from sorrelsill.jobs.admission import Admission, Busy
from sorrelsill.jobs.cancellations import Cancellations
from sorrelsill.jobs.messages import GANG, RANKS, SWEEP, BadJob, Spec, parse_spec, valid_uid
from sorrelsill.jobs.recorder import Recorder
from sorrelsill.jobs.records import (
    ShardSet,
    chunk_value,
    final_record,
    impossible,
    json_size,
    new_record,
    parse_record,
    record_value,
)

__all__ = [
    "GANG", "RANKS", "SWEEP", "Admission", "BadJob", "Busy", "Cancellations", "Recorder", "ShardSet", "Spec",
    "chunk_value", "final_record", "impossible", "json_size", "new_record", "parse_record", "parse_spec",
    "record_value", "valid_uid",
]  # fmt: skip
