"""Requests that the commands send to a controller, and their output."""

from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from sorrelsill import cli

CONTROLLER = "10.0.0.1:8080"


def run(monkeypatch: pytest.MonkeyPatch, answers: dict[str, tuple[int, Any]], *arguments: str) -> Result:
    """Runs a command against a fake controller with these responses by `METHOD target`."""

    class FakeClient:
        def __init__(self, address: str) -> None:
            assert address == CONTROLLER

        async def request(self, method: str, target: str, body: bytes, timeout_s: float) -> tuple[int, bytes]:
            status, answer = answers[f"{method} {target}"]
            return status, msgspec.msgpack.encode(answer)

    monkeypatch.setattr(cli, "Client", FakeClient)
    return CliRunner().invoke(cli.main, [arguments[0], "--controller", CONTROLLER, *arguments[1:]])


def test_list_follows_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    jobs = [
        {"uid": f"run-{n}", "workload": "array", "phase": "running", "done": n, "running": 2 * n} for n in range(1, 3)
    ]
    pages = {
        "GET /v2/teams/red%2Fblue/runs?after=": (200, {"runs": jobs[:1], "hasNext": True}),
        "GET /v2/teams/red%2Fblue/runs?after=run-1": (200, {"runs": jobs[1:], "hasNext": False}),
    }
    result = run(monkeypatch, pages, "list", "red/blue")
    assert result.exit_code == 0
    assert result.output == "run-1\tarray\trunning\tdone 1\trunning 2\nrun-2\tarray\trunning\tdone 2\trunning 4\n"


def test_status_prints_state_teams_and_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    usage = {"bound_cpus": 3.0, "unaccounted_cpus": 1.0, "bound_gpus": 0.0, "unaccounted_gpus": 2.0}
    state = {
        "leading": True,
        "teams": {
            "red": {**usage, "limit_cpus": 8.0, "limit_gpus": 4.0},
            "blue": {**usage, "limit_cpus": 0.0, "limit_gpus": None},
        },
        "peers": {
            "n2": {"status": "unknown", "for_s": None, "evidence": "nothing was heard of it yet"},
            "n1": {"status": "alive", "for_s": 1.5, "evidence": "its heartbeat"},
        },
    }
    result = run(monkeypatch, {"GET /state": (200, state)}, "status")
    assert result.exit_code == 0
    assert result.output == (
        '{\n  "leading": true\n}\n'
        "blue\t3.0 CPUs bound, 1.0 unaccounted, no limit at the most; 0.0 GPUs bound, 2.0 unaccounted, no limit\n"
        "red\t3.0 CPUs bound, 1.0 unaccounted, 8.0 at the most; 0.0 GPUs bound, 2.0 unaccounted, 4.0\n"
        "n1\talive for 1.5 s\tits heartbeat\n"
        "n2\tunknown\tnothing was heard of it yet\n"
    )


@pytest.mark.parametrize(("answer", "text"), [({"error": "no such job"}, "404: no such job"), ({}, "404"), ([], "404")])
def test_error_response_is_reported_with_its_reason(monkeypatch: pytest.MonkeyPatch, answer: Any, text: str) -> None:
    result = run(monkeypatch, {"POST /v2/runs/run-1/cancel": (404, answer)}, "cancel", "run-1")
    assert result.exit_code == 1
    assert result.output == f"Error: {text}\n"
