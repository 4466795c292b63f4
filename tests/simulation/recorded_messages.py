"""Records messages as they are sent, so that tests can deliver them again later."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.http import Reply, Request

if TYPE_CHECKING:
    from tests.simulation.simulated_cluster import SimulatedCluster

SentMessage = tuple[str, str, Request]  # source, destination, request


def record_messages(simulation: SimulatedCluster, *paths: str) -> list[SentMessage]:
    """Return a list to which every request to one of these paths is added from now on."""
    sent: list[SentMessage] = []

    def record(src: str, dst: str, request: Request) -> bool:
        if request.path in paths:
            sent.append((src, dst, request))
        return False

    simulation.net.hold_request = record
    return sent


async def send_copy(simulation: SimulatedCluster, dst: str, sent: SentMessage) -> Reply:
    """Send the recorded request once more, to any destination."""
    return await simulation.net.handlers[dst](sent[0], sent[2])
