"""Rounds of placing: best fit among a few sampled machines, under a time budget.

Order of jobs: production first, then what nothing of which ran for too long, then what lies within its team's
guarantee, then by rank; inside these by marks missed, then the least remaining work. A round that runs out of
time is continued by the next one where it stopped."""

from __future__ import annotations

import enum
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from sorrelsill import constants
from sorrelsill.fleet import time_to_rent
from sorrelsill.jobs import JobSpec
from sorrelsill.placement import groups
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import Attempt, ClusterState, Job, Machine, group_loss

log = logging.getLogger(__name__)

_PROD = 0


@dataclass(slots=True)
class Unplaced:
    """A job with tasks that found no room; `limited` means that its team's limit stands in the way, `zone` is where
    a group that has to be in one zone lacks least."""

    job: Job
    count: int
    limited: bool = False
    zone: str | None = None


class _RoundEnd(enum.Enum):
    """Why no further task of a job was bound in a round."""

    ALL_BOUND = enum.auto()
    NO_ROOM = enum.auto()
    LIMITED = enum.auto()  # the team's limit stands in the way
    TRIAL_RUNS = enum.auto()  # a job that failed wherever it was tried waits for the outcome of its trial
    OUT_OF_TIME = enum.auto()


class _Pool:
    """Machines that may take a job's tasks, sifted as they are looked at: those with its image before the others."""

    __slots__ = ("current", "groups", "replicas")

    def __init__(self, warm: list[Machine], others: list[Machine]) -> None:
        self.groups = (warm, others)
        self.replicas: dict[str, int] | None = None  # machine -> replicas there, of a job that is to be spread out
        self.current: Machine | None = None  # the last one chosen; its image serves all tasks that still fit


