"""Key layout of the key-value store. All keys start with `s/`, so that one watch covers them all:

s/leader       the current leader, attached to the leader's lease
s/j/<uid>      a live job: specification, finished tasks, counts
s/d/<uid>/<n>  progress chunk: finished tasks of a very large job, 16,384 tasks per key
s/e/<uid>/<n>  small progress chunk, 4,096 tasks per key; used only where the store refuses longer values
s/f/<uid>      the final record of an ended job, never deleted
s/m/<part>     machine registry: machines that may hold work. A machine's name is hashed to a part, and each part is
               one map. A full part continues in s/m/<part>.1, s/m/<part>.2 and so on; a machine may have entries in
               more than one of these keys
s/catalog      the machine types as last read from the cloud
"""

from __future__ import annotations

import zlib

from sorrelsill import constants

ALL_KEYS = "s/"
LEADER = "s/leader"
CATALOG = "s/catalog"
JOB_PREFIX = "s/j/"
FINAL_PREFIX = "s/f/"
REGISTRY_PREFIX = "s/m/"
CHUNK_PREFIX = "s/d/"
SMALL_CHUNK_PREFIX = "s/e/"
CHUNK_PREFIXES = (CHUNK_PREFIX, SMALL_CHUNK_PREFIX)  # same length: job_of_chunk relies on it


def job_key(job_id: str) -> str:
    """The key of a live job's record."""
    return JOB_PREFIX + job_id


def final_key(job_id: str) -> str:
    """The key of an ended job's final record."""
    return FINAL_PREFIX + job_id


def chunk_key(job_id: str, number: int) -> str:
    """The key of a progress chunk, which holds finished tasks of a very large job."""
    return f"{CHUNK_PREFIX}{job_id}/{number}"


def small_chunk_key(job_id: str, number: int) -> str:
    """The key of a small progress chunk."""
    return f"{SMALL_CHUNK_PREFIX}{job_id}/{number}"


def job_of_chunk(key: str) -> str:
    """The ID of the job that a progress chunk of either size belongs to."""
    return key[len(CHUNK_PREFIX) :].partition("/")[0]


def first_task_of_chunk(key: str) -> int | None:
    """Index of the first task that a progress chunk covers, or None if the key does not end in a number."""
    number = key.rpartition("/")[2]
    if not number.isdecimal():
        return None
    size = constants.CHUNK_TASKS if key.startswith(CHUNK_PREFIX) else constants.SMALL_CHUNK_TASKS
    return int(number) * size


def registry_key(machine: str) -> str:
    """The registry key to try first for a machine; a full key continues in s/m/<part>.1 and so on. Machines share a
    small number of keys, so that adding or removing hundreds of machines at once takes only a few writes."""
    return f"{REGISTRY_PREFIX}{zlib.crc32(machine.encode()) % constants.REGISTRY_PARTS:02d}"
