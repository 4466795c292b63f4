"""The process of a controller: settings, logging, sockets. Its imports are few, since controllers have little CPU
time to start."""

from __future__ import annotations

import gc
import logging
import os
import random
import signal
import sys
from collections.abc import AsyncIterator

import trio

from sorrelsill import constants
from sorrelsill.controller import Controller
from sorrelsill.events import log_event
from sorrelsill.http import Server
from sorrelsill.membership import MembershipSettings, load_membership
from sorrelsill.settings import OperatorOverrides, Settings, SettingsError, load, load_operator, split_addr
from sorrelsill.workers import CallLimits

log = logging.getLogger("sorrelsill")

_MIN_USER_CONNECTIONS = 8
_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class ListenError(Exception):
    """The controller can't listen on one of its addresses."""


async def _listen(addr: str, backlog: int) -> trio.SocketListener:
    """A listening socket on a numeric address, without a name look-up. After a failover all workers connect at once,
    so `backlog` has to be large."""
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await sock.bind(split_addr(addr))
    sock.listen(backlog)
    return trio.SocketListener(sock)


async def run(settings: Settings, operator: OperatorOverrides, membership: MembershipSettings | None = None) -> None:
    """Runs a controller and its servers until cancelled. Raises ListenError."""
    controller = Controller(settings, operator, random.Random(), membership=membership)
    sockets = settings.platform.quota.sockets
    peer_connections = constants.PEER_SOCKETS if settings.members else 0
    command_connections = CallLimits.derive(sockets).connections
    user_connections = max(
        _MIN_USER_CONNECTIONS, sockets - constants.SOCKET_RESERVE - peer_connections - command_connections
    )
    # A worker that is silent for a whole lease begins a new incarnation, so its old connection is useless by then and
    # may be closed.
    users = Server(controller.handle, user_connections, "users", controller.timings.loss_s)
    try:
        listeners = [(users, await _listen(settings.listen, user_connections))]
        if settings.members:
            peers = Server(controller.handle_peer, peer_connections, "peers")
            listeners.append((peers, await _listen(settings.peer_listen, peer_connections)))
    except OSError as error:
        raise ListenError(f"listen: {error}") from None
    lease_s = controller.timings.lease_s
    log_event(log, logging.INFO, "serving", controller=settings.label, listen=settings.listen, lease_s=lease_s)
    async with trio.open_nursery() as nursery:
        for server, listener in listeners:
            nursery.start_soon(trio.serve_listeners, server.serve_stream, [listener])
        if membership is not None:
            nursery.start_soon(_drain_on_signal, controller, nursery.cancel_scope)
        await controller.run()


async def _drain_on_signal(controller: Controller, scope: trio.CancelScope) -> None:
    """Drains and stops the controller on SIGTERM or SIGINT; a second signal stops it at once."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_second_signal, signals, scope)
            await controller.drain()
            nursery.cancel_scope.cancel()
    scope.cancel()


async def _second_signal(signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
    async for _ in signals:
        scope.cancel()


def main(argv: list[str]) -> int:
    """The command line of run.py: the options of `sorrelsill serve`; the other commands are only in the CLI."""
    import click  # noqa: PLC0415

    @click.command(add_help_option=True)
    @click.option("--config", required=True, help="the platform's settings file (TOML)")
    @click.option("--operator", default=None, help="the operators' own settings (HCL)")
    @click.option("--membership", default=None, help="turns failure detection on (HCL, see deploy/membership.hcl)")
    def command(config: str, operator: str | None, membership: str | None) -> None:
        sys.exit(serve(config, operator, membership))

    command.main(args=argv, prog_name="run.py")
    return 0


def serve(config: str, operator_file: str | None, membership_file: str | None = None) -> int:
    """Runs a controller with these settings files. Returns the process's exit code."""
    level = _LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s: %(message)s")
    try:
        settings = load(config)
        operator = load_operator(operator_file)
        membership = load_membership(membership_file)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    # Imported objects live as long as the process: excludes them from garbage collection, so that they are not scanned
    # again and again.
    gc.collect()
    gc.freeze()
    try:
        trio.run(run, settings, operator, membership)
    except ListenError as error:
        print(f"{config}: {error}", file=sys.stderr)
        return 2
    return 0
