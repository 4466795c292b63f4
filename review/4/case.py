"""A machine restarts within two seconds and gets a task right after; the same task is then started on another one."""

from __future__ import annotations

import asyncio

from standins2.harness import Deployment, Plan, job, main

_WARM_UP, _FILLER, _JOB = "run-000001", "run-000002", "run-000003"
_DOWN_S = 1.5

_FLAVOUR = {
    "sku": "mango-std",
    "vcpus": 16.0,
    "gpus": 0.0,
    "memoryGb": 64.0,
    "cacheGb": 40.0,
    "pullGbPerS": 0.3,
    "price": 1.13,
    "spotPrice": 0.41,
    "bootS": 30.0,
    "regions": ["brisbane-west", "rocky-east"],
}
_PLAN = Plan(
    [_FLAVOUR],
    [("mango-std", "brisbane-west"), ("mango-std", "rocky-east")],
    [{"name": "cairns-ops", "cpus": 72.0, "cpus_max": 200.0}],
    zones=("brisbane-west", "rocky-east"),
    report_s=2.5,
    lease_s=14.0,
    cancel_s=34.0,
    objectives=[{"kind": "guarantee", "within_s": 5.0, "share": 0.96}],
    state=(150.0, 50.0, 8.0, 40),
    quota=(0.72, 266.0, 1800),
)


async def scenario(deployment: Deployment) -> list[str]:
    """Use both machines, fill one, restart the other, submit a job, and make room on the full machine later."""
    warm_up = job(_WARM_UP, owner="cairns-ops", shards=400, vcpus=1.0, memoryGb=1.0, expectedRunS=1.0, sizeGb=0.05)
    await deployment.submit(warm_up)
    await deployment.until(lambda: len(deployment.starts(_WARM_UP, 0.0)) >= 400, 60.0, "the first job does not end")
    await asyncio.sleep(22.0)  # the controllers' idle connections to the machines are closed by then
    filler = job(_FILLER, owner="cairns-ops", vcpus=16.0, memoryGb=16.0, region="rocky-east", sizeGb=0.05)
    await deployment.submit(filler)
    await deployment.until_running(_FILLER, 1)
    await asyncio.sleep(3.0)
    worker = next(each for each in deployment.workers.values() if each.region == "brisbane-west")
    serial = worker.serial
    await deployment.until(lambda: worker.serial > serial, 10.0, "the worker does not report")
    await asyncio.sleep(0.5)
    if deployment.trouble:
        await worker.restart(_DOWN_S)
    submitted_at = deployment.now()
    await deployment.submit(job(_JOB, owner="cairns-ops", vcpus=4.0, sizeGb=0.05))
    await asyncio.sleep(8.0)
    deployment.finish_now.add(_FILLER)
    await asyncio.sleep(14.0)
    if not deployment.starts(_JOB, submitted_at):
        deployment.record("the job was not started")
    return deployment.twice


if __name__ == "__main__":
    main(_PLAN, scenario, __file__)
