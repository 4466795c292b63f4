"""Tests that the incrementally updated job queue and guaranteed shares match a full recomputation."""

import random

from sorrelsill import constants
from sorrelsill.jobs import parse_spec
from sorrelsill.model import Catalog, MachineType, TaskSet
from sorrelsill.placement.guaranteed_shares import GuaranteedShares
from sorrelsill.placement.job_queue import JobQueue
from sorrelsill.placement.objectives import ServiceLevelObjectives
from sorrelsill.placement.order import precedence
from sorrelsill.placement.team_quotas import TeamQuotas
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import ClusterState
from tests.simulation import count_calls, job

TEAMS = TeamQuotas([Team("red", cpus=30.0), Team("blue", cpus=12.5, gpus=2.0), Team("guests")])
OBJECTIVES = ServiceLevelObjectives(
    [Objective("finished", "w", 20.0), Objective("finished", "w", 40.0), Objective("deadline", "batch")]
)
MACHINE_TYPE = MachineType("c8", 1000.0, 100.0, 4000.0, 50.0, 1.0, 1.0, 0.4, 30.0, ("a",))


def cluster_with_a_machine() -> ClusterState:
    cluster = ClusterState(1, 0.0, Catalog({"c8": MACHINE_TYPE}), 1e9, 2.7)
    cluster.get_or_add_machine("m1", "c8", "a", False, 0.0)
    return cluster


def guaranteed_from_scratch(cluster: ClusterState) -> set[str]:
    """Add up the resources of all live jobs in order of submission; return the ids of the covered jobs."""
    used: dict[str, tuple[float, float]] = {}
    covered = set()
    for each in sorted(cluster.jobs.values(), key=lambda j: j.submitted):
        spec, team = each.spec, TEAMS.get(each.spec.team)
        if team is None:
            continue
        cpus, gpus = used.get(team.name, (0.0, 0.0))
        used[team.name] = cpus + spec.cpus * spec.task_count, gpus + spec.gpus * spec.task_count
        if used[team.name][0] <= team.cpus + 1e-6 and used[team.name][1] <= team.gpus + 1e-6:
            covered.add(spec.job_id)
    return covered


def order_from_scratch(cluster: ClusterState, covered: set[str], now: float) -> list[str]:
    """Sort all waiting jobs by precedence."""
    waiting = [each for each in cluster.jobs.values() if each.waiting > 0]
    waiting.sort(key=lambda each: precedence(each, OBJECTIVES, each.spec.job_id in covered, now))
    return [each.spec.job_id for each in waiting]


class ClusterFuzzer:
    """Applies random submissions, task starts, task ends and job ends to a cluster state."""

    def __init__(self, seed: int) -> None:
        self.cluster = cluster_with_a_machine()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.count = 0

    def submit(self) -> None:
        self.count += 1
        fields = {
            "owner": self.rng.choice(["red", "blue", "guests", "unknown"]),
            "workload": self.rng.choice(["w", "batch", "other"]),
            "rank": self.rng.choice(["prod", "high", "standard", "best_effort"]),
            "shards": self.rng.randrange(1, 6),
            "vcpus": self.rng.choice([0.1, 0.7, 2.0]),
            "gpus": self.rng.choice([0.0, 0.0, 0.5]),
            "expectedRunS": self.rng.choice([2.0, 15.0]),
            "dueS": self.rng.choice([None, 25.0]),
        }
        spec = parse_spec(job(f"run-{self.count:04d}", **fields))
        submitted = self.now - self.rng.choice([0.0, 3.0, 30.0])
        self.cluster.add_job(spec, TaskSet(spec.task_count), 1, False, submitted, [])

    def step(self) -> None:
        self.now += self.rng.choice([0.03, 0.5, 7.0])
        if self.rng.random() < 0.6:
            self.submit()
        machine = self.cluster.machines["m1"]
        for each in self.rng.sample(list(self.cluster.jobs.values()), min(3, len(self.cluster.jobs))):
            index = each.next_task()
            if index is not None and self.rng.random() < 0.5:
                self.cluster.bind(each, index, machine, self.now)
            elif each.bound:
                attempt = self.rng.choice(list(each.bound.values()))
                self.cluster.attempts.remove(attempt)
                self.cluster.unbind(attempt, self.now)
        if self.cluster.jobs and self.rng.random() < 0.4:
            self.cluster.end_job(self.rng.choice(list(self.cluster.jobs)))


def test_incremental_updates_match_full_recomputation() -> None:
    for seed in range(20):
        fuzzer = ClusterFuzzer(seed)
        guaranteed_shares = GuaranteedShares(TEAMS)
        queue = JobQueue(OBJECTIVES, guaranteed_shares.guaranteed_jobs)
        for _ in range(150):
            fuzzer.step()
            changed = fuzzer.cluster.take_changed_jobs()
            changed_coverage = guaranteed_shares.update(fuzzer.cluster, changed)
            queue.update(fuzzer.cluster, [*changed, *changed_coverage], fuzzer.now)
            assert guaranteed_shares.guaranteed_jobs == guaranteed_from_scratch(fuzzer.cluster)
            assert queue.in_order() == order_from_scratch(fuzzer.cluster, guaranteed_shares.guaranteed_jobs, fuzzer.now)


def test_starved_job_moves_to_the_front_without_an_event() -> None:
    fuzzer = ClusterFuzzer(1)
    spec = parse_spec(job("run-old", rank="best_effort", workload="other"))
    fuzzer.cluster.add_job(spec, TaskSet(spec.task_count), 1, False, 0.0, [])
    spec = parse_spec(job("run-new", rank="high", workload="other"))
    fuzzer.cluster.add_job(spec, TaskSet(spec.task_count), 1, False, 70.0, [])
    queue = JobQueue(OBJECTIVES, set())
    queue.update(fuzzer.cluster, fuzzer.cluster.take_changed_jobs(), 70.0)
    assert queue.in_order() == ["run-new", "run-old"]
    queue.update(fuzzer.cluster, [], constants.STARVATION_S + 0.1)
    assert queue.in_order() == ["run-old", "run-new"]


def test_cost_of_adding_a_job_does_not_grow_with_the_queue() -> None:
    def calls(jobs: int) -> int:
        cluster = cluster_with_a_machine()
        guaranteed_shares = GuaranteedShares(TEAMS)
        queue = JobQueue(OBJECTIVES, guaranteed_shares.guaranteed_jobs)
        for number in range(jobs):
            spec = parse_spec(job(f"run-{number:05d}", owner="red"))
            cluster.add_job(spec, TaskSet(spec.task_count), 1, False, float(number), [])

        def update() -> None:
            changed = cluster.take_changed_jobs()
            queue.update(cluster, [*changed, *guaranteed_shares.update(cluster, changed)], float(jobs))

        update()
        spec = parse_spec(job("run-one-more", owner="red"))
        cluster.add_job(spec, TaskSet(spec.task_count), 1, False, 0.5, [])
        return count_calls(update)

    assert calls(4000) <= calls(400) < 60
