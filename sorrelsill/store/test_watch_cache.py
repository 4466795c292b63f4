"""Watch cache: responses that arrive late or out of order, and recently ended jobs."""

from typing import Any

import trio
import trio.testing

from sorrelsill.settings import StateLimits
from sorrelsill.store import EndedRecords, KeyValueStore, WatchCache, WatchResult, job_key
from tests.simulation import FakeNet, FakeStore


def _run(scenario: Any) -> None:
    """Runs `scenario(watch_cache, fake)` with a watch cache that follows a simulated store."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            net, fake = FakeNet(nursery), FakeStore()
            net.handlers["store"] = fake.handle
            watch_cache = WatchCache(
                KeyValueStore(net.client("n0")("store"), StateLimits(1000.0, 1000.0, 32.0, 16), 1), 30.0
            )
            nursery.start_soon(watch_cache.run)
            nursery.start_soon(watch_cache.run_barriers)
            await scenario(watch_cache, fake)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def write(fake: FakeStore, key: str, value: Any) -> int:
    change = {"set": key, "value": value} if value is not None else {"remove": key}
    fake._commit({"if": [], "writes": [change]})
    return fake.rev


def test_late_write_response_does_not_restore_a_removed_job() -> None:
    """Guards against tasks of a cancelled job running on: the store's response to the leader's write of the job's
    record arrives after the cancellation was followed, and restores the job in the leader's cluster state."""

    async def scenario(watch_cache: WatchCache, fake: FakeStore) -> None:
        key, notified = job_key("run-1"), []
        written = write(fake, key, {"n": 1})
        write(fake, key, None)
        await trio.sleep(1)
        assert watch_cache.loaded and watch_cache.job("run-1") is None
        watch_cache.listeners.append(lambda k, value, rev: notified.append(k))
        watch_cache.apply_change(key, {"n": 1}, written, True)
        assert watch_cache.job("run-1") is None and not notified

    _run(scenario)


def test_out_of_order_watch_response_does_not_restore_a_removed_job() -> None:
    """A read barrier overtakes the watch: the response of the watch is older and does not include the removal."""

    async def scenario(watch_cache: WatchCache, fake: FakeStore) -> None:
        await trio.sleep(1)
        write(fake, job_key("run-1"), {"n": 1})
        older = WatchResult(fake.rev, [{"set": job_key("run-1"), "value": {"n": 1}, "keyRev": fake.rev}])
        write(fake, job_key("run-1"), None)
        assert await watch_cache.read_barrier()
        watch_cache._apply_watch(older, trio.current_time())
        assert watch_cache.job("run-1") is None

    _run(scenario)


def test_recently_ended_is_complete_only_if_no_end_was_missed() -> None:
    async def scenario(watch_cache: WatchCache, fake: FakeStore) -> None:
        assert not watch_cache.recently_ended(10).complete
        write(fake, job_key("run-1"), {"n": 1})
        await trio.sleep(11)
        write(fake, job_key("run-1"), None)
        await trio.sleep(1)
        assert watch_cache.recently_ended(10) == EndedRecords([("run-1", {"n": 1})], complete=True)
        assert watch_cache.recently_ended(20) == EndedRecords([("run-1", {"n": 1})], complete=False)
        await trio.sleep(10)
        assert watch_cache.recently_ended(10) == EndedRecords([], complete=True)

    _run(scenario)


def test_ended_jobs_are_kept_by_age_not_by_count() -> None:
    """Guards against a limit by count: on a large fleet it drops jobs whose tasks a new leader still has to count."""

    async def scenario(watch_cache: WatchCache, fake: FakeStore) -> None:
        for number in range(6000):
            watch_cache.apply_change(job_key(f"run-{number}"), {"n": 0}, 10_000 + number, True)
        await trio.sleep(20)
        for number in range(6000):
            watch_cache.apply_change(job_key(f"run-{number}"), None, 20_000 + number, False)
        await trio.sleep(8)
        recently_ended = watch_cache.recently_ended(10)
        assert len(recently_ended.records) == 6000 and recently_ended.complete
        await trio.sleep(31)
        watch_cache.apply_change(job_key("run-x"), {"n": 0}, 30_000, True)
        watch_cache.apply_change(job_key("run-x"), None, 30_001, False)
        assert watch_cache.ended_jobs.job_ids() == ["run-x"], "older entries are dropped"
        assert not watch_cache.recently_ended(31).complete, "a window longer than ended jobs are kept is never complete"

    _run(scenario)


def test_removal_ahead_of_the_watch_is_remembered() -> None:
    """A job that this process cancels before the watch returns its record must not be restored by a watch response
    already in flight. Its tasks may keep running for a while, so it still counts as recently ended."""

    async def scenario(watch_cache: WatchCache, fake: FakeStore) -> None:
        key, notified = job_key("run-1"), []
        await trio.sleep(1)
        accepted = write(fake, key, {"n": 1})
        older = WatchResult(accepted, [{"set": key, "value": {"n": 1}, "keyRev": accepted}])
        watch_cache.listeners.append(lambda k, value, rev: notified.append((k, value)))
        watch_cache.apply_change(key, None, accepted + 1, False)
        watch_cache._apply_watch(older, trio.current_time())
        assert watch_cache.job("run-1") is None and (key, {"n": 1}) not in notified
        assert watch_cache.ended_jobs.job_ids() == ["run-1"]
        write(fake, key, None)
        assert await watch_cache.read_barrier() and watch_cache.job("run-1") is None and not watch_cache._removed

    _run(scenario)
