"""Loads and checks the platform's settings file (TOML) and the operators' settings file (HCL), and derives timings
from them. Unknown fields are ignored; an invalid one raises an error of one line with file, field and reason.

A controller's name is called `label` in the settings file, on the wire and in the key-value store."""

from __future__ import annotations

import io
import math
import tomllib
from collections.abc import Callable
from typing import Any, BinaryIO, TypeVar

import msgspec

from sorrelsill import constants

_StructT = TypeVar("_StructT", bound=msgspec.Struct)


class SettingsError(Exception):
    """An invalid settings file. The message is one line: `file: field: reason`."""

    @classmethod
    def of(cls, path: str, field: str, reason: str) -> SettingsError:
        """The error for one field of a file."""
        return cls(f"{path}: {field}: {reason}")


class Member(msgspec.Struct, frozen=True):
    """Another controller."""

    label: str
    addr: str
    area: str = ""


class Services(msgspec.Struct, frozen=True):
    """Addresses of the cloud and of the key-value store."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed CPUs and GPUs and its limits on them (`_max`); 0 means no guarantee or no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective of a class of jobs."""

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    after_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True, rename={"heartbeat_interval_s": "report_s"}):
    """Timings of the workers, in seconds."""

    heartbeat_interval_s: float
    lease_s: float
    cancel_s: float
    gang_wait_s: float = 60.0
    gang_peer_s: float = 5.0


