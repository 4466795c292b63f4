"""The watch cache: what comes late or out of order."""

from typing import Any

import trio
import trio.testing

from sorrelsill.settings import StateLimits
from sorrelsill.store import EndedRecords, KeyValueStore, WatchCache, WatchResult, job_key
from tests.simulation import FakeNet, FakeStore


def _follow(tell: Any) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            net, fake = FakeNet(nursery), FakeStore()
            net.handlers["store"] = fake.handle
            watch_cache = WatchCache(
                KeyValueStore(net.client("n0")("store"), StateLimits(1000.0, 1000.0, 32.0, 16), 1), 30.0
            )
            nursery.start_soon(watch_cache.run)
            nursery.start_soon(watch_cache.run_barriers)
            await tell(watch_cache, fake)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def write(fake: FakeStore, key: str, value: Any) -> int:
    change = {"set": key, "value": value} if value is not None else {"remove": key}
    fake._multi({"if": [], "writes": [change]})
    return fake.rev


def test_a_late_answer_does_not_bring_back_what_was_removed_meanwhile() -> None:
    """Found on a measured day: the leader's own record of a job was answered only after the job's cancellation had
    been followed; the job came back to life in the leader's cluster state and its tasks ran on."""

    async def tell(watch_cache: WatchCache, fake: FakeStore) -> None:
        key, heard = job_key("run-1"), []
        written = write(fake, key, {"n": 1})
        write(fake, key, None)
        await trio.sleep(1)
        assert watch_cache.loaded and watch_cache.job("run-1") is None
        watch_cache.listeners.append(lambda k, value, rev: heard.append(k))
        watch_cache.apply_change(key, {"n": 1}, written, True)
        assert watch_cache.job("run-1") is None and not heard

    _follow(tell)


def test_answers_out_of_order_do_not_bring_back_what_was_removed_meanwhile() -> None:
    """A barrier overtakes the watch; the watch's answer is older and lacks the removal."""

    async def tell(watch_cache: WatchCache, fake: FakeStore) -> None:
        await trio.sleep(1)
        write(fake, job_key("run-1"), {"n": 1})
        older = WatchResult(fake.rev, [{"set": job_key("run-1"), "value": {"n": 1}, "keyRev": fake.rev}])
        write(fake, job_key("run-1"), None)
        assert await watch_cache.read_barrier()
        watch_cache._apply_watch(older, trio.current_time())
        assert watch_cache.job("run-1") is None

    _follow(tell)


def test_what_ended_lately_is_told_only_if_none_can_be_missing() -> None:
    async def tell(watch_cache: WatchCache, fake: FakeStore) -> None:
        assert not watch_cache.recently_ended(10).complete
        write(fake, job_key("run-1"), {"n": 1})
        await trio.sleep(11)
        write(fake, job_key("run-1"), None)
        await trio.sleep(1)
        assert watch_cache.recently_ended(10) == EndedRecords([("run-1", {"n": 1})], complete=True)
        assert watch_cache.recently_ended(20) == EndedRecords([("run-1", {"n": 1})], complete=False)
        await trio.sleep(10)
        assert watch_cache.recently_ended(10) == EndedRecords([], complete=True)

    _follow(tell)


def test_ends_are_remembered_for_their_time_however_many_there_are() -> None:
    """With a fixed number of them, the ends of a large fleet's jobs left a new leader in the dark."""

    async def tell(watch_cache: WatchCache, fake: FakeStore) -> None:
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
        assert watch_cache.ended_jobs.job_ids() == ["run-x"], "what is older takes no memory"
        assert not watch_cache.recently_ended(31).complete, "nothing is said about more than is remembered"

    _follow(tell)


def test_a_removal_that_the_view_has_not_reached_yet_is_remembered() -> None:
    """A job cancelled here, before the watch told of it, must not come back with a watch answer that was on its way.
    Its tasks may run on for a while, so it counts as lately over all the same."""

    async def tell(watch_cache: WatchCache, fake: FakeStore) -> None:
        key, heard = job_key("run-1"), []
        await trio.sleep(1)
        accepted = write(fake, key, {"n": 1})
        older = WatchResult(accepted, [{"set": key, "value": {"n": 1}, "keyRev": accepted}])
        watch_cache.listeners.append(lambda k, value, rev: heard.append((k, value)))
        watch_cache.apply_change(key, None, accepted + 1, False)
        watch_cache._apply_watch(older, trio.current_time())
        assert watch_cache.job("run-1") is None and (key, {"n": 1}) not in heard
        assert watch_cache.ended_jobs.job_ids() == ["run-1"]
        write(fake, key, None)
        assert await watch_cache.read_barrier() and watch_cache.job("run-1") is None and not watch_cache._removed

    _follow(tell)
