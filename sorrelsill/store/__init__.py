"""Key-value store: a rate-limited client, the key layout, and a watch cache of the keys."""

from sorrelsill.store.client import (
    AmbiguousError,
    Compare,
    Delete,
    KeyValueStore,
    Put,
    RefusedError,
    StoreError,
    TransactionResult,
    UnavailableError,
    VersionedValue,
    WatchResult,
)
from sorrelsill.store.ended_jobs import EndedRecords
from sorrelsill.store.keys import (
    CATALOG,
    JOB_PREFIX,
    LEADER,
    chunk_key,
    final_key,
    job_key,
    registry_key,
    small_chunk_key,
)
from sorrelsill.store.watch_cache import WatchCache

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
    "StoreError",
    "TransactionResult",
    "UnavailableError",
    "VersionedValue",
    "WatchCache",
    "WatchResult",
    "chunk_key",
    "final_key",
    "job_key",
    "small_chunk_key",
    "registry_key",
]
