"""A machine as the leader knows it, and the attempts that are bound to it: the two refer to each other.

A machine has its incarnation, what is bound to it, and whether it may be given work; an attempt is followed from the
binding to the proof that it is gone."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar, overload

from sorrelsill.constants import AMOUNT_TOLERANCE
from sorrelsill.workers.messages import TaskPhase

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec

AttemptKey = tuple[str, int]  # task and attempt number; a plain tuple, as each heartbeat looks up many
_T = TypeVar("_T")


class _UsabilityField(Generic[_T]):
    """A field on which it depends whether a machine may be given work: a change of it updates the machine's `usable`,
    and through it the indices. Guards against a place in the code that changes the field and forgets the indices."""

    def __init__(self, default: _T) -> None:
        self.default = default

    def __set_name__(self, owner: type, name: str) -> None:
        self._name = name

    if TYPE_CHECKING:
        # There is none: a descriptor that only sets leaves reading to the instance, which costs no call. These fields
        # are read thousands of times a second, for each heartbeat.
        @overload
        def __get__(self, machine: None, owner: type) -> _UsabilityField[_T]: ...

        @overload
        def __get__(self, machine: Machine, owner: type) -> _T: ...

        def __get__(self, machine: Machine | None, owner: type) -> _T | _UsabilityField[_T]: ...

    def __set__(self, machine: Machine, value: _T) -> None:
        if machine.__dict__[self._name] != value:
            machine.__dict__[self._name] = value
            machine.update_usable()


def _ignore(machine: Machine) -> None:
    """For machines that stand in no index."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of one task on one machine."""

    job_id: str
    index: int
    attempt_number: int
    machine: Machine
    spec: JobSpec | None  # None: a task of a job that is over or unknown; it is only to be stopped
    created_at: float
    phase: TaskPhase = TaskPhase.SENT
    reported_phase: str = ""  # the worker's word for it: the same word again tells nothing new
    confirmed: bool = False  # the worker has named it
    verified: bool = False  # on its machine for certain, and not a stale copy out of a late heartbeat
    stop_requested: bool = False
    grace_period_s: float = 0.0
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
    def key(self) -> AttemptKey:
        """Its task and attempt number, which no other attempt shares."""
        return self.task_id, self.attempt_number


class Machine:
    """A machine and what is bound to it."""

    # It has shown our term as its highest fencing token: no older leader can command it.
    token_acknowledged = _UsabilityField(False)
    reachable = _UsabilityField(False)  # has shown in this incarnation that answers or commands reach it
    registered = _UsabilityField(False)  # its registry entry is committed
    lease_expired = _UsabilityField(False)  # its incarnation's lease has run out; only a later incarnation is believed
    # It may hang or be cut off: no new work before its next heartbeat.
    heartbeat_overdue = _UsabilityField(False)
    draining = _UsabilityField(False)
    returning = _UsabilityField(False)
    quarantined = _UsabilityField(False)
    # It holds tasks of jobs that are not known: how much room they take can't be told.
    holds_tasks_of_unknown_size = _UsabilityField(False)
    spot_reclaim_at: _UsabilityField[float | None] = _UsabilityField(None)  # when the cloud reclaims it

    def __init__(
        self, name: str, idle_since: float = 0.0, on_usable_changed: Callable[[Machine], None] = _ignore
    ) -> None:
        self.name = name
        self._on_usable_changed = on_usable_changed
        self.usable = False  # whether it may be given work
        self.__dict__.update(_DEFAULTS)
        self.machine_type = ""
        self.zone = ""
        self.spot = False
        self.addr = ""
        self.incarnation = 0
        self.sequence_number = -1
        # Of the last heartbeat; answers to direct calls are numbered in the same sequence.
        self.heartbeat_sequence_number = -1
        self.has_sent_heartbeat = False  # in this term
        # When its last heartbeat came; before its first one in this term, when it was first met.
        self.last_seen_at = float("-inf")
        self.reachability_proved_at = float("-inf")  # when it last showed that answers or commands reach it
        # Our fencing token may be known to it from an earlier incarnation: showing it does not prove that it hears us.
        self.token_may_be_inherited = False
        # Receipt of the first heartbeat since its incarnation has to acknowledge our token.
        self.unacknowledged_since: float | None = None
        self.lease_renewed_at: float | None = None  # receipt of the last heartbeat that we answered
        # Its attempts are on it for certain: it named them with our term as its highest fencing token.
        self.attempts_verified = False
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.bound_count = 0  # attempts that hold room on it
        self.unknown_tasks = 0  # tasks on it of jobs that are over or unknown, not yet gone
        self.cpus = self.gpus = self.memory_gb = 0.0  # in use
        self.capacity_cpus = self.capacity_gpus = self.capacity_memory_gb = self.cache_gb = 0.0
        self.images: OrderedDict[str, float] = OrderedDict()
        self.fetching: set[str] = set()  # images that tasks on it wait for
        self.idle_since = idle_since
        self.blamed_by_jobs: set[str] = set()  # jobs that failed here and succeeded elsewhere

    def update_usable(self) -> None:
        """Work out anew whether the machine may be given work, and tell the indices of a change."""
        usable = (
            self.token_acknowledged
            and self.reachable
            and self.registered
            and not self.lease_expired
            and not self.heartbeat_overdue
            and not self.draining
            and not self.returning
            and not self.quarantined
            and not self.holds_tasks_of_unknown_size
            and self.spot_reclaim_at is None
        )
        if usable != self.usable:
            self.usable = usable
            self._on_usable_changed(self)

    def has_room_for(self, spec: JobSpec) -> bool:
        """Whether one more task of the job fits now."""
        return (
            self.capacity_cpus - self.cpus + AMOUNT_TOLERANCE >= spec.cpus
            and self.capacity_memory_gb - self.memory_gb + AMOUNT_TOLERANCE >= spec.memory_gb
            and self.capacity_gpus - self.gpus + AMOUNT_TOLERANCE >= spec.gpus
        )

    def large_enough_for(self, spec: JobSpec) -> bool:
        """Whether a task would fit if the machine were empty."""
        return (
            self.capacity_cpus + AMOUNT_TOLERANCE >= spec.cpus
            and self.capacity_memory_gb + AMOUNT_TOLERANCE >= spec.memory_gb
            and self.capacity_gpus + AMOUNT_TOLERANCE >= spec.gpus
        )

    def allows(self, spec: JobSpec) -> bool:
        """Type, zone and kind as the job demands; the worker checks none of these."""
        return (
            (spec.machine_types is None or self.machine_type in spec.machine_types)
            and (spec.zone is None or self.zone == spec.zone)
            and (spec.spot_allowed or not self.spot)
        )

    def record_cached_image(self, image: str, size: float) -> list[str]:
        """Guess the worker's cache: the most recently used images that fit. Returns those evicted."""
        self.fetching.discard(image)
        self.images[image] = size
        self.images.move_to_end(image)
        evicted = []
        while sum(self.images.values()) > self.cache_gb and len(self.images) > 1:
            evicted.append(self.images.popitem(last=False)[0])
        return evicted


_DEFAULTS = {name: value.default for name, value in vars(Machine).items() if isinstance(value, _UsabilityField)}
