"""Caches for parsed and encoded heads of HTTP messages: a head is the start line and the headers.

At some 500 requests per second, h11's parsing and encoding of heads took most of a leader's CPU time, and most heads
occur many times. So h11 handles the same plain head only once, and the result is cached. A head is plain if it is
HTTP/1.1, keeps the connection open, and has a body of a given length or none; a plain request is a GET or a POST. For
any other head the parsers return None. Then h11 handles the rest of the connection in the server, and that response in
the client."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache

import h11

from sorrelsill import constants

HEAD_END = b"\r\n\r\n"
# The host with which a request head is encoded for the cache. It is then cut out, so that all hosts share one cached
# head.
_PLACEHOLDER_HOST = "0.0.0.0:0"
_PLAIN_HOST = re.compile(r"[0-9.:]+")
_CONNECTION_HEADERS = frozenset(
    {b"connection", b"transfer-encoding", b"expect", b"upgrade"}
)  # headers that change how the rest of the connection is read


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The parsed head of a plain request. `length`: bytes of the body."""

    method: str
    path: str
    query: str
    length: int


@dataclass(slots=True, frozen=True)
class ReplyHead:
    """The parsed head of a plain response. `length`: bytes of the body."""

    status: int
    length: int


def _body_length(headers: h11._headers.Headers) -> int | None:
    """The length of the body in bytes, 0 if there is no Content-Length; None if the head is not plain."""
    length = 0
    for name, value in headers:
        if name in _CONNECTION_HEADERS:
            return None
        if name == b"content-length":
            length = int(value)
    return length


@lru_cache(maxsize=constants.HEAD_CACHE_SIZE)
def parse_request_head(head: bytes) -> RequestHead | None:
    """Parses the head of a request. Returns None if the head is malformed or not plain."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(head)
    try:
        event = conn.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Request) or event.http_version != b"1.1":
        return None
    length = _body_length(event.headers)
    if length is None or length > constants.MAX_BODY or event.method not in (b"GET", b"POST"):
        return None
    path, _, query = event.target.decode("ascii", "replace").partition("?")
    return RequestHead(event.method.decode("ascii"), path, query, length)


@lru_cache(maxsize=constants.HEAD_CACHE_SIZE)
def parse_reply_head(head: bytes) -> ReplyHead | None:
    """Parses the head of a response. Returns None if the head is malformed or not plain."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    conn.send(h11.EndOfMessage())
    conn.receive_data(head)
    try:
        event = conn.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Response) or event.http_version != b"1.1" or event.status_code in (204, 304):
        return None
    if not any(name == b"content-length" for name, _ in event.headers):
        return None
    length = _body_length(event.headers)
    return ReplyHead(event.status_code, length) if length is not None else None


@lru_cache(maxsize=constants.HEAD_CACHE_SIZE)
def encode_reply_head(status: int, content_type: str, headers: tuple[tuple[str, str], ...], length: int) -> bytes:
    """Encodes the head of the response to a plain request."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: x" + HEAD_END)
    conn.next_event()
    conn.next_event()
    lines = [("Content-Type", content_type), ("Content-Length", str(length)), *headers]
    return conn.send(h11.Response(status_code=status, headers=lines)) or b""


@lru_cache(maxsize=constants.HEAD_CACHE_SIZE)
def _request_template(method: str, target: str, body: bool) -> tuple[bytes, bytes]:
    """The parts of the head before and after the host, so that all machines share one cached template."""
    head = _encode_with_h11(method, target, _PLACEHOLDER_HOST, body)
    before, _, after = head.partition(_PLACEHOLDER_HOST.encode("ascii"))
    return before, after


def _encode_with_h11(method: str, target: str, host: str, body: bool) -> bytes:
    """Encodes the head up to, but without, the value of Content-Length, which comes last."""
    conn = h11.Connection(h11.CLIENT)
    head = [("Host", host), *([("Content-Type", "application/msgpack")] if body else []), ("Content-Length", "0")]
    return (conn.send(h11.Request(method=method, target=target, headers=head)) or b"")[: -len(b"0" + HEAD_END)]


def encode_request_head(method: str, target: str, host: str, length: int) -> bytes:
    """Encodes the head of a request: a cached template, the host and the length of the body. A head whose target has
    a query is not cached: it rarely occurs again, and would only evict others."""
    if "?" in target or not _PLAIN_HOST.fullmatch(host):
        head = _encode_with_h11(method, target, host, length > 0)
    else:
        before, after = _request_template(method, target, length > 0)
        head = before + host.encode("ascii") + after
    return head + str(length).encode("ascii") + HEAD_END
