"""A controller that stands still as a whole while the clocks run on, like a virtual machine that is not scheduled.

Every task of a frozen controller stays where it is at its next step. What its tasks wait for may come about
meanwhile; they learn of it once the controller goes on, and find their deadlines passed."""

from __future__ import annotations

import types
from collections.abc import Awaitable, Callable, Generator
from typing import Any

import trio


class Gate:
    """Open while the controller runs. Frozen, it holds all tasks that were started under it."""

    def __init__(self) -> None:
        self.frozen = False
        self._thawed = trio.Event()

    def freeze(self) -> None:
        """Hold every task from its next step on."""
        self.frozen = True
        self._thawed = trio.Event()

    def thaw(self) -> None:
        """Let all tasks go on."""
        self.frozen = False
        self._thawed.set()

    async def passed(self) -> None:
        """Return once the controller runs; a cancellation has to wait as well, or a frozen task would act on it."""
        while self.frozen:
            with trio.CancelScope(shield=True):
                await self._thawed.wait()

    async def under(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run an async function as a part of the controller."""
        await self.passed()
        return await _gated(function(*args), self)


@types.coroutine
def _gated(inner: Awaitable[Any], gate: Gate) -> Generator[Any, Any, Any]:
    """Drive a coroutine step by step, and keep what it waited for to itself while the gate is closed."""
    steps = inner.__await__()
    outcome = None
    while True:
        try:
            trap = steps.send(outcome)
        except StopIteration as stop:
            return stop.value
        outcome = yield trap
        if gate.frozen:
            yield from gate.passed().__await__()


class GatedTasks(trio.abc.Instrument):
    """Puts every task that a gated task starts under the same gate: a controller's loops start further tasks."""

    def __init__(self) -> None:
        self._gates: dict[trio.lowlevel.Task, Gate] = {}

    def put_under(self, gate: Gate) -> None:
        """The current task, and with it all that it starts, belongs to this gate's controller."""
        self._gates[trio.lowlevel.current_task()] = gate

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        """Called by trio before the first step of a new task."""
        parent = task.parent_nursery.parent_task if task.parent_nursery is not None else None
        gate = self._gates.get(parent) if parent is not None else None
        if gate is not None:
            self._gates[task] = gate
            # The type names the concrete class of an async function; trio only asks for `send` and `throw`.
            task.coro = _wrapped(task.coro, gate)  # type: ignore[assignment]

    def task_exited(self, task: trio.lowlevel.Task) -> None:
        """Called by trio after a task's last step."""
        self._gates.pop(task, None)


async def _wrapped(coroutine: Awaitable[Any], gate: Gate) -> Any:
    await gate.passed()
    return await _gated(coroutine, gate)
