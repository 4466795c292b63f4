"""Commands sent straight to workers, so that a start does not wait for the next heartbeat.

Such a command may be executed minutes late while fencing token and incarnation still match, so an attempt whose direct
start is unanswered stays uncertain: a heartbeat without it proves nothing, it is never cleared, and to be rid of it
the same start goes out again in an answer to a heartbeat (which cannot be late), followed by a stop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.workers.commands import has_direct_commands, mark_starts_answered, take_direct_commands
from sorrelsill.workers.machine_probes import MachineProbes
from sorrelsill.workers.messages import DirectCommands
from sorrelsill.workers.worker_connections import WorkerConnections, is_address

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.machine import Attempt, Machine

_encode = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class CallLimits:
    """How many calls to workers there may be at a time. Every machine needs a socket of the leader's for its
    heartbeats, so the quota of sockets grows with the fleet, and with it the probes after a failover. Commands keep
    their pace: more of them at a time would only be answered at a time as well."""

    connections: int  # machines to which a connection is kept
    commands: int
    probes: int

    @classmethod
    def derive(cls, sockets: int) -> CallLimits:
        """Out of a controller's quota of sockets."""
        return cls(
            connections=max(8, int(sockets * constants.COMMAND_SOCKETS)),
            commands=constants.COMMANDS_AT_ONCE,
            probes=max(constants.PROBES_AT_ONCE, int(sockets * constants.PROBES_OF_SOCKETS)),
        )


class CommandSender:
    """One call in flight per machine, a bounded number in all; a machine that fails is left alone a while."""

    def __init__(
        self,
        client: Callable[[str], Client],
        leadership_valid: Callable[[], bool],
        jobs_fresh: Callable[[], bool],
        limits: CallLimits,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        """`leadership_valid`: whether we may command workers now; `jobs_fresh`: whether our view of the jobs is recent
        enough for starts; `on_response` is called after each answer that was taken in."""
        self._limits = limits
        self._leadership_valid = leadership_valid
        self._jobs_fresh = jobs_fresh
        self._connections = WorkerConnections(client, limits.connections, leadership_valid, on_response)
        self._busy = self._connections.busy
        self._probes = MachineProbes(self._connections, leadership_valid, limits.probes)

    def start_due(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start a call for every machine with commands it was not sent yet."""
        now = trio.current_time()
        if not self._leadership_valid():
            return
        jobs_fresh = self._jobs_fresh()
        for machine in list(cluster.machines_with_pending_commands.values()):
            if len(self._busy) - self._probes.in_flight >= self._limits.commands:
                return
            if machine.name in self._busy or self._connections.pauses.is_paused(
                machine.name, now, machine.last_seen_at
            ):
                continue
            if not _may_be_called(machine) or not has_direct_commands(cluster, machine, True):
                del cluster.machines_with_pending_commands[machine.name]
            elif has_direct_commands(cluster, machine, jobs_fresh):
                # What becomes due while the call is under way puts the machine back among these.
                del cluster.machines_with_pending_commands[machine.name]
                self._busy.add(machine.name)
                nursery.start_soon(self._send_commands, cluster, machine)

    def probe_unconfirmed(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start the probes that are due after a failover."""
        self._probes.start_due(cluster, nursery)

    async def _send_commands(self, cluster: ClusterState, machine: Machine) -> None:
        try:
            if not self._leadership_valid() or machine.lease_expired:
                return
            batch = take_direct_commands(cluster, machine, self._jobs_fresh())
            if not batch.commands:
                return
            body = _encode(DirectCommands(cluster.term, machine.incarnation, batch.commands))
            try:
                status, raw = await self._connections.client(machine.addr).request(
                    "POST", "/commands", body, constants.COMMAND_TIMEOUT_S, may_send=self._valid_for(batch.started)
                )
            except NotSentError as error:
                mark_starts_answered(batch.started)
                self._connections.call_failed(machine.name, str(error))
                return
            except NoAnswerError as error:
                # The attempts stay uncertain, and the machine gets no more work before it has shown that it hears.
                machine.reachable = False
                self._connections.call_failed(machine.name, str(error))
                return
            if status in (200, 400, 409):
                self._connections.pauses.call_answered(machine.name)
                mark_starts_answered(batch.started)
                self._connections.take_response(cluster, raw)
            else:
                self._connections.call_failed(machine.name, f"status {status}")
        finally:
            self._busy.discard(machine.name)
            if has_direct_commands(cluster, machine, True):
                cluster.machines_with_pending_commands[machine.name] = machine

    def _valid_for(self, starts: list[Attempt]) -> Callable[[], bool]:
        """Whether commands may still go out: with starts only while the view of the jobs is fresh as well."""
        return lambda: self._leadership_valid() and (not starts or self._jobs_fresh())


def _may_be_called(machine: Machine) -> bool:
    """Whether the machine is sent commands directly. What is overdue gets them with its next heartbeat: guards against
    some fifty machines that hang at once taking all calls for two seconds each, while the healthy ones wait for their
    heartbeats."""
    return (
        not machine.heartbeat_overdue
        and not machine.lease_expired
        and machine.token_acknowledged
        and is_address(machine.addr)
    )
