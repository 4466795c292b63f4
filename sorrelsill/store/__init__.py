"""Dealings with the state service: a client under a rate budget, and a followed view of our keys."""

from sorrelsill.store.client import AmbiguousError, Condition, Put, RefusedError, Remove, Store, Txn, UnavailableError
from sorrelsill.store.view import (
    CATALOG,
    JOB_PREFIX,
    LEADER,
    EndedRecords,
    View,
    chunk_key,
    final_key,
    job_key,
    part_key,
    roster_key,
)

__all__ = [
    "AmbiguousError",
    "CATALOG",
    "JOB_PREFIX",
    "Condition",
    "EndedRecords",
    "LEADER",
    "Put",
    "RefusedError",
    "Remove",
    "Store",
    "Txn",
    "UnavailableError",
    "View",
    "chunk_key",
    "final_key",
    "job_key",
    "part_key",
    "roster_key",
]
