"""The list of a large fleet, read between other calls."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.fleet import Cloud
from sorrelsill.fleet.machine_list import MachineListReader
from sorrelsill.settings import CloudLimits
from tests.simulation import FakeCloud, FakeNet


def play(machines: int, scenario: Callable[[MachineListReader, Cloud, FakeCloud], Awaitable[None]]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            net = FakeNet(nursery)
            fake = FakeCloud(lambda name, machine_type, zone, spot: None, lag_s=0.0)
            for _ in range(machines):
                fake.add("c8", "a", False)
            net.handlers["cloud"] = fake.handle
            cloud = Cloud(net.client("n0")("cloud"), CloudLimits(1.5, 12.0))
            await scenario(MachineListReader(cloud), cloud, fake)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_long_list_is_read_completely_and_leaves_half_of_the_rate_to_other_calls() -> None:
    async def scenario(reader: MachineListReader, cloud: Cloud, fake: FakeCloud) -> None:
        other_calls, listings = 0, []
        while trio.current_time() < 120.0:
            if reader.due(trio.current_time()):
                found = await reader.read_page(trio.current_time())
                if found is not None:
                    listings.append(found)
            await cloud.call("GET", "/catalog")
            other_calls += 1
        assert listings and all(len(found) == 8000 for found in listings)
        assert other_calls >= 0.5 * 120.0 * 1.5 * constants.CLOUD_SHARE

    play(8000, scenario)


def test_a_list_of_one_page_is_read_at_the_usual_interval() -> None:
    async def scenario(reader: MachineListReader, cloud: Cloud, fake: FakeCloud) -> None:
        read = 0
        while trio.current_time() < 40.0:
            if reader.due(trio.current_time()) and await reader.read_page(trio.current_time()) is not None:
                read += 1
            await trio.sleep(0.25)
        assert read == 40.0 / constants.LIST_EVERY_S

    play(400, scenario)


def test_a_failed_reading_starts_again_and_is_never_taken_as_complete() -> None:
    async def scenario(reader: MachineListReader, cloud: Cloud, fake: FakeCloud) -> None:
        assert await reader.read_page(0.0) is None and reader.due(0.0)
        fake.outage = True
        assert await reader.read_page(1.0) is None and not reader.due(1.0)
        fake.outage = False
        assert await reader.read_page(5.0) is None and await reader.read_page(5.5) is None
        found = await reader.read_page(6.0)
        assert found is not None and len(found) == 1200

    play(1200, scenario)
