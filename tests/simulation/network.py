"""A simulated request/response network with partitions that hold requests back and deliver them when they end."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from sorrelsill.http import Client, MaySend, NoAnswerError, NotSentError, Reply, Request, always_allowed

Handler = Callable[[str, Request], Awaitable[Reply]]


@dataclass(eq=False)
class _PendingRequest:
    """A request in transit. If a cut holds it, it is delivered when the cut ends, even if its sender has timed out."""

    src: str
    dst: str
    request: Request
    reply_channel: trio.MemorySendChannel[Reply]


class FakeNet:
    """Delivers requests between named endpoints.

    Endpoints in `down` refuse connections. A cut holds requests until it ends and drops responses; the sender times
    out."""

    def __init__(self, nursery: trio.Nursery, latency: float = 0.002) -> None:
        self._nursery = nursery
        self.latency = latency
        self.handlers: dict[str, Handler] = {}
        self.down: set[str] = set()
        self.refused: set[tuple[str, str]] = set()  # (source, destination) pairs whose connections are refused
        self._cuts: set[tuple[str, str]] = set()
        self._held: list[_PendingRequest] = []
        # Whether the response to a request is lost.
        self.drop_response: Callable[[str, str, Request], bool] = lambda src, dst, request: False
        # Whether a request is held back until the next release().
        self.hold_request: Callable[[str, str, Request], bool] = lambda src, dst, request: False
        # Seconds after which a request is delivered without a response to its sender; None for normal delivery.
        self.late_delivery_s: Callable[[str, str, Request], float | None] = lambda src, dst, request: None
        # Called with each request that is sent, to record it or to deliver copies of it.
        self.copy_request: Callable[[str, str, Request], None] = lambda src, dst, request: None
        # Called between connecting and writing, which is after the sender has decided to send.
        self.on_connected: Callable[[str, str, Request], None] = lambda src, dst, request: None
        # Called with each request that was written, so not with one that `may_send` stopped.
        self.on_sent: Callable[[str, str, Request], None] = lambda src, dst, request: None

    def cut(self, a: str, b: str, both: bool = True) -> None:
        self._cuts.add((a, b))
        if both:
            self._cuts.add((b, a))

    def heal(self) -> None:
        """End all cuts and deliver the held requests in order."""
        self._cuts.clear()
        self.release()

    def end_cuts_to(self, dst: str) -> None:
        """End the cuts towards one address and deliver the held requests in order."""
        self._cuts = {cut for cut in self._cuts if cut[1] != dst}
        self.release()

    def release(self) -> None:
        held, self._held = self._held, []
        for pending in held:
            self._nursery.start_soon(self._deliver, pending)

    def is_cut(self, src: str, dst: str) -> bool:
        return (src, dst) in self._cuts

    def client(self, src: str) -> Callable[[str], Client]:
        return lambda dst: _FakeClient(self, src, dst)

    async def _deliver(self, pending: _PendingRequest) -> None:
        handler = self.handlers.get(pending.dst)
        if handler is None or pending.dst in self.down:
            pending.reply_channel.close()
            return
        reply = await handler(pending.src, pending.request)
        if self.drop_response(pending.src, pending.dst, pending.request) or self.is_cut(pending.dst, pending.src):
            return
        with contextlib.suppress(trio.BrokenResourceError, trio.WouldBlock):
            pending.reply_channel.send_nowait(reply)

    async def _deliver_late(self, pending: _PendingRequest, delay_s: float) -> None:
        await trio.sleep(delay_s)
        handler = self.handlers.get(pending.dst)
        if handler is not None and pending.dst not in self.down:
            await handler(pending.src, pending.request)

    async def deliver_copy(self, src: str, dst: str, request: Request) -> None:
        """Deliver a copy of an earlier request to the current endpoint and drop its response."""
        handler = self.handlers.get(dst)
        if handler is not None and dst not in self.down:
            await handler(src, request)

    async def send(
        self, src: str, dst: str, request: Request, timeout: float, may_send: MaySend = always_allowed
    ) -> Reply:
        if dst in self.down or dst not in self.handlers or (src, dst) in self.refused:
            await trio.sleep(self.latency)
            raise NotSentError(f"{dst} refused the connection")
        sender, receiver = trio.open_memory_channel[Reply](1)
        pending = _PendingRequest(src, dst, request, sender)
        with trio.move_on_after(timeout):
            await trio.sleep(self.latency)
            self.on_connected(src, dst, request)
            await trio.lowlevel.checkpoint()
            if not may_send():
                raise NotSentError(f"{src} may no longer send to {dst}")
            self.on_sent(src, dst, request)
            self.copy_request(src, dst, request)
            delay_s = self.late_delivery_s(src, dst, request)
            if delay_s is not None:
                self._nursery.start_soon(self._deliver_late, pending, delay_s)
            elif self.is_cut(src, dst) or self.hold_request(src, dst, request):
                self._held.append(pending)
            else:
                self._nursery.start_soon(self._deliver, pending)
            try:
                return await receiver.receive()
            except trio.EndOfChannel:
                raise NoAnswerError(f"{dst} closed the connection") from None
        receiver.close()
        raise NoAnswerError(f"no response from {dst}")


class _FakeClient(Client):
    """The HTTP client's interface on the fake network."""

    def __init__(self, net: FakeNet, src: str, dst: str) -> None:
        super().__init__(dst)
        self._net, self._src = net, src

    async def request(
        self, method: str, target: str, body: bytes = b"", timeout: float = 1.5, may_send: MaySend = always_allowed
    ) -> tuple[int, bytes]:
        path, _, query = target.partition("?")
        reply = await self._net.send(self._src, self.addr, Request(method, path, query, body), timeout, may_send)
        return reply.status, reply.body
