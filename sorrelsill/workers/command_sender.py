"""Sends stops and wake-ups to workers in direct calls, so that they do not wait for the next heartbeat.

A worker may execute such a call minutes late or twice, so it carries no starts (`commands.py`)."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.workers.commands import has_direct_commands, take_direct_commands
from sorrelsill.workers.machine_probes import MachineProbes
from sorrelsill.workers.messages import DirectCommands
from sorrelsill.workers.restart_probes import RestartProbes
from sorrelsill.workers.worker_connections import WorkerConnections, is_address

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.machine import Machine

log = logging.getLogger(__name__)

_encode = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on connections and on concurrent calls to workers.

    The leader needs a socket for each machine's heartbeats, so its socket quota has to grow with the fleet. The limits
    on open connections and on probes in flight grow with that quota. The limit on commands in flight is fixed: a higher
    one would only make more responses arrive at the same time."""

    connections: int  # connections to workers that stay open
    commands: int  # direct calls with commands in flight
    probes: int  # probes in flight

    @classmethod
    def derive(cls, sockets: int) -> CallLimits:
        """Derive the limits from a controller's socket quota."""
        return cls(
            connections=max(8, int(sockets * constants.COMMAND_SOCKETS_SHARE)),
            commands=constants.COMMANDS_IN_FLIGHT_MAX,
            probes=max(constants.PROBES_IN_FLIGHT_MIN, int(sockets * constants.PROBES_PER_SOCKET)),
        )


class CommandSender:
    """Sends direct calls: at most one in flight per machine, a bounded number in total, and a pause after a failure."""

    def __init__(
        self,
        client: Callable[[str], Client],
        leadership_valid: Callable[[], bool],
        jobs_fresh: Callable[[], bool],
        limits: CallLimits,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        """`client` returns an HTTP client for an address. `leadership_valid` tells whether we may command workers now,
        `jobs_fresh` whether our view of the jobs is recent enough for starts, without which no worker is woken up.
        `on_response` is called after each response that was applied to the cluster state."""
        self._limits = limits
        self._leadership_valid = leadership_valid
        self._jobs_fresh = jobs_fresh
        self._connections = WorkerConnections(client, limits.connections, leadership_valid, on_response)
        self._busy = self._connections.busy
        self._probes = MachineProbes(self._connections, leadership_valid, limits.probes)
        self._restart_probes = RestartProbes(self._connections, leadership_valid)

    def start_due(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start a call to each machine that has commands not sent yet, up to the limit."""
        now = trio.current_time()
        if not self._leadership_valid():
            return
        jobs_fresh = self._jobs_fresh()
        for machine in list(cluster.machines_with_pending_commands.values()):
            if len(self._busy) - self._probes.in_flight - self._restart_probes.in_flight >= self._limits.commands:
                return
            if machine.name in self._busy or self._connections.pauses.is_paused(
                machine.name, now, machine.last_seen_at
            ):
                continue
            if not _may_be_called(machine) or not has_direct_commands(cluster, machine, True):
                del cluster.machines_with_pending_commands[machine.name]
            elif has_direct_commands(cluster, machine, jobs_fresh):
                # Commands that become due during the call put the machine back into this dict.
                del cluster.machines_with_pending_commands[machine.name]
                self._busy.add(machine.name)
                nursery.start_soon(self._send_commands, cluster, machine)

    def probe_unconfirmed(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start the probes that are due: of unconfirmed machines after a failover, and of machines whose worker may
        have restarted."""
        self._probes.start_due(cluster, nursery)
        self._restart_probes.start_due(cluster, nursery)

    async def _send_commands(self, cluster: ClusterState, machine: Machine) -> None:
        try:
            if not self._leadership_valid() or machine.lease_expired:
                return
            batch = take_direct_commands(cluster, machine, self._jobs_fresh())
            if not batch.commands:
                return
            token = cluster.fencing_token
            body = _encode(DirectCommands(token, machine.incarnation, batch.commands))
            snapshot = cluster.snapshot(machine.name)
            try:
                status, raw = await self._connections.client(machine.addr).request(
                    "POST", "/commands", body, constants.COMMAND_TIMEOUT_S, may_send=self._leadership_valid
                )
            except NotSentError as error:
                machine.wake_up_sent = False
                self._connections.call_failed(machine.name, str(error))
                return
            except NoAnswerError as error:
                self._call_unanswered(machine, batch.wakes_up, token, error)
                return
            if status in (200, 400, 409):
                self._connections.pauses.call_answered(machine.name)
                self._connections.apply_response(cluster, raw, snapshot)
            else:
                self._connections.call_failed(machine.name, f"status {status}")
        finally:
            self._busy.discard(machine.name)
            if has_direct_commands(cluster, machine, True):
                cluster.machines_with_pending_commands[machine.name] = machine

    def _call_unanswered(self, machine: Machine, wakes_up: bool, token: int, error: NoAnswerError) -> None:
        """The machine gets no new work until it has shown that responses or commands reach it."""
        machine.reachable = False
        machine.wake_up_sent = False
        self._connections.call_failed(machine.name, str(error))
        log_event(
            log,
            logging.INFO,
            "direct_call_unanswered",
            machine=machine.name,
            incarnation=machine.incarnation,
            token=token,
            wakes_up=wakes_up,
        )


def _may_be_called(machine: Machine) -> bool:
    """Whether commands may be sent to the machine in direct calls. A machine whose heartbeat is overdue gets them in
    the response to its next heartbeat instead: otherwise some fifty machines that hang at once would occupy all calls
    for two seconds each, and healthy machines would get their commands only with their next heartbeats."""
    return (
        not machine.heartbeat_overdue
        and not machine.lease_expired
        and machine.token_acknowledged
        and is_address(machine.addr)
    )
