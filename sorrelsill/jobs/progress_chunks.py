"""Progress chunks: the finished tasks of a very large job, stored in separate keys.

A chunk covers `CHUNK_TASKS` tasks. Where the store does not take a value of that length, small chunks of
`SMALL_CHUNK_TASKS` tasks are used instead."""

from __future__ import annotations

from dataclasses import dataclass, field

from sorrelsill import constants
from sorrelsill.jobs.records import chunk_value, json_size
from sorrelsill.store import Put, chunk_key, small_chunk_key
from sorrelsill.workers import Job

_SMALL_CHUNKS_PER_CHUNK = constants.CHUNK_TASKS // constants.SMALL_CHUNK_TASKS


@dataclass(slots=True)
class ChunkWrites:
    """Chunks to put, and the small chunks that they cover."""

    puts: list[Put] = field(default_factory=list)
    covered: set[int] = field(default_factory=set)  # numbers of small chunks


def chunk_writes(job: Job, max_writes: int, value_bytes: int) -> ChunkWrites:
    """At most `max_writes` chunks with finished tasks that are not recorded yet. Uses small chunks, which the previous
    version does not read, only if the value of a chunk would exceed `value_bytes`."""
    job_id, done = job.spec.job_id, job.done
    result = ChunkWrites()
    for number in sorted(job.unrecorded_small_chunks):
        if number in result.covered:
            continue
        if len(result.puts) == max_writes:
            break
        chunk = number // _SMALL_CHUNKS_PER_CHUNK
        value = chunk_value(done, chunk)
        if json_size(value) <= value_bytes:
            result.puts.append(Put(chunk_key(job_id, chunk), value))
            first = chunk * _SMALL_CHUNKS_PER_CHUNK
            result.covered.update(job.unrecorded_small_chunks & set(range(first, first + _SMALL_CHUNKS_PER_CHUNK)))
        else:
            value = chunk_value(done, number, constants.SMALL_CHUNK_TASKS)
            result.puts.append(Put(small_chunk_key(job_id, number), value))
            result.covered.add(number)
    return result


def small_chunks_with_finished_tasks(job: Job) -> list[int]:
    """Numbers of the small chunks with at least one finished task."""
    count = -(-job.spec.task_count // constants.SMALL_CHUNK_TASKS)
    return [number for number in range(count) if chunk_value(job.done, number, constants.SMALL_CHUNK_TASKS)]
