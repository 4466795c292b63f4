"""Which machine a single task goes to: the best fit among a sample of those that may take it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from sorrelsill import constants

if TYPE_CHECKING:
    from sorrelsill.model import JobSpec
    from sorrelsill.placement.gang_headroom import GangHeadroom
    from sorrelsill.placement.objectives import ServiceLevelObjectives
    from sorrelsill.placement.reservations import Reservations
    from sorrelsill.workers import ClusterState, Job, Machine, MachineSet, MachineUnion

_FETCH_SHARED = 0.5  # ratio; of the weight of a missing image, where another task's fetch brings it


class _MachineSampler:
    """Random samples of machines until one is feasible. What was not feasible is not sampled again; after some failed
    samples the remaining ones are listed and filtered, so that a feasible machine is always found."""

    __slots__ = ("_failed_draws", "_image", "_machines", "_rejected", "_remaining")

    def __init__(self, machines: MachineSet | MachineUnion, image: str | None = None) -> None:
        self._machines = machines  # as they are at any time
        self._image = image  # only machines that hold it
        self._rejected: set[str] = set()
        self._remaining: list[Machine] | None = None
        self._failed_draws = 0

    def feasible(self, rng: random.Random, sample: int, is_feasible: Callable[[Machine], bool]) -> list[Machine]:
        """The feasible machines of a sample that has one at least; none if no machine is feasible."""
        while self._remaining is None:
            found = self._draw(rng, sample, is_feasible)
            if found:
                return found
            self._failed_draws += 1
            if self._failed_draws >= constants.DRAWS_BEFORE_LISTING or len(self._rejected) >= len(self._machines):
                self._remaining = [machine for machine in self._machines if machine.name not in self._rejected]
        while self._remaining:
            found = self._filter_remaining(self._remaining, rng, sample, is_feasible)
            if found:
                return found
        return []

    def _draw(self, rng: random.Random, sample: int, is_feasible: Callable[[Machine], bool]) -> list[Machine]:
        found = []
        count = len(self._machines)
        for machine in self._machines.at_positions(sorted(rng.sample(range(count), min(sample, count)))):
            if machine.name in self._rejected:
                continue
            if self._holds_image(machine) and is_feasible(machine):
                found.append(machine)
            else:
                self._rejected.add(machine.name)
        return found

    def _filter_remaining(
        self, remaining: list[Machine], rng: random.Random, sample: int, is_feasible: Callable[[Machine], bool]
    ) -> list[Machine]:
        """The feasible machines of a sample of the remaining ones; the others of the sample are removed from these."""
        found = []
        for at in sorted(rng.sample(range(len(remaining)), min(sample, len(remaining))), reverse=True):
            machine = remaining[at]
            if self._holds_image(machine) and is_feasible(machine):
                found.append(machine)
            else:
                remaining[at] = remaining[-1]
                remaining.pop()
        return found

    def _holds_image(self, machine: Machine) -> bool:
        return self._image is None or self._image in machine.images


class CandidatePool:
    """Machines that may take a job's tasks, those with its image first; the fleet is neither walked nor copied while
    a sample has a feasible machine."""

    __slots__ = ("current", "draws", "replicas")

    def __init__(self, cluster: ClusterState, spec: JobSpec) -> None:
        roomy = cluster.index.with_room(spec)
        holders = cluster.index.holders(spec.image)
        # The smaller set is sampled: of an image that all machines hold, most holders may be full.
        warm = _MachineSampler(holders) if len(holders) <= len(roomy) else _MachineSampler(roomy, spec.image)
        self.draws = (warm, _MachineSampler(roomy))
        self.replicas: dict[str, int] | None = None  # machine -> replicas there, of a job that is to be spread out
        self.current: Machine | None = None  # the last one chosen; its image serves all tasks that still fit


class MachineChooser:
    """Best fit for one task at a time."""

    def __init__(
        self,
        objectives: ServiceLevelObjectives,
        reservations: Reservations,
        gang_headroom: GangHeadroom,
        rng: random.Random,
        sample: int,
        optimise_latency: bool,
    ) -> None:
        self._objectives = objectives
        self._reservations = reservations
        self._gang_headroom = gang_headroom
        self._rng = rng
        self._sample = sample
        self._optimise_latency = optimise_latency  # latency, not cost: work that may use spot machines runs there last

    def choose(self, job: Job, pool: CandidatePool, now: float) -> Machine | None:
        """Best fit among a sample, first of the machines with the image; what is no longer feasible is filtered out.
        Further tasks go where the last one went as long as they fit, since one fetch serves them all."""
        if pool.replicas is None and self._spreads(job):
            pool.replicas = {}
            for attempt in job.bound.values():
                pool.replicas[attempt.machine.name] = pool.replicas.get(attempt.machine.name, 0) + 1
        replicas = pool.replicas
        if replicas is None and pool.current is not None and self.is_feasible(job, pool.current, now):
            return pool.current
        for draw in pool.draws:
            feasible = draw.feasible(self._rng, self._sample, lambda machine: self.is_feasible(job, machine, now))
            if feasible:
                best = min(feasible, key=lambda machine: self._score(job, machine, replicas))
                if replicas is not None:
                    replicas[best.name] = replicas.get(best.name, 0) + 1
                pool.current = best
                return best
        return None

    def is_feasible(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether a task of the job may start on the machine now."""
        spec = job.spec
        if not machine.has_room_for(spec) or not machine.allows(spec) or not machine.usable:
            return False
        if not spec.may_add_in(machine.zone, job.zones):
            return False
        # Without the reservation small tasks take what is freed piece by piece, and victims are evicted for nothing.
        return self._reservations.admits(job, machine, now) and self._gang_headroom.permits(job, machine, now)

    def _spreads(self, job: Job) -> bool:
        """Replicas that should start within seconds go to many machines: each then holds the image for the next ones,
        and one that fails takes few along. They fetch concurrently, so it takes no longer than on one machine."""
        return job.spec.is_service and self._objectives.is_latency_sensitive(job.spec.job_class)

    def _score(self, job: Job, machine: Machine, replicas: dict[str, int] | None) -> float:
        """Lower is better: the image is there, the machine is left fuller, the zones stay even."""
        spec = job.spec
        score = (machine.capacity_cpus - machine.cpus - spec.cpus) / max(machine.capacity_cpus, 1e-9)
        if spec.image not in machine.images:
            # Its own replicas' fetch is no reason to join them, or a new image would never reach more than one machine.
            joins = spec.image in machine.fetching and not (replicas and replicas.get(machine.name))
            score += constants.FETCH_WEIGHT * (_FETCH_SHARED if joins else 1.0)
        if replicas is not None:
            score += constants.SPREAD_WEIGHT * replicas.get(machine.name, 0)
        # For cost spot machines go first, which leaves the on-demand ones to work that needs them. For latency a task
        # lost with its spot machine makes its whole job late, so on-demand machines, paid for anyway, go first.
        if spec.spot_allowed and machine.spot == self._optimise_latency:
            score += constants.SPOT_MISMATCH_WEIGHT
        return score + constants.ZONE_BALANCE_WEIGHT * job.zones.get(machine.zone, 0) / spec.task_count