class Placer:
    def __init__(
        self, teams: list[Team], objectives: list[Objective], rng: random.Random, sample: int, hurried: bool = False
    ) -> None:
        self._hurried = hurried  # time counts, not money: work that may use spot machines runs there last
        self._within: dict[str, list[float]] = {}  # class -> seconds after submission that its aims name
        self._start_within: dict[str, float] = {}  # class -> seconds within which its tasks should start
        self._times: dict[str, list[float]] = {}  # class -> multiples of the deadline that its aims name
        for aim in objectives:
            if aim.workload and aim.kind == "finished" and aim.within_s:
                self._within.setdefault(aim.workload, []).append(aim.within_s)
            if aim.workload and aim.kind == "wait" and aim.within_s:
                self._start_within[aim.workload] = aim.within_s
            if aim.workload and aim.kind == "deadline":
                self._times.setdefault(aim.workload, []).append(aim.times or 1.0)
        self._teams = {t.name: t for t in teams}
        self._rng = rng
        self._sample = sample
        self._ordered: tuple[float, int] = (float("-inf"), -1)  # when, and for which jobs, guarantees were shared out
        self._left: list[str] = []  # jobs that the last round did not get to
        self._claims: dict[str, list[float]] = {}  # job -> until when room made for one of its tasks is awaited
        self._reserved: dict[str, tuple[str, float]] = {}  # machine -> job that room is made for there, until when
        self._held: dict[str, tuple[str, int, float]] = {}  # machine -> group it fills up for, its rank, until when
        self._warm_until: dict[str, float] = {}  # job -> until when room on machines with its image is awaited
        self._barren: dict[tuple[object, ...], float] = {}  # kind of work -> until when no room is looked for
        self._spare = 0.0  # CPUs kept for groups ...
        self._spare_zone = ""  # ... in this zone ...
        self._room: dict[str, float] = {}  # ... of what is free on ordinary machines
        self.unplaced: dict[str, Unplaced] = {}
        self.guaranteed: set[str] = set()
        self._guests: set[str] = set()  # teams without a guarantee that have work on machines

    def reset(self) -> None:
        """A new term begins."""
        self._left.clear()
        self._ordered = (float("-inf"), -1)
        self._claims.clear()
        self._warm_until.clear()
        self._barren.clear()
        self._reserved.clear()
        self._held.clear()
        self.unplaced.clear()

    # --- order and shares ---

    def _find_guaranteed(self, cluster: ClusterState) -> set[str]:
        """Jobs that fit into their team's guarantee together with the team's earlier unfinished ones."""
        used: dict[str, tuple[float, float]] = {}
        inside = set()
        for job in sorted(cluster.jobs.values(), key=lambda j: j.submitted):
            team = self._teams.get(job.spec.team)
            if team is None:
                continue
            cpus, gpus = used.get(team.name, (0.0, 0.0))
            cpus += job.spec.cpus * job.spec.shards
            gpus += job.spec.gpus * job.spec.shards
            used[team.name] = cpus, gpus
            if cpus <= team.cpus + 1e-6 and gpus <= team.gpus + 1e-6:
                inside.add(job.spec.job_id)
        return inside

    def due(self, job: Job, now: float) -> tuple[int, float]:
        """The next moment that matters to the job's user and can still be met, after how many missed ones.
        A job that is late for good waits behind those that are not."""
        spec = job.spec
        marks = list(self._within.get(spec.workload, []))
        if spec.due_s is not None:
            marks += [spec.due_s * t for t in self._times.get(spec.workload, [1.0])]
        missed = 0
        for mark in sorted(marks):
            if job.submitted + mark >= now + spec.expected_s:
                return missed, job.submitted + mark
            missed += 1
        return missed, job.submitted

    def _order(self, cluster: ClusterState, now: float) -> list[str]:
        def key(job: Job) -> tuple[int, int, int, int, int, float, float]:
            spec = job.spec
            missed, due = self.due(job, now)
            # The least work first: by their marks alone, in a burst all jobs share what room there is and all miss.
            work = 0.0 if spec.endless else (spec.shards - job.done.count) * spec.cpus * spec.expected_s
            guaranteed = 0 if job.spec.job_id in self.guaranteed else 1
            aged = 0 if aged_out(job, now) else 1
            return (min(spec.rank, 1), aged, guaranteed, spec.rank, missed, work, due)

        return [j.spec.job_id for j in sorted((j for j in cluster.jobs.values() if j.waiting > 0), key=key)]

    def _under_limit(self, cluster: ClusterState, spec: JobSpec, count: int = 1) -> bool:
        team = self._teams.get(spec.team)
        if team is None:
            return False
        if not team.cpus_max and not team.gpus_max:
            return True
        unseen_cpus, unseen_gpus = cluster.unaccounted(spec.team)
        cpus = cluster.team_cpus.get(spec.team, 0.0) + unseen_cpus + spec.cpus * count
        gpus = cluster.team_gpus.get(spec.team, 0.0) + unseen_gpus + spec.gpus * count
        return (not team.cpus_max or cpus <= team.cpus_max + 1e-6) and (
            not team.gpus_max or gpus <= team.gpus_max + 1e-6
        )

    # --- a round ---

    def round(self, cluster: ClusterState, now: float, clock: Callable[[], float], budget: float) -> bool:
        """Place what fits. False if the budget ran out before all jobs were seen."""
        begun = clock()
        if not self._left:
            if now - self._ordered[0] >= constants.ORDER_EVERY_S or self._ordered[1] != cluster.version:
                self.guaranteed = self._find_guaranteed(cluster)
                self._ordered = (now, cluster.version)
            self._left = self._order(cluster, now)
            self._guests = {j.spec.team for j in cluster.jobs.values() if j.bound and self._is_guest(j.spec.team)}
            self.unplaced = {u: d for u, d in self.unplaced.items() if u in cluster.jobs}
            self._claims = {u: left for u, t in self._claims.items() if (left := [x for x in t if x > now])}
            self._reserved = {
                machine: (job_id, until)
                for machine, (job_id, until) in self._reserved.items()
                if until > now and (job := cluster.jobs.get(job_id)) is not None and job.waiting
            }
            self._held = {
                machine: held
                for machine, held in self._held.items()
                if held[2] > now and (job := cluster.jobs.get(held[0])) is not None and job.waiting
            }
            self._warm_until = {u: t for u, t in self._warm_until.items() if u in cluster.jobs}
        self._find_spare(cluster)
        machines = list(cluster.ready.values())
        full: set[tuple[object, ...]] = set()
        while self._left:
            job = cluster.jobs.get(self._left[0])
            if job is not None and job.waiting > 0:
                if not self._place_job(cluster, job, machines, full, now, lambda: clock() - begun > budget):
                    return False
            elif job is not None:
                self.unplaced.pop(job.spec.job_id, None)
            self._left.pop(0)
        return True

    def _place_job(
        self,
        cluster: ClusterState,
        job: Job,
        machines: list[Machine],
        full: set[tuple[object, ...]],
        now: float,
        late: Callable[[], bool],
    ) -> bool:
        spec = job.spec
        self.unplaced.pop(spec.job_id, None)
        if not cluster.settled(job) or job.failures.next_trial_at > now:
            return True
        if spec.whole:
            self._place_group(cluster, job, machines, full, now)
            return not late()
        end = self._start_tasks(cluster, job, machines, full, now, late)
        if end is _RoundEnd.OUT_OF_TIME:
            return False
        if end is not _RoundEnd.TRIAL_RUNS and job.waiting > 0:
            self._wait(cluster, job, machines, now, limited=end is _RoundEnd.LIMITED)
        return True

    def _start_tasks(
        self,
        cluster: ClusterState,
        job: Job,
        machines: list[Machine],
        full: set[tuple[object, ...]],
        now: float,
        late: Callable[[], bool],
    ) -> _RoundEnd:
        """Bind tasks of a job, one after the other, until something stands in the way."""
        spec = job.spec
        sign = (spec.machine_types, spec.zone, spec.cpus, spec.gpus, spec.memory, spec.spot)
        plain = not (spec.scatter or spec.one_zone or job.avoid)
        pool: _Pool | None = None
        while (index := job.next_task()) is not None:
            if late():
                return _RoundEnd.OUT_OF_TIME
            if job.trials_left() <= 0:
                return _RoundEnd.TRIAL_RUNS
            if not self._under_limit(cluster, spec):
                job.note(f"waiting: the limit of {spec.team} is reached")
                return _RoundEnd.LIMITED
            machine = None
            if not (plain and sign in full):
                if pool is None:
                    pool = self._pool(cluster, spec)
                machine = self._pick(job, pool, now)
            if machine is None:
                if plain:
                    full.add(sign)
                return _RoundEnd.NO_ROOM
            if self._slow_start(cluster, job, machine) and self._await_warm(cluster, job, machines, now):
                return _RoundEnd.NO_ROOM
            cluster.bind(job, index, machine, now)
            self._use_room(spec, machine)
        return _RoundEnd.ALL_BOUND

    def _use_room(self, spec: JobSpec, machine: Machine) -> None:
        """A task was bound: it takes of the room kept for groups, and of what was claimed for its job."""
        if not machine.spot and machine.zone in self._room:
            self._room[machine.zone] -= spec.cpus
        if self._reserved.get(machine.name, ("", 0.0))[0] == spec.job_id:
            del self._reserved[machine.name]
        if self._claims.get(spec.job_id):
            self._claims[spec.job_id].pop(0)

    def _wait(self, cluster: ClusterState, job: Job, machines: list[Machine], now: float, limited: bool) -> None:
        """Tasks of a job found no room: the fleet learns of it, and room is made where that is allowed."""
        if job.failures.suspect(len(job.bound)):
            return  # it fails wherever it is tried: nothing is rented or stopped for it
        self.unplaced[job.spec.job_id] = Unplaced(job, max(0, job.waiting - self._claimed(job, now)), limited)
        if limited:
            return
        job.note("waiting: no room on the machines it may use")
        self._make_room(cluster, job, machines, now)
        if aged_out(job, now):
            self._hold(cluster, job, now)

    def _place_group(
        self, cluster: ClusterState, job: Job, machines: list[Machine], full: set[tuple[object, ...]], now: float
    ) -> None:
        """All tasks at once, under one attempt number, or none: nothing is bound before all have their place."""
        spec = job.spec
        if job.bound or cluster.alive(spec.job_id):
            return  # what is left of the last start is ending; its places and its zone are not free before
        if not self._under_limit(cluster, spec, job.waiting):
            self.unplaced[spec.job_id] = Unplaced(job, job.waiting, True)
            job.note(f"waiting: the limit of {spec.team} is reached")
            return
        sign = ("group", spec.machine_types, spec.zone, spec.cpus, spec.gpus, spec.memory, spec.spot, spec.shards)
        mine = any(job_id == spec.job_id for job_id, _ in self._reserved.values())
        if sign in full and not mine and not self._holds(spec.job_id):
            self.unplaced[spec.job_id] = Unplaced(job, job.waiting, False, spec.zone)
            return
        room = [h for h in (cluster.free if spec.cpus > 0 else cluster.ready).values() if self._may(job, h, now)]
        zones = [z for z in cluster.catalog.zones if spec.zone in (None, z)]
        seatings = groups.seat(spec, room, zones)
        if seatings and not seatings[0].short:
            attempt_number = cluster.next_attempt_number()
            places = [s.machine for s in seatings[0].seats for _ in range(s.count)]
            for index, machine in enumerate(places):
                cluster.bind(job, index, machine, now, attempt_number)
                if not machine.spot and machine.zone in self._room:
                    self._room[machine.zone] -= spec.cpus
            log.debug(
                "group %s: %d tasks on %d machines in %s, %.2f s after submission, image %s",
                spec.job_id,
                spec.shards,
                len(seatings[0].seats),
                seatings[0].zone,
                now - job.submitted,
                "cold" if seatings[0].cold else "held",
            )
            self._release(spec.job_id)
            return
        full.add(sign)
        job.note("waiting: the whole group does not fit at once")
        if self._claimed(job, now):
            return  # room is being made
        if seatings and not self._make_room_group(cluster, job, seatings, machines, now):
            self._hold_group(job, seatings, machines, now)
        best = seatings[0] if seatings else None
        if not self._claimed(job, now):
            self.unplaced[spec.job_id] = Unplaced(
                job,
                best.short if best is not None else job.waiting,
                False,
                best.zone if best is not None else spec.zone,
            )

    def _find_spare(self, cluster: ClusterState) -> None:
        """Room that is kept for groups that should start within seconds, where money counts: other work that has no
        higher rank leaves it free. Where time counts there is headroom for all."""
        self._spare = 0.0 if self._hurried else cluster.group_spare(self._start_within)
        self._room = cluster.ordinary_room() if self._spare else {}
        self._spare_zone = max(sorted(self._room), key=lambda z: self._room[z], default="")

    def _spares(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether a task may go there without taking that room. What has waited too long may take it, or an array
        could wait for ever where the cloud has no more machines to give."""
        spec = job.spec
        return (
            not self._spare
            or machine.spot
            or spec.rank == _PROD
            or spec.whole
            or machine.zone != self._spare_zone
            or self._room[machine.zone] - spec.cpus >= self._spare
            or aged_out(job, now)
        )

    def _release(self, job_id: str) -> None:
        """The job has its places: what was kept for it is free for others."""
        self._claims.pop(job_id, None)
        self._reserved = {h: r for h, r in self._reserved.items() if r[0] != job_id}
        self._held = {h: r for h, r in self._held.items() if r[0] != job_id}

    def _holds(self, job_id: str) -> bool:
        return any(held[0] == job_id for held in self._held.values())

    def _make_room_group(
        self, cluster: ClusterState, job: Job, seatings: list[groups.Seating], machines: list[Machine], now: float
    ) -> bool:
        """Stop lesser work if that lets the whole group in; the machines are reserved until it is gone."""
        spec = job.spec
        if not any(machine.live for machine in machines):
            return False
        kind = ("group", spec.rank, spec.team, spec.job_id in self.guaranteed, spec.cpus, spec.shards, spec.spot)
        if self._barren.get(kind, float("-inf")) > now:
            return False
        may = [
            h
            for h in self._rng.sample(machines, min(len(machines), constants.PREEMPT_SAMPLE * constants.GROUP_SAMPLES))
            if h.live and h.usable() and h.allows(spec) and self._open_to(job, h, now)
        ]
        found = groups.room_for(
            spec, seatings, may, lambda h, more: self._victims(cluster, job, h, now, groups.capacity(h, spec) + more)
        )
        if found is None:
            self._barren[kind] = now + constants.BARREN_S
            return False
        seating, victims = found
        log.debug(
            "room for %s in %s: %s", spec.job_id, seating.zone, [f"{a.task_id} on {a.machine.name}" for a in victims]
        )
        wait = constants.CLAIM_S
        for attempt in victims:
            cluster.stop(attempt, f"making room for {spec.job_id}", hurry=spec.rank == _PROD)
            wait = max(wait, constants.CLAIM_S + attempt.wind_down)
        self._claims[spec.job_id] = [now + wait] * spec.shards
        for s in seating.seats:
            self._reserved[s.machine.name] = (spec.job_id, now + wait)
        return True

    def _hold_group(self, job: Job, seatings: list[groups.Seating], machines: list[Machine], now: float) -> None:
        """Keep machines filling up for a group, or small tasks would take each gap for ever: for one that should start
        within seconds at once, for others once they waited too long; few at a time, so that arrays go on too."""
        spec = job.spec
        if self._holds(spec.job_id) or not (spec.workload in self._start_within or aged_out(job, now)):
            return
        if len(self._held) >= constants.GROUP_HOLD_SHARE * len(machines):
            return
        may = [h for h in machines if h.allows(spec) and self._open_to(job, h, now) and h.name not in self._held]
        for machine in groups.worth_holding(spec, seatings, may):
            self._held[machine.name] = (spec.job_id, spec.rank, now + constants.GROUP_HOLD_S)

    def _open_to(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether nothing keeps the job off a machine that it may use: room made for others, or its own bad luck."""
        holder, until = self._reserved.get(machine.name, (job.spec.job_id, 0.0))
        held, rank, till = self._held.get(machine.name, (job.spec.job_id, 0, 0.0))
        return (
            (holder == job.spec.job_id or until <= now)
            and (held == job.spec.job_id or till <= now or job.spec.rank < rank)
            and job.avoid.get(machine.name, 0.0) <= now
        )

    def choose(self, cluster: ClusterState, job: Job, now: float) -> Machine | None:
        """Best fit for one task among a sample of the machines."""
        return self._pick(job, self._pool(cluster, job.spec), now)

    @staticmethod
    def _pool(cluster: ClusterState, spec: JobSpec) -> _Pool:
        """Nothing is asked of the machines here: with hundreds of them, those that are looked at are few."""
        return _Pool(
            list(cluster.holders.get(spec.image, {}).values()),
            list((cluster.free if spec.cpus > 0 else cluster.ready).values()),
        )

    def _pick(self, job: Job, pool: _Pool, now: float) -> Machine | None:
        """Best fit among a sample, first of the machines with the image; what no longer fits is sifted out. Further
        tasks go where the last one went as long as they fit, since one fetch serves them all."""
        if pool.replicas is None and self._spreads(job):
            pool.replicas = {}
            for attempt in job.bound.values():
                pool.replicas[attempt.machine.name] = pool.replicas.get(attempt.machine.name, 0) + 1
        spread = pool.replicas
        if spread is None and pool.current is not None and self._may(job, pool.current, now):
            return pool.current
        for group in pool.groups:
            while group:
                picked = self._rng.sample(range(len(group)), min(self._sample, len(group)))
                fitting = []
                for at in sorted(picked, reverse=True):
                    if self._may(job, group[at], now):
                        fitting.append(group[at])
                    else:
                        group[at] = group[-1]
                        group.pop()
                if fitting:
                    best = min(fitting, key=lambda h: self._score(job, h, spread))
                    if spread is not None:
                        spread[best.name] = spread.get(best.name, 0) + 1
                    pool.current = best
                    return best
        return None

    def _hold(self, cluster: ClusterState, job: Job, now: float) -> None:
        """Keep one machine for a job that has waited too long, until enough of it is free: small tasks of others
        would take its pieces for ever. For one job at a time."""
        if any(
            until > now and job_id in cluster.jobs and aged_out(cluster.jobs[job_id], now)
            for job_id, until in self._reserved.values()
        ):
            return
        spec = job.spec
        fitting = [
            h
            for h in cluster.ready.values()
            if h.allows(spec)
            and h.name not in self._reserved
            and job.avoid.get(h.name, 0.0) <= now
            and h.cap_cpus + 1e-6 >= spec.cpus
            and h.cap_memory + 1e-6 >= spec.memory
            and h.cap_gpus + 1e-6 >= spec.gpus
            and (not spec.scatter or job.zones.get(h.zone, 0) < spec.zone_limit)
            and not (spec.one_zone and any(n > 0 and z != h.zone for z, n in job.zones.items()))
        ]
        if fitting:
            held = max(
                fitting,
                key=lambda h: (
                    h.cap_cpus
                    - h.cpus
                    - sum(a.spec.cpus for a in h.attempts.values() if a.spec is not None and a.spec.endless)
                ),
            )
            self._reserved[held.name] = (spec.job_id, now + constants.AGED_HOLD_S)

    def _may(self, job: Job, machine: Machine, now: float) -> bool:
        spec = job.spec
        if not machine.room_for(spec) or not machine.allows(spec) or not machine.usable():
            return False
        if spec.one_zone and any(n > 0 and z != machine.zone for z, n in job.zones.items()):
            return False
        if spec.scatter and job.zones.get(machine.zone, 0) + 1 > spec.zone_limit:
            return False
        # Without the reservation small tasks take what is freed piece by piece, and more is stopped for nothing.
        return self._open_to(job, machine, now) and self._spares(job, machine, now)

    def _spreads(self, job: Job) -> bool:
        """Replicas that should start within seconds go to many machines: each then holds the image for the next ones,
        and one that fails takes few along. They fetch side by side, so it takes no longer than on one machine."""
        return job.spec.endless and job.spec.workload in self._start_within

    def _score(self, job: Job, machine: Machine, spread: dict[str, int] | None = None) -> float:
        """Lower is better: the image is there, the machine is left fuller, the zones stay even."""
        spec = job.spec
        score = (machine.cap_cpus - machine.cpus - spec.cpus) / max(machine.cap_cpus, 1e-9)
        if spec.image not in machine.images:
            # Its own replicas' fetch is no reason to join them, or a new image would never reach more than one machine.
            joins = spec.image in machine.fetching and not (spread and spread.get(machine.name))
            score += constants.FETCH_WEIGHT * (0.5 if joins else 1.0)
        if spread is not None:
            score += constants.SPREAD_WEIGHT * spread.get(machine.name, 0)
        # Money asks for spot machines first, which leaves the ordinary ones to work that needs them. Where only time
        # counts, a task lost with its machine makes its whole job late, so what is paid for anyway is used first.
        if spec.spot and machine.spot == self._hurried:
            score += constants.ORDINARY_WEIGHT
        return score + constants.ZONE_WEIGHT * job.zones.get(machine.zone, 0) / spec.shards

    def _slow_start(self, cluster: ClusterState, job: Job, machine: Machine) -> bool:
        """Whether fetching the image on this machine alone makes the start too late for its class's aim."""
        within = self._start_within.get(job.spec.workload)
        kind = cluster.catalog.machine_types.get(machine.machine_type)
        if within is None or kind is None or job.spec.image in machine.images or job.spec.rank != _PROD:
            return False
        return fetch_exceeds(job.spec.image_gb, kind.pull_rate, within)

    def _await_warm(self, cluster: ClusterState, job: Job, machines: list[Machine], now: float) -> bool:
        """Make room on machines that hold the image already; True while that room is awaited. Only for that:
        found on a measured day, room that had been freed elsewhere was refused again and again."""
        job_id = job.spec.job_id
        if job_id not in self._warm_until:
            warm = list(cluster.holders.get(job.spec.image, {}).values())
            made = self._make_room(cluster, job, warm, now, constants.WARM_CLAIM_S) if warm else 0
            self._warm_until[job_id] = now + constants.WARM_CLAIM_S if made else now
        return now < self._warm_until[job_id]

    def _claimed(self, job: Job, now: float) -> int:
        return sum(1 for until in self._claims.get(job.spec.job_id, ()) if until > now)

    # --- preemption ---

    def _may_stop(self, cluster: ClusterState, job: Job, attempt: Attempt) -> bool:
        """By higher rank, or to give a team its guarantee out of what another runs beyond its own."""
        victim = attempt.spec
        if victim is None or attempt.exited:
            return False
        if victim.rank > job.spec.rank and (self._may_preempt(job) or self._yields(victim, job.spec)):
            return True
        return (
            job.spec.job_id in self.guaranteed and victim.team != job.spec.team and victim.job_id not in self.guaranteed
        )

    def _may_preempt(self, job: Job) -> bool:
        """Whether the job may take room from any lower work: others wait, so that low work gets done as well."""
        return job.spec.rank == _PROD or job.spec.whole or job.spec.job_id in self.guaranteed

    def _presses(self, cluster: ClusterState, job: Job, now: float) -> bool:
        """Whether the next moment that matters to the job's user would pass before a rented machine could help. Until
        then guests keep their room: guards against stopping work for a job that can be in time without."""
        missed, mark = self.due(job, now)
        return mark > now and not time_to_rent(job.spec, cluster.catalog, mark - now)

    def _yields(self, victim: JobSpec, claimant: JobSpec) -> bool:
        """Guests, whose team has no guarantee, run on what nobody else needs: guards against their arrays filling all
        machines while work of others with a deadline waits."""
        return victim.team != claimant.team and self._is_guest(victim.team)

    def _is_guest(self, team_name: str) -> bool:
        team = self._teams.get(team_name)
        return team is not None and not team.cpus and not team.gpus

    def _make_room(
        self, cluster: ClusterState, job: Job, machines: list[Machine], now: float, patience: float = constants.CLAIM_S
    ) -> int:
        """Stop the least work that lets waiting tasks in; their room is awaited before more is stopped."""
        spec = job.spec
        if not self._may_preempt(job) and not (self._guests - {spec.team} and self._presses(cluster, job, now)):
            return 0
        wanted = min(job.waiting - self._claimed(job, now), constants.PREEMPT_PER_ROUND)
        kind = (spec.rank, spec.team, spec.job_id in self.guaranteed, spec.cpus, spec.memory, spec.gpus, spec.spot)
        if wanted <= 0 or self._barren.get(kind, float("-inf")) > now:
            return 0
        may: list[Machine] = []
        # Few of the machines, by the dice; all of them only if hardly any will do.
        for few in (4 * constants.PREEMPT_SAMPLE, len(machines)):
            for h in self._rng.sample(machines, min(few, len(machines))):
                if (
                    h.live
                    and h.usable()
                    and h.allows(spec)
                    and h.name not in self._reserved
                    and job.avoid.get(h.name, 0.0) <= now
                ):
                    may.append(h)
                    if len(may) == constants.PREEMPT_SAMPLE:
                        break
            if may or few >= len(machines):
                break
        offers = [found for h in may if (found := self._victims(cluster, job, h, now)) is not None]
        if not offers and len(machines) > len(may):
            # Looked at in vain: with all waiting jobs asking in each round, nothing else would get done.
            self._barren[kind] = now + constants.BARREN_S
        # Found on a measured day: a service that came in a busy minute stopped group after group, each whole.
        offers.sort(key=lambda found: (any(a.job_id in cluster.groups for a in found[1]), found[0]))
        made = 0
        zones = dict(job.zones)  # with what the room made in this round will add
        for _, victims in offers:
            if made >= wanted:
                break
            machine = victims[0].machine
            if spec.scatter and zones.get(machine.zone, 0) + 1 > spec.zone_limit:
                continue
            if spec.one_zone and any(n > 0 and z != machine.zone for z, n in zones.items()):
                continue
            log.debug(
                "room for %s: %s", spec.job_id, [f"{a.task_id} on {a.machine.name} {a.machine.zone}" for a in victims]
            )
            wait = patience
            for attempt in victims:
                cluster.stop(attempt, f"making room for {spec.job_id}", hurry=spec.rank == _PROD)
                wait = max(wait, patience + attempt.wind_down)
            zones[machine.zone] = zones.get(machine.zone, 0) + 1
            self._claims.setdefault(spec.job_id, []).append(now + wait)
            self._reserved[machine.name] = (spec.job_id, now + wait)
            made += 1
        return made

    @staticmethod
    def _loss(cluster: ClusterState, attempt: Attempt, now: float) -> float:
        """Seconds of work thrown away; of a group, by all of its tasks."""
        group = cluster.groups.get(attempt.job_id)
        return group_loss(group, now) if group is not None else lost_work(attempt, now)

    def _victims(
        self, cluster: ClusterState, job: Job, machine: Machine, now: float, count: int = 1
    ) -> tuple[float, list[Attempt]] | None:
        """The least to stop so that `count` tasks of the job fit, and its cost."""
        spec = job.spec
        need_cpus, need_gpus, need_memory = spec.cpus * count, spec.gpus * count, spec.memory * count
        cpus, gpus, memory = (
            machine.cap_cpus - machine.cpus,
            machine.cap_gpus - machine.gpus,
            machine.cap_memory - machine.memory,
        )
        mine = f"making room for {spec.job_id}"
        if any(a.stop and a.spec is not None and a.stop_reason == mine for a in machine.attempts.values()):
            return None  # room is being made here for this job already
        can = [a for a in machine.attempts.values() if not a.stop and self._may_stop(cluster, job, a)]
        can.sort(
            key=lambda a: (-(a.spec.rank if a.spec else 0), a.job_id in cluster.groups, self._loss(cluster, a, now))
        )
        cost, chosen = 0.0, []
        for attempt in can:
            if cpus + 1e-6 >= need_cpus and gpus + 1e-6 >= need_gpus and memory + 1e-6 >= need_memory:
                break
            victim = attempt.spec
            assert victim is not None
            cpus, gpus, memory = cpus + victim.cpus, gpus + victim.gpus, memory + victim.memory
            cost += self._loss(cluster, attempt, now) * victim.cpus
            chosen.append(attempt)
        if not chosen or cpus + 1e-6 < need_cpus or gpus + 1e-6 < need_gpus or memory + 1e-6 < need_memory:
            return None
        return cost, chosen


def aged_out(job: Job, now: float) -> bool:
    """Nothing of it has run for so long that the order of jobs must not keep it waiting any more."""
    return not job.bound and now - job.served_at > constants.AGED_S


def fetch_exceeds(size_gb: float, rate: float, within: float) -> bool:
    return size_gb / rate > within


def lost_work(attempt: Attempt, now: float) -> float:
    """Seconds of work that stopping the attempt throws away."""
    if attempt.running_since is None or attempt.spec is None:
        return 0.0
    if attempt.spec.snapshot_s > 0:
        return attempt.spec.snapshot_cost_s
    return now - attempt.running_since + constants.PREEMPT_BASE_S
