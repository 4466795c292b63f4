"""Probes after a failover: a new leader sends its fencing token to the registered machines that have not acknowledged
it yet.

The response carries the machine's state. Once a worker has received the token, it rejects commands of earlier
leaders."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.http import NoAnswerError, NotSentError
from sorrelsill.timers import Timers
from sorrelsill.workers.errors import InvalidHeartbeatError
from sorrelsill.workers.messages import DirectCommands, parse_heartbeat
from sorrelsill.workers.worker_connections import is_address

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.worker_connections import WorkerConnections

_encode = msgspec.msgpack.Encoder().encode


class MachineProbes:
    """Probes the unconfirmed machines of a term, with a bounded number of probes in flight."""

    def __init__(self, connections: WorkerConnections, leadership_valid: Callable[[], bool], limit: int) -> None:
        self._connections = connections
        self._leadership_valid = leadership_valid
        self._limit = limit
        self.in_flight = 0
        self._repeats_in_flight = 0  # probes in flight to machines that were probed before
        self._cluster: ClusterState | None = None  # the term's cluster state whose machines are probed
        self._not_probed: deque[str] = deque()  # machines not probed yet in this term
        self._repeat_timers: Timers[str] = Timers()  # when machines that are still unconfirmed are probed next

    def start_due(self, cluster: ClusterState, nursery: trio.Nursery) -> None:
        """Start the probes that are due. A machine that does not answer is probed again with exponential backoff. Only
        a part of the probes may be repeats, so that these never block the first probes of other machines."""
        if self._cluster is not cluster:
            self._cluster = cluster
            self._not_probed = deque(cluster.failover.unconfirmed)
            self._repeat_timers.clear()
        while self._not_probed and self.in_flight < self._limit:
            self._start(cluster, self._not_probed.popleft(), nursery)
        now = trio.current_time()
        repeats_limit = self._limit * constants.REPEATED_PROBES_SHARE
        while self._repeats_in_flight < repeats_limit and self.in_flight < self._limit:
            name = self._repeat_timers.pop_due(now)
            if name is None:
                break
            self._start(cluster, name, nursery, repeated=True)

    def _start(self, cluster: ClusterState, name: str, nursery: trio.Nursery, repeated: bool = False) -> None:
        addr = cluster.failover.unconfirmed_addresses.get(name, "")
        if name not in cluster.failover.unconfirmed or not is_address(addr):
            return
        if name in self._connections.busy:
            self._repeat_timers.set_if_earlier(name, trio.current_time() + constants.RETRY_PAUSE_S)
            return
        self._connections.busy.add(name)
        self.in_flight += 1
        self._repeats_in_flight += repeated
        nursery.start_soon(self._probe, cluster, name, addr, repeated)

    async def _probe(self, cluster: ClusterState, name: str, addr: str, repeated: bool) -> None:
        try:
            # The first probe has a short timeout: otherwise thousands of machines that hang would delay the probes of
            # those that answer.
            timeout_s = constants.COMMAND_TIMEOUT_S if repeated else constants.FIRST_PROBE_TIMEOUT_S
            status, raw = await self._connections.client(addr).request("GET", "/status", b"", timeout_s)
            if status != 200 or not self._leadership_valid():
                return
            incarnation = parse_heartbeat(raw).incarnation
            body = _encode(DirectCommands(cluster.fencing_token, incarnation, []))
            snapshot = cluster.snapshot(name)
            status, raw = await self._connections.client(addr).request(
                "POST", "/commands", body, constants.COMMAND_TIMEOUT_S, may_send=self._leadership_valid
            )
            if status in (200, 409):
                self._connections.apply_response(cluster, raw, snapshot)
        except (NotSentError, NoAnswerError, InvalidHeartbeatError) as error:
            self._connections.call_failed(name, str(error))
        finally:
            self._connections.busy.discard(name)
            self.in_flight -= 1
            self._repeats_in_flight -= repeated
            if name in cluster.failover.unconfirmed and self._cluster is cluster:
                self._repeat_timers.set_if_earlier(name, self._connections.pauses.retry_at(name, trio.current_time()))
