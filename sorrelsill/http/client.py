"""HTTP client: one request at a time per connection, and a small pool of idle connections per address."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11
import trio

from sorrelsill import constants
from sorrelsill.http import heads
from sorrelsill.settings import split_addr

_RECEIVE_BYTES = 65536


class HttpError(Exception):
    """A request got no valid response."""


class NotSentError(HttpError):
    """The request was not sent, so it was certainly not executed."""


class NoAnswerError(HttpError):
    """The request was sent but got no valid response: it may have been executed, or may still be executed later."""


Connect = Callable[[str], Awaitable[trio.abc.Stream]]

MaySend = Callable[[], bool]  # called right before a request is sent: whether it may still be sent


def always_allowed() -> bool:
    """The default for `may_send`: the request may be sent at any time."""
    return True


async def connect_tcp(addr: str) -> trio.abc.Stream:
    """Opens a TCP connection to a numeric address. Names are not resolved, since that would need a thread."""
    sock = trio.socket.socket()
    try:
        await sock.connect(split_addr(addr))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class _PooledConnection:
    __slots__ = ("last_used_at", "reusable", "stream")

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.reusable = False  # the last response was complete, and the connection can take another request
        self.last_used_at = trio.current_time()


class Client:
    """Sends requests to one address. A connection returns to the pool only after a complete response that leaves it
    usable."""

    def __init__(self, addr: str, connect: Connect = connect_tcp) -> None:
        self.addr = addr
        self._connect = connect
        self._idle_connections: list[_PooledConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = constants.STORE_TIMEOUT_S,
        may_send: MaySend = always_allowed,
    ) -> tuple[int, bytes]:
        """Sends a request and returns status and body. Raises NotSentError or NoAnswerError, also if there is no
        response within `timeout` seconds."""
        conn: _PooledConnection | None = None
        sent = False
        with trio.move_on_after(timeout):
            try:
                conn = self._pop_idle() or await self._open()
                data = heads.encode_request_head(method, target, self.addr, len(body)) + body
                # Guards against a process that was paused while it connected, and then sends a request based on an
                # outdated decision.
                if not may_send():
                    raise NotSentError(f"{self.addr}: not sent, the sender's permission has ended")
                sent = True
                await conn.stream.send_all(data)
                status, answer = await self._read_response(conn, method)
                self._return_to_pool(conn)
                conn = None
                return status, answer
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
                raise (NoAnswerError if sent else NotSentError)(f"{self.addr}: {error}") from None
            finally:
                if conn is not None:
                    await trio.aclose_forcefully(conn.stream)
        raise (NoAnswerError if sent else NotSentError)(f"{self.addr}: no answer within {timeout:.1f} s")

    def close(self) -> None:
        """Closes the idle connections. Connections in use are not closed."""
        while self._idle_connections:
            _close_now(self._idle_connections.pop().stream)

    async def _read_response(self, conn: _PooledConnection, method: str) -> tuple[int, bytes]:
        buffer = bytearray()
        while (end := buffer.find(heads.HEAD_END)) < 0 and len(buffer) <= constants.CACHED_HEAD_MAX:
            if not await _receive(conn, buffer):
                break
        end += len(heads.HEAD_END)
        head = (
            heads.parse_reply_head(bytes(buffer[:end]))
            if len(heads.HEAD_END) <= end <= constants.CACHED_HEAD_MAX
            else None
        )
        if head is None:
            return await self._read_with_h11(conn, method, buffer)
        while len(buffer) < end + head.length:
            if not await _receive(conn, buffer):
                raise OSError("connection closed before the answer")
        conn.reusable = len(buffer) == end + head.length
        return head.status, bytes(buffer[end : end + head.length])

    async def _read_with_h11(self, conn: _PooledConnection, method: str, buffer: bytearray) -> tuple[int, bytes]:
        """Reads a response whose head is not plain."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=method, target="/", headers=[("Host", self.addr)]))
        parser.send(h11.EndOfMessage())
        if buffer:
            parser.receive_data(bytes(buffer))
        status = 0
        chunks: list[bytes] = []
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(bytes(await conn.stream.receive_some(_RECEIVE_BYTES)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                conn.reusable = parser.their_state is h11.DONE and parser.our_state is h11.DONE
                return status, b"".join(chunks)
            elif not isinstance(event, h11.InformationalResponse):
                raise OSError("connection closed before the answer")

    def _pop_idle(self) -> _PooledConnection | None:
        now = trio.current_time()
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if now - conn.last_used_at < constants.POOL_IDLE_S:
                return conn
            _close_now(conn.stream)
        return None

    async def _open(self) -> _PooledConnection:
        with trio.move_on_after(constants.CONNECT_TIMEOUT_S):
            return _PooledConnection(await self._connect(self.addr))
        raise OSError("connecting took too long")

    def _return_to_pool(self, conn: _PooledConnection) -> None:
        if conn.reusable and len(self._idle_connections) < constants.POOL_MAX:
            conn.reusable = False
            conn.last_used_at = trio.current_time()
            self._idle_connections.append(conn)
        else:
            _close_now(conn.stream)


async def _receive(conn: _PooledConnection, buffer: bytearray) -> bool:
    data = await conn.stream.receive_some(_RECEIVE_BYTES)
    buffer += data
    return bool(data)


def _close_now(stream: trio.abc.Stream) -> None:
    """Closes a stream without awaiting, if it is based on a socket."""
    sock = getattr(stream, "socket", None)
    if sock is not None:
        sock.close()
