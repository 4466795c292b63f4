"""Dealings with the state service: a client under a rate budget, and a followed view of our keys."""

from sorrelsill.store.client import (
    AmbiguousError,
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RefusedError,
    TransactionResult,
    UnavailableError,
)
from sorrelsill.store.watch_cache import (
    CATALOG,
    JOB_PREFIX,
    LEADER,
    EndedRecords,
    WatchCache,
    chunk_key,
    final_key,
    job_key,
    registry_key,
    small_chunk_key,
)

__all__ = [
    "AmbiguousError",
    "CATALOG",
    "JOB_PREFIX",
    "Compare",
    "EndedRecords",
    "LEADER",
    "Put",
    "RefusedError",
    "Delete",
    "KeyValueStore",
    "TransactionResult",
    "UnavailableError",
    "WatchCache",
    "chunk_key",
    "final_key",
    "job_key",
    "small_chunk_key",
    "registry_key",
]
