"""The leader's ledger: jobs, machines, and the attempts bound to machines. Pure: no I/O, time is given.

The rule behind everything: an attempt is bound to (machine, session) from before its start is first sent
until it is *proved* gone. Proofs are: the worker reports it exited; the worker reports a later session;
the worker reports without it and its start went only into answers to earlier reports (which a worker
executes before its next report or drops for good); the machine was returned or is listed as failed; or the
worker's lease has run out since the last report that was answered. Silence short of that, or absence from
the machine list, proves nothing. Bound attempts count toward team limits, zones and the machine's room."""

from __future__ import annotations

import heapq
import logging
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from sorrelsill import constants as C
from sorrelsill.fleet import Catalog, MachineType
from sorrelsill.jobs import JobSpec, TaskSet
from sorrelsill.workers import groups
from sorrelsill.workers import messages as M
from sorrelsill.workers.failures import FailureHistory

log = logging.getLogger(__name__)

_EPS = 1e-6

MachineKind = tuple[
    str, str | None, bool
]  # machine type, zone (None: not known), whether it is a spot machine for certain


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of one task on one machine."""

    job_id: str
    index: int
    attempt_number: int
    machine: Machine
    spec: JobSpec | None  # None: a task of a job that is over or unknown; it is only to be stopped
    created: float
    phase: str = "sent"  # until the worker has reported it
    confirmed: bool = False
    stop: bool = False
    wind_down: float = 0.0
    told_stop_at: float = float("-inf")
    running_since: float | None = None
    stop_reason: str = ""
    exited: bool = False
    unanswered_starts: int = 0  # direct starts of it that are unanswered: they may still be executed
    start_sent: bool = False
    stop_sent: bool = False
    clearable: bool = False
    clear_after: float = float("-inf")  # a repeat of its direct start would run it again once it is cleared
    task_id: str = ""

    def __post_init__(self) -> None:
        self.task_id = f"{self.job_id}/{self.index}"

    @property
    def key(self) -> tuple[str, int]:
        return self.task_id, self.attempt_number


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
            self.cap_cpus - self.cpus + _EPS >= spec.cpus
            and self.cap_memory - self.memory + _EPS >= spec.memory
            and self.cap_gpus - self.gpus + _EPS >= spec.gpus
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


class Job:
    """A live job as the leader sees it."""

    __slots__ = (
        "accepted",
        "avoid",
        "bound",
        "cursor",
        "done",
        "dirty_parts",
        "failures",
        "old",
        "order",
        "recorded_at",
        "requeued",
        "rev",
        "served_at",
        "shown_running",
        "spec",
        "split",
        "submitted",
        "why",
        "zones",
    )

    def __init__(self, spec: JobSpec, done: TaskSet, rev: int, old: bool, now: float, why: list[str]) -> None:
        self.spec = spec
        self.done = done
        self.rev = rev
        self.old = old  # an earlier leader may have started tasks of it
        self.submitted = now
        self.served_at = now  # when a task of it was last bound or ended
        self.accepted = 0.0  # time of day of the submission, as recorded
        self.why = why
        self.bound: dict[int, Attempt] = {}
        self.zones: dict[str, int] = {}
        self.cursor = 0
        self.requeued: list[int] = []
        self.failures = FailureHistory(succeeded=done.count > 0)
        self.avoid: dict[str, float] = {}
        self.dirty_parts: set[int] = set()  # of its finished tasks, `PART_SHARDS` to a part, what is not recorded yet
        self.split = spec.shards > C.CHUNK_SHARDS  # its finished tasks are kept beside its record
        self.shown_running = 0  # tasks that run, as the record says
        self.recorded_at = now
        self.order = 0

    @property
    def waiting(self) -> int:
        return self.spec.shards - self.done.count - len(self.bound)

    @property
    def unknown(self) -> int:
        """Tasks neither done nor bound; unlike `waiting` exact for those that are both."""
        return self.spec.shards - self.done.count - sum(1 for index in self.bound if index not in self.done)

    def next_task(self) -> int | None:
        """The lowest task that is neither done nor bound; it stays queued until it is bound."""
        while self.requeued:
            index = self.requeued[0]
            if index in self.done or index in self.bound:
                heapq.heappop(self.requeued)
                continue
            return index
        while self.cursor < self.spec.shards:
            if self.cursor not in self.done and self.cursor not in self.bound:
                return self.cursor
            self.cursor += 1
        return None

    def trials_left(self) -> int:
        """How many more of its tasks may be started now: few, if it seems to fail wherever it is tried."""
        bound = len(self.bound)
        return C.TRIAL_TASKS - bound if self.failures.suspect(bound) else self.spec.shards

    def running(self) -> int:
        """A task of a group that waits for the others does not run."""
        return sum(1 for a in self.bound.values() if a.phase in ("running", "saving"))

    def note(self, text: str) -> None:
        if not self.why or self.why[-1] != text:
            self.why.append(text)
            del self.why[: -C.WHY_NOTES]


def _may_hold(sort: MachineKind, spec: JobSpec) -> bool:
    machine_type, zone, spot = sort
    if (
        spec.machine_types is not None
        and machine_type
        and machine_type not in spec.machine_types
        or spot
        and not spec.spot
    ):
        return False
    return spec.zone is None or zone is None or zone == spec.zone


class Superseded(Exception):
    """A worker has seen a higher token than ours."""

    def __init__(self, token: int) -> None:
        super().__init__(token)
        self.token = token


class ClusterState:
    def __init__(
        self,
        term: int,
        now: float,
        catalog: Catalog,
        loss_s: float,
        validity_s: float,
        overdue_s: float = float("inf"),
        peer_s: float = 0.0,
    ) -> None:
        self.term = term
        self.started = now
        self.catalog = catalog
        self.loss_s = loss_s
        self.validity_s = validity_s
        self.overdue_s = overdue_s
        self.peer_s = peer_s  # within this the tasks of a group notice that one is gone, and have to be told to save
        self.groups: dict[str, Job] = {}  # the live jobs whose tasks run together
        self.largest_group: dict[str, JobSpec] = {}  # class -> its largest group of this term
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.by_job: dict[str, set[Attempt]] = {}  # all attempts on machines, exited ones too, by their job
        self.ready: dict[str, Machine] = {}  # machines that may be given work
        self.free: dict[str, Machine] = {}  # those of them with CPUs left
        self.holders: dict[str, dict[str, Machine]] = {}  # image -> machines that hold it, as far as is guessed
        self.to_roster: dict[str, Machine] = {}  # machines whose roster entry has to be written
        self.version = 0  # grows with each job that comes or is over
        self.machines_with_pending_commands: dict[
            str, Machine
        ] = {}  # machines that may have orders not sent to them yet
        self.evicting: dict[str, Machine] = {}  # machines with a notice
        self.unknown: dict[str, Machine] = {}  # machines with tasks of jobs that are over or unknown
        self.tombstones: OrderedDict[str, tuple[float, int]] = (
            OrderedDict()
        )  # machines gone: session and serial last seen
        self.unreachable_after_s = loss_s / 2
        self._unaccounted: tuple[tuple[float, float], dict[str, tuple[float, float]] | None] | None = None
        self.ended_unaccounted: dict[str, tuple[float, float]] | None = (
            None  # team -> what its jobs lately over may use
        )
        self._expired_at = float("-inf")
        self.unconfirmed: dict[str, MachineKind] = {}  # roster machines not yet heard with our token
        self.unconfirmed_kinds: dict[MachineKind, int] = {}
        self.unconfirmed_addresses: dict[str, str] = {}
        self.dirty: set[str] = set()  # jobs whose record has to be written
        self.final: set[str] = set()  # jobs that are over, as committed
        self.gone: set[str] = set()  # machines whose roster key has to be removed
        self.renewed_by_others = float("-inf")  # leases may have been renewed by any node up to then
        self.heard_at: float | None = None  # receipt of the last report of any worker in this term
        self.wake_placing = True
        self._attempts_made = 0
        self._jobs_added = 0

    # --- jobs ---

    def add_job(
        self, spec: JobSpec, done: TaskSet, rev: int, old: bool, submitted: float, why: list[str], accepted: float = 0.0
    ) -> Job:
        job = Job(spec, done, rev, old, submitted, why)
        job.accepted = accepted
        self._jobs_added += 1
        job.order = self._jobs_added
        self.jobs[spec.job_id] = job
        if spec.whole:
            self.groups[spec.job_id] = job
            if done.count:
                # Its tasks complete together; the version before this one recorded them one by one.
                for index in range(spec.shards):
                    done.add(index)
            largest = self.largest_group.get(spec.workload)
            if largest is None or largest.cpus * largest.shards < spec.cpus * spec.shards:
                self.largest_group[spec.workload] = spec
        self.version += 1
        if done.count == spec.shards and not spec.endless:
            self.dirty.add(spec.job_id)
        for attempt in list(self.by_job.get(spec.job_id, ())):
            if attempt.spec is None and not attempt.exited:
                self._adopt(attempt, job)
        self.wake_placing = True
        return job

    def end_job(self, job_id: str) -> None:
        """The job is over, as committed: none of its tasks may start, all have to go."""
        job = self.jobs.pop(job_id, None)
        self.groups.pop(job_id, None)
        self.dirty.discard(job_id)
        if job is None:
            return
        self.version += 1
        if not self.settled(job):
            self._count_ended(job.spec.team, job.unknown * job.spec.cpus, job.unknown * job.spec.gpus)
        for attempt in self.by_job.get(job_id, ()):
            if attempt.exited:
                attempt.clearable = True
            else:
                attempt.stop = True
                attempt.wind_down = 0.0
                attempt.stop_reason = "over"
                self.machines_with_pending_commands[attempt.machine.name] = attempt.machine
        self.wake_placing = True

    # --- indices ---

    def reindex(self, machine: Machine) -> None:
        """Keep the indices of machines that may be given work. Called wherever what they rest on changes, and for
        all at each sweep; placing asks each machine it chooses once more, so a late entry does no harm."""
        if machine.usable() and self.machines.get(machine.name) is machine:
            self.ready[machine.name] = machine
            if machine.cap_cpus - machine.cpus > _EPS:
                self.free[machine.name] = machine
            else:
                self.free.pop(machine.name, None)
        else:
            self.ready.pop(machine.name, None)
            self.free.pop(machine.name, None)

    def _hold(self, machine: Machine, spec: JobSpec) -> None:
        self.holders.setdefault(spec.image, {})[machine.name] = machine
        for image in machine.hold_image(spec.image, spec.image_gb):
            self._unhold(machine, image)

    def _unhold(self, machine: Machine, image: str) -> None:
        holders = self.holders.get(image)
        if holders is not None:
            holders.pop(machine.name, None)
            if not holders:
                del self.holders[image]

    def _unhold_all(self, machine: Machine) -> None:
        for image in machine.images:
            self._unhold(machine, image)
        machine.images.clear()

    # --- binding ---

    def next_attempt_number(self) -> int:
        """Grows within the term and across terms, so no attempt number is ever used twice for a task."""
        self._attempts_made += 1
        return (self.term << C.TRY_BITS) + self._attempts_made

    def bind(self, job: Job, index: int, machine: Machine, now: float, attempt_number: int | None = None) -> Attempt:
        """`try_no` is given for gangs, whose tasks find each other by a common attempt number."""
        attempt = Attempt(job.spec.job_id, index, attempt_number or self.next_attempt_number(), machine, job.spec, now)
        self._attach(attempt, job)
        self.machines_with_pending_commands[machine.name] = machine
        job.served_at = now
        if job.spec.image not in machine.images:
            machine.fetching.add(job.spec.image)
        log.debug(
            "bind %s to %s, %.2f s after submission, image %s",
            attempt.task_id,
            machine.name,
            now - job.submitted,
            "there" if job.spec.image in machine.images else "missing",
        )
        return attempt

    def _enter(self, attempt: Attempt) -> None:
        """An attempt is on a machine, as far as is known."""
        attempt.machine.attempts[attempt.key] = attempt
        self.by_job.setdefault(attempt.job_id, set()).add(attempt)
        self._count_unknown(attempt, 1)

    def _leave(self, attempt: Attempt) -> None:
        """It is on no machine any more, nor reported."""
        del attempt.machine.attempts[attempt.key]
        mine = self.by_job.get(attempt.job_id)
        if mine is not None:
            mine.discard(attempt)
            if not mine:
                del self.by_job[attempt.job_id]
        if not attempt.exited:
            self._count_unknown(attempt, -1)

    def _count_unknown(self, attempt: Attempt, change: int) -> None:
        """Tasks that no live job accounts for still run, and still count toward their team's limit."""
        if attempt.spec is not None:
            return
        machine = attempt.machine
        machine.unknown += change
        if machine.unknown > 0:
            self.unknown[machine.name] = machine
        else:
            self.unknown.pop(machine.name, None)

    def _attach(self, attempt: Attempt, job: Job) -> None:
        """Take room, limits and zones into account; `attempt.spec` is set already."""
        self._enter(attempt)
        self._take_room(attempt)
        if attempt.index not in job.bound:
            job.bound[attempt.index] = attempt
            job.zones[attempt.machine.zone] = job.zones.get(attempt.machine.zone, 0) + 1

    def _take_room(self, attempt: Attempt) -> None:
        machine, spec = attempt.machine, attempt.spec
        assert spec is not None
        machine.live += 1
        machine.cpus += spec.cpus
        machine.gpus += spec.gpus
        machine.memory += spec.memory
        self.team_cpus[spec.team] = self.team_cpus.get(spec.team, 0.0) + spec.cpus
        self.team_gpus[spec.team] = self.team_gpus.get(spec.team, 0.0) + spec.gpus
        if machine.cap_cpus - machine.cpus <= _EPS:
            self.free.pop(machine.name, None)

    def _adopt(self, attempt: Attempt, job: Job) -> None:
        """A task that an earlier leader started and that is on its machine. If it is one too many, it is stopped."""
        machine = attempt.machine
        self._count_unknown(attempt, -1)
        attempt.spec = job.spec
        self._take_room(attempt)
        known = job.bound.get(attempt.index)
        keep = 0 <= attempt.index < job.spec.shards and attempt.index not in job.done
        if keep and known is not None:
            # The later attempt was only made once the earlier one was proved gone. So the earlier is a phantom out
            # of a late copy of a report, and must not cost the true one its place.
            keep = attempt.attempt_number > known.attempt_number and known.attempt_number >> C.TRY_BITS < self.term
            if keep:
                job.zones[known.machine.zone] = job.zones.get(known.machine.zone, 1) - 1
                known.stop = True
                self.machines_with_pending_commands[known.machine.name] = known.machine
        attempt.stop = not keep
        if keep:
            job.bound[attempt.index] = attempt
            job.zones[machine.zone] = job.zones.get(machine.zone, 0) + 1
            self.dirty.add(job.spec.job_id)
        else:
            self.machines_with_pending_commands[machine.name] = machine

    def _unbind(self, attempt: Attempt, now: float, requeue: bool = True) -> None:
        """The attempt is proved gone: give back what it held."""
        machine, spec = attempt.machine, attempt.spec
        if spec is None:
            return
        attempt.spec = None
        if self.unconfirmed:
            self._unaccounted = None  # it may have been a phantom out of a late copy, and the true one unseen
        machine.live -= 1
        machine.cpus = max(0.0, machine.cpus - spec.cpus)
        machine.gpus = max(0.0, machine.gpus - spec.gpus)
        machine.memory = max(0.0, machine.memory - spec.memory)
        self.team_cpus[spec.team] = max(0.0, self.team_cpus.get(spec.team, 0.0) - spec.cpus)
        self.team_gpus[spec.team] = max(0.0, self.team_gpus.get(spec.team, 0.0) - spec.gpus)
        if spec.cpus > 0 and machine.name in self.ready:
            self.free[machine.name] = machine
        job = self.jobs.get(spec.job_id)
        if job is not None and job.bound.get(attempt.index) is attempt:
            del job.bound[attempt.index]
            job.zones[machine.zone] = job.zones.get(machine.zone, 1) - 1
            job.served_at = now
            if requeue and attempt.index not in job.done:
                heapq.heappush(job.requeued, attempt.index)
            self.dirty.add(spec.job_id)
        if machine.live == 0:
            machine.idle_since = now
            machine.fetching.clear()
        self.wake_placing = True

    def ordinary_room(self) -> dict[str, float]:
        """CPUs free on machines that won't be taken back, by zone."""
        room: dict[str, float] = {}
        for machine in self.free.values():
            if not machine.spot:
                room[machine.zone] = room.get(machine.zone, 0.0) + machine.cap_cpus - machine.cpus
        return room

    def group_spare(self, classes: Iterable[str]) -> float:
        """CPUs for one more group of each of these classes, as large as the largest seen."""
        largest = (self.largest_group.get(name) for name in classes)
        return C.GROUP_SPARE * sum(s.cpus * s.shards for s in largest if s is not None)

    def alive(self, job_id: str) -> bool:
        """Whether any attempt of the job may still be on a machine, one too many included."""
        return any(not attempt.exited for attempt in self.by_job.get(job_id, ()))

    def take_back(self, attempt: Attempt, now: float) -> None:
        """Undo a binding whose start was certainly never sent: made and undone within one round."""
        self._leave(attempt)
        self._unbind(attempt, now)

    def _release_all(self, machine: Machine, now: float, reason: str) -> None:
        for attempt in list(machine.attempts.values()):
            job = self.jobs.get(attempt.job_id)
            if job is not None and not attempt.exited and job.bound.get(attempt.index) is attempt:
                job.note(f"task {attempt.index}: {reason} ({machine.name})")
            self._leave(attempt)
            self._unbind(attempt, now)
        machine.cpus = machine.gpus = machine.memory = 0.0
        self.reindex(machine)

    # --- machines ---

    def set_catalog(self, catalog: Catalog) -> None:
        self.catalog = catalog
        for machine in self.machines.values():
            self._size(machine)
            self.reindex(machine)
        self._unaccounted = None
        self.wake_placing = True

    def _size(self, machine: Machine) -> None:
        kind: MachineType | None = self.catalog.machine_types.get(machine.machine_type)
        if kind is not None:
            machine.cap_cpus, machine.cap_gpus, machine.cap_memory = kind.cpus, kind.gpus, kind.memory
            machine.cache_gb = kind.cache_gb

    def machine(self, name: str, machine_type: str, zone: str, spot: bool, now: float) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, idle_since=now)
        if machine_type and not machine.machine_type:
            machine.machine_type, machine.zone, machine.spot = machine_type, zone, spot
            self._size(machine)
        return machine

    def expect_machines(self, roster: Iterable[tuple[str, Any]]) -> None:
        """Machines that an earlier leader may have given work: they have to be heard, or time out."""
        for name, value in roster:
            known = value if isinstance(value, dict) else {}
            machine_type, zone, spot = known.get("f"), known.get("z"), known.get("s")
            # An entry of an earlier version lacks zone and kind: the machine may be any.
            sort = (
                machine_type if isinstance(machine_type, str) else "",
                zone if isinstance(zone, str) else None,
                spot is True,
            )
            if name in self.unconfirmed:
                # It stands in two parts of the roster. Found by reading: counted twice and heard once, it would have
                # held back every older job that it may hold for the whole term.
                self._confirm(name)
            self.unconfirmed[name] = sort
            self.unconfirmed_kinds[sort] = self.unconfirmed_kinds.get(sort, 0) + 1
            self.unconfirmed_addresses[name] = str(known.get("a", ""))
        self._unaccounted = None

    def expect_ended_jobs(self, ended: list[tuple[str, float, float]] | None) -> None:
        """Team, CPUs and GPUs that jobs lately over may still use; None if that is not known."""
        self.ended_unaccounted = None if ended is None else {}
        self._unaccounted = None
        for team, cpus, gpus in ended or ():
            self._count_ended(team, cpus, gpus)

    def _count_ended(self, team: str, cpus: float, gpus: float) -> None:
        if self.ended_unaccounted is not None:
            have = self.ended_unaccounted.get(team, (0.0, 0.0))
            self.ended_unaccounted[team] = have[0] + cpus, have[1] + gpus
            self._unaccounted = None

    def _confirm(self, name: str) -> None:
        sort = self.unconfirmed.pop(name, None)
        if sort is not None:
            self.unconfirmed_kinds[sort] -= 1
            if not self.unconfirmed_kinds[sort]:
                del self.unconfirmed_kinds[sort]
            self._unaccounted = None

    def settled(self, job: Job) -> bool:
        """Whether everything an earlier leader may have started of a job is accounted for. A machine that is not heard
        yet can hold tasks only of jobs that allow its type, zone and kind."""
        return not job.old or not any(_may_hold(sort, job.spec) for sort in self.unconfirmed_kinds)

    def unaccounted(self, team: str) -> tuple[float, float]:
        """CPUs and GPUs that tasks of a team may be using unseen, which count toward its limit.

        On machines not heard yet: what is neither done nor on a heard machine of its jobs that such a machine may hold,
        and what is left of its jobs lately over; never more than all such machines. Found by reasoning: with their
        whole size counted for every team, fifty silent machines filled small teams' limits for a lease.

        On machines heard: tasks of jobs that were over before this term began, and are not gone yet. Found in an
        incident: a job cancelled while nobody led was not counted, and its team went over its limit."""
        if self._unaccounted is None:
            self._unaccounted = self._count_unaccounted()
        size, by_team = self._unaccounted
        cpus, gpus = size
        if by_team is not None:
            mine = by_team.get(team, (0.0, 0.0))
            cpus, gpus = min(cpus, mine[0]), min(gpus, mine[1])
        for machine in self.unknown.values():
            cpus += max(0.0, machine.cap_cpus - machine.cpus)
            gpus += max(0.0, machine.cap_gpus - machine.gpus)
        return cpus, gpus

    def _count_unaccounted(self) -> tuple[tuple[float, float], dict[str, tuple[float, float]] | None]:
        cpus = gpus = 0.0
        for (machine_type, _, _), count in self.unconfirmed_kinds.items():
            kind = self.catalog.machine_types.get(machine_type)
            # A type that is not known may be of any size.
            cpus += kind.cpus * count if kind is not None else float("inf")
            gpus += kind.gpus * count if kind is not None else float("inf")
        size = cpus, gpus
        if self.ended_unaccounted is None or not self.unconfirmed:
            return size, None
        by_team = dict(self.ended_unaccounted)
        for job in self.jobs.values():
            if not self.settled(job):
                have = by_team.get(job.spec.team, (0.0, 0.0))
                left = job.unknown
                by_team[job.spec.team] = have[0] + left * job.spec.cpus, have[1] + left * job.spec.gpus
        return size, by_team

    def gone_for_certain(self, name: str, now: float, reason: str) -> None:
        """The machine was returned (answered 200), or is listed as failed. Machine names are never used again, so
        whatever still comes under this one is a late copy."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self._release_all(machine, now, reason)
            self._unhold_all(machine)
        self._add_tombstone(name, float("inf"), 0)
        self._confirm(name)
        self.gone.add(name)
        self.wake_placing = True

    def drop(self, machine: Machine) -> None:
        """Forget a machine that is lost and listed no more; should it be alive after all, a later session tells."""
        del self.machines[machine.name]
        self._unhold_all(machine)
        self._add_tombstone(machine.name, machine.session, machine.sequence_number)

    def _add_tombstone(self, name: str, session: float, sequence_number: int) -> None:
        for index in (
            self.machines_with_pending_commands,
            self.evicting,
            self.unknown,
            self.to_roster,
            self.ready,
            self.free,
        ):
            index.pop(name, None)
        self.tombstones[name] = (session, sequence_number)
        self.tombstones.move_to_end(name)
        while len(self.tombstones) > C.TOMBSTONES_KEPT:
            self.tombstones.popitem(last=False)

    def expire_leases(self, now: float) -> list[Machine]:
        """Declare lost what has been silent for longer than the workers' lease. Returns those machines."""
        lost: list[Machine] = []
        if now - self._expired_at < C.EXPIRE_EVERY_S:
            return lost
        self._expired_at = now
        self._unaccounted = None
        floor = self.renewed_by_others
        # An older leader's last answers: its validity ran out before the key could go, but an early
        # end of the key would let it answer for the rest of that time, so this is waited out as well.
        older = max(floor, self.started + self.validity_s)
        released = 0
        for machine in self.machines.values():
            # One that answers us and doesn't report has a lease that runs out again and again, and all work with it.
            # After a takeover it has some time to find the way here. Found by reading.
            patience = self.overdue_s if machine.reports else max(self.overdue_s, self.unreachable_after_s)
            if not machine.overdue and now - machine.seen_at > patience:
                machine.overdue = True
            self.reindex(machine)
            if machine.lost or machine.answered_at is None:
                continue
            if now - max(machine.answered_at, older if machine.name in self.unconfirmed else floor) > self.loss_s:
                if released >= C.EXPIRE_TASKS:
                    # Guards against hundreds of machines lost at once: pings must not wait behind them.
                    self._expired_at = float("-inf")
                    break
                released += len(machine.attempts)
                machine.lost = True
                machine.synced = machine.reachable = False
                machine.relearn = True
                machine.first_at = None
                machine.rostered = False
                self._release_all(machine, now, "machine silent, work lost")
                self._confirm(machine.name)
                self.gone.add(machine.name)
                lost.append(machine)
        if self.unconfirmed and now - older > self.loss_s:
            for name in [n for n in self.unconfirmed if (h := self.machines.get(n)) is None or h.answered_at is None]:
                self._confirm(name)
                self.gone.add(name)
            self.wake_placing = True
        return lost

    def hears_no_worker(self, now: float, limit: float) -> bool:
        """Whether workers were heard in this term and all of them have been silent since. One machine alone
        proves nothing, and a leader that never heard any is no better replaced."""
        if self.heard_at is None or now - max(self.heard_at, self.renewed_by_others) <= limit:
            return False
        return sum(1 for h in self.machines.values() if not h.lost and h.answered_at is not None) >= C.DEAF_HOSTS

    def drain(self, now: float) -> None:
        """Work on machines that are about to be taken: what saves itself does so as late as is safe; what can't, and
        won't be through by then, goes at once, and the rest just before the end. Found on a measured day: left to
        die with its machine it was only known to be lost once a whole lease of silence had passed."""
        for machine in self.evicting.values():
            if machine.evict_at is None or machine.lost:
                continue
            for attempt in machine.attempts.values():
                spec = attempt.spec
                if spec is None or attempt.stop or attempt.exited:
                    continue
                left = machine.evict_at - now
                if spec.whole and attempt.job_id in self.groups:
                    if groups.must_leave(self, self.groups[attempt.job_id], left):
                        self.stop(attempt, "machine is taken back")
                    continue
                if attempt.running_since is None:
                    late = True
                elif spec.snapshot_s > 0:
                    late = left <= spec.snapshot_cost_s + C.DRAIN_AHEAD_S
                else:
                    through = attempt.running_since + spec.expected_s
                    late = left <= C.DRAIN_AHEAD_S or spec.endless or through > machine.evict_at
                if late:
                    self.stop(attempt, "machine is taken back")

    # --- reports ---

    def on_report(
        self, report: M.Report, now: float, acting: bool = True, fresh: bool = True
    ) -> list[dict[str, Any]] | None:
        """Take a report in; the orders for the answer, or None if it must not be answered with 200.
        Without `acting` (standstill) there are no orders; without a `fresh` view of the jobs, no starts."""
        if report.token > self.term:
            raise Superseded(report.token)
        if (report.session, report.sequence_number) <= self.tombstones.get(report.machine, (0, 0)):
            return None  # a late copy: the machine is gone
        machine = self.machine(report.machine, report.machine_type, report.zone, report.spot, now)
        if report.session < machine.session or (
            report.session == machine.session and report.sequence_number <= machine.report_sequence_number
        ):
            return None  # late or repeated: its task list is older than what is known
        if machine.lost and report.session == machine.session:
            machine.sequence_number = max(machine.sequence_number, report.sequence_number)
            return None  # its lease is over by our clock: only its next session is believed
        stale = report.session == machine.session and report.sequence_number < machine.sequence_number
        # After anything but our 200 a worker goes on to the next controller, so a report that follows the last
        # message directly shows that answers reach it. With one that does not, work waits for the next that does.
        follows = report.session == machine.session and report.sequence_number == machine.sequence_number + 1
        machine.report_sequence_number = report.sequence_number
        machine.reports = True
        machine.seen_at = now
        if machine.overdue:
            machine.overdue = False
            self.reindex(machine)
        if stale:
            # Overtaken by an answer to a direct call, which told more. It is no copy, so its lease may go on.
            if not machine.synced:
                return None
            machine.answered_at = self.heard_at = now
            # No starts, but halts: an answer that renews a lease always names what has to go.
            return self.commands(machine, False, now) if acting else []
        known = machine.sequence_number >= 0
        self._newer(machine, report, now)
        if not machine.synced:
            if machine.first_at is None:
                machine.first_at = now
            machine.relearn |= not known and report.token == self.term
            self._sync(machine, report, follows or not machine.relearn, now)
        else:
            # One that does not follow is no proof of the contrary: reports cross with direct answers, and a worker
            # that was led here comes from elsewhere. Found on a measured day: a sixth of the machines, and after a
            # takeover half, stood aside for a report interval each time.
            reachable = follows or (machine.reachable and now - machine.proved_at <= self.unreachable_after_s)
            if reachable != machine.reachable:
                machine.reachable = reachable
                self.reindex(machine)
        if follows:
            machine.proved_at = now
        self.heard_at = now
        if not machine.synced and machine.first_at is not None and now - machine.first_at > self.unreachable_after_s:
            # Its reports arrive, our answers do not. Unanswered, its lease can run out, which is a proof.
            self._reconcile(machine, report, now, True)
            return None
        machine.answered_at = now
        self._reconcile(machine, report, now, True)
        return self.commands(machine, fresh, now) if acting else []

    def on_answer(self, report: M.Report, now: float) -> None:
        """A worker's state in its answer to a direct call. It renews no lease, and since it may be older than the
        answer to a report in flight, what it lacks may yet be started: absence proves less than in a report."""
        if report.token > self.term or (report.session, report.sequence_number) <= self.tombstones.get(
            report.machine, (0, 0)
        ):
            return
        machine = self.machine(report.machine, report.machine_type, report.zone, report.spot, now)
        if (report.session, report.sequence_number) <= (machine.session, machine.sequence_number):
            return
        if machine.lost and report.session == machine.session:
            machine.sequence_number = report.sequence_number
            return
        if machine.session and report.session > machine.session:
            # Its lease ran out and yet it hears us: it does not reach us, so work on it would die with each lease.
            machine.overdue = True
        self._newer(machine, report, now)
        if machine.seen_at == float("-inf"):
            machine.seen_at = now
        if report.token == self.term:
            self._sync(machine, report, True, now)
            machine.reachable = True
            machine.proved_at = now
            self.reindex(machine)
        if machine.answered_at is None:
            machine.answered_at = now
        self._reconcile(machine, report, now, False)

    def _newer(self, machine: Machine, report: M.Report, now: float) -> None:
        """Session, serial and notice of a message that is newer than all before."""
        machine.addr = report.addr or machine.addr
        if report.session > machine.session:
            if machine.session:
                # Its images stay: seen on a measured day, work that came back to such machines began at once.
                self._release_all(machine, now, "worker's lease ran out")
                machine.relearn = True
            machine.reachable = False
            self.reindex(machine)
            machine.session = report.session
            if machine.synced:
                # A session has a whole lease from its beginning, which was before now, whether or not a report of it
                # was ever answered. Found on a day of our own (ran_twice): a machine that reached nobody answered
                # direct calls in its second session, and was taken for lost by the lease of its first.
                machine.answered_at = now
            machine.lost = False
            machine.report_sequence_number = -1
        machine.sequence_number = report.sequence_number
        if report.evict_in_s is not None:
            machine.evict_at = now + report.evict_in_s
            self.evicting[machine.name] = machine
            self.reindex(machine)

    def _sync(self, machine: Machine, report: M.Report, reachable: bool, now: float) -> None:
        if report.token != self.term or machine.synced:
            return
        machine.synced = True
        machine.first_at = None
        machine.reachable = reachable
        machine.answered_at = now  # from now on it may be given work, and its session may have begun just now
        if reachable:
            machine.proved_at = now
        if machine.rostered or machine.name in self.unconfirmed:
            machine.rostered = True
        self._confirm(machine.name)
        self.machines_with_pending_commands[machine.name] = machine
        if not machine.rostered:
            self.to_roster[machine.name] = machine
        self.reindex(machine)
        self.wake_placing = True

    def _reconcile(self, machine: Machine, report: M.Report, now: float, proper: bool) -> None:
        """Take over what the worker says of its tasks; `proper`: in a report, not in a direct answer."""
        attempts = machine.attempts
        seen = 0
        for item in report.tasks:
            attempt = attempts.get((item.task_id, item.attempt_number))
            if attempt is None:
                try:
                    job_id, index = item.split()
                except ValueError as error:
                    # Guards against one damaged entry hiding the machine's other tasks.
                    log.error("report of %s: %s", machine.name, error)
                    continue
                attempt = Attempt(job_id, index, item.attempt_number, machine, None, now)
                if attempt.task_id != item.task_id:
                    log.error("report of %s: task %s", machine.name, item.task_id[:80])
                    continue
                self._enter(attempt)
                job = self.jobs.get(job_id)
                if item.phase != "exited":
                    if job is not None:
                        self._adopt(attempt, job)
                    else:
                        attempt.stop = True
                        self.machines_with_pending_commands[machine.name] = machine
            elif attempt.phase == item.phase and attempt.confirmed:
                seen += 1
                continue
            seen += 1
            if not attempt.confirmed:
                attempt.confirmed = True
                if attempt.stop:
                    self.machines_with_pending_commands[machine.name] = machine
            if attempt.exited:
                continue
            if item.phase == "exited":
                self._exited(attempt, item, now)
                continue
            attempt.phase = item.phase
            if item.phase == "waiting" and attempt.spec is not None:
                self._hold(machine, attempt.spec)  # it has its image, and waits for the rest of its group
            if item.phase == "running" and attempt.running_since is None:
                attempt.running_since = now
                log.debug(
                    "runs %s on %s, %.2f s after it was bound", attempt.task_id, machine.name, now - attempt.created
                )
                if attempt.spec is not None:
                    self._hold(machine, attempt.spec)
                    self.dirty.add(attempt.job_id)
        if seen == len(attempts):
            return
        names = {(item.task_id, item.attempt_number) for item in report.tasks}
        for attempt in [a for k, a in attempts.items() if k not in names]:
            if attempt.unanswered_starts and not attempt.confirmed:
                continue  # its direct start may still be executed, so its absence proves nothing
            if attempt.confirmed or (proper and (attempt.exited or attempt.stop)):
                # Cleared, vanished, or never started and no longer wanted: this newer report proves it.
                self._leave(attempt)
                self._unbind(attempt, now)

    def _exited(self, attempt: Attempt, item: M.TaskReport, now: float) -> None:
        self._count_unknown(attempt, -1)
        attempt.exited = True
        attempt.phase = "exited"
        job = self.jobs.get(attempt.job_id)
        cause = item.exit_cause or "unknown"
        machine = attempt.machine
        if cause == "done":
            if job is not None and 0 <= attempt.index < job.spec.shards and not job.spec.endless:
                # The tasks of a group complete together, also those whose machines die before they tell.
                for index in range(job.spec.shards) if job.spec.whole else (attempt.index,):
                    if job.done.add(index):
                        job.dirty_parts.add(index // C.PART_SHARDS)
                        self.dirty.add(attempt.job_id)
                self._accuse(job, job.failures.success(machine.name))
            else:
                attempt.clearable = True
            # Another attempt of the same task would be wasted: the result is there.
            other = job.bound.get(attempt.index) if job is not None else None
            if other is not None and other is not attempt:
                other.stop = True
                self.machines_with_pending_commands[other.machine.name] = other.machine
            self._unbind(attempt, now, requeue=job is not None and job.spec.endless)
            return
        attempt.clearable = True
        if attempt.start_sent:
            attempt.clear_after = now + C.REPEAT_S
        self._unbind(attempt, now)
        if job is None:
            return
        if cause == "halted":
            job.note(
                f"task {attempt.index}: stopped{', saved' if item.saved else ''}"
                f" ({attempt.stop_reason or 'by an earlier leader'})"
            )
            return
        if cause in (M.PEERS, M.ALONE):
            # Another task of its group is gone or never came: the fault of neither this machine nor the job.
            job.note(f"task {attempt.index}: {cause}, its group is started anew")
            return
        job.note(f"task {attempt.index}: {cause} on {machine.name}")
        job.avoid[machine.name] = now + C.HOST_AVOID_S
        if cause == "error":
            self._failed(job, machine, now)

    def _failed(self, job: Job, machine: Machine, now: float) -> None:
        """Guards against jobs that fail wherever they run: their failures must not cost machines their good name."""
        failures = job.failures
        if job.spec.endless:
            for replica in job.bound.values():
                if replica.running_since is not None and now - replica.running_since >= C.REPLICA_PROOF_S:
                    self._accuse(job, failures.success(replica.machine.name))
                    break
        self._accuse(job, failures.failed(machine.name, now))
        if failures.suspect(len(job.bound)):
            # The other machines are not to blame: avoiding them all would leave it waiting beside free room.
            job.avoid = {machine.name: job.avoid[machine.name]}
            wait_s = max(0.0, failures.next_trial_at - now)
            job.note(f"failed on all {len(failures.machines)} machines tried; next try in {wait_s:.0f} s")

    def _accuse(self, job: Job, names: set[str]) -> None:
        """The job failed on these machines and succeeded on another. A machine accused by several jobs is faulty."""
        for name in names:
            machine = self.machines.get(name)
            if machine is None:
                continue
            machine.accused_by.add(job.spec.job_id)
            if len(machine.accused_by) >= C.HOST_ERRORS_SUSPECT and not machine.faulty:
                log.info("%s is faulty: %s failed there and succeeded elsewhere", name, sorted(machine.accused_by))
                machine.faulty = True
                self.reindex(machine)

    def unrecorded(self, job_id: str) -> list[Attempt]:
        """Exited attempts whose result the next write of the record will hold."""
        return [a for a in self.by_job.get(job_id, ()) if a.exited and not a.clearable]

    def commands(self, machine: Machine, fresh: bool, now: float) -> list[dict[str, Any]]:
        """The difference between what is wanted on a machine and what its worker reported."""
        out = []
        for attempt in machine.attempts.values():
            if attempt.exited:
                # Only once no older leader can order a start any more: a repeated start after
                # `clear` would run the task again.
                if (
                    attempt.clearable
                    and machine.synced
                    and not attempt.unanswered_starts
                    and now >= attempt.clear_after
                ):
                    out.append(M.clear_command(attempt.task_id, attempt.attempt_number))
            elif attempt.stop:
                if attempt.unanswered_starts and not attempt.confirmed and machine.synced:
                    # Get it onto the worker first: a late direct start then finds the attempt ended
                    # there, and has no effect.
                    out.append(M.start_command(attempt.task_id, attempt.attempt_number))
                    out.append(M.stop_command(attempt.task_id, attempt.attempt_number, 0.0))
                elif attempt.confirmed and (attempt.phase != "saving" or attempt.wind_down == 0):
                    out.append(M.stop_command(attempt.task_id, attempt.attempt_number, attempt.wind_down))
            elif (
                fresh
                and not attempt.confirmed
                and attempt.spec is not None
                and machine.synced
                and attempt.job_id in self.jobs
            ):
                out.append(M.start_command(attempt.task_id, attempt.attempt_number))
        return out

    # --- direct orders ---

    def has_direct_commands(self, machine: Machine, fresh: bool) -> bool:
        return any(self._direct(a, fresh) for a in machine.attempts.values())

    def _direct(self, attempt: Attempt, fresh: bool) -> bool:
        if attempt.exited:
            return False
        if attempt.stop:
            return attempt.confirmed and not attempt.stop_sent and attempt.phase != "saving"
        return (
            fresh
            and not attempt.confirmed
            and not attempt.start_sent
            and attempt.spec is not None
            and attempt.job_id in self.jobs
        )

    def take_direct_commands(self, machine: Machine, fresh: bool) -> tuple[list[dict[str, Any]], list[Attempt]]:
        """Orders not sent yet, for one direct call; its starts are loose until it is answered."""
        commands, started = [], []
        for attempt in machine.attempts.values():
            if not self._direct(attempt, fresh):
                continue
            if attempt.stop:
                attempt.stop_sent = True
                commands.append(M.stop_command(attempt.task_id, attempt.attempt_number, attempt.wind_down))
            else:
                attempt.start_sent = True
                attempt.unanswered_starts += 1
                started.append(attempt)
                commands.append(M.start_command(attempt.task_id, attempt.attempt_number))
        return commands, started

    def direct_commands_answered(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            attempt.unanswered_starts -= 1

    # --- stopping ---

    def stop(self, attempt: Attempt, reason: str, hurry: bool = False) -> None:
        """Stop a task to make room or to drain; it saves first unless its room is needed at once. The tasks of a group
        are stopped together."""
        if attempt.stop or attempt.exited:
            return
        group = self.groups.get(attempt.job_id)
        if group is not None and group.bound.get(attempt.index) is attempt:
            groups.stop(self, group, reason, hurry)
            return
        self.halt(attempt, reason, hurry)

    def halt(self, attempt: Attempt, reason: str, hurry: bool, wait_s: float = 0.0) -> None:
        """One task, whatever becomes of the others; `wait_s` is what it may need on top of its saving."""
        if attempt.stop or attempt.exited:
            return
        attempt.stop = True
        attempt.stop_reason = reason
        self.machines_with_pending_commands[attempt.machine.name] = attempt.machine
        spec = attempt.spec
        if spec is not None and spec.snapshot_s > 0 and not hurry:
            attempt.wind_down = spec.snapshot_cost_s + 1.0 + wait_s
