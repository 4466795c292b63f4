"""The keys of the key-value store. All begin with `s/`, so that one watch sees everything:

s/leader       who leads, attached to the leader's lease
s/j/<uid>      a live job: specification, finished tasks, counts
s/d/<uid>/<n>  finished tasks of a very large job, 16,384 to a key
s/e/<uid>/<n>  the same, 4,096 to a key: only where the store refuses longer values
s/f/<uid>      the final record of an ended job, kept for ever
s/m/<part>     machines that may have been given work, those of one part in one map; a full part goes on in
               s/m/<part>.1 and so on, and a machine may stand in more than one
s/catalog      the machine types as last read
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
CHUNK_PREFIXES = (CHUNK_PREFIX, SMALL_CHUNK_PREFIX)  # of the same length


def job_key(job_id: str) -> str:
    """The key of a live job."""
    return JOB_PREFIX + job_id


def final_key(job_id: str) -> str:
    """The key of an ended job."""
    return FINAL_PREFIX + job_id


def chunk_key(job_id: str, number: int) -> str:
    """The key of a progress chunk: some finished tasks of a very large job."""
    return f"{CHUNK_PREFIX}{job_id}/{number}"


def small_chunk_key(job_id: str, number: int) -> str:
    """The key of a small progress chunk."""
    return f"{SMALL_CHUNK_PREFIX}{job_id}/{number}"


def job_of_chunk(key: str) -> str:
    """The job that a progress chunk of either size belongs to."""
    return key[len(CHUNK_PREFIX) :].partition("/")[0]


def first_task_of_chunk(key: str) -> int | None:
    """The first task that a progress chunk covers; None if the key ends in no number."""
    number = key.rpartition("/")[2]
    if not number.isdecimal():
        return None
    size = constants.CHUNK_TASKS if key.startswith(CHUNK_PREFIX) else constants.PART_TASKS
    return int(number) * size


def registry_key(machine: str) -> str:
    """Machines share a few keys, so that hundreds that come or go together cost a few writes."""
    return f"{REGISTRY_PREFIX}{zlib.crc32(machine.encode()) % constants.REGISTRY_PARTS:02d}"
