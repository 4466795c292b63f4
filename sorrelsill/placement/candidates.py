"""Selects the machine for a single task: the best fit among a random sample of feasible machines."""

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

_SHARED_FETCH_FACTOR = 0.5  # ratio; part of FETCH_WEIGHT that counts if another task's fetch is shared


class _MachineSampler:
    """Draws random samples of machines until one contains a feasible machine. Infeasible machines are not considered
    again. After `SAMPLES_BEFORE_LISTING` failed samples the remaining machines are listed and filtered, so a feasible
    machine is always found if there is one."""

    __slots__ = ("_failed_samples", "_image", "_machines", "_rejected", "_remaining")

    def __init__(self, machines: MachineSet | MachineUnion, image: str | None = None) -> None:
        self._machines = machines  # a live set: it changes while the sampler is in use
        self._image = image  # if set, only machines that hold this image
        self._rejected: set[str] = set()
        self._remaining: list[Machine] | None = None
        self._failed_samples = 0

    def feasible(self, rng: random.Random, sample: int, is_feasible: Callable[[Machine], bool]) -> list[Machine]:
        """Draw samples until one contains feasible machines, and return these; empty if no machine is feasible."""
        while self._remaining is None:
            found = self._draw_sample(rng, sample, is_feasible)
            if found:
                return found
            self._failed_samples += 1
            if self._failed_samples >= constants.SAMPLES_BEFORE_LISTING or len(self._rejected) >= len(self._machines):
                self._remaining = [machine for machine in self._machines if machine.name not in self._rejected]
        while self._remaining:
            found = self._filter_remaining(self._remaining, rng, sample, is_feasible)
            if found:
                return found
        return []

    def _draw_sample(self, rng: random.Random, sample: int, is_feasible: Callable[[Machine], bool]) -> list[Machine]:
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
        """Return the feasible machines in a sample of `remaining`; remove the infeasible ones from `remaining`."""
        found = []
        for position in sorted(rng.sample(range(len(remaining)), min(sample, len(remaining))), reverse=True):
            machine = remaining[position]
            if self._holds_image(machine) and is_feasible(machine):
                found.append(machine)
            else:
                remaining[position] = remaining[-1]
                remaining.pop()
        return found

    def _holds_image(self, machine: Machine) -> bool:
        return self._image is None or self._image in machine.images


class CandidatePool:
    """Machines that may take a job's tasks; those that hold its image are sampled first. As long as samples contain a
    feasible machine, the list of all machines is neither iterated nor copied."""

    __slots__ = ("last_chosen", "replicas_by_machine", "samplers")

    def __init__(self, cluster: ClusterState, spec: JobSpec) -> None:
        machines_with_room = cluster.index.with_room(spec)
        machines_with_image = cluster.index.machines_with_image(spec.image)
        # Sample the smaller set: if all machines hold the image, most of them may be full.
        holder_sampler = (
            _MachineSampler(machines_with_image)
            if len(machines_with_image) <= len(machines_with_room)
            else _MachineSampler(machines_with_room, spec.image)
        )
        self.samplers = (holder_sampler, _MachineSampler(machines_with_room))
        # machine -> replicas on it; set only for jobs whose replicas are spread
        self.replicas_by_machine: dict[str, int] | None = None
        self.last_chosen: Machine | None = None  # reused while tasks fit: one image fetch serves them all


class MachineChooser:
    """Chooses the best-fitting machine for one task at a time."""

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
        # If set, spot machines are the last choice for tasks that may use them.
        self._optimise_latency = optimise_latency

    def choose(self, job: Job, pool: CandidatePool, now: float) -> Machine | None:
        """Return the best-fitting feasible machine of a sample, or None. Machines that hold the image are tried first.
        Unless replicas are spread, further tasks go to the last chosen machine while they fit: one image fetch serves
        them all."""
        if pool.replicas_by_machine is None and self._spreads(job):
            pool.replicas_by_machine = {}
            for attempt in job.bound.values():
                pool.replicas_by_machine[attempt.machine.name] = (
                    pool.replicas_by_machine.get(attempt.machine.name, 0) + 1
                )
        replicas_by_machine = pool.replicas_by_machine
        if (
            replicas_by_machine is None
            and pool.last_chosen is not None
            and self.is_feasible(job, pool.last_chosen, now)
        ):
            return pool.last_chosen
        for sampler in pool.samplers:
            feasible = sampler.feasible(self._rng, self._sample, lambda machine: self.is_feasible(job, machine, now))
            if feasible:
                best = min(feasible, key=lambda machine: self._score(job, machine, replicas_by_machine))
                if replicas_by_machine is not None:
                    replicas_by_machine[best.name] = replicas_by_machine.get(best.name, 0) + 1
                pool.last_chosen = best
                return best
        return None

    def is_feasible(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether a task of the job may start on the machine now."""
        spec = job.spec
        if not machine.has_room_for(spec) or not machine.meets_constraints_of(spec) or not machine.usable:
            return False
        if not spec.zone_allows_another_task(machine.zone, job.zones):
            return False
        # Without reservations, small tasks of other jobs would take the room that preemption frees, and the victims
        # would be evicted in vain.
        return self._reservations.admits(job, machine, now) and self._gang_headroom.permits(job, machine, now)

    def _spreads(self, job: Job) -> bool:
        """Return whether the job's replicas are spread over many machines, as for latency-sensitive services. Each of
        these machines then holds the image for later replicas, and a machine failure affects few replicas. The machines
        fetch the image concurrently, so this takes no longer than a fetch on one machine."""
        return job.spec.is_service and self._objectives.is_latency_sensitive(job.spec.job_class)

    def _score(self, job: Job, machine: Machine, replicas_by_machine: dict[str, int] | None) -> float:
        """Score a machine; lower is better. Prefers machines that hold the image, have few CPUs left over and keep the
        job balanced over the zones."""
        spec = job.spec
        score = (machine.capacity_cpus - machine.cpus - spec.cpus) / max(machine.capacity_cpus, 1e-9)
        if spec.image not in machine.images:
            # A fetch by the job's own replicas does not count: else a new image would never reach a second machine.
            joins_fetch = spec.image in machine.images_being_fetched and not (
                replicas_by_machine and replicas_by_machine.get(machine.name)
            )
            score += constants.FETCH_WEIGHT * (_SHARED_FETCH_FACTOR if joins_fetch else 1.0)
        if replicas_by_machine is not None:
            score += constants.SPREAD_WEIGHT * replicas_by_machine.get(machine.name, 0)
        # When optimising for cost, spot machines are preferred: on-demand machines stay free for tasks that need them.
        # When optimising for latency, on-demand machines are preferred, as they are paid for anyway and a task lost
        # with a reclaimed spot machine delays its whole job.
        if spec.spot_allowed and machine.spot == self._optimise_latency:
            score += constants.SPOT_MISMATCH_WEIGHT
        return score + constants.ZONE_BALANCE_WEIGHT * job.zones.get(machine.zone, 0) / spec.task_count
