"""Freezes a whole controller while the clocks keep running, like a virtual machine that is not scheduled.

Every Trio task of a frozen controller stops before its next step. What the tasks wait for can happen meanwhile; they
notice it only once the controller is thawed, and then find that their deadlines have passed."""

from __future__ import annotations

import types
from collections.abc import Awaitable, Callable, Generator
from typing import Any

import trio


class Gate:
    """Blocks all Trio tasks of one controller while the controller is frozen."""

    def __init__(self) -> None:
        self.frozen = False
        self._thawed = trio.Event()

    def freeze(self) -> None:
        """Block every task before its next step."""
        self.frozen = True
        self._thawed = trio.Event()

    def thaw(self) -> None:
        """Let all tasks continue."""
        self.frozen = False
        self._thawed.set()

    async def wait_until_open(self) -> None:
        """Wait until the controller is not frozen. Cancellation is shielded, or a frozen task would react to it."""
        while self.frozen:
            with trio.CancelScope(shield=True):
                await self._thawed.wait()

    async def under(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run an async function as part of the controller."""
        await self.wait_until_open()
        return await _drive_gated(function(*args), self)


@types.coroutine
def _drive_gated(inner: Awaitable[Any], gate: Gate) -> Generator[Any, Any, Any]:
    """Drive a coroutine step by step; while the controller is frozen, delay the results of what it waits for."""
    steps = inner.__await__()
    outcome = None
    while True:
        try:
            trap = steps.send(outcome)
        except StopIteration as stop:
            return stop.value
        outcome = yield trap
        if gate.frozen:
            yield from gate.wait_until_open().__await__()


class GatedTasks(trio.abc.Instrument):
    """Puts every task that a gated task starts under the same gate, since a controller's loops start further tasks."""

    def __init__(self) -> None:
        self._gates: dict[trio.lowlevel.Task, Gate] = {}

    def gate_current_task(self, gate: Gate) -> None:
        """Put the current task, and every task that it starts, under this gate."""
        self._gates[trio.lowlevel.current_task()] = gate

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Called by trio before the first step of a new task."""
        parent = task.parent_nursery.parent_task if task.parent_nursery is not None else None
        gate = self._gates.get(parent) if parent is not None else None
        if gate is not None:
            self._gates[task] = gate
            # The attribute's type is the class of native coroutines; Trio itself only needs `send` and `throw`.
            task.coro = _run_gated(task.coro, gate)  # type: ignore[assignment]

    def task_exited(self, task: trio.lowlevel.Task) -> None:
        """Called by trio after a task's last step."""
        self._gates.pop(task, None)


async def _run_gated(coroutine: Awaitable[Any], gate: Gate) -> Any:
    await gate.wait_until_open()
    return await _drive_gated(coroutine, gate)
