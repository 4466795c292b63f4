"""The machines whose worker may have restarted, and those whose new worker has not shown a higher token yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sorrelsill.workers.machine import Machine


class RestartedMachines:
    """The machines of one term whose workers restarted or may have; `restarts.py` decides which."""

    def __init__(self) -> None:
        self.suspected: dict[str, Machine] = {}  # to be asked in a direct call whether their worker restarted
        self._unfenced: dict[str, Machine] = {}
        self.required_token = 0  # the highest that any machine has to show

    def suspect(self, machine: Machine) -> None:
        """Have the machine asked whether its worker restarted."""
        self.suspected[machine.name] = machine

    def add(self, machine: Machine) -> None:
        """Add a machine whose worker has restarted."""
        self._unfenced[machine.name] = machine
        self.required_token = max(self.required_token, machine.required_token)

    def token_raised(self, fencing_token: int) -> None:
        """Have the new token sent to the machines that have to show it."""
        for machine in self._unfenced.values():
            if machine.required_token <= fencing_token:
                self.suspect(machine)

    def discard(self, name: str) -> None:
        """Forget a machine that has shown the token or is gone."""
        self._unfenced.pop(name, None)
        self.suspected.pop(name, None)
