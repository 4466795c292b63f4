"""The ordinary path, and what users do."""

import trio

from sorrelsill.fleet.machine_list import ListedMachine
from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, machine_name, run_scenario


def test_a_job_runs_to_its_end_and_stays_done() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        assert await simulation.submit(job("run-1", shards=5)) == 201
        await simulation.until_phase("run-1", "done")
        for label in simulation.nodes:
            assert (await simulation.poll("run-1", label))[1]["phase"] == "done"
        assert await simulation.submit(job("run-1", shards=5)) == 200
        await trio.sleep(40)
        assert len(simulation.starts) == 5
        assert simulation.cloud.machines == {}, "idle machines go back"

    run_scenario(scenario)


def test_unknown_jobs_are_404_and_bad_ones_400_or_422() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-ok"))
        assert (await simulation.poll("run-never"))[0] == 404
        assert (await simulation.ask("n0", "POST", "/v2/runs", b"\xc1"))[0] == 400
        assert (await simulation.ask("n0", "POST", "/v2/runs", [1]))[0] == 400
        for field, value in (
            ("shards", 0),
            ("shards", True),
            ("shards", 100_001),
            ("vcpus", -1.0),
            ("vcpus", float("nan")),
            ("vcpus", "2"),
            ("memoryGb", float("inf")),
            ("rank", "top"),
            ("shape", None),
            ("uid", "job-1"),
            ("owner", 7),
            ("flavours", "c8"),
            ("oneZone", None),
            ("sizeGb", None),
        ):
            assert (await simulation.ask("n1", "POST", "/v2/runs", job("run-x", **{field: value})))[0] == 400, field
        for impossible in (
            job("run-a", owner="nobody"),
            job("run-b", vcpus=9.0),
            job("run-c", flavours=["x"]),
            job("run-d", shape="standing", shards=9, owner="small"),
        ):
            assert (await simulation.ask("n2", "POST", "/v2/runs", impossible))[0] == 422
        assert (await simulation.ask("n0", "GET", "/v2/runs"))[0] == 405
        assert (await simulation.ask("n0", "GET", "/nowhere"))[0] == 404

    run_scenario(scenario, teams=[Team("red"), Team("small", cpus_max=16.0)])


def test_a_known_job_is_looked_up_before_it_is_judged() -> None:
    """A repeat after the limits shrank gets 200, not 422."""

    async def scenario(simulation: SimulatedCluster) -> None:
        spec = job("run-1", shape="standing", shards=4)
        assert await simulation.submit(spec) == 201
        simulation.teams = [Team("red", cpus_max=2.0)]
        for label in list(simulation.nodes):
            simulation.kill(label)
        for label in list(simulation.nodes):
            simulation.start(label)
        await simulation.until_leader()
        assert await simulation.submit(spec) == 200
        simulation.teams = []  # the run that the smaller limit did not start yet is not judged by it

    run_scenario(scenario)


