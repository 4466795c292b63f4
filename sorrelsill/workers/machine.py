"""A machine as the leader knows it: its session, what is bound to it, and whether it may be given work."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sorrelsill.workers.attempt import Attempt

if TYPE_CHECKING:
    from sorrelsill.jobs import JobSpec

EPSILON = 1e-6  # tolerance when amounts of CPUs, GPUs or memory are compared


@dataclass(slots=True, eq=False)
class Machine:
    """A machine and what is bound to it."""

    name: str
    machine_type: str = ""
    zone: str = ""
    spot: bool = False
    addr: str = ""
    session: int = 0
    sequence_number: int = -1
    report_sequence_number: int = -1  # of the last report proper; direct answers carry serials of the same count
    synced: bool = False  # has reported our term as its highest token: no older leader can order it about
    reachable: bool = False  # has shown in this session that answers or commands reach it: it may be given work
    proved_at: float = float("-inf")  # when it last showed that
    relearn: bool = False  # our token may be known to it from an earlier session: showing it proves no hearing
    first_at: float | None = None  # receipt of the first report since it is not synced
    rostered: bool = False  # its roster key is committed
    answered_at: float | None = None  # receipt of the last report that we answered
    lost: bool = False  # its session's lease has run out; only a later session is believed
    evict_at: float | None = None
    draining: bool = False
    returning: bool = False
    faulty: bool = False
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    live: int = 0  # attempts that hold room on it
    unknown: int = 0  # tasks on it of jobs that are over or unknown, not yet gone
    cpus: float = 0.0
    gpus: float = 0.0
    memory: float = 0.0
    cap_cpus: float = 0.0
    cap_gpus: float = 0.0
    cap_memory: float = 0.0
    cache_gb: float = 0.0
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    fetching: set[str] = field(default_factory=set)  # images that tasks on it wait for
    idle_since: float = 0.0
    accused_by: set[str] = field(default_factory=set)  # jobs that failed here and succeeded elsewhere
    reports: bool = False  # has sent a report in this term
    seen_at: float = float("-inf")  # when it last reported; before its first report in this term, when it was first met
    overdue: bool = False  # its report is late, so it may hang or be cut off: no new work before the next one

    def room_for(self, spec: JobSpec) -> bool:
        return (
            self.cap_cpus - self.cpus + EPSILON >= spec.cpus
            and self.cap_memory - self.memory + EPSILON >= spec.memory
            and self.cap_gpus - self.gpus + EPSILON >= spec.gpus
        )

    def large_enough_for(self, spec: JobSpec) -> bool:
        """Whether a task would fit if the machine were empty."""
        return (
            self.cap_cpus + EPSILON >= spec.cpus
            and self.cap_memory + EPSILON >= spec.memory
            and self.cap_gpus + EPSILON >= spec.gpus
        )

    def usable(self) -> bool:
        return (
            self.synced
            and self.reachable
            and self.rostered
            and not self.lost
            and not self.overdue
            and not self.draining
            and not self.returning
            and not self.faulty
            and self.evict_at is None
        )

    def allows(self, spec: JobSpec) -> bool:
        """Type, zone and kind as the job demands; the worker checks none of these."""
        return (
            (spec.machine_types is None or self.machine_type in spec.machine_types)
            and (spec.zone is None or self.zone == spec.zone)
            and (spec.spot or not self.spot)
        )

    def hold_image(self, image: str, size: float) -> list[str]:
        """Guess the worker's cache: the most recently used images that fit. Returns those pushed out."""
        self.fetching.discard(image)
        self.images[image] = size
        self.images.move_to_end(image)
        out = []
        while sum(self.images.values()) > self.cache_gb and len(self.images) > 1:
            out.append(self.images.popitem(last=False)[0])
        return out
