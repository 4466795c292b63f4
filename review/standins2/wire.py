"""HTTP/1.1 with MessagePack bodies on asyncio: a small server and a client, and the pages' size limit."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

BODY_LIMIT = 64 * 1024  # bytes of the JSON form; PROTOCOL: "The limit for request bodies is 64 KiB"
_HEAD_END = b"\r\n\r\n"


class Request(NamedTuple):
    """A decoded request."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


class Answer(NamedTuple):
    """A status and a decoded body."""

    status: int
    body: Any


Handler = Callable[[Request], Awaitable[Answer]]


def json_size(body: Any) -> int:
    """Return the length of the body's JSON form, in which the pages count sizes."""
    return len(msgspec.json.encode(body))


def free_port() -> int:
    """Return a loopback port that is unused now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = (await reader.readuntil(_HEAD_END)).decode("ascii")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.strip().split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    raw = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, raw


class HttpServer:
    """Serves a handler on a loopback port. `close` ends the listener and all connections."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """End the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, raw = message
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                values = {name: each[0] for name, each in parse_qs(query).items()}
                body = msgspec.msgpack.decode(raw) if raw else None
                answer = await self._handler(Request(method, path, values, body))
                data = msgspec.msgpack.encode(answer.body) if answer.body is not None else b""
                writer.write(f"HTTP/1.1 {answer.status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only when the case ends
        finally:
            self._writers.discard(writer)
            writer.close()


class HttpClient:
    """Sends one request at a time to one address, on a connection that stays open."""

    def __init__(self, addr: str) -> None:
        host, _, port = addr.partition(":")
        self._host, self._port = host, int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, method: str, target: str, body: Any, timeout_s: float) -> Answer | None:
        """Send a request; None if there is no answer in time or the connection fails."""
        try:
            return await asyncio.wait_for(self._ask(method, target, body), timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _ask(self, method: str, target: str, body: Any) -> Answer | None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._host, self._port, limit=2**20)
        reader, writer = self._streams
        raw = msgspec.msgpack.encode(body) if body is not None else b""
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\nContent-Length: {len(raw)}\r\n\r\n"
        writer.write(head.encode() + raw)
        await writer.drain()
        message = await _read_message(reader)
        if message is None:
            raise ConnectionResetError
        first, headers, data = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), msgspec.msgpack.decode(data) if data else None)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._streams is not None:
            with contextlib.suppress(Exception):
                self._streams[1].transport.abort()
            self._streams = None
