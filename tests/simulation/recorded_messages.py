"""Messages recorded as they are sent, for late copies and repeats of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sorrelsill.http import Reply, Request

if TYPE_CHECKING:
    from tests.simulation.simulated_cluster import SimulatedCluster

SentMessage = tuple[str, str, Request]  # from, to, what


def record_messages(simulation: SimulatedCluster, *paths: str) -> list[SentMessage]:
    """All that is sent to one of these paths from now on; the list grows as it is sent."""
    sent: list[SentMessage] = []

    def hold_nothing(src: str, dst: str, request: Request) -> bool:
        if request.path in paths:
            sent.append((src, dst, request))
        return False

    simulation.net.hold_request = hold_nothing
    return sent


async def send_copy(simulation: SimulatedCluster, dst: str, sent: SentMessage) -> Reply:
    """The same bytes once more, to any receiver."""
    return await simulation.net.handlers[dst](sent[0], sent[2])
