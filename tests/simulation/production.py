"""Loads the version in production beside the current one in the same process.

Its sources come from this repository's history, at the commit that deploy/service.toml names, and are written out as a
package with another name. If that commit is missing, the tests that need it fail; none is skipped."""

from __future__ import annotations

import importlib
import io
import re
import shutil
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from collections.abc import Callable
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from sorrelsill.http import NoAnswerError, NotSentError, Request
from tests.simulation.network import FakeNet

_ROOT = Path(__file__).resolve().parents[2]
_IMPORT = re.compile(r"^(\s*)(from|import) sorrelsill(?=[.\s])", re.MULTILINE)


def commit() -> str:
    with open(_ROOT / "deploy" / "service.toml", "rb") as file:
        value = tomllib.load(file)["production"]
    if not re.fullmatch(r"[0-9a-f]{40}", value):
        raise ValueError(f"deploy/service.toml: production: {value!r} is not a commit hash")
    return str(value)


@cache
def package() -> str:
    """Return the name of the importable package with the production version's sources."""
    name = f"production_{commit()[:12]}"
    directory = _ROOT / "target" / "production"
    if not (directory / name).is_dir():
        raw = subprocess.run(
            ["git", "-c", "safe.directory=*", "-C", str(_ROOT), "archive", commit(), "sorrelsill"],
            check=True,
            capture_output=True,
        ).stdout
        directory.mkdir(parents=True, exist_ok=True)
        unpacked = Path(tempfile.mkdtemp(dir=directory))
        with tarfile.open(fileobj=io.BytesIO(raw)) as archive:
            for member in archive.getmembers():
                file = archive.extractfile(member) if member.isfile() else None
                if file is None or not member.name.endswith(".py"):
                    continue
                target = unpacked / Path(*Path(member.name).parts[1:])
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_text(_IMPORT.sub(rf"\1\2 {name}", file.read().decode()))
        try:
            unpacked.rename(directory / name)
        except OSError:
            shutil.rmtree(unpacked)  # another process has created it meanwhile
    if str(directory) not in sys.path:
        sys.path.append(str(directory))
    return name


def module(path: str) -> ModuleType:
    """Import a module of the production version, such as `jobs.records`."""
    return importlib.import_module(f"{package()}.{path}")


def make_controller(settings: Any, rng: Any, net: FakeNet, label: str, time_of_day: Callable[[], float]) -> Any:
    """Create a controller of the production version on the fake network. It gets the current version's settings, as in
    an upgrade."""
    settings_module, http = module("settings"), module("http")

    class Client(http.Client):  # type: ignore[misc, name-defined]
        async def request(self, method: str, target: str, body: bytes = b"", timeout: float = 1.5) -> tuple[int, bytes]:
            path, _, query = target.partition("?")
            try:
                reply = await net.send(label, self.addr, Request(method, path, query, body), timeout)
            except NotSentError as error:
                raise http.NotSent(str(error)) from None
            except NoAnswerError as error:
                raise http.NoAnswer(str(error)) from None
            return reply.status, reply.body

    converted = msgspec.convert(msgspec.to_builtins(settings), settings_module.Settings)
    return module("node").Node(converted, settings_module.Operator(), rng, Client, time_of_day)
