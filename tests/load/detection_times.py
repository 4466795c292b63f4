"""Measure how soon silent controllers are suspected and confirmed, and how often living ones are suspected.

    python -m tests.load.detection_times --kills 40 --pauses 40

Three controllers of the simulated cluster on its virtual clock, settings of deploy/membership.hcl. Not part of CI."""

from __future__ import annotations

import random

import click
import trio
from hdrh.histogram import HdrHistogram

from sorrelsill.membership import MembershipSettings
from sorrelsill.membership.view import Status
from tests.simulation import SimulatedCluster, run_scenario, service
from tests.simulation.users import LABELS

LONGEST_MS = 120_000  # ms; the longest time that the distributions can hold
SETTLE_S = 15.0  # s; between two troubles
LONGEST_PAUSE_S = 8.0  # s; shorter than the presence lease, so nobody may be confirmed
WATCH_S = 0.02  # s; between two looks at the views


class Detection:
    """Times from the trouble to each observer's judgement."""

    def __init__(self, seed: int) -> None:
        self.times = {status: HdrHistogram(1, LONGEST_MS, 3) for status in (Status.SUSPECTED, Status.CONFIRMED)}
        self.suspected_pauses = 0
        self.confirmed_pauses = 0
        self.rng = random.Random(seed)

    @staticmethod
    def _status(simulation: SimulatedCluster, observer: str, label: str) -> Status:
        membership = simulation.controllers[observer].membership
        assert membership is not None
        return membership.view.peers[label].status

    async def kill(self, simulation: SimulatedCluster) -> None:
        """One death, until all others have confirmed it; then the controller comes back."""
        dead = self.rng.choice(LABELS)
        waiting = {(observer, status) for observer in LABELS if observer != dead for status in self.times}
        simulation.kill(dead)
        died_at = trio.current_time()
        while waiting:
            for observer, status in sorted(waiting, key=lambda item: (item[0], item[1].value)):
                if self._status(simulation, observer, dead) in (status, Status.CONFIRMED):
                    self.times[status].record_value(max(1, int((trio.current_time() - died_at) * 1000)))
                    waiting.discard((observer, status))
            await trio.sleep(WATCH_S)
        simulation.start(dead)

    async def pause(self, simulation: SimulatedCluster) -> None:
        """One pause that is too short to prove a death."""
        paused = self.rng.choice(LABELS)
        others = [label for label in LABELS if label != paused]
        simulation.freeze(paused, self.rng.uniform(0.5, LONGEST_PAUSE_S))
        seen = set()
        began = trio.current_time()
        while trio.current_time() < began + LONGEST_PAUSE_S + 2.0:
            seen |= {self._status(simulation, observer, paused) for observer in others}
            await trio.sleep(WATCH_S)
        self.suspected_pauses += Status.SUSPECTED in seen
        self.confirmed_pauses += Status.CONFIRMED in seen

    async def run(self, simulation: SimulatedCluster, kills: int, pauses: int) -> None:
        """All troubles, one after the other, while a service runs."""
        await simulation.submit(service("run-s", shards=3))
        troubles = [self.kill] * kills + [self.pause] * pauses
        self.rng.shuffle(troubles)
        for trouble in troubles:
            await trio.sleep(SETTLE_S)
            await trouble(simulation)


@click.command()
@click.option("--kills", default=40, show_default=True)
@click.option("--pauses", default=40, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(kills: int, pauses: int, seed: int) -> None:
    """Print the distributions."""
    detection = Detection(seed)

    async def scenario(simulation: SimulatedCluster) -> None:
        await detection.run(simulation, kills, pauses)

    run_scenario(scenario, seed=seed, membership=MembershipSettings())
    for status, times in detection.times.items():
        points = ", ".join(f"{p:g}%: {times.get_value_at_percentile(p) / 1000:.2f} s" for p in (50, 90, 99, 100))
        click.echo(f"{status.value:9} after a death, {times.get_total_count()} judgements: {points}")
    click.echo(
        f"{pauses} pauses of 0.5 to {LONGEST_PAUSE_S:g} s: {detection.suspected_pauses} suspected, "
        f"{detection.confirmed_pauses} confirmed"
    )


if __name__ == "__main__":
    main()
