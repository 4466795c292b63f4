"""Pause, kill and stop three real controllers hundreds of times, and measure how long each leader change takes.

    python -m tests.processes.long_run --seconds 600 --membership

Prints violations in the history, and percentiles of the times. Not part of CI: the figures depend on the machine."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
import trio
from hdrh.histogram import HdrHistogram

from tests.processes.history import Accepted, Event, Fault, LeaderChanged, TaskStarted, violations
from tests.processes.play import play

MAX_TIME_MS = 600_000  # ms; upper bound of the histograms


def _recovery_times(events: list[Event]) -> dict[str, tuple[HdrHistogram, HdrHistogram]]:
    """For each kind of fault after which the leader changed: times from the fault to the new leader's term, and to the
    first task start after that."""
    found: dict[str, tuple[HdrHistogram, HdrHistogram]] = {}
    fault: Fault | None = None
    new_leader: LeaderChanged | None = None
    for event in events:
        if isinstance(event, Fault):
            fault, new_leader = (event if event.led else None), None
        elif isinstance(event, LeaderChanged) and fault is not None and event.label != fault.label:
            new_leader = event
        elif isinstance(event, TaskStarted) and fault is not None and new_leader is not None:
            times = found.setdefault(fault.kind, (HdrHistogram(1, MAX_TIME_MS, 3), HdrHistogram(1, MAX_TIME_MS, 3)))
            times[0].record_value(max(1, int((new_leader.at - fault.at) * 1000)))
            times[1].record_value(max(1, int((event.at - fault.at) * 1000)))
            fault = new_leader = None
    return found


def _percentiles(times: HdrHistogram) -> str:
    return ", ".join(f"{p:g}%: {times.get_value_at_percentile(p) / 1000:.2f} s" for p in (50, 90, 100))


@click.command()
@click.option("--seconds", default=600.0, show_default=True, help="of troubles")
@click.option("--seed", default=1, show_default=True)
@click.option("--membership/--no-membership", default=False, show_default=True)
def main(seconds: float, seed: int, membership: bool) -> None:
    """Play the faults, check the history and print the times."""
    with tempfile.TemporaryDirectory() as directory:
        events = trio.run(play, Path(directory), seed, membership, seconds)
    count = {kind: sum(isinstance(event, kind) for event in events) for kind in (Fault, Accepted, LeaderChanged)}
    click.echo(f"{count[Fault]} faults, {count[LeaderChanged]} terms, {count[Accepted]} jobs accepted")
    for text in violations(events):
        click.echo(f"VIOLATION: {text}")
    for kind, (leader, start) in sorted(_recovery_times(events).items()):
        click.echo(f"{kind} of the leader, {leader.get_total_count()} changes: next leader {_percentiles(leader)}")
        click.echo(f"  first task start {_percentiles(start)}")


if __name__ == "__main__":
    main()
