"""The only replica of a production service fails once; its machine is sound and empty, and the cloud has no other."""

from __future__ import annotations

import asyncio

from standins2.harness import Deployment, Plan, job, main

_WAIT_S = 90.0
_SERVICE = "run-000001"

_FLAVOUR = {
    "sku": "teak-small",
    "vcpus": 8.0,
    "gpus": 0.0,
    "memoryGb": 64.0,
    "cacheGb": 40.0,
    "pullGbPerS": 0.3,
    "price": 0.5,
    "spotPrice": 0.21,
    "bootS": 35.0,
    "regions": ["bangna", "nonthaburi"],
}
_PLAN = Plan(
    [_FLAVOUR],
    [("teak-small", "bangna")],
    [{"name": "trust-desk", "cpus": 0.0, "cpus_max": 0.0}],
    objectives=[{"kind": "wait", "class": "cert-verify", "within_s": 1.0, "share": 0.88}],
)


async def scenario(deployment: Deployment) -> list[str]:
    """Run the service, let its replica fail, and wait for the next start."""
    service = job(_SERVICE, workload="cert-verify", shape="standing", rank="prod", vcpus=2.0, memoryGb=5.9)
    await deployment.submit({**service, "expectedRunS": 0.0})
    await deployment.until_running(_SERVICE, 1)
    await asyncio.sleep(1.0)
    if not deployment.trouble:
        await asyncio.sleep(20.0)
        return [] if deployment.tasks(_SERVICE, "running") else ["the service does not run"]
    deployment.fail_once.add(f"{_SERVICE}/0")
    await deployment.until(lambda: not deployment.tasks(_SERVICE, "running"), 5.0, "the replica does not fail")
    failed_at = deployment.now()
    await asyncio.sleep(_WAIT_S)
    if deployment.starts(_SERVICE, failed_at):
        return []
    (worker,) = deployment.workers.values()
    if worker.lost_sessions:
        return []
    return [f"{_SERVICE} waits for {_WAIT_S:g} s after one failure while {worker.name} fits, is empty and reports"]


if __name__ == "__main__":
    main(_PLAN, scenario, __file__)
