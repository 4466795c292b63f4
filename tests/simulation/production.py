"""The version in production, taken from this repository's history at the commit that deploy/service.toml names, beside
the present one in the same process: its package is written out under another name. If that commit can't be had this
fails; nothing is skipped."""

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
        raise ValueError(f"deploy/service.toml: production: {value!r} is no commit")
    return str(value)


@cache
def package() -> str:
    """Name of the importable package with that version's sources."""
    name = f"production_{commit()[:12]}"
    place = _ROOT / "target" / "production"
    if not (place / name).is_dir():
        raw = subprocess.run(
            ["git", "-c", "safe.directory=*", "-C", str(_ROOT), "archive", commit(), "sorrelsill"],
            check=True,
            capture_output=True,
        ).stdout
        place.mkdir(parents=True, exist_ok=True)
        made = Path(tempfile.mkdtemp(dir=place))
        with tarfile.open(fileobj=io.BytesIO(raw)) as archive:
            for member in archive.getmembers():
                file = archive.extractfile(member) if member.isfile() else None
                if file is None or not member.name.endswith(".py"):
                    continue
                target = made / Path(*Path(member.name).parts[1:])
                target.parent.mkdir(parents=True, exist_ok=True)
                target.write_text(_IMPORT.sub(rf"\1\2 {name}", file.read().decode()))
        try:
            made.rename(place / name)
        except OSError:
            shutil.rmtree(made)  # another run was quicker
    if str(place) not in sys.path:
        sys.path.append(str(place))
    return name


def module(path: str) -> ModuleType:
    """A module of that version, such as `jobs.records`."""
    return importlib.import_module(f"{package()}.{path}")


def make_node(settings: Any, rng: Any, net: FakeNet, label: str, time_of_day: Callable[[], float]) -> Any:
    """A controller of that version on the fake network; it is given the settings of the new page, as in an upgrade."""
    kinds, http = module("settings"), module("http")

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

    old = msgspec.convert(msgspec.to_builtins(settings), kinds.Settings)
    return module("node").Node(old, kinds.Operator(), rng, Client, time_of_day)
