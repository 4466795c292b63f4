"""The server side: bounded sockets, bounded bodies, timed-out idlers; bad input never ends the process."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio

from sorrelsill import constants as C

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Request:
    method: str
    path: str
    query: str
    body: bytes


@dataclass(slots=True)
class Reply:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    kind: str = "application/msgpack"


Handler = Callable[[Request], Awaitable[Reply]]


class _TooLong(Exception):
    pass


class Server:
    """Serves one handler on any stream; `open` counts connections against the quota of sockets."""

    def __init__(self, handler: Handler, max_connections: int, name: str = "http") -> None:
        self._handler = handler
        self._max = max_connections
        self._name = name
        self.open = 0

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """One connection, start to end. No exception leaves it, or the whole process would go down."""
        if self.open >= self._max:
            # Guards against running out of sockets: our own calls to the store must still get theirs.
            with trio.move_on_after(1) as scope:
                scope.shield = False
                await trio.aclose_forcefully(stream)
            return
        self.open += 1
        try:
            await self._serve(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError, h11.LocalProtocolError):
            pass
        except Exception:
            log.exception("%s: connection failed", self._name)
        finally:
            self.open -= 1
            await trio.aclose_forcefully(stream)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=C.MAX_BODY // 4)
        with trio.CancelScope() as scope:
            while True:
                scope.deadline = trio.current_time() + C.IDLE_S
                try:
                    request = await self._read(conn, stream, scope)
                except h11.RemoteProtocolError:
                    await self._refuse(conn, stream, 400)
                    return
                except _TooLong:
                    await self._refuse(conn, stream, 413)
                    return
                if request is None:
                    return
                scope.deadline = float("inf")
                try:
                    reply = await self._handler(request)
                except Exception:
                    # Guards against one odd request taking the process down; the cause goes to the log.
                    log.exception("%s: %s %s failed", self._name, request.method, request.path)
                    reply = Reply(500)
                scope.deadline = trio.current_time() + C.REQUEST_S
                await stream.send_all(_encode(conn, reply))
                if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                    return
                conn.start_next_cycle()

    async def _read(self, conn: h11.Connection, stream: trio.abc.Stream, scope: trio.CancelScope) -> Request | None:
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await stream.send_all(_bytes(conn.send(h11.InformationalResponse(status_code=100, headers=[]))))
                data = await stream.receive_some(65536)
                conn.receive_data(bytes(data))
                if not data and head is None and conn.trailing_data[0] == b"":
                    return None
            elif isinstance(event, h11.Request):
                head = event
                scope.deadline = trio.current_time() + C.REQUEST_S
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > C.MAX_BODY:
                    raise _TooLong
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                path, _, query = head.target.decode("ascii", "replace").partition("?")
                return Request(head.method.decode("ascii"), path, query, b"".join(chunks))
            else:
                return None

    async def _refuse(self, conn: h11.Connection, stream: trio.abc.Stream, status: int) -> None:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await stream.send_all(_encode(conn, Reply(status, headers=[("Connection", "close")])))


def _bytes(data: bytes | None) -> bytes:
    return data or b""


def _encode(conn: h11.Connection, reply: Reply) -> bytes:
    headers = [("Content-Type", reply.kind), ("Content-Length", str(len(reply.body))), *reply.headers]
    out = _bytes(conn.send(h11.Response(status_code=reply.status, headers=headers)))
    if reply.body:
        out += _bytes(conn.send(h11.Data(data=reply.body)))
    return out + _bytes(conn.send(h11.EndOfMessage()))
