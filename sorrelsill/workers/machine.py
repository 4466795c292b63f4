"""The leader's view of a machine and of the attempts bound to it; one module, since the two refer to each other.

A `Machine` holds its incarnation, its bound attempts, and whether new tasks may be placed on it. An `Attempt` is
tracked from its binding until it is proved to be gone."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar, overload

from sorrelsill.constants import AMOUNT_TOLERANCE
from sorrelsill.workers.messages import TaskPhase

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec

AttemptKey = tuple[str, int]  # (task id, attempt number); a plain tuple for speed, since each heartbeat looks up many
_T = TypeVar("_T")


class _UsabilityField(Generic[_T]):
    """Descriptor for a field that determines whether new tasks may be placed on a machine.

    Assigning a different value recomputes the machine's `usable` and updates the indices, so no code can change such a
    field and leave the indices stale."""

    def __init__(self, default: _T) -> None:
        self.default = default

    def __set_name__(self, owner: type, name: str) -> None:
        self._name = name

    if TYPE_CHECKING:
        # For the type checker only. Without __get__, a read goes straight to the instance's __dict__ and costs no
        # function call; each heartbeat reads these fields, thousands of times a second.
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
    """Default callback, for machines that are in no index."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of one task on one machine."""

    job_id: str
    index: int
    attempt_number: int
    machine: Machine
    spec: JobSpec | None  # None if the job is unknown (the task can only be stopped) or the attempt was unbound
    created_at: float
    phase: TaskPhase = TaskPhase.SENT
    reported_phase: str = ""  # the phase as last reported by the worker, to skip repeated reports
    confirmed: bool = False  # the worker has reported it
    verified: bool = False  # certainly on its machine, not read from a stale, delayed heartbeat
    stop_requested: bool = False
    grace_period_s: float = 0.0
    running_since: float | None = None
    stop_reason: str = ""
    exited: bool = False
    start_sent: bool = False  # in a response to a heartbeat
    stop_sent: bool = False
    may_be_cleared: bool = False  # its exit has been processed, so the worker may be told to clear it
    task_id: str = ""

    def __post_init__(self) -> None:
        self.task_id = f"{self.job_id}/{self.index}"

    @property
    def key(self) -> AttemptKey:
        """The task id and attempt number, which identify the attempt uniquely."""
        return self.task_id, self.attempt_number


class Machine:
    """A machine, its state as last reported, and the attempts bound to it."""

    # The worker has reported our term as its highest fencing token, so it rejects commands of older leaders.
    token_acknowledged = _UsabilityField(False)
    reachable = _UsabilityField(False)  # proved in this incarnation that responses or commands reach it
    registered = _UsabilityField(False)  # its registry entry is committed
    lease_expired = _UsabilityField(False)  # its incarnation's lease has expired; only a later incarnation is accepted
    # The worker may hang or be partitioned: no new tasks before its next heartbeat.
    heartbeat_overdue = _UsabilityField(False)
    draining = _UsabilityField(False)
    returning = _UsabilityField(False)
    quarantined = _UsabilityField(False)
    # It runs tasks of unknown jobs, so its free capacity is unknown.
    holds_tasks_of_unknown_size = _UsabilityField(False)
    # When the cloud provider reclaims the spot instance; None without a reclaim notice.
    spot_reclaim_at: _UsabilityField[float | None] = _UsabilityField(None)

    def __init__(
        self, name: str, idle_since: float = 0.0, on_usable_changed: Callable[[Machine], None] = _ignore
    ) -> None:
        self.name = name
        self._on_usable_changed = on_usable_changed
        self.usable = False  # whether new tasks may be placed on it
        self.__dict__.update(_DEFAULTS)
        self.machine_type = self.zone = self.addr = ""
        self.spot = False
        self.incarnation = 0
        self.sequence_number = -1
        # Of the last heartbeat; responses to direct calls are numbered in the same sequence.
        self.heartbeat_sequence_number = -1
        self.reported_token = -1  # the highest fencing token that its worker has reported
        self.required_token = 0  # messages with a lower one may come from a worker that ended before the present one
        self.has_sent_heartbeat = False  # in this term
        # Time of its last heartbeat, or, before the first one of this term, when it first became known.
        self.last_seen_at = float("-inf")
        self.reachability_proved_at = float("-inf")  # when it last proved that responses or commands reach it
        # It may know our fencing token from an earlier incarnation; reporting it then does not prove that our messages
        # reach it.
        self.token_may_be_inherited = False
        # Receipt time of the first heartbeat while our fencing token was not acknowledged; None once it is.
        self.unacknowledged_since: float | None = None
        # Time from which its lease is counted: receipt time of the last heartbeat that we answered, or of a later
        # message that acknowledged our fencing token or began an incarnation; before any of these, of the first
        # response to a direct call. None if there was none of these.
        self.lease_renewed_at: float | None = None
        self.wake_up_sent = False  # in a direct call after its last heartbeat
        # Its attempts are certainly on it: it reported them with our term as its highest fencing token.
        self.attempts_verified = False
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.bound_count = 0  # attempts that have resources allocated on it
        self.unknown_tasks = 0  # tasks of unknown jobs that are still on it
        self.cpus = self.gpus = self.memory_gb = 0.0  # allocated
        self.capacity_cpus = self.capacity_gpus = self.capacity_memory_gb = self.cache_gb = 0.0
        self.images: OrderedDict[str, float] = OrderedDict()
        self.images_being_fetched: set[str] = set()  # for tasks on it
        self.idle_since = idle_since
        self.blamed_by_jobs: set[str] = set()  # jobs that failed here and succeeded on another machine

    def update_usable(self) -> None:
        """Recompute whether new tasks may be placed on the machine, and report a change to the indices."""
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
        """Whether one more task of the job fits into the free capacity."""
        return (
            self.capacity_cpus - self.cpus + AMOUNT_TOLERANCE >= spec.cpus
            and self.capacity_memory_gb - self.memory_gb + AMOUNT_TOLERANCE >= spec.memory_gb
            and self.capacity_gpus - self.gpus + AMOUNT_TOLERANCE >= spec.gpus
        )

    def large_enough_for(self, spec: JobSpec) -> bool:
        """Whether a task of the job would fit if the machine were empty."""
        return (
            self.capacity_cpus + AMOUNT_TOLERANCE >= spec.cpus
            and self.capacity_memory_gb + AMOUNT_TOLERANCE >= spec.memory_gb
            and self.capacity_gpus + AMOUNT_TOLERANCE >= spec.gpus
        )

    def meets_constraints_of(self, spec: JobSpec) -> bool:
        """Whether machine type, zone and spot status meet the job's constraints; the worker checks none of these."""
        return (
            (spec.machine_types is None or self.machine_type in spec.machine_types)
            and (spec.zone is None or self.zone == spec.zone)
            and (spec.spot_allowed or not self.spot)
        )

    def record_cached_image(self, image: str, size: float) -> list[str]:
        """Record a use of the image in the estimate of the worker's image cache, an LRU cache of `cache_gb`.

        Returns the images evicted from the estimate."""
        self.images_being_fetched.discard(image)
        self.images[image] = size
        self.images.move_to_end(image)
        evicted = []
        while sum(self.images.values()) > self.cache_gb and len(self.images) > 1:
            evicted.append(self.images.popitem(last=False)[0])
        return evicted


_DEFAULTS = {name: value.default for name, value in vars(Machine).items() if isinstance(value, _UsabilityField)}
