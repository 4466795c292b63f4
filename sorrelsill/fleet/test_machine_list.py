"""Reading the machine list page by page between other calls."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.fleet import CloudClient
from sorrelsill.fleet.machine_list import MachineListReader
from sorrelsill.settings import CloudLimits
from tests.simulation import FakeCloud, FakeNet


def run_with_fleet(
    machines: int, scenario: Callable[[MachineListReader, CloudClient, FakeCloud], Awaitable[None]]
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            net = FakeNet(nursery)
            fake_cloud = FakeCloud(lambda name, machine_type, zone, spot: None, lag_s=0.0)
            for _ in range(machines):
                fake_cloud.add("c8", "a", False)
            net.handlers["cloud"] = fake_cloud.handle
            cloud = CloudClient(net.client("n0")("cloud"), CloudLimits(1.5, 12.0))
            await scenario(MachineListReader(cloud), cloud, fake_cloud)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_reading_a_long_list_completes_and_leaves_half_of_the_rate() -> None:
    async def scenario(reader: MachineListReader, cloud: CloudClient, fake_cloud: FakeCloud) -> None:
        other_calls, machine_lists = 0, []
        while trio.current_time() < 120.0:
            if reader.due(trio.current_time()):
                machine_list = await reader.read_page(trio.current_time())
                if machine_list is not None:
                    machine_lists.append(machine_list)
            await cloud.call("GET", "/catalog")
            other_calls += 1
        assert machine_lists and all(len(machine_list) == 8000 for machine_list in machine_lists)
        assert other_calls >= 0.5 * 120.0 * 1.5 * constants.CLOUD_SHARE

    run_with_fleet(8000, scenario)


def test_single_page_list_is_read_at_the_minimum_interval() -> None:
    async def scenario(reader: MachineListReader, cloud: CloudClient, fake_cloud: FakeCloud) -> None:
        lists_read = 0
        while trio.current_time() < 40.0:
            if reader.due(trio.current_time()) and await reader.read_page(trio.current_time()) is not None:
                lists_read += 1
            await trio.sleep(0.25)
        assert lists_read == 40.0 / constants.LIST_EVERY_S

    run_with_fleet(400, scenario)


def test_failed_reading_restarts_and_returns_no_partial_list() -> None:
    async def scenario(reader: MachineListReader, cloud: CloudClient, fake_cloud: FakeCloud) -> None:
        assert await reader.read_page(0.0) is None and reader.due(0.0)
        fake_cloud.outage = True
        assert await reader.read_page(1.0) is None and not reader.due(1.0)
        fake_cloud.outage = False
        assert await reader.read_page(5.0) is None and await reader.read_page(5.5) is None
        machine_list = await reader.read_page(6.0)
        assert machine_list is not None and len(machine_list) == 1200

    run_with_fleet(1200, scenario)
