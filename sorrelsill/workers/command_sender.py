"""Commands sent straight to workers, so that a start does not wait for the next heartbeat.

Such a command may be executed minutes late while fencing token and incarnation still match, so an attempt whose direct
start is unanswered stays uncertain: a heartbeat without it proves nothing, it is never cleared, and to be rid of it
the same start goes out again in an answer to a heartbeat (which cannot be late), followed by a stop."""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.settings import split_addr
from sorrelsill.timers import Timers
from sorrelsill.workers.call_pauses import CallPauses
from sorrelsill.workers.commands import direct_commands_answered, has_direct_commands, take_direct_commands
from sorrelsill.workers.errors import InvalidHeartbeatError
from sorrelsill.workers.messages import DirectCommands, parse_heartbeat

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.machine import Attempt, Machine

log = logging.getLogger(__name__)

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
        valid: Callable[[], bool],
        fresh: Callable[[], bool],
        limits: CallLimits,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_response` is called after each answer that was taken in."""
        self._make_client = client
        self._limits = limits
        self._valid = valid
        self._fresh = fresh
        self._clients: OrderedDict[str, Client] = OrderedDict()
        self._busy: set[str] = set()
        self._probing = 0  # probes in flight
        self._repeating = 0  # those of them to machines that did not answer before
        self._pauses = CallPauses()
        self._probed: ClusterState | None = None  # whose machines are probed
        self._not_probed: deque[str] = deque()
        self._probe_again: Timers[str] = Timers()  # when machines that did not answer are probed next
        self._on_response = on_response

    def _client(self, addr: str) -> Client:
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = self._make_client(addr)
            while len(self._clients) > self._limits.connections:
                self._clients.popitem(last=False)[1].close()
        self._clients.move_to_end(addr)
        return client

    def start_due(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start a call for every machine with commands it was not sent yet."""
        now = trio.current_time()
        if not self._valid():
            return
        fresh = self._fresh()
        for machine in list(cluster.machines_with_pending_commands.values()):
            if len(self._busy) - self._probing >= self._limits.commands:
                return
            if machine.name in self._busy or self._pauses.is_paused(machine.name, now, machine.seen_at):
                continue
            if not _may_be_called(machine) or not has_direct_commands(cluster, machine, True):
                del cluster.machines_with_pending_commands[machine.name]
            elif has_direct_commands(cluster, machine, fresh):
                # What becomes due while the call is under way puts the machine back among these.
                del cluster.machines_with_pending_commands[machine.name]
                self._busy.add(machine.name)
                nursery.start_soon(self._send_commands, cluster, machine)

    def probe_unconfirmed(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Show our fencing token to the registered machines that were not heard yet: an answer is the machine's
        state, with nothing older to come. Each is tried again after a pause that grows; what did not answer before
        never keeps those from being probed that were not probed yet."""
        if self._probed is not cluster:
            self._probed = cluster
            self._not_probed = deque(cluster.failover.unconfirmed)
            self._probe_again.clear()
        limit = self._limits.probes
        while self._not_probed and self._probing < limit:
            self._start_probe(cluster, self._not_probed.popleft(), nursery)
        now = trio.current_time()
        while self._repeating < limit * constants.REPEATED_PROBES and self._probing < limit:
            name = self._probe_again.pop_due(now)
            if name is None:
                break
            self._start_probe(cluster, name, nursery, repeated=True)

    def _start_probe(self, cluster: ClusterState, name: str, nursery: trio.Nursery, repeated: bool = False) -> None:
        addr = cluster.failover.unconfirmed_addresses.get(name, "")
        if name not in cluster.failover.unconfirmed or not _is_address(addr):
            return
        if name in self._busy:
            self._probe_again.set_if_earlier(name, trio.current_time() + constants.RETRY_S)
            return
        self._busy.add(name)
        self._probing += 1
        self._repeating += repeated
        nursery.start_soon(self._probe, cluster, name, addr, repeated)

    async def _send_commands(self, cluster: ClusterState, machine: Machine) -> None:
        try:
            if not self._valid() or machine.lease_expired:
                return
            batch = take_direct_commands(cluster, machine, self._fresh())
            if not batch.commands:
                return
            body = _encode(DirectCommands(cluster.term, machine.incarnation, batch.commands))
            try:
                status, raw = await self._client(machine.addr).request(
                    "POST", "/commands", body, constants.COMMAND_TIMEOUT_S, may_send=self._valid_for(batch.started)
                )
            except NotSentError as error:
                direct_commands_answered(batch.started)
                self._call_failed(machine.name, str(error))
                return
            except NoAnswerError as error:
                # The attempts stay uncertain, and the machine gets no more work before it has shown that it hears.
                machine.reachable = False
                self._call_failed(machine.name, str(error))
                return
            if status in (200, 400, 409):
                self._pauses.call_answered(machine.name)
                direct_commands_answered(batch.started)
                self._take_response(cluster, raw)
            else:
                self._call_failed(machine.name, f"status {status}")
        finally:
            self._busy.discard(machine.name)
            if has_direct_commands(cluster, machine, True):
                cluster.machines_with_pending_commands[machine.name] = machine

    def _valid_for(self, starts: list[Attempt]) -> Callable[[], bool]:
        """Whether commands may still go out: with starts only while the view of the jobs is fresh as well."""
        return lambda: self._valid() and (not starts or self._fresh())

    async def _probe(self, cluster: ClusterState, name: str, addr: str, repeated: bool) -> None:
        try:
            # Guards against machines that hang: thousands of them would keep the probes from those that answer.
            timeout_s = constants.COMMAND_TIMEOUT_S if repeated else constants.FIRST_PROBE_TIMEOUT_S
            status, raw = await self._client(addr).request("GET", "/status", b"", timeout_s)
            if status != 200 or not self._valid():
                return
            incarnation = parse_heartbeat(raw).incarnation
            body = _encode(DirectCommands(cluster.term, incarnation, []))
            status, raw = await self._client(addr).request(
                "POST", "/commands", body, constants.COMMAND_TIMEOUT_S, may_send=self._valid
            )
            if status in (200, 409):
                self._take_response(cluster, raw)
        except (NotSentError, NoAnswerError, InvalidHeartbeatError) as error:
            self._call_failed(name, str(error))
        finally:
            self._busy.discard(name)
            self._probing -= 1
            self._repeating -= repeated
            if name in cluster.failover.unconfirmed and self._probed is cluster:
                self._probe_again.set_if_earlier(name, self._pauses.retry_at(name, trio.current_time()))

    def _take_response(self, cluster: ClusterState, raw: bytes) -> None:
        try:
            heartbeat = parse_heartbeat(raw)
        except InvalidHeartbeatError as error:
            log_event(log, logging.INFO, "invalid_command_response", error=error)
            return
        if self._valid():
            cluster.on_command_response(heartbeat, trio.current_time())
            self._on_response()

    def _call_failed(self, name: str, reason: str) -> None:
        log_event(log, logging.DEBUG, "machine_not_reached", machine=name, error=reason)
        self._pauses.call_failed(name, trio.current_time())


def _may_be_called(machine: Machine) -> bool:
    """Whether the machine is sent commands directly. What is overdue gets them with its next heartbeat: guards against
    some fifty machines that hang at once taking all calls for two seconds each, while the healthy ones wait for their
    heartbeats."""
    return (
        not machine.heartbeat_overdue
        and not machine.lease_expired
        and machine.token_acknowledged
        and _is_address(machine.addr)
    )


def _is_address(addr: str) -> bool:
    try:
        split_addr(addr)
    except ValueError:
        return False
    return True
