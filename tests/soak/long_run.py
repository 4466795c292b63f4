"""The long form of the soak, started by hand: `python -m tests.soak.long_run --first 1 --seeds 300 --processes 6`.

Prints a line for each seed and a summary; the exit code is 1 if any history broke a rule."""

from __future__ import annotations

import sys
from multiprocessing import Pool

import click
import trio._core._run as trio_run

from tests.soak.failover_soak import Reached, play


def _play(seed: int) -> Reached:
    # As conftest does for each test: the same history every time.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(0)
    return play(seed)


@click.command()
@click.option("--first", default=1, show_default=True, help="the first seed")
@click.option("--seeds", default=300, show_default=True, help="how many seeds")
@click.option("--processes", default=4, show_default=True, help="how many at a time")
def main(first: int, seeds: int, processes: int) -> None:
    """Play many histories, each in its own simulated cluster."""
    failed = missed = 0
    with Pool(processes) as pool:
        for reached in pool.imap_unordered(_play, range(first, first + seeds)):
            click.echo(str(reached))
            failed += bool(reached.violations)
            missed += not reached.aim
    click.echo(f"{seeds} seeds: {failed} broke a rule, {missed} did not reach the state that is meant")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
