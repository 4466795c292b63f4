"""Dealings with the state service: a client under a rate budget, and a followed view of our keys."""

from sorrelsill.store.client import Ambiguous, Condition, Put, Refused, Remove, Store, Txn, Unavailable
from sorrelsill.store.view import CATALOG, LEADER, View, chunk_key, final_key, job_key, part_key, roster_key

__all__ = [
    "Ambiguous",
    "CATALOG",
    "Condition",
    "LEADER",
    "Put",
    "Refused",
    "Remove",
    "Store",
    "Txn",
    "Unavailable",
    "View",
    "chunk_key",
    "final_key",
    "job_key",
    "part_key",
    "roster_key",
]
