"""The long form of a soak, started by hand: `python -m tests.soak.long_run --soak failover --seeds 300 --processes 6`.

Prints a line for each seed and a summary; the exit code is 1 if any run violated a rule."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from multiprocessing import Pool

import click
import trio._core._run as trio_run

from tests.soak import failover_soak, held_starts_soak

RunResult = failover_soak.RunResult | held_starts_soak.RunResult

_SOAKS: dict[str, Callable[[int], RunResult]] = {"failover": failover_soak.play, "held-starts": held_starts_soak.play}


def _play_deterministically(soak: str, seed: int) -> RunResult:
    # As conftest.py does for each test, so that a seed gives the same run every time.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(0)
    return _SOAKS[soak](seed)


@click.command()
@click.option("--soak", type=click.Choice(list(_SOAKS)), default="failover", show_default=True, help="which soak")
@click.option("--first", default=1, show_default=True, help="the first seed")
@click.option("--seeds", default=300, show_default=True, help="how many seeds")
@click.option("--processes", default=4, show_default=True, help="how many at a time")
def main(soak: str, first: int, seeds: int, processes: int) -> None:
    """Play many runs, each in its own simulated cluster."""
    failed = missed = 0
    with Pool(processes) as pool:
        for result in pool.imap_unordered(partial(_play_deterministically, soak), range(first, first + seeds)):
            click.echo(str(result))
            failed += bool(result.violations)
            missed += not result.target_state_reached
    click.echo(f"{seeds} seeds: {failed} violated a rule, {missed} did not reach the state to be tested")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
