"""What h11 says of a head, remembered: the same bytes mean the same, and most heads come again and again.

Measured at some 500 requests a second, h11's reading and writing of heads was most of a leader's processor time. A
plain head (HTTP/1.1, kept open, a body of a given length or none) is therefore asked of h11 once. Whatever is not
plain gets None here, and h11 itself for the rest of its connection."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache

import h11

from sorrelsill import constants

HEAD_END = b"\r\n\r\n"
_ANY_HOST = "0.0.0.0:0"  # stands for the host in templates
_PLAIN_HOST = re.compile(r"[0-9.:]+")
_CONNECTION_HEADERS = frozenset(
    {b"connection", b"transfer-encoding", b"expect", b"upgrade"}
)  # these change how a connection goes on


@dataclass(slots=True, frozen=True)
class RequestHead:
    """What the head of a plain request says."""

    method: str
    path: str
    query: str
    length: int


@dataclass(slots=True, frozen=True)
class ReplyHead:
    """What the head of a plain answer says."""

    status: int
    length: int


def _body_length(headers: h11._headers.Headers) -> int | None:
    """The body's length, 0 if none is named; None if the head is not plain."""
    length = 0
    for name, value in headers:
        if name in _CONNECTION_HEADERS:
            return None
        if name == b"content-length":
            length = int(value)
    return length


@lru_cache(maxsize=constants.HEAD_CACHE_SIZE)
def read_request(head: bytes) -> RequestHead | None:
    """The head of a request, or None if it is not plain."""
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
def read_reply(head: bytes) -> ReplyHead | None:
    """The head of an answer, or None if it is not plain."""
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
def write_reply(status: int, kind: str, headers: tuple[tuple[str, str], ...], length: int) -> bytes:
    """The head of an answer to a plain request."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: x" + HEAD_END)
    conn.next_event()
    conn.next_event()
    lines = [("Content-Type", kind), ("Content-Length", str(length)), *headers]
    return conn.send(h11.Response(status_code=status, headers=lines)) or b""


@lru_cache(maxsize=constants.HEAD_CACHE_SIZE)
def _request_template(method: str, target: str, body: bool) -> tuple[bytes, bytes]:
    """The parts of the head before and after the host. One serves all machines, however many there are."""
    head = _write_with_h11(method, target, _ANY_HOST, body)
    before, _, after = head.partition(_ANY_HOST.encode("ascii"))
    return before, after


def _write_with_h11(method: str, target: str, host: str, body: bool) -> bytes:
    """The head up to the digits of the length."""
    conn = h11.Connection(h11.CLIENT)
    head = [("Host", host), *([("Content-Type", "application/msgpack")] if body else []), ("Content-Length", "0")]
    return (conn.send(h11.Request(method=method, target=target, headers=head)) or b"")[: -len(b"0" + HEAD_END)]


def write_request(method: str, target: str, host: str, length: int) -> bytes:
    """The head of a request; only the host and the digits of its length are put in anew. A target with a query hardly
    ever comes again, and would only push the others out of what is kept."""
    if "?" in target or not _PLAIN_HOST.fullmatch(host):
        head = _write_with_h11(method, target, host, length > 0)
    else:
        before, after = _request_template(method, target, length > 0)
        head = before + host.encode("ascii") + after
    return head + str(length).encode("ascii") + HEAD_END
