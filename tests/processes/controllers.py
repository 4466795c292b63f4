"""Starts, pauses, resumes, terminates and kills real controller processes."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from tests.simulation.users import LABELS

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S, LEASE_S, CANCEL_S = 0.5, 8.0, 24.0  # s


def free_port() -> int:
    """Return a loopback port that is currently unused."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Controllers:
    """The controller processes of one deployment. Leaving the `with` block kills all of them."""

    def __init__(self, directory: Path, store: str, cloud: str, membership: bool) -> None:
        self._directory = directory
        self._membership = membership
        self.addresses = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self._peers = {label: f"127.0.0.1:{free_port()}" for label in LABELS}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.paused: set[str] = set()
        for label in LABELS:
            (directory / f"{label}.toml").write_text(self._settings(label, store, cloud))

    def _settings(self, label: str, store: str, cloud: str) -> str:
        members = "".join(
            f'[[members]]\nlabel = "{other}"\naddr = "{addr}"\n'
            for other, addr in self._peers.items()
            if other != label
        )
        return (
            f'label = "{label}"\nlisten = "{self.addresses[label]}"\npeer_listen = "{self._peers[label]}"\n{members}'
            f'[services]\ncloud = "{cloud}"\nstate = "{store}"\n'
            f'[facts]\nnodes = 3\nzones = ["a", "b"]\ntime_bound_ms = 25.0\n'
            '[[facts.teams]]\nname = "red"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n'
            f"[facts.workers]\nreport_s = {HEARTBEAT_S}\nlease_s = {LEASE_S}\ncancel_s = {CANCEL_S}\n"
            "[facts.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 32.0\ntxn_ops = 16\n"
            "[facts.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n"
            "[facts.quota]\ncpu = 1.0\nram_mb = 512.0\nsockets = 1024\n"
        )

    def start(self, label: str) -> None:
        """Start a new process for the controller."""
        command = [sys.executable, "-m", "sorrelsill.cli", "serve", "--config", str(self._directory / f"{label}.toml")]
        if self._membership:
            command += ["--membership", str(ROOT / "deploy" / "membership.hcl")]
        with (self._directory / f"{label}.log").open("ab") as log:
            self._processes[label] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env={**os.environ, "LOG_LEVEL": "info"}
            )

    def pause(self, label: str) -> None:
        """Stop scheduling the process (SIGSTOP); its clocks keep running."""
        self._processes[label].send_signal(signal.SIGSTOP)
        self.paused.add(label)

    def resume(self, label: str) -> None:
        """Resume the paused process."""
        self._processes[label].send_signal(signal.SIGCONT)
        self.paused.discard(label)

    def terminate(self, label: str) -> None:
        """Ask the process to hand over its leadership and exit (SIGTERM)."""
        self._processes[label].send_signal(signal.SIGTERM)

    def kill(self, label: str) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        self._processes[label].kill()
        self._processes[label].wait()
        self.paused.discard(label)

    def exit_code(self, label: str) -> int | None:
        """Return the exit code of the process, or None while it runs."""
        return self._processes[label].poll()

    def read_log(self, label: str) -> str:
        """Return the log of all processes that this controller has had."""
        return (self._directory / f"{label}.log").read_text(errors="replace")

    def __enter__(self) -> Controllers:
        for label in LABELS:
            self.start(label)
        return self

    def __exit__(self, *args: object) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()
