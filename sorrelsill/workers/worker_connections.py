"""Connections to workers, and the handling that all direct calls share: at most one call per machine at a time, a pause
after a failure, and a response that carries the machine's state."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from sorrelsill.events import log_event
from sorrelsill.http import Client
from sorrelsill.settings import split_addr
from sorrelsill.workers.call_pauses import CallPauses
from sorrelsill.workers.errors import InvalidHeartbeatError
from sorrelsill.workers.messages import parse_heartbeat

if TYPE_CHECKING:
    from sorrelsill.workers.cluster_state import ClusterState
    from sorrelsill.workers.restarts import MachineSnapshot

log = logging.getLogger(__name__)


class WorkerConnections:
    """Keeps the most recently used connections, and tracks which machines have a call in flight or are paused after a
    failure."""

    def __init__(
        self,
        client: Callable[[str], Client],
        max_connections: int,
        leadership_valid: Callable[[], bool],
        on_response: Callable[[], None],
    ) -> None:
        """`client` returns a new HTTP client for an address; only the `max_connections` clients used last are kept, all
        others are closed. `leadership_valid` tells whether we may command workers now. `on_response` is called after
        each response that was applied to the cluster state."""
        self.busy: set[str] = set()  # machines with a call in flight
        self.pauses = CallPauses()
        self._make_client = client
        self._max_connections = max_connections
        self._leadership_valid = leadership_valid
        self._on_response = on_response
        self._clients: OrderedDict[str, Client] = OrderedDict()

    def client(self, addr: str) -> Client:
        """Return the HTTP client for an address; create one if there is none, and close the least recently used client
        if there are too many."""
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = self._make_client(addr)
            while len(self._clients) > self._max_connections:
                self._clients.popitem(last=False)[1].close()
        self._clients.move_to_end(addr)
        return client

    def apply_response(self, cluster: ClusterState, raw: bytes, snapshot: MachineSnapshot | None) -> None:
        """Update the cluster state from the machine's response, unless we are no longer the leader. `snapshot`: what
        was known of the machine when the call was sent; None if nothing was."""
        try:
            heartbeat = parse_heartbeat(raw)
        except InvalidHeartbeatError as error:
            log_event(log, logging.INFO, "invalid_command_response", error=error)
            return
        log_event(
            log,
            logging.DEBUG,
            "direct_call_answered",
            machine=heartbeat.machine,
            incarnation=heartbeat.incarnation,
            sequence_number=heartbeat.sequence_number,
            token=heartbeat.fencing_token,
            tasks=len(heartbeat.tasks),
        )
        if self._leadership_valid():
            cluster.on_command_response(heartbeat, trio.current_time(), snapshot)
            self._on_response()

    def call_failed(self, name: str, reason: str) -> None:
        """Log the failure and pause calls to the machine."""
        log_event(log, logging.DEBUG, "machine_not_reached", machine=name, error=reason)
        self.pauses.call_failed(name, trio.current_time())


def is_address(addr: str) -> bool:
    """Whether the text is a valid address (a machine may have none yet)."""
    try:
        split_addr(addr)
    except ValueError:
        return False
    return True