def test_submissions_before_the_catalog_is_known_are_sent_back_not_refused() -> None:
    """Found on a measured day: the catalog came between the look-up and the judgement, and a good job got 422."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.outage = True
        statuses = []

        async def user(number: int) -> None:
            statuses.append(await simulation.submit(job(f"run-{number}")))

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(user, number)
            await trio.sleep(8)
            simulation.cloud.outage = False
        assert statuses == [201] * 20

    run_scenario(scenario)


def test_cancelled_services_go_and_stay_gone() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-s", shape="standing", shards=4, scatter=True, expectedRunS=0.0))
        await simulation.until(lambda: len(simulation.running("run-s")) == 4)
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"
        await simulation.until(lambda: not simulation.running("run-s"), 5)
        for label in simulation.nodes:
            assert (await simulation.poll("run-s", label))[1]["phase"] == "cancelled"
        assert (await simulation.cancel("run-s"))["phase"] == "cancelled"

    run_scenario(scenario)


def test_limits_hold_and_what_waits_runs_later() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-1", shards=12))
        await simulation.submit(job("run-2", shards=6, owner="blue"))
        await simulation.until_phase("run-2", "done")
        await simulation.until_phase("run-1", "done")
        _, answer = await simulation.ask("n0", "GET", "/v2/runs/run-1/why")
        assert any("limit of red" in note for note in answer["why"])

    run_scenario(scenario, teams=[Team("red", cpus_max=8.0), Team("blue")])


def test_production_makes_room_at_once() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 2
        await simulation.submit(job("run-low", shards=8, rank="best_effort", expectedRunS=300.0))
        await simulation.until(lambda: len(simulation.running("run-low")) == 8)
        began = trio.current_time()
        await simulation.submit(job("run-live", shape="standing", shards=2, rank="prod"))
        await simulation.until(lambda: len(simulation.running("run-live")) == 2, 10)
        assert trio.current_time() - began < 3
        _, answer = await simulation.ask("n1", "GET", "/v2/runs/run-low/why")
        assert any("making room for run-live" in note for note in answer["why"])

    run_scenario(scenario)


def test_a_team_sees_only_its_own_jobs() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-r", expectedRunS=60.0))
        await simulation.submit(job("run-b", owner="blue", expectedRunS=60.0))
        _, answer = await simulation.ask("n2", "GET", "/v2/teams/blue/runs")
        assert [r["uid"] for r in answer["runs"]] == ["run-b"]
        assert (await simulation.ask("n2", "GET", "/v2/teams/green/runs"))[0] == 404

    run_scenario(scenario)


def test_a_gang_starts_whole_or_not_at_all() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.capacity = 1
        await simulation.submit(job("run-g", shape="group", shards=6))
        await trio.sleep(30)
        assert simulation.running("run-g") == [], "four of six would fit"
        simulation.cloud.capacity = 2
        await simulation.until_phase("run-g", "done")
        attempts = {k for w in simulation.workers.values() for k in w.tasks}
        assert len({n for s, n in attempts if s.startswith("run-g/")}) <= 1, "its tasks share an attempt number"

    run_scenario(scenario)


def test_a_job_of_a_hundred_thousand_tasks_is_kept_in_parts() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-big", shards=100_000, vcpus=0.5, memoryGb=0.5, expectedRunS=1.0))
        await simulation.until(lambda: len(simulation.finished) > 500, 120)
        leader = await simulation.until_leader()
        simulation.kill(leader)
        await simulation.until_leader()
        _, before = await simulation.poll("run-big")
        assert before["done"] > 300
        assert (await simulation.cancel("run-big"))["phase"] == "cancelled"

    run_scenario(scenario)


def test_a_faulty_machine_is_left_and_a_faulty_job_is_paced() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-a", shards=4))
        await simulation.until(lambda: len(simulation.running("run-a")) > 0)
        name = simulation.running("run-a")[0][1]
        simulation.workers[name].fail = lambda task_id: True
        await simulation.submit(job("run-b", shards=4))
        await simulation.until_phase("run-a", "done")
        await simulation.until_phase("run-b", "done")

    run_scenario(scenario)


def test_a_machine_that_never_boots_is_given_up() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.never_boots = {0}
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done", 200)
        assert machine_name(0) not in simulation.cloud.machines

    run_scenario(scenario)


def test_a_returned_machine_in_the_lagging_list_is_not_awaited() -> None:
    """Found on a measured day: such machines counted as coming, so nothing was rented in their place."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.lag_s = 6.0
        await simulation.submit(job("run-1"))
        await simulation.until_phase("run-1", "done")
        first = set(simulation.cloud.machines)
        await simulation.until(lambda: not simulation.cloud.machines)
        leader = simulation.nodes[await simulation.until_leader()]
        assert leader.leader_term is not None
        ghosts = {name: ListedMachine(name, "running", "c8", "a", False, 20.0) for name in first}
        leader.leader_term.fleet.take_list(ghosts, trio.current_time())
        assert leader.leader_term.fleet.pending == {}

    run_scenario(scenario)
