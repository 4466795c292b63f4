"""Two replicas of a service fail on faulty machines; the service stays incomplete after the machines are well."""

from __future__ import annotations

from pathlib import Path

import trio

from review.standins import Deployment, Worker, job, main

WAIT_S = 90.0  # s; no job is left waiting for this long while a machine that fits has room
SICK_AFTER_FAILURES_S = 2.0  # s; how much longer the machines are faulty
CPUS, MEMORY_GB = 2.0, 5.9  # of a replica


async def case(d: Deployment, trouble: bool) -> bool:
    """Return whether all replicas ran within 90 s of the end of the trouble, or some machine lacked room meanwhile."""
    label = d.leader() or "sill-0"
    faulty: list[Worker] = []

    def fail(worker: Worker, task: str) -> None:
        """The first two machines that get a replica fail what they start."""
        if worker not in faulty and len(faulty) < 2:
            faulty.append(worker)
            worker.sick = True
            d.record.write("machine_faulty", machine=worker.name, zone=worker.zone)

    if trouble:
        d.on_start = fail
    service = job("run-000001", workload="cert-verify", shape="standing", rank="prod", expectedRunS=0.0)
    await d.submit({**service, "shards": 3, "vcpus": CPUS, "memoryGb": MEMORY_GB, "scatter": True}, label)
    if trouble:
        await d.until(lambda: len({m for _, _, m, why in d.ends if why == "error"}) == 2, 20.0, "no two failures")
        await trio.sleep(SICK_AFTER_FAILURES_S)
        for worker in faulty:
            worker.sick = False
            d.record.write("machine_well", machine=worker.name)
    over_at = d.record.now()
    polled_at = 0.0
    while d.record.now() < over_at + WAIT_S + 1.0:
        running = sum(len(worker.active) for worker in d.workers.values())
        if running == 3:
            d.record.write("all_replicas_run", after_s=round(d.record.now() - over_at, 1))
            await trio.sleep(5.0)
            await d.ask(label, "GET", "/v2/runs/run-000001", timeout_s=2.0)
            return True
        room = d.machines_with_room(CPUS, MEMORY_GB)
        if {worker.zone for worker in room} != {"bangna", "nonthaburi"}:
            # With room in both zones another replica fits, whatever zone the running ones are in.
            d.record.write("no_room")
            return True
        if d.record.now() > polled_at + 5.0:
            polled_at = d.record.now()
            await d.ask(label, "GET", "/v2/runs/run-000001", timeout_s=2.0)
            d.record.write("waiting", running=running, machines_with_room=[worker.name for worker in room])
        await trio.sleep(0.25)
    await d.ask(label, "GET", "/v2/runs/run-000001/why", timeout_s=2.0)
    d.record.write("left_waiting", replicas=3 - running, for_s=round(d.record.now() - over_at, 1))
    return False


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case, machines=6)
