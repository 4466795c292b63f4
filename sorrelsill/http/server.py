"""HTTP server with limits on connections, body sizes and idle time. Malformed input never ends the process."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio

from sorrelsill import constants
from sorrelsill.http import heads

log = logging.getLogger(__name__)

_RECEIVE_BYTES = 65536


@dataclass(slots=True)
class Request:
    """A request, as passed to the handler."""

    method: str
    path: str
    query: str
    body: bytes


@dataclass(slots=True)
class Reply:
    """The response to a request."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/msgpack"
    owner: str = ""  # machine whose worker owns this connection from now on; empty: the owner stays as it is


Handler = Callable[[Request], Awaitable[Reply]]


class _BodyTooLargeError(Exception):
    pass


class _Connection:
    """The state of one connection."""

    __slots__ = ("buffer", "busy", "idle_s", "last_used_at", "owner", "scope", "stream")

    def __init__(self, stream: trio.abc.Stream, idle_s: float) -> None:
        self.stream = stream
        self.scope = trio.CancelScope()
        self.buffer = bytearray()
        self.idle_s = idle_s
        self.owner = ""
        self.busy = False  # a request is being answered
        self.last_used_at = trio.current_time()


class Server:
    """Serves one handler on any stream, with at most `max_connections` connections.

    A worker owns its connection, and has only one: a new connection closes the worker's previous one, which may be dead
    after a network partition, unless a request on that one is being answered. An owned connection is never closed to
    make room for others."""

    def __init__(
        self, handler: Handler, max_connections: int, name: str = "http", owner_idle_s: float = constants.IDLE_TIMEOUT_S
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._name = name
        self._owner_idle_s = owner_idle_s
        self._connections: set[_Connection] = set()
        self._by_owner: dict[str, _Connection] = {}

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it ends. Raises no exception, since that would end the whole process."""
        if self.open_connections >= self._max_connections and not self._evict_idle():
            # Guards against running out of sockets, which this process also needs for its own calls to the store.
            with trio.move_on_after(1) as scope:
                scope.shield = False
                await trio.aclose_forcefully(stream)
            return
        connection = _Connection(stream, constants.IDLE_TIMEOUT_S)
        self._connections.add(connection)
        try:
            await self._serve(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError, h11.LocalProtocolError):
            pass
        except Exception:
            log.exception("%s: connection failed", self._name)
        finally:
            self._unregister(connection)
            await trio.aclose_forcefully(stream)

    def _evict_idle(self) -> bool:
        """Closes the user's connection that has been idle for longest, and returns whether there was one. Workers'
        connections stay: reconnecting costs a worker a second or more of its lease, but a user only a new
        connection."""
        idle = [k for k in self._connections if not k.busy and not k.owner]
        if not idle:
            return False
        idle_longest = min(idle, key=lambda k: k.last_used_at)
        self._unregister(idle_longest)
        idle_longest.scope.cancel()
        return True

    def _unregister(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        if connection.owner and self._by_owner.get(connection.owner) is connection:
            del self._by_owner[connection.owner]

    def _assign_owner(self, connection: _Connection, owner: str) -> None:
        """Makes a worker the owner of the connection, and closes the worker's previous connection unless that one is
        busy. If the dead connections stayed open while half of the machines reconnect after a network partition, old
        and new connections together would exceed the socket quota."""
        if connection.owner == owner:
            return
        previous = self._by_owner.get(owner)
        connection.owner = owner
        connection.idle_s = self._owner_idle_s
        self._by_owner[owner] = connection
        if previous is not None and not previous.busy:
            self._unregister(previous)
            previous.scope.cancel()

    async def _serve(self, connection: _Connection) -> None:
        with connection.scope as scope:
            while (request := await self._read_plain_request(connection, scope)) is not None:
                reply = await self._handle_request(request, connection, scope)
                head = heads.encode_reply_head(reply.status, reply.content_type, tuple(reply.headers), len(reply.body))
                await connection.stream.send_all(head + reply.body)
                connection.busy = False
            if connection.buffer:
                await self._serve_with_h11(connection, scope)

    async def _handle_request(self, request: Request, connection: _Connection, scope: trio.CancelScope) -> Reply:
        scope.deadline = float("inf")
        connection.busy = True
        try:
            reply = await self._handler(request)
        except Exception:
            # One request that the handler fails on must not end the process.
            log.exception("%s: %s %s failed", self._name, request.method, request.path)
            reply = Reply(500)
        connection.last_used_at = trio.current_time()
        if reply.owner:
            self._assign_owner(connection, reply.owner)
        scope.deadline = connection.last_used_at + constants.REQUEST_TIMEOUT_S
        return reply

    async def _read_plain_request(self, connection: _Connection, scope: trio.CancelScope) -> Request | None:
        """Returns the next request if its head is plain (see `heads`). Otherwise returns None: at the end of the
        connection, or with the received bytes left in the buffer for h11."""
        scope.deadline = trio.current_time() + connection.idle_s
        buffer = connection.buffer
        searched = 0
        while (end := buffer.find(heads.HEAD_END, searched)) < 0:
            if len(buffer) > constants.CACHED_HEAD_MAX:
                return None
            searched = max(0, len(buffer) - len(heads.HEAD_END) + 1)
            if buffer:
                scope.deadline = min(scope.deadline, trio.current_time() + constants.REQUEST_TIMEOUT_S)
            if not await self._receive(connection):
                return None
        end += len(heads.HEAD_END)
        head = heads.parse_request_head(bytes(buffer[:end])) if end <= constants.CACHED_HEAD_MAX else None
        if head is None:
            return None
        if len(buffer) < end + head.length:
            scope.deadline = trio.current_time() + constants.REQUEST_TIMEOUT_S
            while len(buffer) < end + head.length:
                if not await self._receive(connection):
                    return None
        body = bytes(buffer[end : end + head.length])
        del buffer[: end + head.length]
        return Request(head.method, head.path, head.query, body)

    async def _receive(self, connection: _Connection) -> bool:
        data = await connection.stream.receive_some(_RECEIVE_BYTES)
        connection.buffer += data
        return bool(data)

    async def _serve_with_h11(self, connection: _Connection, scope: trio.CancelScope) -> None:
        """Serves the rest of a connection after a head that is not plain."""
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=constants.MAX_BODY // 4)
        conn.receive_data(bytes(connection.buffer))
        stream = connection.stream
        while True:
            scope.deadline = trio.current_time() + constants.IDLE_TIMEOUT_S
            try:
                request = await self._read_request_with_h11(conn, stream, scope)
            except h11.RemoteProtocolError:
                await self._send_error(conn, stream, 400)
                return
            except _BodyTooLargeError:
                await self._send_error(conn, stream, 413)
                return
            if request is None:
                return
            reply = await self._handle_request(request, connection, scope)
            await stream.send_all(_encode_reply(conn, reply))
            connection.busy = False
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read_request_with_h11(
        self, conn: h11.Connection, stream: trio.abc.Stream, scope: trio.CancelScope
    ) -> Request | None:
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await stream.send_all(_or_empty(conn.send(h11.InformationalResponse(status_code=100, headers=[]))))
                data = await stream.receive_some(_RECEIVE_BYTES)
                conn.receive_data(bytes(data))
                if not data and head is None and conn.trailing_data[0] == b"":
                    return None
            elif isinstance(event, h11.Request):
                head = event
                scope.deadline = trio.current_time() + constants.REQUEST_TIMEOUT_S
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > constants.MAX_BODY:
                    raise _BodyTooLargeError
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                path, _, query = head.target.decode("ascii", "replace").partition("?")
                return Request(head.method.decode("ascii"), path, query, b"".join(chunks))
            else:
                return None

    async def _send_error(self, conn: h11.Connection, stream: trio.abc.Stream, status: int) -> None:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await stream.send_all(_encode_reply(conn, Reply(status, headers=[("Connection", "close")])))


def _or_empty(data: bytes | None) -> bytes:
    return data or b""


def _encode_reply(conn: h11.Connection, reply: Reply) -> bytes:
    headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body))), *reply.headers]
    out = _or_empty(conn.send(h11.Response(status_code=reply.status, headers=headers)))
    if reply.body:
        out += _or_empty(conn.send(h11.Data(data=reply.body)))
    return out + _or_empty(conn.send(h11.EndOfMessage()))
