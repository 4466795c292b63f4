"""Some 930 machines, and many that fall together. Work is counted in calls of the package's own functions, in messages
and in entries, so that the verdict is the same on every machine and every time."""

import random
from collections.abc import Callable

import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.fleet import Catalog, MachineType
from sorrelsill.http import Client, MaySend, NoAnswerError, always
from sorrelsill.jobs import JobSpec, TaskSet, parse_spec
from sorrelsill.placement import Placer
from sorrelsill.settings import Objective, Team
from sorrelsill.workers import ClusterState, Pusher, Report
from sorrelsill.workers.messages import TaskReport
from tests.simulation import count_calls, job

MACHINES = 930  # the largest fleet of the site files and half as many again
KIND = MachineType("std", 16.0, 0.0, 64.0, 40.0, 0.3, 1.0, 0.4, 30.0, ("a", "b"))
TERM, W, VALID, OVERDUE = 7, 14.5, 3.4, 4.2
TEAMS = [Team("red", cpus_max=600.0), Team("blue")]


def work(job_id: str, **fields: object) -> JobSpec:
    return parse_spec(job(job_id, **{"vcpus": 1.0, "memoryGb": 3.0, "reclaimable": True, **fields}))


class Fleet:
    """A ledger with workers that do what they are told; images are there at once and no message is lost."""

    def __init__(self, machines: int, roster: bool = False) -> None:
        self.now = 0.0
        self.cluster = ClusterState(TERM, 0.0, Catalog({"std": KIND}), W, VALID, OVERDUE)
        self.names = [f"m-{n:06d}" for n in range(machines)]
        self.sequence_number = dict.fromkeys(self.names, 0)
        self.tasks: dict[str, dict[tuple[str, int], str]] = {n: {} for n in self.names}
        self.placer = Placer(TEAMS, [Objective("finished", "w", 60.0)], random.Random(1), constants.SAMPLE, True)
        if roster:
            entries = [(n, {"f": "std", "a": self.addr(n), "z": self.zone(n), "s": self.spot(n)}) for n in self.names]
            self.cluster.expect_machines(entries)

    def zone(self, name: str) -> str:
        return "ab"[self.names.index(name) % 2]

    def spot(self, name: str) -> bool:
        return self.names.index(name) % 3 == 0

    def addr(self, name: str) -> str:
        number = self.names.index(name)
        return f"10.1.{number // 250}.{number % 250}:9000"

    def report(self, name: str, epoch: int = TERM) -> None:
        self.sequence_number[name] += 1
        shards = [TaskReport(s, n, phase) for (s, n), phase in self.tasks[name].items()]
        report = Report(
            name,
            1,
            self.sequence_number[name],
            "std",
            self.zone(name),
            self.addr(name),
            self.spot(name),
            epoch,
            tasks=shards,
        )
        commands = self.cluster.on_report(report, self.now)
        for order in commands or []:
            if order["verb"] == "start":
                self.tasks[name][order["shard"], order["tryNo"]] = "running"

    def all_report(self, names: list[str] | None = None) -> None:
        for name in names if names is not None else self.names:
            self.report(name)
            machine = self.cluster.machines[name]
            if machine.synced and not machine.rostered:
                machine.rostered = True
                self.cluster.reindex(machine)

    def add(self, spec: JobSpec, old: bool = False) -> None:
        self.cluster.add_job(spec, TaskSet(spec.shards), 1, old, self.now, [])

    def round(self) -> None:
        self.cluster.expire_leases(self.now)
        while not self.placer.round(self.cluster, self.now, lambda: self.now, 1.0):
            pass

    def fill(self, tasks_each: int) -> None:
        """A hundred jobs that keep every machine busy."""
        self.all_report()
        self.all_report()
        total = tasks_each * len(self.names)
        for number in range(100 if total else 0):
            self.add(work(f"run-{number}", shards=total // 100, owner="blue", bundle=f"img-{number % 14}"))
        self.round()
        self.all_report()
        self.all_report()


def test_a_regular_report_costs_the_same_in_a_small_and_in_a_large_fleet() -> None:
    def calls(machines: int) -> int:
        fleet = Fleet(machines)
        fleet.fill(8)
        fleet.now += 1.0
        name = max(fleet.names, key=lambda n: (len(fleet.tasks[n]) == 8, n))
        return count_calls(lambda: fleet.report(name))

    large = calls(MACHINES)
    assert large <= calls(MACHINES // 3) and large < 60


def test_hundreds_of_machines_lost_at_once_are_given_up_in_stretches() -> None:
    """Thousands of tasks in one stretch would keep pings waiting."""
    fleet = Fleet(MACHINES)
    fleet.fill(16)
    silent = fleet.names[:400]
    lost_tasks = sum(len(fleet.tasks[n]) for n in silent)
    assert lost_tasks > 6000
    while fleet.now < W - 1:
        fleet.now += 1.0
        fleet.all_report(fleet.names[400:])
        assert not fleet.cluster.expire_leases(fleet.now)
    fleet.now += 2.0
    most, lost = 0, 0
    while batch := fleet.cluster.expire_leases(fleet.now):
        lost += len(batch)
        most = max(most, sum(len(fleet.tasks[h.name]) for h in batch))
    assert lost == 400 and most <= constants.EXPIRE_TASKS + 16
    assert sum(j.waiting for j in fleet.cluster.jobs.values()) == lost_tasks
    assert not any(fleet.cluster.machines[n].attempts or n in fleet.cluster.ready for n in silent)


def test_overdue_machines_get_no_new_work_before_they_report_again() -> None:
    """Found by reasoning: what was bound to fifty machines that hung waited for a lease to be proved lost."""
    fleet = Fleet(MACHINES)
    fleet.fill(0)
    fleet.now += OVERDUE + 0.5
    healthy = fleet.names[50:]
    fleet.all_report(healthy)
    fleet.add(work("run-n", shards=350, owner="blue"))
    fleet.round()
    bound = fleet.cluster.jobs["run-n"].bound
    assert len(bound) == 350 and not {a.machine.name for a in bound.values()} & set(fleet.names[:50])
    fleet.all_report(fleet.names[:50])
    assert len(fleet.cluster.ready) == MACHINES


def test_machines_not_heard_yet_hold_back_only_what_may_run_on_them() -> None:
    """After a takeover with fifty silent machines, their whole size filled each small team's limit for a lease."""
    fleet = Fleet(MACHINES, roster=True)
    silent = [n for n in fleet.names if fleet.spot(n)][:50]
    fleet.add(work("run-old", shards=40, owner="red"), old=True)
    fleet.add(work("run-ordinary", shards=40, owner="red", reclaimable=False), old=True)
    fleet.cluster.expect_ended_jobs([("red", 20.0, 0.0)])
    heard = [n for n in fleet.names if n not in silent]
    fleet.all_report(heard)
    fleet.all_report(heard)
    fleet.add(work("run-new", shards=700, owner="red"))
    fleet.round()
    jobs = fleet.cluster.jobs
    assert not jobs["run-old"].bound, "its tasks may be running there"
    assert len(jobs["run-ordinary"].bound) == 40, "a spot machine can't hold them"
    assert len(jobs["run-new"].bound) == 600 - 40 - 40 - 20, "all that may be running counts toward the limit"
    fleet.cluster.expect_ended_jobs(None)
    assert fleet.cluster.unaccounted("red") == (50 * 16.0, 0.0), "and the whole machines if that can't be told"


def test_a_job_that_ends_unseen_still_counts_toward_its_teams_limit() -> None:
    fleet = Fleet(60, roster=True)
    fleet.add(work("run-old", shards=200, owner="red"), old=True)
    fleet.cluster.expect_ended_jobs([])
    assert fleet.cluster.unaccounted("red") == (200.0, 0.0)
    fleet.cluster.end_job("run-old")
    assert fleet.cluster.unaccounted("red") == (200.0, 0.0) and fleet.cluster.unaccounted("blue") == (0.0, 0.0)
    fleet.now = W + VALID + 1
    fleet.cluster.expire_leases(fleet.now)
    assert not fleet.cluster.unconfirmed and fleet.cluster.unaccounted("red") == (0.0, 0.0)


def test_a_damaged_or_older_roster_entry_holds_back_whatever_may_run_there() -> None:
    fleet = Fleet(60)
    for number, entry in enumerate(({"f": "std", "a": "10.1.9.9:9000"}, None, {"f": 7, "z": 7, "s": 7})):
        fleet.cluster.expect_machines([(f"m-old-{number}", entry)])
        fleet.add(work(f"run-{number}", shards=10, owner="red", flavours=["std"], region="a", reclaimable=False), True)
        assert not fleet.cluster.settled(fleet.cluster.jobs[f"run-{number}"])
    assert fleet.cluster.unaccounted("red")[0] > 1000, "of a type that is not known the size is not known either"
    fleet.cluster.expect_ended_jobs([])
    assert fleet.cluster.unaccounted("red") == (30.0, 0.0)


class _Silent(Client):
    """A machine that hangs: calls run into their time-out."""

    asked: list[float]

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 1.5, may_send: MaySend = always
    ) -> tuple[int, bytes]:
        self.asked.append(trio.current_time())
        await trio.sleep(timeout)
        raise NoAnswerError("hangs")


def test_silence_that_lasts_costs_ever_less_and_greetings_leave_room_for_starts() -> None:
    asked: list[float] = []

    def client(addr: str) -> Client:
        made = _Silent(addr)
        made.asked = asked
        return made

    async def main() -> None:
        fleet = Fleet(300, roster=True)
        pusher = Pusher(client, lambda: True, lambda: True, 400)
        async with trio.open_nursery() as nursery:
            for _ in range(600):
                for name, addr in fleet.cluster.unconfirmed_addresses.items():
                    pusher.probe(fleet.cluster, name, addr, nursery)
                assert len(pusher._busy) <= constants.PROBES_AT_ONCE < constants.PUSH_AT_ONCE
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    early, late = (sum(1 for t in asked if a <= t < a + 15) for a in (0, 45))
    assert early >= 100 and late <= constants.PROBES_AT_ONCE * 15 / constants.PUSH_TIMEOUT_S
    assert len(asked) <= 300 * 5


def test_a_roster_of_all_machines_fits_the_smallest_value() -> None:
    """Its parts hold machines of the past as well until they are proved empty."""
    import msgspec

    from sorrelsill.store import roster_key

    parts: dict[str, dict[str, object]] = {}
    for number in range(2 * MACHINES):
        name = f"m-{number:06d}"
        entry = {"f": "a-long-machine-type", "a": "10.100.200.200:9000", "z": "a-long-zone-name", "s": False}
        parts.setdefault(roster_key(name), {})[name] = entry
    assert max(len(msgspec.json.encode(p)) for p in parts.values()) < 8 * 1024 - 100


def test_taking_over_costs_each_job_the_same_however_many_there_are() -> None:
    from sorrelsill.store import View, chunk_key, job_key

    def calls(jobs: int) -> float:
        view = View.__new__(View)
        View.__init__(view, _NoStore())  # type: ignore[arg-type]
        view.listeners = []
        for number in range(jobs):
            view.apply(job_key(f"run-{number}"), {"n": 0}, number + 1, True)
            view.apply(chunk_key(f"run-{number}", 0), "", number + 1, True)
        found: Callable[[], object] = lambda: [view.chunks(job_id) for job_id, _, _ in view.jobs()]  # noqa: E731
        steps = 0
        for job_id, _, _ in view.jobs():
            steps += len(view._chunk_keys[job_id])
        assert steps == jobs
        return count_calls(found) / jobs

    assert calls(900) <= 1.1 * calls(100)


class _NoStore:
    class requests:  # noqa: N801
        rate = 10.0
