"""No controller returns a state older than one that was confirmed to a user before, also if writes are committed
late."""

import msgspec
import pytest
import trio

from sorrelsill.http import Request
from tests.simulation import SimulatedCluster, job, run_scenario
from tests.simulation.users import LABELS


async def read_and_resubmit_everywhere(simulation: SimulatedCluster, job_id: str, rounds: int = 3) -> None:
    """Polls the job and repeats its submission at all controllers, every 3 ms."""
    async with trio.open_nursery() as nursery:
        for _ in range(rounds):
            for label in LABELS:
                nursery.start_soon(simulation.ask, label, "GET", f"/v2/runs/{job_id}")
                nursery.start_soon(simulation.ask, label, "POST", "/v2/runs", simulation.specs[job_id])
            await trio.sleep(0.003)


@pytest.mark.parametrize("fault", ["none", "lost answers", "late writes", "leaders change"])
def test_reads_return_nothing_older_than_confirmed_answers(fault: str) -> None:
    """Reads right after a job was accepted, has ended or was confirmed as cancelled."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        if fault in ("lost answers", "late writes"):
            simulation.late_writes(0.3, at_once=fault == "lost answers")
        for number in range(12):
            if fault == "leaders change" and number % 4 == 3:
                leader = simulation.leader() or "n0"
                simulation.kill(leader)
                simulation.nursery.start_soon(simulation.restart_later, leader, 0.3)
            job_id = f"run-{number}"
            await simulation.submit(job(job_id, shards=1, vcpus=1.0, expectedRunS=1.0, sizeGb=0.0))
            await read_and_resubmit_everywhere(simulation, job_id)
            if number % 3 == 0:
                await simulation.cancel(job_id)
                await read_and_resubmit_everywhere(simulation, job_id)
            elif number % 3 == 1:
                await simulation.until(lambda j=job_id: f"{j}/0" in simulation.finished, 60)  # type: ignore[misc]
                await simulation.cancel(job_id)  # just as its last task ends
                await read_and_resubmit_everywhere(simulation, job_id)
            else:
                await simulation.until_phase(job_id, "done", 120)
                await read_and_resubmit_everywhere(simulation, job_id)
        await simulation.wait_for_convergence()
        for job_id in sorted(simulation.accepted):
            await read_and_resubmit_everywhere(simulation, job_id)

    run_scenario(scenario)


def test_late_transactions_change_no_confirmed_answer() -> None:
    """The transactions are committed after newer transactions of the same controller, or after the controller has
    died."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        simulation.late_writes(0.25)
        for number in range(10):
            job_id = f"run-{number}"
            await simulation.submit(job(job_id, shards=2, vcpus=1.0, expectedRunS=3.0))
            if number % 3 == 0:
                await simulation.cancel(job_id)
            if number % 4 == 2:
                leader = await simulation.until_leader()
                simulation.kill(leader)
                await trio.sleep(0.2)
                simulation.start(leader)
        await trio.sleep(20)
        await simulation.wait_for_convergence()
        for label in LABELS:  # restarted controllers must give the same answers from the stored records
            simulation.kill(label)
        simulation.start_all()
        await simulation.wait_for_convergence()
        for job_id in sorted(simulation.accepted):
            await read_and_resubmit_everywhere(simulation, job_id)

    run_scenario(scenario)


def test_late_record_does_not_revive_a_finished_job() -> None:
    """The leader's own write of a running job is committed after its newer write that ended the job."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await simulation.until_leader()
        delayed: list[str] = []

        def late_delivery_s(src: str, dst: str, request: Request) -> float | None:
            if request.path != "/multi" or delayed:
                return None
            writes = msgspec.msgpack.decode(request.body)["writes"]
            if any(change.get("set") == "s/j/run-a" and change["value"]["r"] for change in writes):
                delayed.append(src)
                return 12.0
            return None

        simulation.net.late_delivery_s = late_delivery_s
        await simulation.submit(job("run-a", shards=2, expectedRunS=3.0))
        await simulation.until_phase("run-a", "done")
        assert delayed
        await trio.sleep(15)
        simulation.kill_all()
        simulation.start_all()
        await trio.sleep(5)
        await read_and_resubmit_everywhere(simulation, "run-a")
        assert (await simulation.poll("run-a"))[1]["phase"] == "done"

    run_scenario(scenario)
