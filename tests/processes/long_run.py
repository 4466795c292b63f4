"""Hundreds of pauses, kills and planned stops of three real controllers, and how long each change of leader took.

    python -m tests.processes.long_run --seconds 600 --membership

Prints violations of the history and the distributions. Not part of CI: the figures depend on the machine."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
import trio
from hdrh.histogram import HdrHistogram

from tests.processes.history import Accepted, Event, LeaderSeen, TaskBegan, Trouble, violations
from tests.processes.play import play

LONGEST_MS = 600_000  # ms; the longest time that the distributions can hold


def _after_troubles(events: list[Event]) -> dict[str, tuple[HdrHistogram, HdrHistogram]]:
    """For each kind of trouble that changed the leader: times to the next one, and to its first start."""
    found: dict[str, tuple[HdrHistogram, HdrHistogram]] = {}
    trouble: Trouble | None = None
    changed: LeaderSeen | None = None
    for event in events:
        if isinstance(event, Trouble):
            trouble, changed = (event if event.led else None), None
        elif isinstance(event, LeaderSeen) and trouble is not None and event.label != trouble.label:
            changed = event
        elif isinstance(event, TaskBegan) and trouble is not None and changed is not None:
            times = found.setdefault(trouble.kind, (HdrHistogram(1, LONGEST_MS, 3), HdrHistogram(1, LONGEST_MS, 3)))
            times[0].record_value(max(1, int((changed.at - trouble.at) * 1000)))
            times[1].record_value(max(1, int((event.at - trouble.at) * 1000)))
            trouble = changed = None
    return found


def _points(times: HdrHistogram) -> str:
    return ", ".join(f"{p:g}%: {times.get_value_at_percentile(p) / 1000:.2f} s" for p in (50, 90, 100))


@click.command()
@click.option("--seconds", default=600.0, show_default=True, help="of troubles")
@click.option("--seed", default=1, show_default=True)
@click.option("--membership/--no-membership", default=False, show_default=True)
def main(seconds: float, seed: int, membership: bool) -> None:
    """Play, check, measure."""
    with tempfile.TemporaryDirectory() as directory:
        events = trio.run(play, Path(directory), seed, membership, seconds)
    count = {kind: sum(isinstance(event, kind) for event in events) for kind in (Trouble, Accepted, LeaderSeen)}
    click.echo(f"{count[Trouble]} troubles, {count[LeaderSeen]} terms, {count[Accepted]} jobs accepted")
    for text in violations(events):
        click.echo(f"VIOLATION: {text}")
    for kind, (leader, start) in sorted(_after_troubles(events).items()):
        click.echo(f"{kind} of the leader, {leader.get_total_count()} changes: next leader {_points(leader)}")
        click.echo(f"  first start by it {_points(start)}")


if __name__ == "__main__":
    main()
