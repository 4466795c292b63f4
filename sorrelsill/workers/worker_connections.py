"""Connections to workers, and what every direct call has in common: one at a time for each machine, a pause after a
failure, and the answer, which is the machine's state."""

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

log = logging.getLogger(__name__)


class WorkerConnections:
    """Keeps the connections used last, and knows which machines are being called or left alone."""

    def __init__(
        self,
        client: Callable[[str], Client],
        kept: int,
        leadership_valid: Callable[[], bool],
        on_response: Callable[[], None],
    ) -> None:
        """`kept` is the number of connections that stay open; `on_response` is called after each answer that was taken
        in."""
        self.busy: set[str] = set()  # machines with a call in flight
        self.pauses = CallPauses()
        self._make_client = client
        self._kept = kept
        self._leadership_valid = leadership_valid
        self._on_response = on_response
        self._clients: OrderedDict[str, Client] = OrderedDict()

    def client(self, addr: str) -> Client:
        """The connection to an address, made if there is none."""
        client = self._clients.get(addr)
        if client is None:
            client = self._clients[addr] = self._make_client(addr)
            while len(self._clients) > self._kept:
                self._clients.popitem(last=False)[1].close()
        self._clients.move_to_end(addr)
        return client

    def take_response(self, cluster: ClusterState, raw: bytes) -> None:
        """Take in the machine's state, unless we ceased to lead meanwhile."""
        try:
            heartbeat = parse_heartbeat(raw)
        except InvalidHeartbeatError as error:
            log_event(log, logging.INFO, "invalid_command_response", error=error)
            return
        if self._leadership_valid():
            cluster.on_command_response(heartbeat, trio.current_time())
            self._on_response()

    def call_failed(self, name: str, reason: str) -> None:
        """Leave the machine alone for a while."""
        log_event(log, logging.DEBUG, "machine_not_reached", machine=name, error=reason)
        self.pauses.call_failed(name, trio.current_time())


def is_address(addr: str) -> bool:
    """Whether a machine's address can be called."""
    try:
        split_addr(addr)
    except ValueError:
        return False
    return True
