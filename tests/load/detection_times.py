"""Measure how soon killed controllers are suspected and confirmed as failed, and how often paused controllers are.

    python -m tests.load.detection_times --kills 40 --pauses 40

Runs three controllers in the simulated cluster, on its virtual clock, with the settings of deploy/membership.hcl. Not
part of CI."""

from __future__ import annotations

import random

import click
import trio
from hdrh.histogram import HdrHistogram

from sorrelsill.membership import MembershipSettings
from sorrelsill.membership.view import Status
from tests.simulation import SimulatedCluster, run_scenario, service
from tests.simulation.users import LABELS

MAX_TIME_MS = 120_000  # ms; upper bound of the histograms
FAULT_INTERVAL_S = 15.0  # s; between two faults
LONGEST_PAUSE_S = 8.0  # s; shorter than the presence lease, so no paused controller may be confirmed as failed
POLL_INTERVAL_S = 0.02  # s; between two checks of the membership views


class DetectionTimes:
    """Times from a kill until each other controller suspects and confirms the failure, and counts of false alarms."""

    def __init__(self, seed: int) -> None:
        self.times = {status: HdrHistogram(1, MAX_TIME_MS, 3) for status in (Status.SUSPECTED, Status.CONFIRMED)}
        self.suspected_pauses = 0
        self.confirmed_pauses = 0
        self.rng = random.Random(seed)

    @staticmethod
    def _status(simulation: SimulatedCluster, observer: str, label: str) -> Status:
        membership = simulation.controllers[observer].membership
        assert membership is not None
        return membership.view.peers[label].status

    async def kill(self, simulation: SimulatedCluster) -> None:
        """Kill a controller, wait until all others have confirmed the failure, and restart it."""
        killed = self.rng.choice(LABELS)
        waiting = {(observer, status) for observer in LABELS if observer != killed for status in self.times}
        simulation.kill(killed)
        killed_at = trio.current_time()
        while waiting:
            for observer, status in sorted(waiting, key=lambda item: (item[0], item[1].value)):
                if self._status(simulation, observer, killed) in (status, Status.CONFIRMED):
                    self.times[status].record_value(max(1, int((trio.current_time() - killed_at) * 1000)))
                    waiting.discard((observer, status))
            await trio.sleep(POLL_INTERVAL_S)
        simulation.start(killed)

    async def pause(self, simulation: SimulatedCluster) -> None:
        """Pause a controller for less than its presence lease."""
        paused = self.rng.choice(LABELS)
        others = [label for label in LABELS if label != paused]
        simulation.freeze(paused, self.rng.uniform(0.5, LONGEST_PAUSE_S))
        seen = set()
        began = trio.current_time()
        while trio.current_time() < began + LONGEST_PAUSE_S + 2.0:
            seen |= {self._status(simulation, observer, paused) for observer in others}
            await trio.sleep(POLL_INTERVAL_S)
        self.suspected_pauses += Status.SUSPECTED in seen
        self.confirmed_pauses += Status.CONFIRMED in seen

    async def run(self, simulation: SimulatedCluster, kills: int, pauses: int) -> None:
        """Inject all faults one after the other while a service runs."""
        await simulation.submit(service("run-s", shards=3))
        faults = [self.kill] * kills + [self.pause] * pauses
        self.rng.shuffle(faults)
        for fault in faults:
            await trio.sleep(FAULT_INTERVAL_S)
            await fault(simulation)


@click.command()
@click.option("--kills", default=40, show_default=True)
@click.option("--pauses", default=40, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(kills: int, pauses: int, seed: int) -> None:
    """Measure and print the distributions."""
    detection_times = DetectionTimes(seed)

    async def scenario(simulation: SimulatedCluster) -> None:
        await detection_times.run(simulation, kills, pauses)

    run_scenario(scenario, seed=seed, membership=MembershipSettings())
    for status, times in detection_times.times.items():
        points = ", ".join(f"{p:g}%: {times.get_value_at_percentile(p) / 1000:.2f} s" for p in (50, 90, 99, 100))
        click.echo(f"{status.value:9} after a kill, {times.get_total_count()} observations: {points}")
    click.echo(
        f"{pauses} pauses of 0.5 to {LONGEST_PAUSE_S:g} s: {detection_times.suspected_pauses} suspected, "
        f"{detection_times.confirmed_pauses} confirmed"
    )


if __name__ == "__main__":
    main()
