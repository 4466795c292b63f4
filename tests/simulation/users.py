"""Users of the simulated cluster: they submit, poll and cancel jobs, and retry unanswered requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from sorrelsill.http import NoAnswerError, NotSentError, Request
from tests.simulation.rules import ProtocolRules

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode

LABELS = ("n0", "n1", "n2")  # of the controllers


def job(name: str, **fields: Any) -> dict[str, Any]:
    """Return a job spec as a user submits it."""
    base = {
        "uid": name,
        "workload": "w",
        "owner": "red",
        "shape": "sweep",
        "rank": "standard",
        "shards": 2,
        "vcpus": 2.0,
        "gpus": 0.0,
        "memoryGb": 4.0,
        "bundle": "img",
        "sizeGb": 0.5,
        "flavours": None,
        "region": None,
        "oneZone": False,
        "scatter": False,
        "reclaimable": False,
        "expectedRunS": 5.0,
        "snapshotEveryS": 0.0,
        "snapshotCostS": 0.0,
        "dueS": None,
    }
    return {**base, **fields}


def service(job_id: str, **fields: Any) -> dict[str, Any]:
    """Return a service's spec as a user submits it."""
    return job(job_id, **{"shape": "standing", "expectedRunS": 0.0, **fields})


class SimulatedUsers(ProtocolRules):
    """Sends users' requests and checks every answer against the protocol's rules."""

    async def ask(self, label: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a user's request to one controller and return status and body; status 0 if there is no answer."""
        raw = body if isinstance(body, bytes) else _encode(body) if body is not None else b""
        try:
            reply = await self.net.send("user", label, Request(method, path, "", raw), 5.0)
        except (NotSentError, NoAnswerError):
            return 0, {}
        answer = _decode(reply.body) if reply.body else {}
        self._check_answer(path, reply.status, answer)
        return reply.status, answer

    async def ask_raw(self, label: str, path: str) -> bytes:
        """Return the raw body of an operators' page."""
        return (await self.net.send("user", label, Request("GET", path, "", b""), 5.0)).body

    async def _retry(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        end = trio.current_time() + timeout_s
        attempt = 0
        while True:
            status, answer = await self.ask(LABELS[attempt % 3], method, path, body)
            if status in (200, 201, 400, 404, 422) or trio.current_time() > end:
                return status, answer
            attempt += 1
            await trio.sleep(1.0)

    async def submit(self, spec: dict[str, Any], timeout_s: float = 60.0) -> int:
        self.specs[spec["uid"]] = spec
        return (await self._retry("POST", "/v2/runs", spec, timeout_s))[0]

    async def run_service(self, job_id: str, shards: int, **fields: Any) -> None:
        """Submit a service, and wait until all of its tasks run."""
        await self.submit(service(job_id, shards=shards, **fields))
        await self.until(lambda: len(self.running(job_id)) == shards)

    async def cancel(self, job_id: str, timeout_s: float = 60.0) -> Any:
        return (await self._retry("POST", f"/v2/runs/{job_id}/cancel", None, timeout_s))[1]

    async def poll(self, job_id: str, label: str | None = None) -> tuple[int, Any]:
        if label is not None:
            return await self.ask(label, "GET", f"/v2/runs/{job_id}")
        return await self._retry("GET", f"/v2/runs/{job_id}", None, 60.0)

    async def until_phase(self, job_id: str, phase: str, timeout_s: float = 120.0) -> None:
        end = trio.current_time() + timeout_s
        answer: Any = None
        while trio.current_time() < end:
            _, answer = await self.poll(job_id)
            if answer.get("phase") == phase:
                return
            await trio.sleep(0.5)
        raise AssertionError(f"{job_id} is {answer}, not {phase}, after {timeout_s} s")

    async def until(self, condition: Callable[[], bool], timeout_s: float = 60.0) -> None:
        """Wait until the condition holds; fail after `timeout_s` seconds."""
        end = trio.current_time() + timeout_s
        while not condition():
            assert trio.current_time() < end, "the condition did not hold in time"
            await trio.sleep(0.05)

    def running(self, job_id: str) -> list[tuple[str, str]]:
        """Return (task id, machine) for each task of the job that is active on a machine."""
        return [
            (t, w.name) for w in self.workers.values() for t in sorted(w.active_tasks) if t.startswith(job_id + "/")
        ]
