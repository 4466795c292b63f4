"""Probes of machines whose worker may have restarted: the response to a direct call proves whether it has, and a second
call gives the new worker the fencing token that it has to show."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.http import NoAnswerError, NotSentError
from sorrelsill.workers.messages import DirectCommands
from sorrelsill.workers.worker_connections import is_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.machine import Machine
    from sorrelsill.workers.worker_connections import WorkerConnections

_encode = msgspec.msgpack.Encoder().encode


class RestartProbes:
    """Probes the suspected machines, with a bounded number of probes in flight."""

    def __init__(self, connections: WorkerConnections, leadership_valid: Callable[[], bool]) -> None:
        self._connections = connections
        self._leadership_valid = leadership_valid
        self.in_flight = 0

    def start_due(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start a probe of each suspected machine that has no call in flight and is not paused after a failure. The
        others stay suspected."""
        now = trio.current_time()
        for machine in list(cluster.restarts.suspected.values()):
            if self.in_flight >= constants.PROBES_IN_FLIGHT_MIN:
                return
            paused = self._connections.pauses.is_paused(machine.name, now, machine.last_seen_at)
            if machine.name in self._connections.busy or paused:
                continue
            del cluster.restarts.suspected[machine.name]
            if is_address(machine.addr):
                self.in_flight += 1
                self._connections.busy.add(machine.name)
                nursery.start_soon(self._probe, cluster, machine)

    async def _probe(self, cluster: ClusterState, machine: Machine) -> None:
        try:
            await self._call(cluster, machine, "GET", "/status")
            if machine.required_token <= cluster.fencing_token and not machine.token_acknowledged:
                commands = DirectCommands(cluster.fencing_token, machine.incarnation, [])
                await self._call(cluster, machine, "POST", "/commands", _encode(commands))
        except (NotSentError, NoAnswerError) as error:
            self._connections.call_failed(machine.name, str(error))
        finally:
            self._connections.busy.discard(machine.name)
            self.in_flight -= 1

    async def _call(self, cluster: ClusterState, machine: Machine, method: str, path: str, body: bytes = b"") -> None:
        snapshot = cluster.snapshot(machine.name)
        status, raw = await self._connections.client(machine.addr).request(
            method, path, body, constants.COMMAND_TIMEOUT_S, may_send=self._leadership_valid
        )
        if status in (200, 409):
            self._connections.pauses.call_answered(machine.name)
            self._connections.apply_response(cluster, raw, snapshot)
