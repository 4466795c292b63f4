"""Loading jobs from the watch cache into the cluster state of a new term."""

from collections.abc import Callable
from typing import Any

import trio
import trio.testing

from sorrelsill.controller.job_loader import JobLoader
from sorrelsill.jobs import Cancellations, new_record
from sorrelsill.model import Catalog, MachineType
from sorrelsill.settings import StateLimits
from sorrelsill.store import KeyValueStore, WatchCache, job_key
from sorrelsill.workers import ClusterState
from tests.simulation import FakeNet, FakeStore, array_job

MACHINE_TYPE = MachineType("std", 16.0, 0.0, 64.0, 40.0, 0.3, 1.0, 0.4, 30.0, ("a",))
UNCONFIRMED_MACHINE = ("m1", {"f": "std", "a": "10.1.0.1:9000", "z": "a", "s": False})
ENDED_WINDOW_S = 45.0  # tasks of a cancelled job may run for so long after its end
CANCELLED = {"p": "cancelled", "n": 0, "o": "red"}


def load(prepare: Callable[[FakeStore, WatchCache, Cancellations], Any], followed_s: float = 60.0) -> ClusterState:
    """Runs `prepare`, then returns the cluster state of a new term in which one machine is unconfirmed.

    `followed_s`: seconds for which the watch cache follows the store before that."""
    clusters = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            net, fake = FakeNet(nursery), FakeStore()
            net.handlers["store"] = fake.handle
            store = KeyValueStore(net.client("n0")("store"), StateLimits(1000.0, 1000.0, 32.0, 16), 1)
            watch_cache = WatchCache(store, ENDED_WINDOW_S + 5.0)
            nursery.start_soon(watch_cache.run)
            spec = array_job("run-1", shards=6, owner="red")
            fake._commit({"if": [], "writes": [{"set": job_key("run-1"), "value": new_record(spec, 0.0)}]})
            await trio.sleep(followed_s)
            cancellations = Cancellations(0.0, 30.0, 10.0, 2)
            prepare(fake, watch_cache, cancellations)
            await trio.sleep(1)
            cluster = ClusterState(fake.rev + 1, trio.current_time(), Catalog({"std": MACHINE_TYPE}), 14.5, 3.4)
            cluster.failover.expect_machines([UNCONFIRMED_MACHINE])
            JobLoader(watch_cache, cancellations, trio.current_time, ENDED_WINDOW_S).load(cluster)
            clusters.append(cluster)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return clusters[0]


def test_live_job_counts_on_unconfirmed_machine() -> None:
    assert load(lambda fake, watch_cache, cancellations: None).unobserved("red") == (6.0, 0.0)


def test_ended_job_counts_while_its_record_is_still_in_the_watch_cache() -> None:
    """Guards against such a job being omitted: it is not loaded as live, and not among the recently ended jobs yet."""
    for learn in (
        lambda fake, watch_cache, cancellations: watch_cache.remember_final("run-1", CANCELLED),
        lambda fake, watch_cache, cancellations: cancellations.add("run-1", trio.current_time()),
    ):
        cluster = load(learn)
        assert "run-1" not in cluster.jobs
        assert cluster.unobserved("red") == (6.0, 0.0)


def test_ended_job_counts_after_its_removal_was_followed() -> None:
    def cancel(fake: FakeStore, watch_cache: WatchCache, cancellations: Cancellations) -> None:
        fake._commit({"if": [], "writes": [{"remove": job_key("run-1")}]})

    assert load(cancel).unobserved("red") == (6.0, 0.0)
    assert load(cancel, followed_s=5.0).unobserved("red") == (16.0, 0.0), "ends may be missed: whole machine counts"
