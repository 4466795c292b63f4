"""HTTP server and client, against each other and against malformed input, on in-memory streams."""

from collections.abc import Awaitable, Callable

import h11
import pytest
import trio
import trio.testing

from sorrelsill import constants
from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request, Server, heads


async def _echo(request: Request) -> Reply:
    return Reply(200, request.body or request.path.encode(), [("Retry-After", "1")])


def _run(
    scenario: Callable[[trio.Nursery, Server], Awaitable[None]], handler: object = _echo, max_connections: int = 4
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(nursery, Server(handler, max_connections))  # type: ignore[arg-type]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _send_raw(nursery: trio.Nursery, server: Server, data: bytes) -> bytes:
    """Sends bytes to the server and returns all that it sends until it closes the connection or is silent for 2 s."""
    here, there = trio.testing.memory_stream_pair()
    nursery.start_soon(server.serve_stream, there)
    await here.send_all(data)
    out = b""
    with trio.move_on_after(2):
        while chunk := await here.receive_some(65536):
            out += chunk
        return out + b"<closed>"
    return out


def test_requests_share_a_connection_and_bodies_are_complete() -> None:
    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        opened = []

        async def connect(addr: str) -> trio.abc.Stream:
            here, there = trio.testing.memory_stream_pair()
            opened.append(addr)
            nursery.start_soon(server.serve_stream, there)
            return here

        client = Client("10.0.0.1:80", connect)
        assert await client.request("GET", "/a?b=c") == (200, b"/a")
        body = b"x" * constants.MAX_BODY
        assert await client.request("POST", "/", body) == (200, body)
        assert len(opened) == 1

    _run(scenario)


def test_malformed_and_oversized_requests_are_refused_and_the_connection_closed() -> None:
    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        broken = await _send_raw(nursery, server, b"\x00\x01 nonsense\r\n\r\n")
        assert broken.startswith(b"HTTP/1.1 400") and broken.endswith(b"<closed>")
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (constants.MAX_BODY + 1)
        long = await _send_raw(nursery, server, head + b"x" * (constants.MAX_BODY + 1))
        assert long.startswith(b"HTTP/1.1 413") and long.endswith(b"<closed>")
        header = await _send_raw(nursery, server, b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"y" * 40_000)
        assert header.endswith(b"<closed>")
        assert (await _send_raw(nursery, server, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")).startswith(b"HTTP/1.1 200")

    _run(scenario, max_connections=10)


def test_failing_handler_gives_500_and_the_server_continues() -> None:
    async def handler(request: Request) -> Reply:
        raise RuntimeError("boom")

    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        for _ in range(2):
            answer = await _send_raw(nursery, server, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 500")

    _run(scenario, handler)


def test_idle_and_slow_connections_are_closed() -> None:
    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        streams = []
        for _ in range(4):
            here, there = trio.testing.memory_stream_pair()
            nursery.start_soon(server.serve_stream, there)
            streams.append(here)
        await trio.sleep(0.1)
        assert server.open_connections == 4
        await streams[0].send_all(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc")
        await trio.sleep(constants.REQUEST_TIMEOUT_S + 1)
        assert server.open_connections == 3, "an incomplete request times out"
        await trio.sleep(constants.IDLE_TIMEOUT_S)
        assert server.open_connections == 0

    _run(scenario)


def test_at_the_connection_limit_idle_users_are_evicted_and_workers_are_not() -> None:
    """Guards against running out of sockets after a network partition, when machines reconnect and their dead
    connections remain. A worker that is refused loses a second or more of its lease."""

    async def handler(request: Request) -> Reply:
        return Reply(200, owner=request.path[1:] if request.path != "/" else "")

    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        async def send_request(path: bytes) -> trio.abc.ReceiveStream:
            here, there = trio.testing.memory_stream_pair()
            nursery.start_soon(server.serve_stream, there)
            await here.send_all(b"GET /" + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await here.receive_some(65536)).startswith(b"HTTP/1.1 200")
            await trio.sleep(0.1)
            return here

        first = await send_request(b"m1")
        await send_request(b"m1")
        assert server.open_connections == 1 and await first.receive_some(1) == b"", "a machine has one connection"
        await send_request(b"m2")
        user = await send_request(b"")
        await send_request(b"m3")
        await send_request(b"m4")
        assert server.open_connections == 4 and await user.receive_some(1) == b"", "the idle user was evicted"
        here, there = trio.testing.memory_stream_pair()
        nursery.start_soon(server.serve_stream, there)
        with trio.move_on_after(1):
            assert await here.receive_some(1) == b"", "with workers only, nobody is evicted"
        assert server.open_connections == 4

    _run(scenario, handler)


def test_cached_heads_are_served_as_h11_serves_them() -> None:
    """Plain heads are parsed by h11 once and cached. Heads that affect the rest of the connection are left to h11."""

    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        plain = b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
        for _ in range(2):
            out = await _send_raw(nursery, server, plain * 3)
            assert out.count(b"HTTP/1.1 200") == 3 and out.count(b"hi") == 3 and not out.endswith(b"<closed>")
        close = b"GET /z HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        assert (await _send_raw(nursery, server, plain + close)).endswith(b"/z<closed>")
        chunked = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        assert b"abc" in await _send_raw(nursery, server, chunked + plain)
        for bad in (b"GET / HTTP/1.1\r\n\r\n", b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"):
            for _ in range(2):
                assert (await _send_raw(nursery, server, bad)).startswith(b"HTTP/1.1 400")
        assert (await _send_raw(nursery, server, b"GET / HTTP/1.0\r\n\r\n")).endswith(b"<closed>")

    _run(scenario, max_connections=20)


def test_heads_for_many_hosts_share_a_template_and_equal_those_of_h11() -> None:
    heads._request_template.cache_clear()
    for number in range(5000):
        host = f"10.1.{number // 250}.{number % 250}:9000"
        plain = heads.encode_request_head("POST", "/commands", host, number)
        assert plain == heads._encode_with_h11("POST", "/commands", host, number > 0) + f"{number}\r\n\r\n".encode()
    assert heads._request_template.cache_info().currsize == 2
    with pytest.raises(h11.LocalProtocolError):
        heads.encode_request_head("POST", "/commands", "10.0.0.1\r\nX: y", 1)


def test_client_distinguishes_not_sent_from_no_answer() -> None:
    async def silent(request: Request) -> Reply:
        await trio.sleep_forever()
        raise AssertionError

    async def scenario(nursery: trio.Nursery, server: Server) -> None:
        async def refuse(addr: str) -> trio.abc.Stream:
            raise OSError("refused")

        async def hang(addr: str) -> trio.abc.Stream:
            await trio.sleep_forever()
            raise AssertionError

        async def connect(addr: str) -> trio.abc.Stream:
            here, there = trio.testing.memory_stream_pair()
            nursery.start_soon(server.serve_stream, there)
            return here

        for connector, expected in ((refuse, NotSentError), (hang, NotSentError), (connect, NoAnswerError)):
            with pytest.raises((NotSentError, NoAnswerError)) as caught:
                await Client("10.0.0.1:80", connector).request("GET", "/", timeout=1.0)
            assert caught.type is expected

    _run(scenario, silent)
