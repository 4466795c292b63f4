"""The `sorrelsill` command line: runs a controller, checks settings, and sends users' requests to a controller."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import click
import msgspec
import orjson
import trio

from sorrelsill import __version__, constants
from sorrelsill.http import Client, NoAnswerError, NotSentError
from sorrelsill.membership import load_membership
from sorrelsill.settings import SettingsError, Timings, load, load_operator, split_addr

CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])


def _request(address: str, method: str, target: str, body: Any = None) -> Any:
    """Sends one request to a controller and returns the decoded response. Raises ClickException with the reason if the
    address is invalid, there is no response, or its status is neither 200 nor 201."""
    try:
        split_addr(address)
    except ValueError as error:
        raise click.UsageError(f"--controller: {error}") from None
    encoded = msgspec.msgpack.encode(body) if body is not None else b""
    try:
        status_code, raw = trio.run(Client(address).request, method, target, encoded, constants.CLI_TIMEOUT_S)
        answer = msgspec.msgpack.decode(raw) if raw else {}
    except (NotSentError, NoAnswerError, msgspec.DecodeError) as error:
        raise click.ClickException(str(error)) from None
    if status_code not in (200, 201):
        reason = answer.get("error") if isinstance(answer, dict) else None
        raise click.ClickException(f"{status_code}{f': {reason}' if reason else ''}")
    return answer


def _print_json(answer: Any) -> None:
    """Prints a response as indented JSON."""
    click.echo(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())


def _controller_option(command: CommandFunction) -> CommandFunction:
    """Adds the option `--controller` to a command."""
    return click.option(
        "--controller", "-c", required=True, envvar="SORRELSILL_CONTROLLER", help="address of any controller, IP:PORT"
    )(command)


@click.group()
@click.version_option(__version__)
def main() -> None:
    """sorrelsill, a cluster scheduler."""


@main.command()
@click.option("--config", required=True, help="the platform's settings file (TOML)")
@click.option("--operator", default=None, help="the operators' own settings (HCL)")
@click.option("--membership", default=None, help="turns failure detection on (HCL, see deploy/membership.hcl)")
def serve(config: str, operator: str | None, membership: str | None) -> None:
    """Run a controller until it is killed."""
    from sorrelsill.serve import serve as run_service  # noqa: PLC0415 - the other commands don't need the service

    sys.exit(run_service(config, operator, membership))


@main.command()
@click.option("--config", required=True, help="the platform's settings file (TOML)")
@click.option("--operator", default=None, help="the operators' own settings (HCL)")
@click.option("--membership", default=None, help="the file that turns failure detection on (HCL)")
def check(config: str, operator: str | None, membership: str | None) -> None:
    """Check settings and show the timings derived from them."""
    try:
        settings = load(config)
        timings = Timings.derive(settings.platform.workers, load_operator(operator))
        detection = load_membership(membership)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    shown = {"label": settings.label, **msgspec.to_builtins(timings)}
    if detection is not None:
        shown["membership"] = msgspec.to_builtins(detection)
    _print_json(shown)


@main.command()
@_controller_option
@click.argument("file", type=click.File("rb"))
def submit(controller: str, file: Any) -> None:
    """Submit a job described in a JSON FILE (- for standard input)."""
    try:
        body = orjson.loads(file.read())
    except orjson.JSONDecodeError as error:
        raise click.ClickException(f"not JSON: {error}") from None
    _print_json(_request(controller, "POST", "/v2/runs", body))


@main.command()
@_controller_option
@click.argument("uid")
def show(controller: str, uid: str) -> None:
    """A job's state, and why its tasks stopped or wait."""
    _print_json(_request(controller, "GET", f"/v2/runs/{quote(uid, safe='')}/why"))


@main.command("list")
@_controller_option
@click.argument("team")
def list_jobs(controller: str, team: str) -> None:
    """A team's live jobs, and only its own."""
    after = ""  # the last job of the previous page
    while True:
        answer = _request(controller, "GET", f"/v2/teams/{quote(team, safe='')}/runs?after={quote(after, safe='')}")
        for job in answer["runs"]:
            after = job["uid"]
            click.echo(f"{job['uid']}\t{job['workload']}\t{job['phase']}\tdone {job['done']}\trunning {job['running']}")
        if not answer["hasNext"]:
            return


@main.command()
@_controller_option
@click.argument("uid")
def cancel(controller: str, uid: str) -> None:
    """Cancel a job."""
    _print_json(_request(controller, "POST", f"/v2/runs/{quote(uid, safe='')}/cancel"))


@main.command()
@_controller_option
def status(controller: str) -> None:
    """What a controller believes: who leads, machines, jobs, waiting tasks, teams' use, the other controllers."""
    state = _request(controller, "GET", "/state")
    peers = state.pop("peers", None) or {}
    teams = state.pop("teams", None) or {}
    _print_json(state)
    for name, usage in sorted(teams.items()):
        limit_cpus, limit_gpus = usage["limit_cpus"] or "no limit", usage["limit_gpus"] or "no limit"
        click.echo(
            f"{name}\t{usage['bound_cpus']} CPUs bound, {usage['unaccounted_cpus']} unaccounted,"
            f" {limit_cpus} at the most; {usage['bound_gpus']} GPUs bound,"
            f" {usage['unaccounted_gpus']} unaccounted, {limit_gpus}"
        )
    for label, peer in sorted(peers.items()):
        since = f" for {peer['for_s']} s" if peer["for_s"] is not None else ""
        click.echo(f"{label}\t{peer['status']}{since}\t{peer['evidence']}")


if __name__ == "__main__":
    main()
