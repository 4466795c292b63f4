"""Answers to user requests: unknown jobs, malformed and impossible submissions, repeated requests."""

import trio

from sorrelsill.settings import Team
from tests.simulation import SimulatedCluster, job, run_scenario
from tests.simulation.users import LABELS


def test_all_controllers_answer_unusual_requests_alike() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        await simulation.submit(job("run-a", expectedRunS=1.0))
        await simulation.until_phase("run-a", "done")
        for label in LABELS:
            assert (await simulation.ask(label, "POST", "/v2/runs", simulation.specs["run-a"]))[0] == 200
            assert (await simulation.ask(label, "POST", "/v2/runs/run-a/cancel"))[1]["phase"] == "done"
            without_shards = {k: v for k, v in job("run-x").items() if k != "shards"}
            assert (await simulation.ask(label, "POST", "/v2/runs", without_shards))[0] == 400
            assert (await simulation.ask(label, "POST", "/v2/runs", job("run-y", vcpus=4000.0)))[0] == 422
            assert (await simulation.ask(label, "POST", "/v2/runs", job("run-z", owner="nobody")))[0] == 422
            for job_id in ("run-x", "run-y", "run-z", "run-never"):
                assert (await simulation.ask(label, "GET", f"/v2/runs/{job_id}"))[0] == 404
                assert (await simulation.ask(label, "POST", f"/v2/runs/{job_id}/cancel"))[0] == 404

    run_scenario(scenario)


def test_status_codes_for_unknown_malformed_and_impossible_jobs() -> None:
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
        for impossible_job in (
            job("run-a", owner="nobody"),
            job("run-b", vcpus=9.0),
            job("run-c", flavours=["x"]),
            job("run-d", shape="standing", shards=9, owner="small"),
        ):
            assert (await simulation.ask("n2", "POST", "/v2/runs", impossible_job))[0] == 422
        assert (await simulation.ask("n0", "GET", "/v2/runs"))[0] == 405
        assert (await simulation.ask("n0", "GET", "/nowhere"))[0] == 404

    run_scenario(scenario, teams=[Team("red"), Team("small", cpus_max=16.0)])


def test_known_job_is_not_validated_again() -> None:
    """A repeated submission gets 200, not 422, after the team's limit was lowered."""

    async def scenario(simulation: SimulatedCluster) -> None:
        spec = job("run-1", shape="standing", shards=4)
        assert await simulation.submit(spec) == 201
        simulation.teams = [Team("red", cpus_max=2.0)]
        simulation.kill_all()
        simulation.start_all()
        await simulation.until_leader()
        assert await simulation.submit(spec) == 200
        simulation.teams = []  # the simulation must not check the job's tasks against the lower limit

    run_scenario(scenario)


def test_submissions_before_the_catalog_is_loaded_are_accepted_later() -> None:
    """Guards against refusing a valid job with 422 because the catalog arrived between lookup and validation."""

    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.cloud.outage = True
        statuses = []

        async def submit_one(number: int) -> None:
            statuses.append(await simulation.submit(job(f"run-{number}")))

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(submit_one, number)
            await trio.sleep(8)
            simulation.cloud.outage = False
        assert statuses == [201] * 20

    run_scenario(scenario)


def test_team_sees_only_its_own_jobs() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.submit(job("run-r", expectedRunS=60.0))
        await simulation.submit(job("run-b", owner="blue", expectedRunS=60.0))
        _, answer = await simulation.ask("n2", "GET", "/v2/teams/blue/runs")
        assert [r["uid"] for r in answer["runs"]] == ["run-b"]
        assert (await simulation.ask("n2", "GET", "/v2/teams/green/runs"))[0] == 404

    run_scenario(scenario)
