"""What a controller tells operators, typed: the answer of `GET /state`. Its fields are the names of that answer.

They keep the words that dashboards and scripts know: `standstill` is degraded mode, `unheard` machines are those not
yet confirmed after a failover, `unplaced` tasks are unschedulable, `unaccounted` is use not yet observed, `set_aside`
counts quarantined writes, `groups` are gangs, and `hosts` are machines."""

from __future__ import annotations

import msgspec


class TeamState(msgspec.Struct, frozen=True):
    """What a team uses, in CPUs and GPUs."""

    bound_cpus: float
    bound_gpus: float
    unaccounted_cpus: float  # that may be in use besides
    unaccounted_gpus: float
    limit_cpus: float  # 0 means none
    limit_gpus: float
    highest_bound_cpus: float  # the most bound in this term
    highest_bound_gpus: float


class PeerState(msgspec.Struct, frozen=True):
    """How another controller is judged, for how many seconds, and by what evidence."""

    status: str
    for_s: float | None  # None as long as nothing was heard of it
    evidence: str


class ControllerState(msgspec.Struct, frozen=True):
    """A controller's part in leading, and what it counts while it leads (None for followers)."""

    label: str
    leader: str | None
    leading: bool
    term: int | None
    standstill: bool
    store_failing_s: float
    jobs: int | None
    hosts: int | None
    unheard: int | None
    unplaced: int | None
    groups: int | None
    groups_waiting: int | None
    refused: int  # by the key-value store
    set_aside: int
    starts_refused: int | None
    teams: dict[str, TeamState] | None
    counts: dict[str, int]  # of events
    peers: dict[str, PeerState] | None  # None without failure detection
    handovers_s: list[float] | None
