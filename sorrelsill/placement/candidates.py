"""Which machine a single task goes to: the best fit among a sample of those that may take it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from sorrelsill import constants

if TYPE_CHECKING:
    from sorrelsill.jobs import JobSpec
    from sorrelsill.placement.aims import Aims
    from sorrelsill.placement.group_room import GroupRoom
    from sorrelsill.placement.reservations import Reservations
    from sorrelsill.workers import ClusterState, Job, Machine

_FETCH_SHARED = 0.5  # ratio; of the weight of a missing image, where another task's fetch brings it


class CandidatePool:
    """Machines that may take a job's tasks, sifted as they are looked at: those with its image before the others."""

    __slots__ = ("current", "groups", "replicas")

    def __init__(self, cluster: ClusterState, spec: JobSpec) -> None:
        # Nothing is asked of the machines here: with hundreds of them, those that are looked at are few.
        self.groups = (
            list(cluster.holders.get(spec.image, {}).values()),
            list((cluster.free if spec.cpus > 0 else cluster.ready).values()),
        )
        self.replicas: dict[str, int] | None = None  # machine -> replicas there, of a job that is to be spread out
        self.current: Machine | None = None  # the last one chosen; its image serves all tasks that still fit


class MachineChooser:
    """Best fit for one task at a time."""

    def __init__(
        self,
        aims: Aims,
        reservations: Reservations,
        group_room: GroupRoom,
        rng: random.Random,
        sample: int,
        hurried: bool,
    ) -> None:
        self._aims = aims
        self._reservations = reservations
        self._group_room = group_room
        self._rng = rng
        self._sample = sample
        self._hurried = hurried  # time counts, not money: work that may use spot machines runs there last

    def choose(self, job: Job, pool: CandidatePool, now: float) -> Machine | None:
        """Best fit among a sample, first of the machines with the image; what no longer fits is sifted out. Further
        tasks go where the last one went as long as they fit, since one fetch serves them all."""
        if pool.replicas is None and self._spreads(job):
            pool.replicas = {}
            for attempt in job.bound.values():
                pool.replicas[attempt.machine.name] = pool.replicas.get(attempt.machine.name, 0) + 1
        replicas = pool.replicas
        if replicas is None and pool.current is not None and self.may_take(job, pool.current, now):
            return pool.current
        for group in pool.groups:
            while group:
                fitting = self._sift(job, group, now)
                if not fitting:
                    continue
                best = min(fitting, key=lambda machine: self._score(job, machine, replicas))
                if replicas is not None:
                    replicas[best.name] = replicas.get(best.name, 0) + 1
                pool.current = best
                return best
        return None

    def _sift(self, job: Job, group: list[Machine], now: float) -> list[Machine]:
        """Those of a sample that may take a task; the others of the sample leave the group."""
        picked = self._rng.sample(range(len(group)), min(self._sample, len(group)))
        fitting = []
        for at in sorted(picked, reverse=True):
            if self.may_take(job, group[at], now):
                fitting.append(group[at])
            else:
                group[at] = group[-1]
                group.pop()
        return fitting

    def may_take(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether a task of the job may start on the machine now."""
        spec = job.spec
        if not machine.room_for(spec) or not machine.allows(spec) or not machine.usable():
            return False
        if spec.one_zone and any(n > 0 and zone != machine.zone for zone, n in job.zones.items()):
            return False
        if spec.scatter and job.zones.get(machine.zone, 0) + 1 > spec.zone_limit:
            return False
        # Without the reservation small tasks take what is freed piece by piece, and more is stopped for nothing.
        return self._reservations.open_to(job, machine, now) and self._group_room.leaves(job, machine, now)

    def _spreads(self, job: Job) -> bool:
        """Replicas that should start within seconds go to many machines: each then holds the image for the next ones,
        and one that fails takes few along. They fetch side by side, so it takes no longer than on one machine."""
        return job.spec.endless and self._aims.should_start_at_once(job.spec.workload)

    def _score(self, job: Job, machine: Machine, replicas: dict[str, int] | None) -> float:
        """Lower is better: the image is there, the machine is left fuller, the zones stay even."""
        spec = job.spec
        score = (machine.cap_cpus - machine.cpus - spec.cpus) / max(machine.cap_cpus, 1e-9)
        if spec.image not in machine.images:
            # Its own replicas' fetch is no reason to join them, or a new image would never reach more than one machine.
            joins = spec.image in machine.fetching and not (replicas and replicas.get(machine.name))
            score += constants.FETCH_WEIGHT * (_FETCH_SHARED if joins else 1.0)
        if replicas is not None:
            score += constants.SPREAD_WEIGHT * replicas.get(machine.name, 0)
        # Money asks for spot machines first, which leaves the ordinary ones to work that needs them. Where only time
        # counts, a task lost with its machine makes its whole job late, so what is paid for anyway is used first.
        if spec.spot and machine.spot == self._hurried:
            score += constants.ORDINARY_WEIGHT
        return score + constants.ZONE_WEIGHT * job.zones.get(machine.zone, 0) / spec.shards