class NextLimits(msgspec.Struct, frozen=True):
    """Limits of the key-value store that will replace the present ones at an unknown time; 0 for those that stay."""

    write_rps: float = 0.0
    value_kb: float = 0.0
    txn_ops: int = 0


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the key-value store on rates and sizes."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextLimits | None = None

    @property
    def after_reductions(self) -> StateLimits:
        """The lower of the present and the future value of each limit."""
        next_limits = self.next or NextLimits()
        return StateLimits(
            self.rps,
            min(self.write_rps, next_limits.write_rps or self.write_rps),
            min(self.value_kb, next_limits.value_kb or self.value_kb),
            min(self.txn_ops, next_limits.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """The cloud's limit on requests per second, and the lag of its machine list."""

    rps: float
    list_lag_s: float = 0.0


class ControllerResources(msgspec.Struct, frozen=True):
    """Quota of a controller on its machine."""

    cpu: float = 1.0
    ram_mb: float = 512.0
    sockets: int = 1024


class PlatformSettings(msgspec.Struct, frozen=True):
    """The platform's description of the deployment."""

    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    nodes: int = 1
    zones: list[str] = []
    time_bound_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: ControllerResources = ControllerResources()


class Settings(msgspec.Struct, frozen=True, rename={"platform": "facts"}):
    """The platform's settings file."""

    label: str
    listen: str
    services: Services
    platform: PlatformSettings  # `facts` in the file
    area: str = ""
    peer_listen: str = ""
    members: list[Member] = []

    @property
    def optimise_latency(self) -> bool:
        """Whether to optimise for latency instead of cost: there is an objective of kind `guarantee`, the share of the
        work within a team's guarantee that must start within `within_s` seconds, or of kind `finished`, the limit of
        the seconds from a job's submission to its end. Neither leaves time to boot a machine when such work arrives, so
        idle machines are kept. Deadlines leave time to boot: if any class has a deadline, `finished` is only an outer
        bound and does not count, as otherwise no idle machine would ever be returned. It does not count either if it is
        for another class than the deadline, since that class gets headroom of its own. Objectives on cost are not known
        to controllers, so cost is optimised for in all other cases."""
        objectives = self.platform.objectives
        kinds = {objective.kind for objective in objectives}
        return "guarantee" in kinds or "finished" in kinds and "deadline" not in kinds


class Timings(msgspec.Struct, frozen=True, rename={"renewal_interval_s": "ping_s"}):
    """Timings of leadership, leases and loss detection in seconds, derived so that they are consistent."""

    lease_s: float
    renewal_interval_s: float  # between two renewals of the leader's lease; shown to operators as `ping_s`
    validity_s: float
    loss_s: float
    stall_s: float
    self_release_s: float
    overdue_s: float
    renew_s: float  # a worker's lease is renewed only if all cancellations older than this are known

    @classmethod
    def derive(cls, workers: Workers, operator: OperatorOverrides) -> Timings:
        """Derives all timings from those of the workers and the operators' overrides."""
        lease = operator.lease_s or min(
            constants.LEASE_MAX_S, max(constants.LEASE_MIN_S, workers.lease_s * constants.LEASE_OF_WORKER_LEASE)
        )
        return cls(
            lease_s=lease,
            renewal_interval_s=min(constants.RENEWAL_INTERVAL_MAX_S, lease * constants.RENEWAL_INTERVAL_OF_LEASE),
            validity_s=lease * constants.VALIDITY_OF_LEASE,
            loss_s=workers.lease_s * (1 + 2 * constants.CLOCK_DRIFT) + constants.LOSS_MARGIN_S,
            stall_s=operator.stall_limit_s or constants.STALL_LIMIT_S,
            self_release_s=operator.self_release_s or constants.SELF_RELEASE_S,
            overdue_s=workers.heartbeat_interval_s * constants.OVERDUE_OF_HEARTBEAT + constants.OVERDUE_EXTRA_S,
            # A cancellation that stays unknown here stops the renewal of worker leases after this time.
            # They then expire within `cancel_s` of the cancellation, which ends its tasks. The max is needed since a
            # leader with a fresh watch cache, which may be WATCH_CACHE_STALE_S old, must be able to renew leases. Where
            # the max takes effect, as `cancel_s` is hardly longer than the lease, expiring leases alone can't ensure
            # that cancelled tasks end in time.
            renew_s=max(
                constants.WATCH_CACHE_STALE_S,
                workers.cancel_s - workers.lease_s * (1 + 2 * constants.CLOCK_DRIFT) - constants.RENEW_MARGIN_S,
            ),
        )


class OperatorOverrides(msgspec.Struct, frozen=True):
    """Operators' settings; 0 means the derived or built-in value."""

    lease_s: float = 0.0
    stall_limit_s: float = 0.0
    self_release_s: float = 0.0
    sample: int = 0
    tick_s: float = 0.0


def split_addr(addr: str) -> tuple[str, int]:
    """Splits `10.0.0.1:8080` into host and port. Host names are not resolved, as the machines have no resolver.

    Raises ValueError."""
    host, _, port = addr.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isdecimal() and int(p) < 256 for p in parts):
        raise ValueError(f"{addr!r} is not an IPv4 address with a port")
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{addr!r} has no valid port")
    return host, int(port)


def _check_number(path: str, field: str, value: float, may_be_zero: bool = False) -> None:
    if not math.isfinite(value) or value < 0 or (value == 0 and not may_be_zero):
        raise SettingsError.of(path, field, f"must be a positive number, is {value}")


def check(settings: Settings, path: str) -> Settings:
    """Checks what the types don't ensure: addresses, ranges and unique names. Raises SettingsError with the fields'
    names in the file."""
    _check_addresses(settings, path)
    _check_platform(settings.platform, path)
    labels = [settings.label, *(member.label for member in settings.members)]
    if len(set(labels)) != len(labels):
        raise SettingsError.of(path, "members", "two controllers have the same label")
    if len({team.name for team in settings.platform.teams}) != len(settings.platform.teams):
        raise SettingsError.of(path, "facts.teams", "two teams have the same name")
    return settings


def _check_addresses(settings: Settings, path: str) -> None:
    addresses = [
        ("listen", settings.listen),
        ("services.cloud", settings.services.cloud),
        ("services.state", settings.services.state),
    ]
    if settings.peer_listen or settings.members:
        addresses.append(("peer_listen", settings.peer_listen))
    addresses += [(f"members[{member.label}].addr", member.addr) for member in settings.members]
    for field, addr in addresses:
        try:
            split_addr(addr)
        except ValueError as error:
            raise SettingsError.of(path, field, str(error)) from None


def _check_platform(platform: PlatformSettings, path: str) -> None:
    for field, value in (
        ("facts.workers.report_s", platform.workers.heartbeat_interval_s),
        ("facts.workers.lease_s", platform.workers.lease_s),
        ("facts.workers.cancel_s", platform.workers.cancel_s),
        ("facts.state.rps", platform.state.rps),
        ("facts.state.write_rps", platform.state.write_rps),
        ("facts.state.value_kb", platform.state.value_kb),
        ("facts.state.txn_ops", platform.state.txn_ops),
        ("facts.cloud.rps", platform.cloud.rps),
        ("facts.quota.cpu", platform.quota.cpu),
        ("facts.quota.sockets", platform.quota.sockets),
    ):
        _check_number(path, field, value)
    _check_transaction_sizes(platform.state, path)
    if platform.state.next is not None:
        for name in ("write_rps", "value_kb", "txn_ops"):
            value = getattr(platform.state.next, name)
            _check_number(path, f"facts.state.next.{name}", value, may_be_zero=True)
    for team in platform.teams:
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _check_number(path, f"facts.teams[{team.name}].{name}", getattr(team, name), may_be_zero=True)


def _check_transaction_sizes(state: StateLimits, path: str) -> None:
    for prefix, txn_ops in (("", state.txn_ops), ("next.", state.after_reductions.txn_ops)):
        if txn_ops < constants.MIN_TXN_OPS:
            reason = f"must be at least {constants.MIN_TXN_OPS}, is {txn_ops}"
            raise SettingsError.of(path, f"facts.state.{prefix}txn_ops", reason)


def _parse_file(path: str, parse: Callable[[BinaryIO], Any], syntax_errors: tuple[type[Exception], ...]) -> Any:
    try:
        with open(path, "rb") as file:
            return parse(file)
    except OSError as error:
        raise SettingsError.of(path, "file", str(error.strerror)) from None
    except syntax_errors as error:
        lines = str(error).strip().splitlines()
        raise SettingsError.of(path, "syntax", lines[0] if lines else type(error).__name__) from None


def _convert(raw: Any, kind: type[_StructT], path: str) -> _StructT:
    try:
        return msgspec.convert(raw, kind, strict=True)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at ")
        field = where.strip("`").removeprefix("$.") or "top level"
        raise SettingsError.of(path, field, reason) from None


def load(path: str) -> Settings:
    """Loads and checks the platform's settings file. Raises SettingsError."""
    raw = _parse_file(path, tomllib.load, (tomllib.TOMLDecodeError, UnicodeDecodeError))
    return check(_convert(raw, Settings, path), path)


def load_hcl(path: str, kind: type[_StructT]) -> _StructT:
    """Loads one of the operators' HCL files. Raises SettingsError.

    The parser is imported only when it is needed, since controllers have little CPU time to start."""
    import hcl2  # noqa: PLC0415

    def parse(file: BinaryIO) -> Any:
        return hcl2.load(io.TextIOWrapper(file, encoding="utf-8"))

    raw = _parse_file(path, parse, (Exception,))  # the parser's errors have no common base class
    return _convert({name: value for name, value in raw.items() if not name.startswith("__")}, kind, path)


def load_operator(path: str | None) -> OperatorOverrides:
    """Loads and checks the operators' settings; without a file, nothing is overridden. Raises SettingsError."""
    if not path:
        return OperatorOverrides()
    operator = load_hcl(path, OperatorOverrides)
    for field in ("lease_s", "stall_limit_s", "self_release_s", "sample", "tick_s"):
        _check_number(path, field, getattr(operator, field), may_be_zero=True)
    return operator
