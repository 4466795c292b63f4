"""The state that a controller reports to operators: the response of `GET /state`, with the field names of that
response.

Dashboards and scripts depend on these names: `standstill` is degraded mode, `unheard` counts machines that are not yet
confirmed after a failover, `unplaced` counts unschedulable tasks, `unaccounted` is usage not yet observed, `set_aside`
counts quarantined writes, `groups` are gangs, and `hosts` are machines."""

from __future__ import annotations

import msgspec


class TeamState(msgspec.Struct, frozen=True):
    """CPU and GPU usage of a team."""

    bound_cpus: float
    bound_gpus: float
    unaccounted_cpus: float  # may be in use in addition to the bound ones
    unaccounted_gpus: float
    limit_cpus: float  # 0 means no limit
    limit_gpus: float
    highest_bound_cpus: float  # maximum of `bound_cpus` in this term
    highest_bound_gpus: float


class PeerState(msgspec.Struct, frozen=True):
    """The status of another controller, for how many seconds it has had it, and the evidence for it."""

    status: str
    for_s: float | None  # None before its first message
    evidence: str


class ControllerState(msgspec.Struct, frozen=True):
    """A controller's view of the leadership, and figures that only the leader has.

    On followers `term`, `jobs`, `hosts`, `unheard`, `unplaced`, `groups`, `groups_waiting`, `starts_refused` and
    `teams` are None, and `set_aside` is 0. `peers` and `handovers_s` are None if failure detection is off."""

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
    refused: int  # transactions that the key-value store refused as malformed or too large
    set_aside: int
    starts_refused: int | None
    teams: dict[str, TeamState] | None
    counts: dict[str, int]  # by event
    peers: dict[str, PeerState] | None
    handovers_s: list[float] | None  # durations of the latest handovers to this controller
