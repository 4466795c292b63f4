"""Debug log lines on the fleet's utilisation, so that operators can see what causes its cost."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.workers import TaskPhase

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Utilisation:
    """Utilisation of the machines of one type and market (spot or on-demand)."""

    machines: int = 0
    cpus: float = 0.0
    running_cpus: float = 0.0
    starting_cpus: float = 0.0
    booting: int = 0


class UtilisationLog:
    """Logs the utilisation at a fixed interval if debug logging is enabled."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._last_logged_at = float("-inf")

    def log_if_due(self, now: float) -> None:
        """If the interval has passed, log a line per machine type and market and a line per unschedulable job."""
        if not log.isEnabledFor(logging.DEBUG) or now - self._last_logged_at < constants.UTILISATION_LOG_S:
            return
        self._last_logged_at = now
        for (machine_type, spot), use in sorted(self._utilisation().items(), key=lambda item: item[0]):
            log_event(
                log,
                logging.DEBUG,
                "fleet_utilisation",
                machine_type=machine_type,
                spot=spot,
                machines=use.machines,
                cpus=use.cpus,
                running_cpus=use.running_cpus,
                starting_cpus=use.starting_cpus,
                booting=use.booting,
            )
        for item in self._state.unschedulable():
            spec = item.job.spec
            log_event(
                log,
                logging.DEBUG,
                "unschedulable",
                job=spec.job_id,
                tasks=item.count,
                expected_run_s=spec.expected_run_s,
            )

    def _utilisation(self) -> dict[tuple[str, bool], _Utilisation]:
        by_market: dict[tuple[str, bool], _Utilisation] = {}
        for machine in self._state.cluster.machines.values():
            use = by_market.setdefault((machine.machine_type, machine.spot), _Utilisation())
            use.machines += 1
            use.cpus += machine.capacity_cpus
            for attempt in machine.attempts.values():
                if attempt.spec is not None and attempt.phase == TaskPhase.RUNNING:
                    use.running_cpus += attempt.spec.cpus
                elif attempt.spec is not None:
                    use.starting_cpus += attempt.spec.cpus
        for instance in self._state.booting.values():
            by_market.setdefault((instance.machine_type, instance.spot), _Utilisation()).booting += 1
        return by_market
